package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/core/refusal"
)

// Detection is the ejection of a faulty server.
type Detection struct {
	Server ident.ServerID `json:"server"`
	// Millis is the time from the fault to the ejection.
	Millis int64 `json:"millis"`
	// Attempts is the number of attempts that the server got meanwhile.
	Attempts int `json:"requests"`
}

// StateChange is a change of a server's state.
type StateChange struct {
	At     float64        `json:"at"`
	Server ident.ServerID `json:"server"`
	From   pool.State     `json:"from"`
	To     pool.State     `json:"to"`
	Reason string         `json:"reason"`
}

// SecondStats is the service of one rank in one second.
type SecondStats struct {
	Sent   int     `json:"sent"`
	OK     int     `json:"ok"`
	MeanMS float64 `json:"meanMillis"`
	sum    time.Duration
}

// RankMetrics is the service that one rank got.
type RankMetrics struct {
	Rank    ident.Rank             `json:"rank"`
	Sent    int                    `json:"sent"`
	InTime  float64                `json:"inTime"`
	Goodput float64                `json:"goodputPerSecond"`
	P50MS   float64                `json:"p50Millis"`
	P99MS   float64                `json:"p99Millis"`
	Refused map[refusal.Kind]int64 `json:"refused"`
}

// Result is what one run found.
type Result struct {
	Script string `json:"script"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	Detections         []Detection `json:"detections"`
	Missed             int         `json:"missed"`
	Ejections          int         `json:"ejections"`
	FalseEjections     int         `json:"falseEjections"`
	Requests           int         `json:"attempts"`
	ExtraAttempts      int         `json:"extra"`
	CapacitySlots      int         `json:"capacitySlots"`
	FloorSlots         int         `json:"floorSlots"`
	LowestHealthySlots int         `json:"lowestHealthySlots"`
	FloorViolations    int         `json:"floorBreaks"`
	DuplicateRuns      int         `json:"secondRuns"`
	FalseNotRun        int         `json:"untrueNotRun"`
	PoisonKills        int         `json:"poisonKills"`

	Ranks          []RankMetrics          `json:"ranks"`
	Flood          []RankMetrics          `json:"flood,omitempty"`
	Counters       map[string]int         `json:"counters"`
	Events         []StateChange          `json:"events"`
	Faults         []Fault                `json:"faults"`
	FaultyAttempts map[ident.ServerID]int `json:"-"`
	// Timeline is the service by rank and second.
	Timeline [ident.RankCount][]SecondStats `json:"timeline"`

	ranks, flood [ident.RankCount]rankCounters
	seconds      float64
	floodSeconds float64
	wanted       int
}

type rankCounters struct {
	sent, ok int
	refused  map[refusal.Kind]int64
	latency  *hdrhistogram.Histogram
}

// maxLatency bounds what the histograms hold, in microseconds.
const maxLatency = 60_000_000

func newResult(s *Script, p Policy, seed uint64) Result {
	r := Result{
		Script: s.Name, Policy: p.Name, Seed: seed, Counters: map[string]int{},
		FaultyAttempts: map[ident.ServerID]int{}, seconds: float64(s.Seconds), Faults: s.Faults,
	}
	for i := range r.ranks {
		for _, st := range []*rankCounters{&r.ranks[i], &r.flood[i]} {
			st.refused = map[refusal.Kind]int64{}
			st.latency = hdrhistogram.New(1, maxLatency, 3)
		}
	}
	for _, f := range s.Floods {
		r.floodSeconds += f.Until - f.From
	}
	for _, f := range s.Faults {
		if !f.Benign && !f.Poison {
			r.wanted++
		}
	}
	return r
}

func (r *Result) timeline(at time.Duration, rank int, ok bool, took time.Duration) {
	second := int(at / time.Second)
	for len(r.Timeline[rank]) <= second {
		r.Timeline[rank] = append(r.Timeline[rank], SecondStats{})
	}
	s := &r.Timeline[rank][second]
	s.Sent++
	if ok {
		s.OK++
		s.sum += took
		s.MeanMS = s.sum.Seconds() * 1000 / float64(s.OK)
	}
}

// Finalise works out the views by rank.
func (r *Result) Finalise() *Result {
	r.Ranks = views(r.ranks, r.seconds)
	if r.floodSeconds > 0 {
		r.Flood = views(r.flood, r.floodSeconds)
	}
	r.Missed = max(0, r.wanted-len(r.Detections))
	return r
}

func views(stats [ident.RankCount]rankCounters, seconds float64) []RankMetrics {
	out := make([]RankMetrics, 0, ident.RankCount)
	for i, st := range stats {
		v := RankMetrics{
			Rank: ident.Ranks[i], Sent: st.sent, Refused: st.refused, Goodput: float64(st.ok) / seconds,
			P50MS: float64(st.latency.ValueAtQuantile(50)) / 1000,
			P99MS: float64(st.latency.ValueAtQuantile(99)) / 1000,
		}
		if st.sent > 0 {
			v.InTime = float64(st.ok) / float64(st.sent)
		}
		out = append(out, v)
	}
	return out
}

// Violations lists what must hold and did not.
func (r *Result) Violations() []string {
	var out []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{r.FloorViolations, "floor breaks"}, {r.DuplicateRuns, "second runs"}, {r.FalseNotRun, "untrue not run"},
	} {
		if c.n > 0 {
			out = append(out, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	return out
}

// ExtraFraction is the further attempts for each request.
func (r *Result) ExtraFraction() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.ExtraAttempts) / float64(r.Requests)
}

// WriteTable writes results for people, a line each.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "script\tpolicy\tseed\tdetected ms (requests)\tmissed\tfalse\textra\tlowest/floor\tin time u/n/b\tp99 ms u/n/b\tgoodput/s u/n/b\tbroken")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%.1f%%\t%d/%d\t%s\t%s\t%s\t%s\n",
			r.Script, r.Policy, r.Seed, detections(r.Detections), r.Missed, r.FalseEjections, 100*r.ExtraFraction(),
			r.LowestHealthySlots, r.FloorSlots,
			by(r.Ranks, func(v RankMetrics) string { return fmt.Sprintf("%.1f%%", 100*v.InTime) }),
			by(r.Ranks, func(v RankMetrics) string { return fmt.Sprintf("%.0f", v.P99MS) }),
			by(r.Ranks, func(v RankMetrics) string { return fmt.Sprintf("%.0f", v.Goodput) }),
			orDash(strings.Join(r.Violations(), ", ")))
		if len(r.Flood) > 0 {
			fmt.Fprintf(t, "  in the flood\t\t\t\t\t\t\t\t%s\t%s\t%s\t\n",
				by(r.Flood, func(v RankMetrics) string { return fmt.Sprintf("%.1f%%", 100*v.InTime) }),
				by(r.Flood, func(v RankMetrics) string { return fmt.Sprintf("%.0f", v.P99MS) }),
				by(r.Flood, func(v RankMetrics) string { return fmt.Sprintf("%.0f", v.Goodput) }))
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func by(views []RankMetrics, f func(RankMetrics) string) string {
	parts := make([]string, len(views))
	for i, v := range views {
		parts[i] = f(v)
	}
	return strings.Join(parts, " ")
}

func detections(ds []Detection) string {
	parts := make([]string, len(ds))
	for i, d := range ds {
		parts[i] = fmt.Sprintf("%d (%d)", d.Millis, d.Attempts)
	}
	return orDash(strings.Join(parts, " "))
}

// CounterNames returns the names of all counters, sorted.
func (r *Result) CounterNames() []string {
	return slices.Sorted(maps.Keys(r.Counters))
}
