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
	Once   bool
	Begun  time.Time
	Ended  time.Time
	Status int
	Whole  bool
	Own    bool
	Signed bool
	Error  string
	// Excused says that the daemon owes no answer: the caller reached none, or
	// gave up.
	Excused bool
	// DaemonStops is when the daemon was asked to stop, zero if it was not.
	DaemonStops time.Time
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
}

// Configured is a version of the configuration that the store accepted.
type Configured struct {
	Version uint64
	At      time.Time
}

// VersionSeen is the version that one incarnation of a daemon had in force.
type VersionSeen struct {
	Daemon      string
	Incarnation int
	Version     uint64
	At          time.Time
}

// History is what callers and servers saw.
type History struct {
	Sends      []Send
	Runs       []Run
	Leaves     []Leave
	Configured []Configured
	Versions   []VersionSeen
	// Harms are the times during which daemons, servers and the store were harmed,
	// by name.
	Harms map[string][]Span
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
	InForce     Promise = "a version is in force in time"
	Budget      Promise = "budget of further arrivals"
	Recovers    Promise = "service recovers"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise   `json:"promise"`
	What    string    `json:"what"`
	At      time.Time `json:"at"`
}

// Bounds are the figures of the promises.
type Bounds struct {
	// Leave is the time in which a leaving server gets no more work, and Config
	// that in which a version comes into force.
	Leave, Config time.Duration
	// Window, Ratio and Reserve bound further arrivals.
	Window  time.Duration
	Ratio   float64
	Reserve float64
	// Recovery is when service must be back after the last fault.
	Recovery time.Duration
}

// PageBounds are those of the platform's pages.
var PageBounds = Bounds{
	Leave: 2 * time.Second, Config: 2 * time.Second,
	Window: 10 * time.Second, Ratio: 0.2, Reserve: 56, Recovery: 15 * time.Second,
}

// recoveredShare is the part of the requests that must be served after recovery.
const recoveredShare = 0.95

// checker looks for broken promises in one history.
type checker struct {
	*History
	bounds Bounds
	runs   map[string]int
	sends  map[string]*Send
	found  []Violation
}

// Check returns every broken promise of a history.
func Check(h *History, b Bounds) []Violation {
	c := &checker{History: h, bounds: b, runs: map[string]int{}, sends: map[string]*Send{}}
	for _, r := range h.Runs {
		c.runs[r.ID]++
	}
	for i := range h.Sends {
		c.sends[h.Sends[i].ID] = &h.Sends[i]
		c.send(&h.Sends[i])
	}
	c.leaves()
	c.versions()
	c.inForce()
	c.budget()
	c.recovery()
	return c.found
}

func (c *checker) add(at time.Time, p Promise, format string, args ...any) {
	c.found = append(c.found, Violation{p, fmt.Sprintf(format, args...), at})
}

func (c *checker) send(s *Send) {
	ran := c.runs[s.ID]
	if s.Status >= 200 && s.Status < 300 && !(s.Own && s.Whole && s.Signed) {
		c.add(s.Ended, OwnAnswer, "%s from %s: success with own %v, whole %v, signed %v", s.ID, s.Daemon, s.Own, s.Whole, s.Signed)
	}
	if s.Once && ran > 1 {
		c.add(s.Ended, AtMostOnce, "%s ran %d times", s.ID, ran)
	}
	if s.Once && (s.Status == 503 || s.Status == 429) && ran > 0 {
		c.add(s.Ended, TrueNotRun, "%s was said not to have run by %s, and ran", s.ID, s.Daemon)
	}
	cut := s.Status == 0 && !s.Excused && !c.Harmed(s.Daemon, s.Begun, s.Ended)
	if cut && !s.DaemonStops.IsZero() && s.Ended.After(s.DaemonStops) && ran > 0 {
		c.add(s.Ended, StopCutsNo, "%s at %s, %v after the request to stop: %s", s.ID, s.Daemon, s.Ended.Sub(s.DaemonStops), s.Error)
	}
}

// leaves checks the runs at servers that had reported to leave. A run is excused
// where its daemon, or the way to the server, was harmed since the report, or the
// store was in the time that the news had.
func (c *checker) leaves() {
	for _, l := range c.Leaves {
		for _, r := range c.Runs {
			if r.Server != l.Server || r.At.Sub(l.At) <= c.bounds.Leave {
				continue
			}
			s := c.sends[r.ID]
			if s == nil || c.Harmed(s.Daemon, l.At, r.At) || c.Harmed(l.Server, l.At, r.At) || c.Harmed(theStore, l.At, l.At.Add(c.bounds.Leave)) {
				continue
			}
			c.add(r.At, LeavingIdle, "%s ran at %s %v after it reported to leave, sent by %s", r.ID, l.Server, r.At.Sub(l.At), s.Daemon)
		}
	}
}

// seenInOrder returns what was seen of the versions, by time.
func (c *checker) seenInOrder() []VersionSeen {
	seen := slices.Clone(c.Versions)
	slices.SortStableFunc(seen, func(a, b VersionSeen) int { return a.At.Compare(b.At) })
	return seen
}

// run names an incarnation.
func (v *VersionSeen) run() string { return fmt.Sprintf("%s/%d", v.Daemon, v.Incarnation) }

func (c *checker) versions() {
	last := map[string]uint64{}
	for _, v := range c.seenInOrder() {
		if v.Version < last[v.run()] {
			c.add(v.At, NeverBack, "%s went from version %d to %d", v.run(), last[v.run()], v.Version)
		}
		last[v.run()] = max(last[v.run()], v.Version)
	}
}

// inForce checks that each daemon had each version in time. It counts what was
// seen of daemons that were up, unharmed and with an unharmed store for the whole
// bound before.
func (c *checker) inForce() {
	first := map[string]time.Time{}
	late := map[string]bool{}
	for _, v := range c.seenInOrder() {
		if first[v.run()].IsZero() {
			first[v.run()] = v.At
		}
		from := v.At.Add(-c.bounds.Config)
		if first[v.run()].After(from) || c.Harmed(v.Daemon, from, v.At) || c.Harmed(theStore, from, v.At) {
			continue
		}
		for _, configured := range c.Configured {
			what := fmt.Sprintf("%s had no version %d", v.run(), configured.Version)
			if configured.At.Before(from) && v.Version < configured.Version && !late[what] {
				late[what] = true
				c.add(v.At, InForce, "%s %v after it was accepted, but %d", what, v.At.Sub(configured.At), v.Version)
			}
		}
	}
}

// budget counts the runs beyond the first of each request in every window.
func (c *checker) budget() {
	first := map[string]bool{}
	var extra []time.Time
	runs := slices.Clone(c.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.ID, b.ID)) })
	for _, r := range runs {
		if first[r.ID] {
			extra = append(extra, r.At)
		}
		first[r.ID] = true
	}
	for i, from := range extra {
		in := 0
		for _, at := range extra[i:] {
			if at.Sub(from) <= c.bounds.Window {
				in++
			}
		}
		asked := 0
		for _, s := range c.Sends {
			if d := s.Begun.Sub(from); d >= -c.bounds.Window && d <= c.bounds.Window {
				asked++
			}
		}
		if float64(in) > c.bounds.Ratio*float64(asked)+c.bounds.Reserve {
			c.add(from, Budget, "%d further arrivals for %d requests", in, asked)
			return
		}
	}
}

func (c *checker) recovery() {
	asked, served := 0, 0
	for _, s := range c.Sends {
		if !c.Healed.IsZero() && s.Begun.Sub(c.Healed) > c.bounds.Recovery {
			asked++
			if s.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < recoveredShare*float64(asked) {
		c.add(c.Healed.Add(c.bounds.Recovery), Recovers, "%d of %d requests served after recovery", served, asked)
	}
}
