package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bilberrymux/core/ident"
)

// Summary combines the results of several seeds of one script and policy.
type Summary struct {
	Script, Policy string
	Seeds          int
	Requests       int
	// DetectMean is the mean over the seeds of each seed's mean time of detection, which counts as 0
	// for a seed without detections. DetectWorst is the longest time. Both are in milliseconds.
	DetectMean, DetectWorst int64
	Missed                  int
	FalseEjections          int
	// ExtraFraction, LowestHealthySlots, InTime and P99MS hold the worst value of all seeds.
	ExtraFraction      float64
	LowestHealthySlots int
	InTime             [ident.RankCount]float64
	P99MS              [ident.RankCount]float64
	// FloorSlots is the floor at the end of the first seed's run.
	FloorSlots int
	// FloodInTime and FloodGoodput hold the lowest values during floods.
	FloodInTime  [ident.RankCount]float64
	FloodGoodput [ident.RankCount]float64
	HasFlood     bool
	// Violations is the number of invariants that were violated, summed over the seeds.
	Violations int
}

// Summarise combines the results of all seeds of each script and policy. The summaries are in the
// order in which script and policy first appear.
func Summarise(results []*Result) []*Summary {
	var out []*Summary
	for _, r := range results {
		i := slices.IndexFunc(out, func(s *Summary) bool { return s.Script == r.Script && s.Policy == r.Policy })
		if i < 0 {
			i = len(out)
			out = append(out, newSummary(r))
		}
		out[i].add(r)
	}
	return out
}

func newSummary(r *Result) *Summary {
	s := &Summary{Script: r.Script, Policy: r.Policy, LowestHealthySlots: r.CapacitySlots, FloorSlots: r.FloorSlots, HasFlood: len(r.Flood) > 0}
	for i := range ident.Ranks {
		s.InTime[i], s.FloodInTime[i], s.FloodGoodput[i] = 1, 1, 1e9
	}
	return s
}

func (s *Summary) add(r *Result) {
	for _, d := range r.Detections {
		s.DetectWorst = max(s.DetectWorst, d.Millis)
	}
	total := s.DetectMean * int64(s.Seeds)
	if n := int64(len(r.Detections)); n > 0 {
		sum := int64(0)
		for _, d := range r.Detections {
			sum += d.Millis
		}
		total += sum / n
	}
	s.Seeds++
	s.DetectMean = total / int64(s.Seeds)
	s.Requests += r.Requests
	s.Missed += r.Missed
	s.FalseEjections += r.FalseEjections
	s.Violations += len(r.Violations())
	s.ExtraFraction = max(s.ExtraFraction, r.ExtraFraction())
	s.LowestHealthySlots = min(s.LowestHealthySlots, r.LowestHealthySlots)
	for i := range ident.Ranks {
		s.InTime[i] = min(s.InTime[i], r.Ranks[i].InTime)
		s.P99MS[i] = max(s.P99MS[i], r.Ranks[i].P99MS)
		if len(r.Flood) > 0 {
			s.FloodInTime[i] = min(s.FloodInTime[i], r.Flood[i].InTime)
			s.FloodGoodput[i] = min(s.FloodGoodput[i], r.Flood[i].Goodput)
		}
	}
}

// WriteSummary writes summaries as a Markdown table, with a row for each.
func WriteSummary(w io.Writer, summaries []*Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintln(t, "| script\t| policy\t| detected, mean / worst ms\t| missed\t| false\t| extra\t| lowest / floor\t| in time u / n / b\t| p99 ms u / n / b\t| in flood: in time; goodput/s\t| broken\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, s := range summaries {
		detected := "-"
		if s.DetectWorst > 0 {
			detected = fmt.Sprintf("%d / %d", s.DetectMean, s.DetectWorst)
		}
		flood := "-"
		if s.HasFlood {
			flood = fmt.Sprintf("%s; %s", formatPercents(s.FloodInTime), formatNumbers(s.FloodGoodput))
		}
		fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %d\t| %d\t| %.1f%%\t| %d / %d\t| %s\t| %s\t| %s\t| %d\t|\n",
			s.Script, s.Policy, detected, s.Missed, s.FalseEjections, 100*s.ExtraFraction, s.LowestHealthySlots, s.FloorSlots,
			formatPercents(s.InTime), formatNumbers(s.P99MS), flood, s.Violations)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

func formatPercents(x [ident.RankCount]float64) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f%%", 100*x[0], 100*x[1], 100*x[2])
}

func formatNumbers(x [ident.RankCount]float64) string {
	return fmt.Sprintf("%.0f / %.0f / %.0f", x[0], x[1], x[2])
}
