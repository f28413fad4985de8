package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/attempts"
	"bilberrymux/core/belief"
	"bilberrymux/core/event"
)

// hedgeRetryDelay is the time after which a hedged attempt is tried again if the budget was
// exhausted.
const hedgeRetryDelay = 50 * time.Millisecond

// allowRetry reports whether the request is sent to one more server after an attempt ended without a response.
// Each call that returns true records a further attempt. It also takes a token from the budget,
// unless the attempt failed to connect.
func (r *forwardState) allowRetry(result attemptResult) bool {
	r.checkRoute()
	switch r.log.Retry(result.outcome) {
	case attempts.Allowed:
		r.recordFurtherAttempt(string(result.outcome))
		return true
	case attempts.AllowedByBudget:
		return r.hasTimeForAttempt() && r.takeBudget(string(result.outcome))
	default:
		return false
	}
}

// checkRoute forbids repeats if the request is no longer idempotent by the configuration in force, which may be
// newer than that by which the request was accepted.
func (r *forwardState) checkRoute() {
	if cat := r.edge.watcher.Catalog(); cat.Version != r.call.version {
		if route := matchRoute(cat, &r.call.request.Header); route == nil || !route.Idempotent {
			r.log.ForbidRepeats()
		}
	}
}

// minAttemptShare is the share of the usual response time of a route that must be left until the
// deadline for a further attempt. An attempt with less time would fail, use up the budget, and
// look like a fault of its server.
const minAttemptShare = 0.5

// hasTimeForAttempt reports whether enough time is left for a further attempt.
func (r *forwardState) hasTimeForAttempt() bool {
	usual := r.edge.tracker.UsualLatency(r.call.route.Name, r.call.route.TargetLatency)
	return time.Until(r.call.deadline) >= time.Duration(minAttemptShare*float64(usual))
}

// takeBudget takes one token from the budget of the service and records a further attempt with
// the given reason. It returns false if the budget is exhausted.
func (r *forwardState) takeBudget(reason string) bool {
	if r.edge.budget.TryWithdraw(time.Now(), r.call.service) {
		r.recordFurtherAttempt(reason)
		return true
	}
	if r.withoutBudget {
		return false
	}
	r.withoutBudget = true
	r.edge.count("noBudget")
	r.edge.log.WithFields(logrus.Fields{
		"request": r.call.id, "service": r.call.service, "reason": reason, "left": r.edge.budget.Balance(time.Now(), r.call.service),
	}).Warn(event.NoBudget)
	return false
}

// recordFurtherAttempt counts and logs why the request is sent to one more server.
func (r *forwardState) recordFurtherAttempt(reason string) {
	r.edge.countBy("further", "reason", reason)
	r.edge.log.WithFields(logrus.Fields{
		"request": r.call.id, "service": r.call.service, "reason": reason, "tried": len(r.tried),
		"idempotent": r.call.route.Idempotent, "version": r.call.version, "versionInForce": r.edge.Version(),
	}).Info(event.FurtherAttempt)
}

// hedgeDelay returns the delay after which a hedged attempt may be started beside the first one.
// If the route is not idempotent, it is the timeout of the route, so that no hedged attempt starts
// before the deadline.
func (r *forwardState) hedgeDelay(first *belief.Attempt) time.Duration {
	if !r.call.route.Idempotent {
		return r.call.route.Timeout
	}
	return r.edge.tracker.HedgeDelay(first)
}

// hedgeDecision says whether a hedged attempt is started.
type hedgeDecision string

const (
	hedgeAllowed       hedgeDecision = "allowed"
	hedgeWithoutBudget hedgeDecision = "withoutBudget"
	hedgeDenied        hedgeDecision = "denied"
)

// allowHedge decides whether a hedged attempt is started beside the single attempt in flight. It
// takes a token from the budget if so.
func (r *forwardState) allowHedge() hedgeDecision {
	r.checkRoute()
	if !r.log.MayHedge() || !r.hasTimeForAttempt() {
		return hedgeDenied
	}
	if !r.takeBudget("late") {
		return hedgeWithoutBudget
	}
	return hedgeAllowed
}
