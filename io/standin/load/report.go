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

func asOp(err error, op **net.OpError) bool {
	return errors.As(err, op)
}

// RankReport is the service that one rank got.
type RankReport struct {
	Rank ident.Rank `json:"rank"`
	Sent int64      `json:"sent"`
	OK   int64      `json:"ok"`
	// InTime is the part that was answered inside its deadline.
	InTime  float64                `json:"inTime"`
	Resent  int64                  `json:"resent"`
	Failed  int64                  `json:"broken"`
	P50MS   float64                `json:"p50Millis"`
	P99MS   float64                `json:"p99Millis"`
	Refused map[refusal.Kind]int64 `json:"refused"`
}

// Report returns the service by rank, the most urgent first.
func (l *Load) Report() []RankReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []RankReport
	for _, rank := range ident.Ranks {
		st := l.stats[rank]
		r := RankReport{
			Rank: rank, Sent: st.sent, OK: st.ok, Resent: st.resent, Failed: st.broken,
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

// WriteTable writes the service by rank for people.
func WriteTable(w io.Writer, reports []RankReport) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\tsent\tanswered\tin time\tp50 ms\tp99 ms\tresent\tbroken\trefused\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f%%\t%.1f\t%.1f\t%d\t%d\t%s\t\n",
			r.Rank, r.Sent, r.OK, 100*r.InTime, r.P50MS, r.P99MS, r.Resent, r.Failed, kinds(r.Refused))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

func kinds(refused map[refusal.Kind]int64) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s:%d", k, refused[k]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}
