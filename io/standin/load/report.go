package load

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
)

// asOpError is errors.As for network errors.
func asOpError(err error, op **net.OpError) bool {
	return errors.As(err, op)
}

// RankReport holds the results of the requests of one rank.
type RankReport struct {
	Rank ident.Rank `json:"rank"`
	// Sent is the number of requests, not counting resends.
	Sent int64 `json:"sent"`
	// OK is the number of requests that got a readable answer with status 200, in time or not.
	OK int64 `json:"ok"`
	// InTime is the fraction of requests, from 0 to 1, that were answered before their deadline.
	InTime float64 `json:"inTime"`
	// Resent is the number of resends.
	Resent int64 `json:"resent"`
	// Failed is the number of requests that ended with neither a readable answer nor a refusal.
	Failed int64 `json:"broken"`
	// P50MS and P99MS are the median and the 99th percentile of the latency of answered requests,
	// in milliseconds.
	P50MS float64 `json:"p50Millis"`
	P99MS float64 `json:"p99Millis"`
	// Refused is the number of requests whose last attempt was refused, by kind of refusal.
	Refused map[refusal.Kind]int64 `json:"refused"`
}

// Report returns the results of each rank, the most urgent first.
func (l *Load) Report() []RankReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []RankReport
	for _, rank := range ident.Ranks {
		st := l.stats[rank]
		r := RankReport{
			Rank: rank, Sent: st.sent, OK: st.ok, Resent: st.resent, Failed: st.failed,
			P50MS:   float64(st.latency.ValueAtQuantile(50)) / 1000,
			P99MS:   float64(st.latency.ValueAtQuantile(99)) / 1000,
			Refused: maps.Clone(st.refused),
		}
		if st.sent > 0 {
			r.InTime = float64(st.inTime) / float64(st.sent)
		}
		out = append(out, r)
	}
	return out
}

// WriteTable writes the reports as a text table with one line per rank.
func WriteTable(w io.Writer, reports []RankReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\tsent\tanswered\tin time\tp50 ms\tp99 ms\tresent\tbroken\trefused\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f%%\t%.1f\t%.1f\t%d\t%d\t%s\t\n",
			r.Rank, r.Sent, r.OK, 100*r.InTime, r.P50MS, r.P99MS, r.Resent, r.Failed, formatRefused(r.Refused))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// formatRefused formats the number of refusals of each kind as "kind:number", or "-" if there are
// none.
func formatRefused(refused map[refusal.Kind]int64) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s:%d", k, refused[k]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}
