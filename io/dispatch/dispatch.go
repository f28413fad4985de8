// Package dispatch carries one request through its attempts: it waits for
// slots, sends, hedges and retries as the shard decides. It holds timers and
// goroutines but opens no sockets; sending is a function that it is given.
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

// Request is one request as far as dispatching needs it.
type Request struct {
	Service      ident.ServiceID
	Rank         ident.Rank
	Organisation ident.OrganisationID
	Weight       int
	Deadline     time.Time
	Idempotent   bool
	Fingerprint  ident.Fingerprint
	Kind         uint8
	// Send runs the request once at the server of the attempt. The context ends
	// at the deadline, or when the answer is not wanted any more.
	Send func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.End)
}

// Dispatcher runs requests against the servers of one shard. It is safe for
// concurrent use.
type Dispatcher struct {
	// Shard decides.
	Shard *shard.Shard
	// Poison is the quarantine of the daemon.
	Poison *poison.Quarantine
	// CheckAlive is told of a server that cut off an exchange, and reports the
	// result to the shard. It may be nil.
	CheckAlive func(server ident.ServerID, address string)
	// OnExtraAttempt is told of each attempt beyond the first, with its reason. It may be
	// nil.
	OnExtraAttempt func(reason string)
}

// Reasons for extra attempts.
const (
	ExtraHedge     = "hedge"
	ExtraUnreached = "unreached"
	ExtraShed      = "shed"
	ExtraFailed    = "failed"
	ExtraBroken    = "broken"
)

// maxBroken is the number of servers that may cut off one request before it is
// sent to no further one.
const maxBroken = 2

// run is the state of one request.
type run struct {
	d      *Dispatcher
	req    *Request
	ticket admit.Ticket
	// sent counts the attempts that may have run, broken those among them that a
	// server cut off. Two attempts may end beside each other.
	sent   atomic.Int32
	broken atomic.Int32
	// won is set once one of two attempts beside each other has answered.
	won atomic.Bool
}

// result is how one attempt ended.
type result struct {
	answer  *backend.Answer
	end     shard.End
	attempt *admit.Attempt
}

// Do runs a request until it has an answer or is refused. The answer may be a
// server's error when no further attempt is allowed.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*backend.Answer, *refusal.Error) {
	r := &run{d: d, req: req}
	r.ticket = admit.Ticket{
		Rank: req.Rank, Organisation: req.Organisation, Weight: max(1, req.Weight),
		Deadline: req.Deadline, Idempotent: req.Idempotent, Fingerprint: req.Fingerprint,
		Kind: req.Kind, Ready: make(chan admit.Reply, 1),
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, refused := r.attempts(ctx)
	if answer == nil || !answer.Streamed {
		cancel()
		return answer, refused
	}
	// The context of a streamed answer ends with its body.
	answer.AfterEnd(cancel)
	return answer, refused
}

func (r *run) attempts(ctx context.Context) (*backend.Answer, *refusal.Error) {
	r.d.Shard.RecordRequest()
	for number := 1; ; number++ {
		if r.d.Poison.Blocked(time.Now(), r.req.Service, r.req.Fingerprint) {
			return nil, r.refuse(refusal.Poison)
		}
		a, kind := r.slot(ctx)
		if kind != "" {
			return nil, r.refuse(kind)
		}
		res := r.attempt(ctx, a)
		if res.end == shard.Good {
			return res.answer, nil
		}
		failure, kind := failureOf(res.end)
		again := failure != "" && r.broken.Load() < maxBroken && r.d.Shard.Retry(retry.Attempt{
			Number: number, Idempotent: r.req.Idempotent, Failure: failure,
		})
		if again {
			r.extra(res.end)
			continue
		}
		if res.answer != nil && failure == retry.ErrorResponse {
			return res.answer, nil
		}
		return nil, r.refuse(kind)
	}
}

// refuse builds a refusal that owns up to attempts which may have run.
func (r *run) refuse(kind refusal.Kind) *refusal.Error {
	e := refusal.New(kind, "")
	e.Ran = r.sent.Load() > 0
	return e
}

// slot waits for a slot of a server.
func (r *run) slot(ctx context.Context) (*admit.Attempt, refusal.Kind) {
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
		// The reply is on the way; a slot in it must be given back.
		if reply := <-r.ticket.Ready; reply.Attempt != nil {
			r.d.Shard.Finish(time.Now(), reply.Attempt, shard.Cancelled)
		}
	}
	if ctx.Err() == context.Canceled {
		return nil, refusal.CallerGone
	}
	return nil, refusal.DeadlineInQueue
}

// attempt sends the request once, and a second time beside it where the first
// is late and a hedge is allowed.
func (r *run) attempt(ctx context.Context, a *admit.Attempt) result {
	delay := r.d.Shard.HedgeDelay(&r.ticket)
	if delay <= 0 {
		return r.send(ctx, a)
	}
	return r.hedged(ctx, a, delay)
}

// send runs one attempt and reports its end to the shard.
func (r *run) send(ctx context.Context, a *admit.Attempt) result {
	answer, end := r.req.Send(ctx, a)
	if end == shard.Cancelled && r.won.Load() {
		end = shard.LostToHedge
	}
	return r.ended(result{answer, end, a})
}

// ended reports the end of an attempt. A streamed answer keeps its slot until
// its body has passed.
func (r *run) ended(res result) result {
	r.account(res.end)
	if res.answer != nil && res.answer.Streamed {
		a := res.attempt
		res.answer.OnEnd(func(end shard.End) { r.d.Shard.Finish(time.Now(), a, end) })
		return res
	}
	r.d.Shard.Finish(time.Now(), res.attempt, res.end)
	if (res.end == shard.Broken || res.end == shard.StaleConnection) && r.d.CheckAlive != nil {
		r.d.CheckAlive(res.attempt.Server.ID, res.attempt.Server.Address)
	}
	return res
}

// account notes whether an attempt may have run without an answer to show.
func (r *run) account(end shard.End) {
	switch end {
	case shard.Good, shard.DialFailed, shard.Shed, shard.Drain:
		return
	case shard.Broken, shard.StaleConnection:
		r.broken.Add(1)
	default:
	}
	r.sent.Add(1)
}

// hedged races a late attempt against a second one on another server. The
// loser is cancelled.
func (r *run) hedged(ctx context.Context, first *admit.Attempt, delay time.Duration) result {
	results := make(chan result, 2)
	cancels := map[*admit.Attempt]context.CancelFunc{}
	launch := func(a *admit.Attempt) {
		child, cancel := context.WithCancel(ctx)
		cancels[a] = cancel
		go func() {
			var res result
			if caught := panics.Try(func() { res = r.send(child, a) }); caught != nil {
				res = r.ended(result{end: shard.Broken, attempt: a})
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
			if second := r.d.Shard.TryAcquireHedge(time.Now(), &r.ticket); second != nil {
				r.count(ExtraHedge)
				launch(second)
				running++
			}
		case last = <-results:
			running--
			if last.end == shard.Good {
				r.won.Store(true)
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

// cancelLosers ends the other attempts, and disposes of their answers.
func (r *run) cancelLosers(cancels map[*admit.Attempt]context.CancelFunc, won result, results chan result, running int) {
	for a, cancel := range cancels {
		if a != won.attempt {
			cancel()
		}
	}
	won.answer.AfterEnd(cancels[won.attempt])
	if running == 0 {
		return
	}
	go func() {
		if late := <-results; late.answer != nil {
			late.answer.Discard()
		}
	}()
}

// failureOf tells what a failed end means for a further attempt, and the refusal
// if there is none.
func failureOf(end shard.End) (retry.Failure, refusal.Kind) {
	switch end {
	case shard.DialFailed:
		return retry.ConnectFailed, refusal.ServersUnreachable
	case shard.Shed, shard.Drain:
		return retry.Shed, refusal.ServersShed
	case shard.ServerError:
		return retry.ErrorResponse, refusal.ServerFailed
	case shard.Broken, shard.StaleConnection:
		return retry.MayHaveRun, refusal.ServerFailed
	case shard.Cancelled:
		return "", refusal.CallerGone
	default:
		return "", refusal.DeadlineRunning
	}
}

// extra counts a retry by the end that caused it.
func (r *run) extra(end shard.End) {
	switch end {
	case shard.DialFailed:
		r.count(ExtraUnreached)
	case shard.Shed, shard.Drain:
		r.count(ExtraShed)
	case shard.ServerError:
		r.count(ExtraFailed)
	default:
		r.count(ExtraBroken)
	}
}

func (r *run) count(reason string) {
	if r.d.OnExtraAttempt != nil {
		r.d.OnExtraAttempt(reason)
	}
}
