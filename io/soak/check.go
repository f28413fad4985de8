// Package soak runs daemons as separate processes, injects faults into them, the backend servers,
// the store and the network, and checks the system's promises from outside, against what callers and
// backend servers observed.
package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Request is a request of a caller and its outcome. Status is 0 if there was no complete response.
type Request struct {
	ID      string
	Daemon  string
	Service string
	// NonIdempotent says that the request must not be executed more than once.
	NonIdempotent bool
	Begun         time.Time
	Ended         time.Time
	Status        int
	// Complete says that the response has the whole body for this request, IDMatches that it has
	// this request's ID, and Signed that it has the signature for this request.
	Complete  bool
	IDMatches bool
	Signed    bool
	Error     string
	// Resends holds the times at which the request was sent again under its ID, after a refusal as not run.
	Resends []time.Time
	// NoResponseExpected says that a missing response is not the daemon's fault: the caller
	// could not connect, or its deadline passed.
	NoResponseExpected bool
	// StopRequestedAt is the time of the last stop request to the daemon that may affect this request,
	// or the zero time if there was none.
	StopRequestedAt time.Time
}

// Execution is one execution of a request at a backend server.
type Execution struct {
	ID     string
	Server string
	At     time.Time
}

// Arrival is a request's arrival at a backend server of a service, whether or not it was executed.
type Arrival struct {
	ID      string
	Service string
	Server  string
	At      time.Time
}

// Statement is what a backend server said in its response to a request: that it leaves, or for how long it
// wants no requests from the daemon that sent it.
type Statement struct {
	ID      string
	Server  string
	At      time.Time
	Leaving bool
	Pause   time.Duration
}

// Drain is a backend server's report that it is draining.
type Drain struct {
	Server string
	At     time.Time
}

// AcceptedVersion is a configuration version and the time when the store accepted it.
type AcceptedVersion struct {
	Version uint64
	At      time.Time
}

// ObservedVersion is the configuration version that one incarnation of a daemon used at a time.
type ObservedVersion struct {
	Daemon      string
	Incarnation int
	Version     uint64
	At          time.Time
}

// History is everything that was recorded in a run.
type History struct {
	Requests   []Request
	Executions []Execution
	Arrivals   []Arrival
	Statements []Statement
	// Starts holds the times at which each daemon's process was started.
	Starts           map[string][]time.Time
	Drains           []Drain
	AcceptedVersions []AcceptedVersion
	ObservedVersions []ObservedVersion
	// Impairments holds the times during which daemons, servers and the store were impaired,
	// keyed by their names.
	Impairments map[string][]Span
	// FaultsEnded is when the last fault ended.
	FaultsEnded time.Time
}

// Promise is the name of a guarantee that the system gives.
type Promise string

// The promises that Check checks.
const (
	OwnCompleteResponse  Promise = "own whole answer"
	AtMostOnce           Promise = "at most once"
	NotExecutedIsTrue    Promise = "true not run"
	NoWorkAfterDrain     Promise = "no work at a leaving server"
	GracefulStop         Promise = "a planned stop cuts nothing"
	VersionMonotonic     Promise = "a version never goes back"
	VersionAppliedInTime Promise = "a version is in force in time"
	ExtraAttemptBudget   Promise = "budget of further arrivals"
	ServiceRecovers      Promise = "service recovers"
	NothingAfterLeaving  Promise = "nothing at a server that says it leaves"
	NothingInPause       Promise = "nothing at a server that asks for a pause"
)

// Violation is an observation that contradicts a promise.
type Violation struct {
	Promise     Promise   `json:"promise"`
	Description string    `json:"what"`
	At          time.Time `json:"at"`
}

// Bounds holds the limits that the promises state.
type Bounds struct {
	// DrainDelay is the time after which a draining server gets no more requests, and ConfigDelay
	// that after which a configuration version is in use.
	DrainDelay, ConfigDelay time.Duration
	// ExtraAttemptWindow, ExtraAttemptRatio and ExtraAttemptReserve limit the repeated executions of
	// requests: in each window at most the ratio times the number of requests, plus the reserve.
	ExtraAttemptWindow  time.Duration
	ExtraAttemptRatio   float64
	ExtraAttemptReserve float64
	// Recovery is the time after the last fault by which service must have recovered.
	Recovery time.Duration
}

// DocumentedBounds are the limits in the platform's documentation.
var DocumentedBounds = Bounds{
	DrainDelay: 2 * time.Second, ConfigDelay: 2 * time.Second,
	ExtraAttemptWindow: 10 * time.Second, ExtraAttemptRatio: 0.2, ExtraAttemptReserve: 56, Recovery: 15 * time.Second,
}

// recoveredShare is the minimum share of requests that must be served after the recovery time.
const recoveredShare = 0.95

// checker collects the violations in one history. executions counts the executions of each request,
// and requests holds the requests, both by request ID.
type checker struct {
	*History
	bounds     Bounds
	executions map[string]int
	requests   map[string]*Request
	violations []Violation
}

// Check returns the violations in a history, or nil if no promise was broken.
func Check(h *History, b Bounds) []Violation {
	c := &checker{History: h, bounds: b, executions: map[string]int{}, requests: map[string]*Request{}}
	for _, e := range h.Executions {
		c.executions[e.ID]++
	}
	for i := range h.Requests {
		c.requests[h.Requests[i].ID] = &h.Requests[i]
		c.checkRequest(&h.Requests[i])
	}
	c.checkDrains()
	c.checkVersionOrder()
	c.checkVersionDelay()
	c.checkExtraAttempts()
	c.checkRecovery()
	c.checkStatements()
	return c.violations
}

func (c *checker) add(at time.Time, p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, fmt.Sprintf(format, args...), at})
}

// checkRequest checks the promises about one request: its response, its number of executions, and
// that a graceful stop of the daemon doesn't abort it. A missing response breaks no promise if the
// daemon was impaired meanwhile.
func (c *checker) checkRequest(r *Request) {
	executions := c.executions[r.ID]
	if r.Status >= 200 && r.Status < 300 && !(r.IDMatches && r.Complete && r.Signed) {
		c.add(r.Ended, OwnCompleteResponse, "%s from %s: success with own %v, whole %v, signed %v", r.ID, r.Daemon, r.IDMatches, r.Complete, r.Signed)
	}
	if r.NonIdempotent && executions > 1 {
		c.add(r.Ended, AtMostOnce, "%s ran %d times", r.ID, executions)
	}
	if r.refusedAsNotRun() && executions > 0 {
		c.add(r.Ended, NotExecutedIsTrue, "%s was said not to have run by %s, and ran", r.ID, r.Daemon)
	}
	responseLost := r.Status == 0 && !r.NoResponseExpected && !c.Impaired(r.Daemon, r.Begun, r.Ended)
	if responseLost && !r.StopRequestedAt.IsZero() && r.Ended.After(r.StopRequestedAt) && executions > 0 {
		c.add(r.Ended, GracefulStop, "%s at %s, %v after the request to stop: %s", r.ID, r.Daemon, r.Ended.Sub(r.StopRequestedAt), r.Error)
	}
}

// checkDrains checks that draining servers execute no requests once the drain delay has passed. It
// ignores an execution if its daemon, the server or the path to the server was impaired between the
// report and the execution, or if the store was impaired within the drain delay, when daemons learn
// of the report.
func (c *checker) checkDrains() {
	for _, d := range c.Drains {
		for _, e := range c.Executions {
			if e.Server != d.Server || e.At.Sub(d.At) <= c.bounds.DrainDelay {
				continue
			}
			r := c.requests[e.ID]
			if r == nil || c.Impaired(r.Daemon, d.At, e.At) || c.Impaired(d.Server, d.At, e.At) || c.Impaired(storeName, d.At, d.At.Add(c.bounds.DrainDelay)) {
				continue
			}
			c.add(e.At, NoWorkAfterDrain, "%s ran at %s %v after it reported to leave, sent by %s", e.ID, d.Server, e.At.Sub(d.At), r.Daemon)
		}
	}
}

// versionsByTime returns the observed versions in order of time.
func (c *checker) versionsByTime() []ObservedVersion {
	versions := slices.Clone(c.ObservedVersions)
	slices.SortStableFunc(versions, func(a, b ObservedVersion) int { return a.At.Compare(b.At) })
	return versions
}

// incarnationID identifies an incarnation of a daemon.
func (v *ObservedVersion) incarnationID() string {
	return fmt.Sprintf("%s/%d", v.Daemon, v.Incarnation)
}

// checkVersionOrder checks that no incarnation of a daemon goes back to an older version.
func (c *checker) checkVersionOrder() {
	last := map[string]uint64{}
	for _, v := range c.versionsByTime() {
		if v.Version < last[v.incarnationID()] {
			c.add(v.At, VersionMonotonic, "%s went from version %d to %d", v.incarnationID(), last[v.incarnationID()], v.Version)
		}
		last[v.incarnationID()] = max(last[v.incarnationID()], v.Version)
	}
}

// checkVersionDelay checks that each daemon uses each accepted version within the configuration
// delay. It considers an observation only if the daemon had been observed for at least that delay,
// and neither it nor the store was impaired during it.
func (c *checker) checkVersionDelay() {
	first := map[string]time.Time{}
	reported := map[string]bool{}
	for _, v := range c.versionsByTime() {
		if first[v.incarnationID()].IsZero() {
			first[v.incarnationID()] = v.At
		}
		from := v.At.Add(-c.bounds.ConfigDelay)
		if first[v.incarnationID()].After(from) || c.Impaired(v.Daemon, from, v.At) || c.Impaired(storeName, from, v.At) {
			continue
		}
		for _, accepted := range c.AcceptedVersions {
			missing := fmt.Sprintf("%s had no version %d", v.incarnationID(), accepted.Version)
			if accepted.At.Before(from) && v.Version < accepted.Version && !reported[missing] {
				reported[missing] = true
				c.add(v.At, VersionAppliedInTime, "%s %v after it was accepted, but %d", missing, v.At.Sub(accepted.At), v.Version)
			}
		}
	}
}

// checkExtraAttempts checks, for each service, the number of repeated arrivals, that is all but the
// first of each request, in the window after each of them. The requests that it compares them with are
// those begun in that window, in the one before, or in the one half a window before, whichever are
// most. It reports only the first violation of a service.
func (c *checker) checkExtraAttempts() {
	byService := map[string][]Arrival{}
	for _, a := range c.Arrivals {
		byService[a.Service] = append(byService[a.Service], a)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		c.checkExtraAttemptsOf(service, byService[service])
	}
}

func (c *checker) checkExtraAttemptsOf(service string, arrivals []Arrival) {
	slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.ID, b.ID)) })
	seen := map[string]int{}
	var begun, repeats []time.Time
	for _, a := range arrivals {
		sent := 1
		if r := c.requests[a.ID]; r != nil {
			sent += len(r.Resends)
		}
		if seen[a.ID]++; seen[a.ID] > sent {
			repeats = append(repeats, a.At)
		}
	}
	for i := range c.Requests {
		if c.Requests[i].Service == service {
			begun = append(begun, c.Requests[i].Begun)
			begun = append(begun, c.Requests[i].Resends...)
		}
	}
	slices.SortFunc(begun, time.Time.Compare)
	window := c.bounds.ExtraAttemptWindow
	for _, from := range repeats {
		requests := max(countIn(begun, from, window), countIn(begun, from.Add(-window/2), window), countIn(begun, from.Add(-window), window))
		allowed := c.bounds.ExtraAttemptRatio*float64(requests) + c.bounds.ExtraAttemptReserve
		if n := countIn(repeats, from, window); float64(n) > allowed {
			c.add(from, ExtraAttemptBudget, "%d further arrivals of %d requests at %s, allowed %.0f", n, requests, service, allowed)
			return
		}
	}
}

// countIn returns the number of the times, which are in order, in the window that begins at from.
func countIn(times []time.Time, from time.Time, window time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - begin
}

// checkRecovery checks that enough requests are served once the recovery time after the last fault
// has passed.
func (c *checker) checkRecovery() {
	total, served := 0, 0
	for _, r := range c.Requests {
		if !c.FaultsEnded.IsZero() && r.Begun.Sub(c.FaultsEnded) > c.bounds.Recovery {
			total++
			if r.Status == 200 {
				served++
			}
		}
	}
	if total > 0 && float64(served) < recoveredShare*float64(total) {
		c.add(c.FaultsEnded.Add(c.bounds.Recovery), ServiceRecovers, "%d of %d requests served after recovery", served, total)
	}
}

// Limits of the requests to a server that asked for a pause.
const (
	// pauseDelay is the time from the server's response until its pause is in force.
	pauseDelay = 500 * time.Millisecond
	// maxInPause is the number of requests that may reach the server from one daemon in its pause.
	maxInPause = 2
)

// checkStatements checks that each daemon keeps to what servers told it: that they leave, and for how long
// they want no requests. It ignores arrivals if the daemon was restarted or impaired since, or the path to the
// server was, on which the response may have been lost.
func (c *checker) checkStatements() {
	arrivals := map[[2]string][]Arrival{}
	for _, a := range c.Arrivals {
		if r := c.requests[a.ID]; r != nil {
			arrivals[[2]string{a.Server, r.Daemon}] = append(arrivals[[2]string{a.Server, r.Daemon}], a)
		}
	}
	for i := range c.Statements {
		s := &c.Statements[i]
		told := c.requests[s.ID]
		if told == nil {
			continue
		}
		later := arrivals[[2]string{s.Server, told.Daemon}]
		if s.Leaving {
			c.checkLeaving(s, told, later)
		} else {
			c.checkPause(s, told, later)
		}
	}
}

// excused reports whether a daemon was restarted or impaired, or the path to a server was, between two times.
func (c *checker) excused(daemon, server string, from, to time.Time) bool {
	restarted := slices.ContainsFunc(c.Starts[daemon], func(at time.Time) bool { return at.After(from) && at.Before(to) })
	return restarted || c.Impaired(daemon, from, to) || c.Impaired(server, from, to)
}

// checkLeaving checks the arrivals at a server from a daemon that has passed on its word that it leaves.
func (c *checker) checkLeaving(s *Statement, told *Request, arrivals []Arrival) {
	if told.Status != http.StatusOK {
		return
	}
	for _, a := range arrivals {
		begun := c.requests[a.ID].Begun
		if begun.Sub(told.Ended) > c.bounds.DrainDelay && !c.excused(told.Daemon, s.Server, s.At, a.At) {
			c.add(a.At, NothingAfterLeaving, "%s reached %s from %s, begun %v after it had passed on that the server leaves", a.ID, s.Server, told.Daemon, begun.Sub(told.Ended))
			return
		}
	}
}

// checkPause checks the arrivals at a server from a daemon in the pause that the server asked for.
func (c *checker) checkPause(s *Statement, told *Request, arrivals []Arrival) {
	n, end := 0, s.At.Add(s.Pause)
	for _, a := range arrivals {
		if a.At.Sub(s.At) > pauseDelay && a.At.Before(end) {
			n++
		}
	}
	if n > maxInPause && !c.excused(told.Daemon, s.Server, s.At, end) {
		c.add(s.At, NothingInPause, "%d requests reached %s from %s in its pause of %v", n, s.Server, told.Daemon, s.Pause)
	}
}
