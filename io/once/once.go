package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/store"
	"bilberrymux/io/loop"
)

// Request is a request with a key.
type Request struct {
	Key         once.Key
	Fingerprint ident.Fingerprint
	// Forwarded says that another daemon sent the request to this one as the
	// decider of its key.
	Forwarded bool
	// Run runs the request. It is called at most once.
	Run func(ctx context.Context) once.Outcome
	// Forward hands the request to the incarnation that decides its key. Reached is
	// false where that incarnation got nothing of it.
	Forward func(ctx context.Context, decider ident.Incarnation) (outcome once.Outcome, reached bool)
}

// Options are the dependencies of a Runner.
type Options struct {
	Self      ident.Incarnation
	Store     *store.Store
	Retention once.Retention
	// Gone reports whether an incarnation is known to have ended for good.
	Gone func(ident.Incarnation) bool
	// Count adds one to the counter of that name.
	Count func(name string)
	// Daemons returns the size of the fleet; nil stands for one.
	Daemons func() int
}

// Runner runs requests at most once. It is safe for concurrent use.
type Runner struct {
	options Options
	table   *once.Table
	claims  *batcher
	lazy    *batcher
	flush   sync.Once
}

// New returns a runner. Start must be called before it is used.
func New(o Options) *Runner {
	if o.Count == nil {
		o.Count = func(string) {}
	}
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	r := &Runner{
		options: o,
		table:   once.NewTable(o.Retention),
		claims:  newBatcher(o.Store, claimRows, func() time.Duration { return claimWait }),
		lazy:    newBatcher(o.Store, outcomeRows, func() time.Duration { return outcomeWait(o.Daemons()) }),
	}
	r.lazy.persistent = true
	return r
}

// sweepPeriod is how often old records are forgotten.
const sweepPeriod = time.Minute

// Start runs the writers until the context ends.
func (r *Runner) Start(ctx context.Context, wg *conc.WaitGroup) {
	for range writers {
		wg.Go(func() { r.claims.run(ctx) })
		wg.Go(func() { r.lazy.run(ctx) })
	}
	wg.Go(func() {
		loop.Every(ctx, sweepPeriod, func(now time.Time) { r.table.Sweep(now) })
	})
}

// Records returns the number of runs that are remembered.
func (r *Runner) Records() int {
	return r.table.Len()
}

// Pending returns the number of outcomes that wait to be written.
func (r *Runner) Pending() int64 {
	return r.lazy.waiting.Load()
}

// Flush writes outcomes without waiting for more, from now on.
func (r *Runner) Flush() {
	r.flush.Do(func() { close(r.lazy.flush) })
}

// Do runs the request, or gives it the outcome of the run that its key had.
func (r *Runner) Do(ctx context.Context, req *Request) once.Outcome {
	if d := req.Key.Decider; d != "" && d != r.options.Self {
		return r.elsewhere(ctx, req, d)
	}
	record, role := r.table.Begin(time.Now(), &req.Key, req.Fingerprint)
	switch role {
	case once.Mismatch:
		return refused(refusal.KeyReused)
	case once.Expired:
		return refused(refusal.KeyExpired)
	case once.Follower:
		return r.follow(ctx, record)
	default:
		return r.first(ctx, req, record)
	}
}

func refused(kind refusal.Kind) once.Outcome {
	return once.Outcome{Refused: refusal.New(kind, "")}
}

// unknown is a refusal that leaves open whether the key ever ran.
func unknown(kind refusal.Kind) once.Outcome {
	e := refusal.New(kind, "")
	e.Ran = true
	return once.Outcome{Refused: e}
}

// follow waits for the run that is under way.
func (r *Runner) follow(ctx context.Context, record *once.Record) once.Outcome {
	select {
	case <-record.Done():
		r.options.Count("once.replayed")
		return record.Outcome()
	case <-ctx.Done():
		return refused(refusal.KeyInFlight)
	}
}

// first runs the request as the only run of its key, once the claim allows it.
func (r *Runner) first(ctx context.Context, req *Request, record *once.Record) (outcome once.Outcome) {
	ran := false
	defer func() {
		if outcome.Answer == nil && outcome.Refused == nil {
			// The run panicked.
			outcome = unknown(refusal.Internal)
		}
		r.table.End(&req.Key, record, outcome)
		if ran {
			r.keep(req, outcome)
		}
	}()
	if req.Key.Decider == "" {
		if o, run := r.claim(ctx, req); !run {
			return o
		}
	}
	ran = true
	r.options.Count("once.ran")
	return req.Run(ctx)
}

// claim inserts the claim row of a plain key. Run is false where the request
// has its outcome without a run here.
func (r *Runner) claim(ctx context.Context, req *Request) (outcome once.Outcome, run bool) {
	now := time.Now()
	row, err := json.Marshal(once.Claim{Incarnation: r.options.Self, Fingerprint: req.Fingerprint, Time: now})
	if err != nil {
		return unknown(refusal.Internal), false
	}
	key := req.Key.ClaimKey()
	err = r.claims.write(ctx, store.Write{Key: key, Value: row, Expect: store.Absent})
	if err == nil {
		r.options.Count("once.claimed")
		return once.Outcome{}, true
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return r.claimed(ctx, req, true)
	}
	// The claim may be there or not, and may be an earlier run's.
	r.options.Count("once.storeAway")
	return r.claimed(ctx, req, false)
}

// claimed finds out what the row of a key says. Certain is whether there is
// known to be a row.
func (r *Runner) claimed(ctx context.Context, req *Request, certain bool) (outcome once.Outcome, run bool) {
	claim, ok, err := r.read(ctx, &req.Key)
	if err != nil || !ok {
		// This send did not run. An earlier send of the key may have.
		if certain {
			return unknown(refusal.StoreAway), false
		}
		return refused(refusal.StoreAway), false
	}
	switch claim.Evaluate(time.Now(), r.options.Self, req.Fingerprint, r.options.Retention) {
	case once.Run:
		return once.Outcome{}, true
	case once.Replay:
		r.options.Count("once.replayed")
		return once.Outcome{Answer: claim.Answer}, false
	case once.AskHolder:
		return r.askClaimer(ctx, req, claim.Incarnation), false
	case once.OtherRequest:
		return refused(refusal.KeyReused), false
	case once.AnswerExpired:
		return refused(refusal.KeyExpired), false
	default:
		return refused(refusal.KeyOutcomeUnknown), false
	}
}

func (r *Runner) read(ctx context.Context, key *once.Key) (once.Claim, bool, error) {
	row, ok, err := r.options.Store.Read(ctx, key.ClaimKey())
	if err != nil || !ok {
		return once.Claim{}, false, err
	}
	var claim once.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return once.Claim{}, false, fmt.Errorf("once: claim row: %w", err)
	}
	return claim, true, nil
}

// askClaimer hands the request to the incarnation that claimed its plain key.
func (r *Runner) askClaimer(ctx context.Context, req *Request, claimer ident.Incarnation) once.Outcome {
	if req.Forwarded {
		// The claimer's own row says otherwise: it is not this incarnation.
		return unknown(refusal.PeerUnreachable)
	}
	if r.options.Gone(claimer) {
		return refused(refusal.KeyOutcomeUnknown)
	}
	outcome, reached := req.Forward(ctx, claimer)
	if !reached {
		return unknown(refusal.PeerUnreachable)
	}
	return outcome
}

// elsewhere deals with a permit key that another incarnation decides.
func (r *Runner) elsewhere(ctx context.Context, req *Request, decider ident.Incarnation) once.Outcome {
	if req.Forwarded {
		return unknown(refusal.PeerUnreachable)
	}
	gone := r.options.Gone(decider)
	if !gone {
		if outcome, reached := req.Forward(ctx, decider); reached {
			return outcome
		}
	}
	claim, ok, err := r.read(ctx, &req.Key)
	switch {
	case err == nil && ok && claim.Fingerprint != req.Fingerprint:
		return refused(refusal.KeyReused)
	case err == nil && ok && claim.AnswerDropped:
		return refused(refusal.KeyExpired)
	case err == nil && ok && claim.Answer != nil:
		r.options.Count("once.replayed")
		return once.Outcome{Answer: claim.Answer}
	case gone:
		return refused(refusal.KeyOutcomeUnknown)
	}
	return unknown(refusal.PeerUnreachable)
}

// maxKept is the largest answer in bytes that is kept for resends.
const maxKept = 1 << 20

// keep writes the outcome of a run behind the request. A claim of a run that
// never began is taken back.
func (r *Runner) keep(req *Request, o once.Outcome) {
	key := req.Key.ClaimKey()
	if o.Refused != nil && o.Refused.Outcome() == refusal.NotRun {
		if req.Key.Decider == "" {
			// The record is forgotten; until the row is gone, resends reach this
			// incarnation, which may run them.
			r.options.Count("once.released")
		}
		return
	}
	claim := once.Claim{
		Incarnation: r.options.Self, Fingerprint: req.Fingerprint, Time: time.Now(),
		Ended: true,
	}
	if len(o.Answer) <= maxKept {
		claim.Answer = o.Answer
	}
	row, err := json.Marshal(claim)
	if err != nil {
		return
	}
	if !r.lazy.later(store.Write{Key: key, Value: row, Expect: store.Anything}) {
		r.options.Count("once.outcomeDropped")
	}
}
