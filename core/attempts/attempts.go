// Package attempts decides for one request whether it may be sent to a further server, and whether a refusal may
// state that it did not run. It decides by the outcomes of the attempts so far, starts nothing and reads no clock.
package attempts

import (
	"bilberrymux/core/belief"
	"bilberrymux/core/refusal"
)

// maxDialFailures is the maximum number of servers to which one request may fail to connect.
const maxDialFailures = 4

// Options describe a request.
type Options struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// MaxRuns is the maximum number of servers that may run the request.
	MaxRuns int
}

// MaxAttempts returns the maximum number of attempts of a request.
func (o Options) MaxAttempts() int {
	return maxDialFailures + o.MaxRuns + 1
}

// Log holds the attempts of one request. It is not safe for concurrent use.
type Log struct {
	options Options
	// pending is the number of attempts in flight.
	pending int
	// reached counts the attempts that reached a server, and mayHaveRun those of them that the server may have
	// run. dialFailures counts those that failed to connect.
	reached, mayHaveRun, dialFailures int
	// hedged reports whether an attempt was started beside another one.
	hedged      bool
	refusalKind refusal.Kind
	outcomes    []belief.Outcome
}

// New returns the log of a request of which no attempt has started.
func New(o Options) *Log {
	return &Log{options: o, refusalKind: refusal.NoServer}
}

// ForbidRepeats withdraws the permission to run the request more than once. Attempts in flight are not affected.
func (l *Log) ForbidRepeats() {
	l.options.Idempotent = false
}

// MayHaveRun reports whether any attempt may have run or is in flight.
func (l *Log) MayHaveRun() bool {
	return l.mayHaveRun > 0 || l.pending > 0
}

// MayStart reports whether an attempt may start: not if a request that must not run more than once may have run.
func (l *Log) MayStart() bool {
	return l.options.Idempotent || !l.MayHaveRun()
}

// Start records the start of an attempt.
func (l *Log) Start() {
	l.hedged = l.hedged || l.pending > 0
	l.pending++
}

// End records the outcome of an attempt in flight. Only outcomes that prove that the server did not run the
// request are counted as such.
func (l *Log) End(o belief.Outcome) {
	l.pending--
	l.outcomes = append(l.outcomes, o)
	switch o {
	case belief.Unreachable:
		l.dialFailures++
		l.refusalKind = refusal.ServersUnreachable
	case belief.Shed, belief.Misdirected:
		l.reached++
		l.refusalKind = refusal.ServersShed
	case belief.Silent:
		// The timeout of the attempt and the deadline of the request expire at the same time,
		// and either may be seen first. The refusal is the same in both cases.
		l.reached++
		l.mayHaveRun++
		l.refusalKind = refusal.DeadlineRunning
	default:
		l.reached++
		l.mayHaveRun++
		l.refusalKind = refusal.ServerFailed
	}
}

// Permission says whether a further attempt may start.
type Permission string

// Permissions for a further attempt.
const (
	Denied Permission = "denied"
	// Allowed needs no token of the budget for further attempts, AllowedByBudget does.
	Allowed         Permission = "allowed"
	AllowedByBudget Permission = "allowedByBudget"
)

// Retry returns whether a further attempt may start after the last one in flight has ended with an outcome.
func (l *Log) Retry(last belief.Outcome) Permission {
	switch {
	case l.pending > 0 || !l.MayStart():
		return Denied
	case last == belief.Unreachable && l.dialFailures < maxDialFailures:
		return Allowed
	case last == belief.Unreachable, l.reached > l.options.MaxRuns, l.mayHaveRun >= l.options.MaxRuns:
		return Denied
	}
	return AllowedByBudget
}

// MayHedge reports whether a hedged attempt, the first one of the request, may start beside the one in flight.
func (l *Log) MayHedge() bool {
	return l.options.Idempotent && l.pending == 1 && !l.hedged && !l.Last()
}

// Last reports whether no attempt may follow the next one that reaches a server.
func (l *Log) Last() bool {
	return l.reached+1 >= l.options.MaxRuns
}

// Refusal returns the refusal of a request of which no attempt brought a response, with a detail.
func (l *Log) Refusal(kind refusal.Kind, detail string) *refusal.Error {
	e := refusal.New(kind, "%s", detail)
	e.MayHaveRun = l.MayHaveRun()
	return e
}

// RefusalKind returns the kind of the refusal by the attempt that ended last.
func (l *Log) RefusalKind() refusal.Kind { return l.refusalKind }

// TimeoutKind returns the kind of the refusal at the deadline.
func (l *Log) TimeoutKind() refusal.Kind {
	if l.MayHaveRun() {
		return refusal.DeadlineRunning
	}
	return refusal.DeadlineInQueue
}

// Pending returns the number of attempts in flight.
func (l *Log) Pending() int { return l.pending }

// Reached returns the number of attempts that reached a server.
func (l *Log) Reached() int { return l.reached }

// Outcomes returns the outcomes of the attempts that have ended, in their order. The caller must not modify the
// slice.
func (l *Log) Outcomes() []belief.Outcome { return l.outcomes }
