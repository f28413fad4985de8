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

// Detection is the correct ejection of a faulty server.
type Detection struct {
	Server ident.ServerID `json:"server"`
	// Millis is the time from the start of the fault to the ejection, in milliseconds.
	Millis int64 `json:"millis"`
	// Attempts is the number of attempts that were sent to the server while it was faulty, up to
	// the ejection.
	Attempts int `json:"requests"`
}

// StateChange is a change of a server's state, as one daemon sees it.
type StateChange struct {
	// At is in seconds from the start of the run.
	At     float64        `json:"at"`
	Server ident.ServerID `json:"server"`
	From   pool.State     `json:"from"`
	To     pool.State     `json:"to"`
	Reason string         `json:"reason"`
}

// SecondStats counts the requests of one rank that ended in one second of the run.
type SecondStats struct {
	Sent int `json:"sent"`
	OK   int `json:"ok"`
	// MeanMS is the mean latency of the successful requests, in milliseconds.
	MeanMS float64 `json:"meanMillis"`
	sum    time.Duration
}

// RankMetrics summarises the requests of one rank.
type RankMetrics struct {
	Rank ident.Rank `json:"rank"`
	Sent int        `json:"sent"`
	// InTime is the fraction of the requests that succeeded before their deadline, Goodput the number
	// of those per second.
	InTime  float64 `json:"inTime"`
	Goodput float64 `json:"goodputPerSecond"`
	// P50MS and P99MS are quantiles of the latency of the requests that succeeded in time, in
	// milliseconds.
	P50MS float64 `json:"p50Millis"`
	P99MS float64 `json:"p99Millis"`
	// Refused is the number of refused requests by kind of refusal.
	Refused map[refusal.Kind]int64 `json:"refused"`
}

// Result holds the measurements of one run.
type Result struct {
	Script string `json:"script"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	Detections []Detection `json:"detections"`
	// Missed is the number of faults without a detection, apart from benign and poison faults.
	Missed    int `json:"missed"`
	Ejections int `json:"ejections"`
	// FalseEjections is the number of ejections of servers that were not faulty.
	FalseEjections int `json:"falseEjections"`
	// Requests is the number of requests that callers sent, with their resends.
	Requests int `json:"attempts"`
	// ExtraAttempts is the number of retries and hedges.
	ExtraAttempts int `json:"extra"`
	CapacitySlots int `json:"capacitySlots"`
	FloorSlots    int `json:"floorSlots"`
	// LowestHealthySlots is the lowest capacity, at any time of the run, that no daemon had ejected.
	LowestHealthySlots int `json:"lowestHealthySlots"`
	// FloorViolations is the number of state changes and floor changes after which the capacity that
	// no daemon had ejected was below the floor.
	FloorViolations int `json:"floorBreaks"`
	// DuplicateRuns is the number of non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"secondRuns"`
	// FalseNotRun is the number of requests that ran although the caller was told "not run".
	FalseNotRun int `json:"untrueNotRun"`
	// PoisonKills is the number of crashes that poison requests caused.
	PoisonKills int `json:"poisonKills"`

	Ranks    []RankMetrics  `json:"ranks"`
	Flood    []RankMetrics  `json:"flood,omitempty"`
	Counters map[string]int `json:"counters"`
	Events   []StateChange  `json:"events"`
	Faults   []Fault        `json:"faults"`
	// FaultyAttempts counts the attempts that each server got while it was faulty.
	FaultyAttempts map[ident.ServerID]int `json:"-"`
	// Timeline holds the statistics of each second, by rank.
	Timeline [ident.RankCount][]SecondStats `json:"timeline"`

	ranks, flood       [ident.RankCount]rankCounters
	seconds            float64
	floodSeconds       float64
	expectedDetections int
}

// rankCounters accumulates the outcomes of one rank's requests.
type rankCounters struct {
	sent, ok int
	refused  map[refusal.Kind]int64
	latency  *hdrhistogram.Histogram
}

// maxLatencyMicros is the highest latency that the histograms record, in microseconds.
const maxLatencyMicros = 60_000_000

func newResult(s *Script, p Policy, seed uint64) Result {
	r := Result{
		Script: s.Name, Policy: p.Name, Seed: seed, Counters: map[string]int{},
		FaultyAttempts: map[ident.ServerID]int{}, seconds: float64(s.Seconds), Faults: s.Faults,
	}
	for i := range r.ranks {
		for _, c := range []*rankCounters{&r.ranks[i], &r.flood[i]} {
			c.refused = map[refusal.Kind]int64{}
			c.latency = hdrhistogram.New(1, maxLatencyMicros, 3)
		}
	}
	for _, f := range s.Floods {
		r.floodSeconds += f.Until - f.From
	}
	for _, f := range s.Faults {
		if !f.Benign && !f.Poison {
			r.expectedDetections++
		}
	}
	return r
}

// addToTimeline adds a request that ended at a time since the start of the run.
func (r *Result) addToTimeline(elapsed time.Duration, rank int, ok bool, latency time.Duration) {
	second := int(elapsed / time.Second)
	for len(r.Timeline[rank]) <= second {
		r.Timeline[rank] = append(r.Timeline[rank], SecondStats{})
	}
	s := &r.Timeline[rank][second]
	s.Sent++
	if ok {
		s.OK++
		s.sum += latency
		s.MeanMS = s.sum.Seconds() * 1000 / float64(s.OK)
	}
}

// Finalise computes the metrics of each rank and the number of missed faults from the counters. It
// must be called after the run.
func (r *Result) Finalise() *Result {
	r.Ranks = rankMetrics(r.ranks, r.seconds)
	if r.floodSeconds > 0 {
		r.Flood = rankMetrics(r.flood, r.floodSeconds)
	}
	r.Missed = max(0, r.expectedDetections-len(r.Detections))
	return r
}

func rankMetrics(counters [ident.RankCount]rankCounters, seconds float64) []RankMetrics {
	out := make([]RankMetrics, 0, ident.RankCount)
	for i, c := range counters {
		m := RankMetrics{
			Rank: ident.Ranks[i], Sent: c.sent, Refused: c.refused, Goodput: float64(c.ok) / seconds,
			P50MS: float64(c.latency.ValueAtQuantile(50)) / 1000,
			P99MS: float64(c.latency.ValueAtQuantile(99)) / 1000,
		}
		if c.sent > 0 {
			m.InTime = float64(c.ok) / float64(c.sent)
		}
		out = append(out, m)
	}
	return out
}

// Violations describes the invariants that the run violated. It is empty if none was.
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

// ExtraFraction returns the number of extra attempts (retries and hedges) per request.
func (r *Result) ExtraFraction() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.ExtraAttempts) / float64(r.Requests)
}

// WriteTable writes results as a table of plain text, with a line for each run and, where the
// script has floods, a line for the time of the floods.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "script\tpolicy\tseed\tdetected ms (requests)\tmissed\tfalse\textra\tlowest/floor\tin time u/n/b\tp99 ms u/n/b\tgoodput/s u/n/b\tbroken")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%.1f%%\t%d/%d\t%s\t%s\t%s\t%s\n",
			r.Script, r.Policy, r.Seed, formatDetections(r.Detections), r.Missed, r.FalseEjections, 100*r.ExtraFraction(),
			r.LowestHealthySlots, r.FloorSlots,
			formatRanks(r.Ranks, func(m RankMetrics) string { return fmt.Sprintf("%.1f%%", 100*m.InTime) }),
			formatRanks(r.Ranks, func(m RankMetrics) string { return fmt.Sprintf("%.0f", m.P99MS) }),
			formatRanks(r.Ranks, func(m RankMetrics) string { return fmt.Sprintf("%.0f", m.Goodput) }),
			orDash(strings.Join(r.Violations(), ", ")))
		if len(r.Flood) > 0 {
			fmt.Fprintf(t, "  in the flood\t\t\t\t\t\t\t\t%s\t%s\t%s\t\n",
				formatRanks(r.Flood, func(m RankMetrics) string { return fmt.Sprintf("%.1f%%", 100*m.InTime) }),
				formatRanks(r.Flood, func(m RankMetrics) string { return fmt.Sprintf("%.0f", m.P99MS) }),
				formatRanks(r.Flood, func(m RankMetrics) string { return fmt.Sprintf("%.0f", m.Goodput) }))
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

func formatRanks(ranks []RankMetrics, format func(RankMetrics) string) string {
	parts := make([]string, len(ranks))
	for i, m := range ranks {
		parts[i] = format(m)
	}
	return strings.Join(parts, " ")
}

func formatDetections(ds []Detection) string {
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
