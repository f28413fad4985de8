// Package shutdown decides which requests a daemon still accepts during a planned stop, so that none
// of them is in flight when the process ends. It does no I/O and starts no goroutines.
package shutdown

import (
	"sync/atomic"
	"time"
)

const (
	// acceptShare is the share of the time until the end during which requests are accepted that are
	// expected to end in time, although their deadlines are later. Callers cache locate answers for
	// some time and still come.
	acceptShare = 0.5
	// usualFactor is how many times the usual latency must be left for such a request.
	usualFactor = 4
	// replyTime is the time that is left at the end for the responses to requests whose deadlines have
	// passed.
	replyTime = 100 * time.Millisecond
)

// Plan is the timetable of one planned stop. It is immutable.
type Plan struct {
	// AcceptUntil is the time until which requests are accepted that may outlast the end.
	AcceptUntil time.Time
	// End is the time at which all requests must have ended.
	End time.Time
}

// NewPlan returns the plan of a stop that begins now and must be complete at end.
func NewPlan(now, end time.Time) *Plan {
	accepting := time.Duration(acceptShare * float64(end.Sub(now)))
	return &Plan{AcceptUntil: now.Add(accepting), End: end}
}

// Accepts reports whether a request that arrives now is accepted. usual is the usual latency of such
// requests, or 0 if it is unknown.
func (p *Plan) Accepts(now, deadline time.Time, usual time.Duration) bool {
	if !deadline.After(p.End.Add(-replyTime)) {
		return true
	}
	return now.Before(p.AcceptUntil) && now.Add(usualFactor*usual).Before(p.End)
}

// Gate accepts all requests until a planned stop begins, and then those that its plan accepts. The zero
// value is open. Gate is safe for concurrent use.
type Gate struct {
	plan atomic.Pointer[Plan]
}

// Begin sets the plan of the stop.
func (g *Gate) Begin(p *Plan) { g.plan.Store(p) }

// Stopping reports whether a stop has begun.
func (g *Gate) Stopping() bool { return g.plan.Load() != nil }

// Accepts reports whether a request that arrives now is accepted; see Plan.Accepts.
func (g *Gate) Accepts(now, deadline time.Time, usual time.Duration) bool {
	p := g.plan.Load()
	return p == nil || p.Accepts(now, deadline, usual)
}
