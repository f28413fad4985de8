// Package soak runs daemons as processes of their own, harms them and what is
// around them, and checks the promises from what callers and servers see.
package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Send is one request of a caller and its end.
type Send struct {
	ID     string
	Daemon string
	// Once says that the request may run once only.
	Once        bool
	Begun       time.Time
	Ended       time.Time
	Status      int
	Whole       bool
	Own         bool
	Signed      bool
	Error       string
	DialFailed  bool
	DaemonStops time.Time
	// DaemonHarmed says that the daemon was killed or paused meanwhile.
	DaemonHarmed bool
}

// Run is one run of a request at a server.
type Run struct {
	ID     string
	Server string
	At     time.Time
}

// Leave is a server's report that it leaves.
type Leave struct {
	Server string
	At     time.Time
	// Excused says that the store or daemons were harmed at or after it.
	Excused bool
}

// VersionSeen is the version that one incarnation of a daemon had in force.
type VersionSeen struct {
	Daemon  string
	Version uint64
	At      time.Time
}

// History is what callers and servers saw.
type History struct {
	Sends    []Send
	Runs     []Run
	Leaves   []Leave
	Versions []VersionSeen
	// Healed is when the last fault ended.
	Healed time.Time
}

// Promise names what a violation breaks.
type Promise string

// The promises.
const (
	OwnAnswer   Promise = "own whole answer"
	AtMostOnce  Promise = "at most once"
	TrueNotRun  Promise = "true not run"
	LeavingIdle Promise = "no work at a leaving server"
	StopCutsNo  Promise = "a planned stop cuts nothing"
	NeverBack   Promise = "a version never goes back"
	Budget      Promise = "budget of further arrivals"
	Recovers    Promise = "service recovers"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	What    string
}

// The bounds, from the platform's pages.
const (
	// leaveBound is the time in which a leaving server gets no more work.
	leaveBound = 2 * time.Second
	// budgetWindow, budgetRatio and budgetReserve bound further arrivals.
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetReserve = 56
	// recoveryBound is when service must be back, recoveredShare how much of it.
	recoveryBound  = 15 * time.Second
	recoveredShare = 0.25
)

// Check returns every broken promise of a history.
func Check(h *History) []Violation {
	var out []Violation
	add := func(p Promise, format string, args ...any) {
		out = append(out, Violation{p, fmt.Sprintf(format, args...)})
	}
	runs := map[string]int{}
	for _, r := range h.Runs {
		runs[r.ID]++
	}
	for i := range h.Sends {
		checkSend(&h.Sends[i], runs, add)
	}
	checkLeaves(h, add)
	checkVersions(h, add)
	checkBudget(h, add)
	checkRecovery(h, add)
	return out
}

type report func(p Promise, format string, args ...any)

func checkSend(s *Send, runs map[string]int, add report) {
	if s.Status >= 200 && s.Status < 300 && !(s.Own && s.Whole && s.Signed) {
		add(OwnAnswer, "%s from %s: success with own %v, whole %v, signed %v", s.ID, s.Daemon, s.Own, s.Whole, s.Signed)
	}
	if s.Once && runs[s.ID] > 1 {
		add(AtMostOnce, "%s ran %d times", s.ID, runs[s.ID])
	}
	if s.Once && (s.Status == 503 || s.Status == 429) && runs[s.ID] > 0 {
		add(TrueNotRun, "%s was said not to have run by %s, and ran", s.ID, s.Daemon)
	}
	cut := s.Status == 0 && !s.DialFailed && !s.DaemonHarmed
	if cut && !s.DaemonStops.IsZero() && s.Ended.After(s.DaemonStops) && runs[s.ID] > 0 {
		add(StopCutsNo, "%s at %s, %v after the request to stop: %s", s.ID, s.Daemon, s.Ended.Sub(s.DaemonStops), s.Error)
	}
}

func checkLeaves(h *History, add report) {
	for _, l := range h.Leaves {
		for _, r := range h.Runs {
			if !l.Excused && r.Server == l.Server && r.At.Sub(l.At) > leaveBound {
				add(LeavingIdle, "%s ran at %s %v after it reported to leave", r.ID, l.Server, r.At.Sub(l.At))
			}
		}
	}
}

func checkVersions(h *History, add report) {
	last := map[string]uint64{}
	seen := slices.Clone(h.Versions)
	slices.SortStableFunc(seen, func(a, b VersionSeen) int { return a.At.Compare(b.At) })
	for _, v := range seen {
		if v.Version < last[v.Daemon] {
			add(NeverBack, "%s went from version %d to %d", v.Daemon, last[v.Daemon], v.Version)
		}
		last[v.Daemon] = max(last[v.Daemon], v.Version)
	}
}

// checkBudget counts the runs beyond the first of each request in every window.
func checkBudget(h *History, add report) {
	first := map[string]bool{}
	var extra, requests []time.Time
	runs := slices.Clone(h.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.ID, b.ID)) })
	for _, r := range runs {
		if first[r.ID] {
			extra = append(extra, r.At)
		}
		first[r.ID] = true
	}
	for _, s := range h.Sends {
		requests = append(requests, s.Begun)
	}
	for i, from := range extra {
		in := 0
		for _, at := range extra[i:] {
			if at.Sub(from) <= budgetWindow {
				in++
			}
		}
		asked := 0
		for _, at := range requests {
			if d := at.Sub(from); d >= -budgetWindow && d <= budgetWindow {
				asked++
			}
		}
		if float64(in) > budgetRatio*float64(asked)+budgetReserve {
			add(Budget, "%d further arrivals for %d requests", in, asked)
			return
		}
	}
}

func checkRecovery(h *History, add report) {
	asked, served := 0, 0
	for _, s := range h.Sends {
		if !h.Healed.IsZero() && s.Begun.Sub(h.Healed) > recoveryBound {
			asked++
			if s.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < recoveredShare*float64(asked) {
		add(Recovers, "%d of %d requests served after recovery", served, asked)
	}
}
