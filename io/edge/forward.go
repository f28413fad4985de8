package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/belief"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/roster"
	"bilberrymux/io/backend"
)

// reply is a server's answer for the caller.
type reply struct {
	response *fasthttp.Response
	server   ident.ServerID
	// sends counts the attempts that reached a server.
	sends int
	// risk and evidenceAge are what was believed about the server when it was
	// picked.
	risk        float64
	evidenceAge time.Duration
}

// maxUnreached bounds the servers that are dialled in vain for one request.
const maxUnreached = 4

// leastHedge is the least time after which a second attempt is started beside a
// late one.
const leastHedge = 100 * time.Millisecond

// run is the state of one request on its way.
type run struct {
	edge *Edge
	call *call
	// tried lists the servers that were picked.
	tried []roster.Key
	// sends counts attempts that reached a server, ran those that may have run.
	sends, ran int
	unreached  int
	// failure is a server's error answer, which is handed on for want of better.
	failure *reply
	last    refusal.Kind
	results chan ended
	waiting int
	cancels map[*belief.Attempt]context.CancelFunc
	// floor says that an attempt went to a server so that it stays in use.
	floor bool
}

// ended is the end of one attempt.
type ended struct {
	attempt *belief.Attempt
	outcome belief.Outcome
	answer  *backend.Answer
	err     error
}

// forward brings a request to a server and returns the answer or a refusal.
func (e *Edge) forward(ctx context.Context, k *call) (*reply, *refusal.Error) {
	if e.poison.Blocked(time.Now(), k.service, k.fingerprint) {
		return nil, refusal.New(refusal.Poison, "")
	}
	e.budget.Deposit(time.Now(), k.service)
	r := &run{
		edge: e, call: k, last: refusal.NoServer,
		results: make(chan ended, maxUnreached+k.route.Attempts+1), cancels: map[*belief.Attempt]context.CancelFunc{},
	}
	answer, refused := r.drive(ctx)
	if !r.floor && (refused == nil || refused.Kind != refusal.CallerDisconnected) {
		served := refused == nil && answer.response.StatusCode() < fasthttp.StatusInternalServerError
		e.book.RecordRequest(time.Now(), k.service, served)
	}
	for _, cancel := range r.cancels {
		cancel()
	}
	return answer, refused
}

// drive starts attempts until one has an answer, or no further one may be made.
func (r *run) drive(ctx context.Context) (*reply, *refusal.Error) {
	if !r.start(ctx) {
		return nil, r.refuse(refusal.NoServer)
	}
	hedge := time.NewTimer(r.hedgeAfter())
	defer hedge.Stop()
	for r.waiting > 0 {
		select {
		case end := <-r.results:
			r.waiting--
			if answer := r.settle(end); answer != nil {
				return answer, nil
			}
			if r.waiting == 0 && r.mayRepeat(end) {
				r.start(ctx)
			}
		case <-hedge.C:
			if r.mayHedge() {
				r.start(ctx)
			}
		case <-ctx.Done():
			return nil, r.refuse(r.timedOut(ctx))
		}
	}
	if r.failure != nil {
		return r.failure, nil
	}
	return nil, r.refuse(r.last)
}

func (r *run) timedOut(ctx context.Context) refusal.Kind {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal.CallerDisconnected
	case r.waiting > 0 || r.ran > 0:
		return refusal.DeadlineRunning
	}
	return refusal.DeadlineInQueue
}

// refuse builds a refusal that owns up to attempts which may have run.
func (r *run) refuse(kind refusal.Kind) *refusal.Error {
	e := refusal.New(kind, "%d servers tried", len(r.tried))
	e.MayHaveRun = r.ran > 0 || r.waiting > 0
	return e
}

// start sends the request to one more server. It reports whether there was one.
func (r *run) start(ctx context.Context) bool {
	e, k := r.edge, r.call
	a := e.book.Pick(time.Now(), &belief.PickInfo{
		Servers: e.keeper.Roster().ForService(k.service), Route: k.route.Name, Target: k.route.TargetLatency, Idempotent: k.route.Idempotent,
		Last: r.sends+1 >= k.route.Attempts || e.budget.Balance(k.service) < 1, Tried: r.tried,
	})
	if a == nil {
		return false
	}
	r.tried = append(r.tried, a.Server.Key())
	r.floor = r.floor || a.Floor
	r.waiting++
	child, cancel := context.WithCancel(ctx)
	r.cancels[a] = cancel
	go func() { r.results <- e.attempt(child, k, a) }()
	return true
}

// settle takes the end of an attempt and returns the answer for the caller, if
// it brought one.
func (r *run) settle(end ended) *reply {
	r.account(end)
	if end.answer == nil {
		return nil
	}
	answer := &reply{
		response: end.answer.Response, server: end.attempt.Server.ID, sends: r.sends,
		risk: end.attempt.Risk, evidenceAge: end.attempt.Age,
	}
	switch end.outcome {
	case belief.Good:
		return answer
	case belief.Failed:
		r.failure = answer
		if r.waiting == 0 && !r.mayRepeat(end) {
			return answer
		}
	default:
	}
	return nil
}

// account counts what an attempt did.
func (r *run) account(end ended) {
	switch end.outcome {
	case belief.Unreachable:
		r.unreached++
		r.last = refusal.ServersUnreachable
	case belief.Shed, belief.Misdirected:
		r.sends++
		r.last = refusal.ServersShed
	case belief.Silent:
		// Its time was up; whether this or the end of the context is seen first is
		// chance.
		r.sends++
		r.ran++
		r.last = refusal.DeadlineRunning
	case belief.Good, belief.Failed, belief.Broken, belief.Neutral:
		r.sends++
		r.ran++
		r.last = refusal.ServerFailed
	}
}

// mayRepeat decides whether the request goes to one more server after an
// attempt failed.
func (r *run) mayRepeat(end ended) bool {
	if end.outcome == belief.Unreachable {
		if r.unreached < maxUnreached {
			r.further(string(end.outcome))
			return true
		}
		return false
	}
	if r.ran > 0 && !r.call.route.Idempotent {
		return false
	}
	if r.sends >= r.call.route.Attempts+1 || r.ran >= r.call.route.Attempts {
		return false
	}
	return r.spend(string(end.outcome))
}

// spend takes a further attempt out of the budget, for a reason.
func (r *run) spend(reason string) bool {
	if r.edge.budget.TryWithdraw(r.call.service) {
		r.further(reason)
		return true
	}
	r.edge.count("noBudget")
	r.edge.log.WithFields(logrus.Fields{
		"request": r.call.id, "service": r.call.service, "reason": reason, "left": r.edge.budget.Balance(r.call.service),
	}).Warn(event.NoBudget)
	return false
}

// further records why the request goes to one more server.
func (r *run) further(reason string) {
	r.edge.countBy("further", "reason", reason)
	r.edge.log.WithFields(logrus.Fields{
		"request": r.call.id, "service": r.call.service, "reason": reason, "tried": len(r.tried),
	}).Info(event.Further)
}

// hedgeAfter returns after what time a second attempt is started beside the
// first.
func (r *run) hedgeAfter() time.Duration {
	late, known := r.edge.book.LateThreshold(r.call.route.Name)
	if !known || !r.call.route.Idempotent {
		return r.call.route.Timeout
	}
	return max(leastHedge, late)
}

// mayHedge decides whether a second attempt is started beside a late one.
func (r *run) mayHedge() bool {
	if !r.call.route.Idempotent || r.waiting != 1 || r.sends+r.waiting >= r.call.route.Attempts {
		return false
	}
	return r.spend("late")
}
