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

// Request is one request of a caller and its end.
type Request struct {
	ID     string
	Daemon string
	// NonIdempotent says that the request may run once only.
	NonIdempotent bool
	Begun         time.Time
	Ended         time.Time
	Status        int
	Complete      bool
	IDMatches     bool
	Signed        bool
	Error         string
	// NoResponseExpected says that the daemon owes no answer: the caller reached none, or
	// gave up.
	NoResponseExpected bool
	// StopRequestedAt is when the daemon was asked to stop, zero if it was not.
	StopRequestedAt time.Time
}

// Execution is one run of a request at a server.
type Execution struct {
	ID     string
	Server string
	At     time.Time
}

// Drain is a server's report that it leaves.
type Drain struct {
	Server string
	At     time.Time
}

// AcceptedVersion is a version of the configuration that the store accepted.
type AcceptedVersion struct {
	Version uint64
	At      time.Time
}

// ObservedVersion is the version that one incarnation of a daemon had in force.
type ObservedVersion struct {
	Daemon      string
	Incarnation int
	Version     uint64
	At          time.Time
}

// History is what callers and servers saw.
type History struct {
	Requests         []Request
	Executions       []Execution
	Drains           []Drain
	AcceptedVersions []AcceptedVersion
	ObservedVersions []ObservedVersion
	// Impairments are the times during which daemons, servers and the store were harmed,
	// by name.
	Impairments map[string][]Span
	// FaultsEnded is when the last fault ended.
	FaultsEnded time.Time
}

// Promise names what a violation breaks.
type Promise string

// The promises.
const (
	OwnCompleteResponse  Promise = "own whole answer"
	AtMostOnce           Promise = "at most once"
	NotExecutedIsTrue    Promise = "true not run"
	NoWorkAfterDrain     Promise = "no work at a leaving server"
	GracefulStop         Promise = "a planned stop cuts nothing"
	VersionMonotonic     Promise = "a version never goes back"
	VersionAppliedInTime Promise = "a version is in force in time"
	RetryBudget          Promise = "budget of further arrivals"
	ServiceRecovers      Promise = "service recovers"
)

// Violation is one broken promise.
type Violation struct {
	Promise     Promise   `json:"promise"`
	Description string    `json:"what"`
	At          time.Time `json:"at"`
}

// Bounds are the figures of the promises.
type Bounds struct {
	// DrainDelay is the time in which a leaving server gets no more work, and ConfigDelay
	// that in which a version comes into force.
	DrainDelay, ConfigDelay time.Duration
	// RetryWindow, Ratio and Reserve bound further arrivals.
	RetryWindow  time.Duration
	RetryRatio   float64
	RetryReserve float64
	// Recovery is when service must be back after the last fault.
	Recovery time.Duration
}

// DocumentedBounds are those of the platform's pages.
var DocumentedBounds = Bounds{
	DrainDelay: 2 * time.Second, ConfigDelay: 2 * time.Second,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryReserve: 56, Recovery: 15 * time.Second,
}

// recoveredShare is the part of the requests that must be served after recovery.
const recoveredShare = 0.95

// checker looks for broken promises in one history.
type checker struct {
	*History
	bounds Bounds
	runs   map[string]int
	sends  map[string]*Request
	found  []Violation
}

// Check returns every broken promise of a history.
func Check(h *History, b Bounds) []Violation {
	c := &checker{History: h, bounds: b, runs: map[string]int{}, sends: map[string]*Request{}}
	for _, r := range h.Executions {
		c.runs[r.ID]++
	}
	for i := range h.Requests {
		c.sends[h.Requests[i].ID] = &h.Requests[i]
		c.send(&h.Requests[i])
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

func (c *checker) send(s *Request) {
	ran := c.runs[s.ID]
	if s.Status >= 200 && s.Status < 300 && !(s.IDMatches && s.Complete && s.Signed) {
		c.add(s.Ended, OwnCompleteResponse, "%s from %s: success with own %v, whole %v, signed %v", s.ID, s.Daemon, s.IDMatches, s.Complete, s.Signed)
	}
	if s.NonIdempotent && ran > 1 {
		c.add(s.Ended, AtMostOnce, "%s ran %d times", s.ID, ran)
	}
	if s.NonIdempotent && (s.Status == 503 || s.Status == 429) && ran > 0 {
		c.add(s.Ended, NotExecutedIsTrue, "%s was said not to have run by %s, and ran", s.ID, s.Daemon)
	}
	cut := s.Status == 0 && !s.NoResponseExpected && !c.Impaired(s.Daemon, s.Begun, s.Ended)
	if cut && !s.StopRequestedAt.IsZero() && s.Ended.After(s.StopRequestedAt) && ran > 0 {
		c.add(s.Ended, GracefulStop, "%s at %s, %v after the request to stop: %s", s.ID, s.Daemon, s.Ended.Sub(s.StopRequestedAt), s.Error)
	}
}

// leaves checks the runs at servers that had reported to leave. A run is excused
// where its daemon, or the way to the server, was harmed since the report, or the
// store was in the time that the news had.
func (c *checker) leaves() {
	for _, l := range c.Drains {
		for _, r := range c.Executions {
			if r.Server != l.Server || r.At.Sub(l.At) <= c.bounds.DrainDelay {
				continue
			}
			s := c.sends[r.ID]
			if s == nil || c.Impaired(s.Daemon, l.At, r.At) || c.Impaired(l.Server, l.At, r.At) || c.Impaired(theStore, l.At, l.At.Add(c.bounds.DrainDelay)) {
				continue
			}
			c.add(r.At, NoWorkAfterDrain, "%s ran at %s %v after it reported to leave, sent by %s", r.ID, l.Server, r.At.Sub(l.At), s.Daemon)
		}
	}
}

// seenInOrder returns what was seen of the versions, by time.
func (c *checker) seenInOrder() []ObservedVersion {
	seen := slices.Clone(c.ObservedVersions)
	slices.SortStableFunc(seen, func(a, b ObservedVersion) int { return a.At.Compare(b.At) })
	return seen
}

// run names an incarnation.
func (v *ObservedVersion) run() string { return fmt.Sprintf("%s/%d", v.Daemon, v.Incarnation) }

func (c *checker) versions() {
	last := map[string]uint64{}
	for _, v := range c.seenInOrder() {
		if v.Version < last[v.run()] {
			c.add(v.At, VersionMonotonic, "%s went from version %d to %d", v.run(), last[v.run()], v.Version)
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
		from := v.At.Add(-c.bounds.ConfigDelay)
		if first[v.run()].After(from) || c.Impaired(v.Daemon, from, v.At) || c.Impaired(theStore, from, v.At) {
			continue
		}
		for _, configured := range c.AcceptedVersions {
			what := fmt.Sprintf("%s had no version %d", v.run(), configured.Version)
			if configured.At.Before(from) && v.Version < configured.Version && !late[what] {
				late[what] = true
				c.add(v.At, VersionAppliedInTime, "%s %v after it was accepted, but %d", what, v.At.Sub(configured.At), v.Version)
			}
		}
	}
}

// budget counts the runs beyond the first of each request in every window.
func (c *checker) budget() {
	first := map[string]bool{}
	var extra []time.Time
	runs := slices.Clone(c.Executions)
	slices.SortFunc(runs, func(a, b Execution) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.ID, b.ID)) })
	for _, r := range runs {
		if first[r.ID] {
			extra = append(extra, r.At)
		}
		first[r.ID] = true
	}
	for i, from := range extra {
		in := 0
		for _, at := range extra[i:] {
			if at.Sub(from) <= c.bounds.RetryWindow {
				in++
			}
		}
		asked := 0
		for _, s := range c.Requests {
			if d := s.Begun.Sub(from); d >= -c.bounds.RetryWindow && d <= c.bounds.RetryWindow {
				asked++
			}
		}
		if float64(in) > c.bounds.RetryRatio*float64(asked)+c.bounds.RetryReserve {
			c.add(from, RetryBudget, "%d further arrivals for %d requests", in, asked)
			return
		}
	}
}

func (c *checker) recovery() {
	asked, served := 0, 0
	for _, s := range c.Requests {
		if !c.FaultsEnded.IsZero() && s.Begun.Sub(c.FaultsEnded) > c.bounds.Recovery {
			asked++
			if s.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < recoveredShare*float64(asked) {
		c.add(c.FaultsEnded.Add(c.bounds.Recovery), ServiceRecovers, "%d of %d requests served after recovery", served, asked)
	}
}
