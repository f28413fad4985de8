package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/attempts"
	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/roster"
	"bilberrymux/io/backend"
)

// serverReply is the response of a server to the caller.
type serverReply struct {
	answer *backend.Answer
	// attempt is the attempt that brought the answer.
	attempt *belief.Attempt
	server  ident.ServerID
	// attempts is the number of attempts that reached a server.
	attempts int
	// use is the use of the connection on which the answer came.
	use backend.Use
	// risk is the probability that the server was sick, and evidenceAge the age of the newest
	// evidence, when the server was picked.
	risk        float64
	evidenceAge time.Duration
}

// forwardState is the state of a request that is being forwarded.
type forwardState struct {
	edge *Edge
	call *call
	// log holds the attempts so far.
	log *attempts.Log
	// tried lists the servers that were picked for the request.
	tried []roster.Key
	// errorReply is the last error response of a server. The caller gets it if no other attempt
	// returns a response that is not a server error.
	errorReply *serverReply
	// results has room for the results of all attempts, so that deliver never blocks.
	results chan attemptResult
	// mu guards released, which reports that nobody receives results any more.
	mu       sync.Mutex
	released bool
	cancels  map[*belief.Attempt]context.CancelFunc
	// probed reports whether an attempt was made to find out whether a server has recovered.
	probed bool
	// withoutBudget reports whether the budget was found exhausted, which is logged once.
	withoutBudget bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *belief.Attempt
	outcome belief.Outcome
	answer  *backend.Answer
	use     backend.Use
	err     error
}

// forward sends a request to a server, with retries and hedged attempts, and returns the
// response or a refusal.
func (e *Edge) forward(ctx context.Context, k *call) (*serverReply, *refusal.Error) {
	if !e.quarantine.Admit(time.Now(), k.service, k.fingerprint) {
		return nil, refusal.New(refusal.Poison, "")
	}
	e.budget.Deposit(time.Now(), k.service)
	o := attempts.Options{Idempotent: k.route.Idempotent, MaxRuns: k.route.Attempts}
	r := &forwardState{
		edge: e, call: k, log: attempts.New(o),
		results: make(chan attemptResult, o.MaxAttempts()), cancels: map[*belief.Attempt]context.CancelFunc{},
	}
	reply, refused := r.run(ctx)
	k.outcomes = r.log.Outcomes()
	if !r.probed && !leftEarly(k, refused) {
		served := refused == nil && reply.answer.Response.StatusCode() < fasthttp.StatusInternalServerError
		e.tracker.RecordRequest(time.Now(), k.service, served)
	}
	r.release(reply)
	return reply, refused
}

// leftEarly reports whether the caller disconnected before the target latency had passed, so that the
// request tells nothing about its service. Callers that leave later have waited in vain.
func leftEarly(k *call, refused *refusal.Error) bool {
	return refused != nil && refused.Kind == refusal.CallerDisconnected && time.Since(k.received) < k.route.TargetLatency
}

// deliver hands the result of an attempt to run, or discards its answer after release.
func (r *forwardState) deliver(result attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.released {
		r.results <- result
		return
	}
	if result.answer != nil {
		result.answer.Discard()
	}
}

// release ends all attempts but that of the reply, which ends with the answer's body.
func (r *forwardState) release(reply *serverReply) {
	r.mu.Lock()
	r.released = true
	r.mu.Unlock()
	for a, cancel := range r.cancels {
		if reply != nil && reply.attempt == a {
			reply.answer.AfterEnd(cancel)
			continue
		}
		cancel()
	}
	if r.errorReply != nil && r.errorReply != reply {
		r.errorReply.answer.Discard()
	}
	for {
		select {
		case result := <-r.results:
			if result.answer != nil {
				result.answer.Discard()
			}
		default:
			return
		}
	}
}

// run makes attempts until one returns a response for the caller or no further attempt is
// allowed.
func (r *forwardState) run(ctx context.Context) (*serverReply, *refusal.Error) {
	first := r.startAttempt(ctx)
	if first == nil {
		return nil, r.refuse(r.noServerKind())
	}
	hedge := time.NewTimer(r.hedgeDelay(first))
	defer hedge.Stop()
	for r.log.Pending() > 0 {
		select {
		case result := <-r.results:
			if reply := r.handleResult(result); reply != nil {
				return reply, nil
			}
			if r.allowRetry(result) {
				r.startAttempt(ctx)
			}
		case <-hedge.C:
			switch r.allowHedge() {
			case hedgeAllowed:
				r.startAttempt(ctx)
			case hedgeWithoutBudget:
				hedge.Reset(hedgeRetryDelay)
			}
		case <-ctx.Done():
			return r.end(r.timeoutKind(ctx))
		}
	}
	return r.end(r.log.RefusalKind())
}

// noServerKind returns the kind of the refusal if no server can be picked. Servers that are listed
// were left out because of their limits or pauses, or because they leave.
func (r *forwardState) noServerKind() refusal.Kind {
	leaving, paused := r.edge.holdoffs.Counts(time.Now())
	if r.edge.limits.Count()+leaving+paused > 0 && len(r.edge.watcher.Roster().ForService(r.call.service)) > 0 {
		return refusal.ServersShed
	}
	return refusal.NoServer
}

// end returns what the caller gets when no attempt brought a good response: the error response
// of a server if there is one, otherwise a refusal of the given kind.
func (r *forwardState) end(kind refusal.Kind) (*serverReply, *refusal.Error) {
	if r.errorReply != nil {
		return r.errorReply, nil
	}
	return nil, r.refuse(kind)
}

// timeoutKind returns the kind of the refusal after the context ended.
func (r *forwardState) timeoutKind(ctx context.Context) refusal.Kind {
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return refusal.Stopping
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal.CallerDisconnected
	}
	return r.log.TimeoutKind()
}

// refuse returns a refusal of the given kind. It is marked as possibly run if any attempt may
// have run or is still in flight.
func (r *forwardState) refuse(kind refusal.Kind) *refusal.Error {
	e := r.log.Refusal(kind, fmt.Sprintf("%d servers tried", len(r.tried)))
	r.setRetryAfter(e)
	return e
}

// startAttempt picks a server and sends the request to it in a new goroutine. It returns nil
// if no server can be picked, or the request must not run once more.
func (r *forwardState) startAttempt(ctx context.Context) *belief.Attempt {
	e, k := r.edge, r.call
	if !r.log.MayStart() || (len(r.tried) > 0 && e.quarantine.Blocked(time.Now(), k.service, k.fingerprint)) {
		return nil
	}
	a := e.tracker.Pick(time.Now(), &belief.PickInfo{
		Servers: e.watcher.Roster().ForService(k.service), Route: k.route.Name, TargetLatency: k.route.TargetLatency, Idempotent: k.route.Idempotent,
		Last: r.log.Last() || e.budget.Balance(time.Now(), k.service) < 1, Tried: r.tried, Limits: e.limits, Holdoffs: e.holdoffs,
	})
	if a == nil {
		return nil
	}
	r.tried = append(r.tried, a.Server.Key())
	if a.Reason == belief.Probe {
		r.probed = true
		// The other daemons of the zone don't probe the server while it is in use.
		e.triggerGossip()
	}
	r.log.Start()
	child, cancel := context.WithCancel(ctx)
	r.cancels[a] = cancel
	go func() { r.deliver(e.attempt(child, k, a)) }()
	return a
}

// handleResult records the result of an attempt. It returns the response for the caller, or nil
// if the attempt brought none or another attempt may bring a better one.
func (r *forwardState) handleResult(result attemptResult) *serverReply {
	r.log.End(result.outcome)
	if result.answer == nil {
		return nil
	}
	reply := &serverReply{
		answer: result.answer, attempt: result.attempt, server: result.attempt.Server.ID, attempts: r.log.Reached(), use: result.use,
		risk: result.attempt.Risk, evidenceAge: result.attempt.EvidenceAge,
	}
	switch result.outcome {
	case belief.Good:
		return reply
	case belief.Failed:
		if r.errorReply != nil {
			r.errorReply.answer.Discard()
		}
		r.errorReply = reply
	default:
	}
	return nil
}
