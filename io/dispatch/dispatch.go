// Package dispatch runs the attempts of a request. It waits for slots and sends, hedges and retries
// the request as the shard decides. It uses timers and goroutines but performs no network I/O itself:
// the function that sends an attempt is part of the request.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"

	"bilberrymux/core/admit"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/refusal"
	"bilberrymux/core/retry"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
)

// Request contains the parts of a request that dispatching needs.
type Request struct {
	Service      ident.ServiceID
	Rank         ident.Rank
	Organisation ident.OrganisationID
	Weight       int
	Deadline     time.Time
	Idempotent   bool
	Fingerprint  ident.Fingerprint
	LatencyClass uint8
	// StillIdempotent reports whether an idempotent request is so by the configuration in force, which may be
	// newer than that by which it was accepted. It may be nil if that does not change.
	StillIdempotent func() bool
	// Send sends the request once to the server of the attempt and returns the answer, if any, and
	// the outcome. The context ends at the deadline, or when the answer is no longer needed.
	Send func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome)
}

// Dispatcher runs requests against the servers of one shard. It is safe for
// concurrent use.
type Dispatcher struct {
	// Shard assigns the attempts to servers and decides on hedges and retries.
	Shard *shard.Shard
	// Poison is the daemon's quarantine of poison requests, which crash the servers that run them.
	Poison *poison.Quarantine
	// CheckReachable is called after a server broke off an exchange. It checks whether the server still
	// accepts connections and reports to the shard if it does not. It may be nil.
	CheckReachable func(server ident.ServerID, address string)
	// OnExtraAttempt is called with the reason for each attempt beyond the first. It may be nil.
	OnExtraAttempt func(reason string)
}

// Reasons for extra attempts. ExtraHedge is a hedge. The others are retries after the server could
// not be reached, shed the request, answered with a server error, or aborted the exchange.
const (
	ExtraHedge       = "hedge"
	ExtraDialFailed  = "unreached"
	ExtraShed        = "shed"
	ExtraServerError = "failed"
	ExtraBroken      = "broken"
)

// maxDisconnects is the number of attempts of one request that servers may abort before the request
// is not retried any more.
const maxDisconnects = 2

// run is the state of one request.
type run struct {
	d      *Dispatcher
	req    *Request
	ticket admit.Ticket
	// mayHaveRun is the number of attempts that may have run but did not succeed, and disconnects
	// the number of those that a server aborted. They are atomic because an attempt and its hedge
	// may end at the same time.
	mayHaveRun  atomic.Int32
	disconnects atomic.Int32
	// answered is set when a hedged attempt or its hedge has succeeded.
	answered atomic.Bool
}

// result is the result of one attempt.
type result struct {
	answer  *backend.Answer
	outcome shard.Outcome
	attempt *admit.Attempt
}

// Do runs the attempts of a request until one succeeds or no further attempt is allowed. It returns
// an answer or a refusal. The answer is a server error if the last attempt returned one and no
// further attempt is allowed.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*backend.Answer, *refusal.Error) {
	r := &run{d: d, req: req}
	r.ticket = admit.Ticket{
		Rank: req.Rank, Organisation: req.Organisation, Weight: max(1, req.Weight),
		Deadline: req.Deadline, Idempotent: req.Idempotent, Fingerprint: req.Fingerprint,
		LatencyClass: req.LatencyClass, Ready: make(chan admit.Reply, 1),
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, refused := r.runAttempts(ctx)
	if answer == nil || !answer.Streamed {
		cancel()
		return answer, refused
	}
	// The context of a streamed answer is cancelled at the end of its body.
	answer.AfterEnd(cancel)
	return answer, refused
}

// runAttempts sends the request and retries it as the shard allows.
func (r *run) runAttempts(ctx context.Context) (*backend.Answer, *refusal.Error) {
	r.d.Shard.RecordRequest()
	for number := 1; ; number++ {
		if !r.d.Poison.Admit(time.Now(), r.req.Service, r.req.Fingerprint) {
			return nil, r.refuse(refusal.Poison)
		}
		a, kind := r.acquireSlot(ctx)
		if kind != "" {
			return nil, r.refuse(kind)
		}
		res := r.runAttempt(ctx, a)
		if res.outcome == shard.Good {
			return res.answer, nil
		}
		failure, kind := failureOf(res.outcome)
		repeatable := r.mayRepeat()
		retryAllowed := failure != "" && r.disconnects.Load() < maxDisconnects && (repeatable || r.mayHaveRun.Load() == 0) &&
			r.d.Shard.AllowRetry(retry.Attempt{Number: number, Idempotent: repeatable, Failure: failure})
		if retryAllowed {
			r.countRetry(res.outcome)
			continue
		}
		if res.answer != nil && failure == retry.ServerError {
			return res.answer, nil
		}
		return nil, r.refuse(kind)
	}
}

// mayRepeat reports whether the request may run more than once.
func (r *run) mayRepeat() bool {
	return r.req.Idempotent && (r.req.StillIdempotent == nil || r.req.StillIdempotent())
}

// refuse returns a refusal that states whether an attempt may have run.
func (r *run) refuse(kind refusal.Kind) *refusal.Error {
	e := refusal.New(kind, "")
	e.MayHaveRun = r.mayHaveRun.Load() > 0
	return e
}

// acquireSlot waits for a slot of a server. It returns the kind of the refusal if it
// gets none.
func (r *run) acquireSlot(ctx context.Context) (*admit.Attempt, refusal.Kind) {
	a, refused := r.d.Shard.Acquire(time.Now(), &r.ticket)
	if a != nil || refused != "" {
		return a, refused
	}
	select {
	case reply := <-r.ticket.Ready:
		return reply.Attempt, reply.Refused
	case <-ctx.Done():
	}
	if !r.d.Shard.Withdraw(&r.ticket) {
		// The shard has sent a reply or is sending it. If the reply contains a slot, the slot must
		// be released.
		if reply := <-r.ticket.Ready; reply.Attempt != nil {
			r.d.Shard.Finish(time.Now(), reply.Attempt, shard.Cancelled)
		}
	}
	if ctx.Err() == context.Canceled {
		return nil, refusal.CallerDisconnected
	}
	return nil, refusal.DeadlineInQueue
}

// runAttempt sends the request once. If the attempt takes longer than the hedge delay, the request is
// also sent to a second server, provided that the shard allows it.
func (r *run) runAttempt(ctx context.Context, a *admit.Attempt) result {
	delay := r.d.Shard.HedgeDelay(&r.ticket)
	if delay <= 0 {
		return r.send(ctx, a)
	}
	return r.runHedged(ctx, a, delay)
}

// send runs one attempt and reports its outcome to the shard.
func (r *run) send(ctx context.Context, a *admit.Attempt) result {
	answer, outcome := r.req.Send(ctx, a)
	if outcome == shard.Cancelled && r.answered.Load() {
		outcome = shard.LostToHedge
	}
	return r.finish(result{answer, outcome, a})
}

// finish reports the outcome of an attempt to the shard, which releases the slot. For a streamed
// answer, this happens at the end of the body.
func (r *run) finish(res result) result {
	r.recordOutcome(res.outcome)
	if res.answer != nil && res.answer.Streamed {
		a := res.attempt
		res.answer.OnEnd(func(outcome shard.Outcome) { r.d.Shard.Finish(time.Now(), a, outcome) })
		return res
	}
	r.d.Shard.Finish(time.Now(), res.attempt, res.outcome)
	if (res.outcome == shard.Broken || res.outcome == shard.StaleConnection) && r.d.CheckReachable != nil {
		r.d.CheckReachable(res.attempt.Server.ID, res.attempt.Server.Address)
	}
	return res
}

// recordOutcome counts the attempt if its outcome is that it may have run but did not succeed.
func (r *run) recordOutcome(outcome shard.Outcome) {
	switch outcome {
	case shard.Good, shard.DialFailed, shard.Shed, shard.Drain:
		return
	case shard.Broken, shard.StaleConnection:
		r.disconnects.Add(1)
	default:
	}
	r.mayHaveRun.Add(1)
}

// runHedged runs an attempt, and a hedge on another server if the attempt is not answered within the
// delay. When one of them succeeds, the other one is cancelled. If none succeeds, the result of the
// attempt that ended last is returned.
func (r *run) runHedged(ctx context.Context, first *admit.Attempt, delay time.Duration) result {
	results := make(chan result, 2)
	cancels := map[*admit.Attempt]context.CancelFunc{}
	launch := func(a *admit.Attempt) {
		child, cancel := context.WithCancel(ctx)
		cancels[a] = cancel
		go func() {
			var res result
			if caught := panics.Try(func() { res = r.send(child, a) }); caught != nil {
				res = r.finish(result{outcome: shard.Broken, attempt: a})
			}
			results <- res
		}()
	}
	launch(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	var last result
	for running > 0 {
		select {
		case <-timer.C:
			if !r.mayRepeat() {
				continue
			}
			if second := r.d.Shard.TryAcquireHedge(time.Now(), &r.ticket); second != nil {
				r.countExtraAttempt(ExtraHedge)
				launch(second)
				running++
			}
		case last = <-results:
			running--
			if last.outcome == shard.Good {
				r.answered.Store(true)
				r.cancelLosers(cancels, last, results, running)
				return last
			}
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return last
}

// cancelLosers cancels the other attempt, if any, and discards its answer. The context of the winner
// is cancelled at the end of its answer.
func (r *run) cancelLosers(cancels map[*admit.Attempt]context.CancelFunc, winner result, results chan result, running int) {
	for a, cancel := range cancels {
		if a != winner.attempt {
			cancel()
		}
	}
	winner.answer.AfterEnd(cancels[winner.attempt])
	if running == 0 {
		return
	}
	go func() {
		if loser := <-results; loser.answer != nil {
			loser.answer.Discard()
		}
	}()
}

// failureOf returns the kind of failure by which a retry is decided, and the kind of refusal if there
// is no retry. The failure is empty if a retry is never allowed.
func failureOf(outcome shard.Outcome) (retry.Failure, refusal.Kind) {
	switch outcome {
	case shard.DialFailed:
		return retry.DialFailed, refusal.ServersUnreachable
	case shard.Shed, shard.Drain:
		return retry.Shed, refusal.ServersShed
	case shard.ServerError:
		return retry.ServerError, refusal.ServerFailed
	case shard.Broken, shard.StaleConnection:
		return retry.MayHaveRun, refusal.ServerFailed
	case shard.Cancelled:
		return "", refusal.CallerDisconnected
	default:
		return "", refusal.DeadlineRunning
	}
}

// countRetry reports a retry with its reason, which is derived from the outcome of the last attempt.
func (r *run) countRetry(outcome shard.Outcome) {
	switch outcome {
	case shard.DialFailed:
		r.countExtraAttempt(ExtraDialFailed)
	case shard.Shed, shard.Drain:
		r.countExtraAttempt(ExtraShed)
	case shard.ServerError:
		r.countExtraAttempt(ExtraServerError)
	default:
		r.countExtraAttempt(ExtraBroken)
	}
}

// countExtraAttempt calls OnExtraAttempt, if it is set.
func (r *run) countExtraAttempt(reason string) {
	if r.d.OnExtraAttempt != nil {
		r.d.OnExtraAttempt(reason)
	}
}
