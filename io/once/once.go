package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/store"
	"bilberrymux/io/periodic"
)

// Request is a request with an idempotency key.
type Request struct {
	Key         once.Key
	Fingerprint ident.Fingerprint
	// Forwarded is true if another daemon sent the request here because it takes this incarnation
	// for the decider of the key. Such a request is not forwarded again.
	Forwarded bool
	// Run runs the request. It is called at most once.
	Run func(ctx context.Context) once.Outcome
	// Forward sends the request to the incarnation that decides its key and returns the outcome.
	// reached is false if that incarnation could not be reached.
	Forward func(ctx context.Context, decider ident.Incarnation) (outcome once.Outcome, reached bool)
}

// Options are the dependencies of a Runner.
type Options struct {
	Self      ident.Incarnation
	Store     *store.Store
	Retention once.Retention
	// IncarnationEnded reports whether an incarnation is known to have ended permanently.
	IncarnationEnded func(ident.Incarnation) bool
	// Count increments the named counter. If it is nil, nothing is counted.
	Count func(name string)
	// Daemons returns the number of daemons in the fleet. If it is nil, one daemon is assumed.
	Daemons func() int
	// MaxAnswerBytes bounds the answers that are kept in memory for resends, and those that wait to be written
	// to the store, each together. If it is zero, it is defaultAnswerBytes.
	MaxAnswerBytes int64
}

// defaultAnswerBytes is the default of Options.MaxAnswerBytes.
const defaultAnswerBytes = 16 << 20

// Runner runs each request with an idempotency key at most once. It is safe for concurrent use.
type Runner struct {
	options   Options
	table     *once.Table
	claims    *batcher
	outcomes  *batcher
	flushOnce sync.Once
}

// New returns a runner. Start must be called before the first call of Do.
func New(o Options) *Runner {
	if o.Count == nil {
		o.Count = func(string) {}
	}
	if o.Daemons == nil {
		o.Daemons = func() int { return 1 }
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultAnswerBytes
	}
	r := &Runner{
		options:  o,
		table:    once.NewTable(o.Retention, o.MaxAnswerBytes),
		claims:   newBatcher(o.Store, maxClaimRows, func() time.Duration { return claimDelay }),
		outcomes: newBatcher(o.Store, maxOutcomeRows, func() time.Duration { return outcomeDelay(o.Daemons()) }),
	}
	r.outcomes.retryUnavailable = true
	r.outcomes.bytes = bytebudget.New(o.MaxAnswerBytes)
	return r
}

// sweepPeriod is the interval at which old records are deleted from memory.
const sweepPeriod = time.Minute

// Start starts goroutines in wg that write claims and outcomes and delete old records until the
// context ends.
func (r *Runner) Start(ctx context.Context, wg *conc.WaitGroup) {
	for range writersPerBatcher {
		wg.Go(func() { r.claims.run(ctx) })
		wg.Go(func() { r.outcomes.run(ctx) })
	}
	wg.Go(func() {
		periodic.Every(ctx, sweepPeriod, func(now time.Time) { r.table.Sweep(now) })
	})
}

// Records returns the number of records in memory.
func (r *Runner) Records() int {
	return r.table.Len()
}

// AnswerBytes returns the bytes of the answers that are kept in memory for resends, and of the outcomes that wait to
// be written to the store.
func (r *Runner) AnswerBytes() (kept, queued int64) {
	return r.table.AnswerBytes(), r.outcomes.bytes.Held()
}

// Pending returns the number of outcomes that are not yet written to the store.
func (r *Runner) Pending() int64 {
	return r.outcomes.unfinished.Load()
}

// Flush makes the runner write outcomes immediately from now on, without collecting batches. It
// does not wait for the writes.
func (r *Runner) Flush() {
	r.flushOnce.Do(func() { close(r.outcomes.flush) })
}

// Do runs the request, or returns the outcome of the earlier or concurrent run of its key. If the
// key is decided by another incarnation, the request is forwarded to it.
func (r *Runner) Do(ctx context.Context, req *Request) once.Outcome {
	if d := req.Key.Decider; d != "" && d != r.options.Self {
		return r.forwardToDecider(ctx, req, d)
	}
	record, role := r.table.Begin(time.Now(), &req.Key, req.Fingerprint)
	switch role {
	case once.Mismatch:
		return refused(refusal.KeyReused)
	case once.Expired:
		return refused(refusal.KeyExpired)
	case once.Follower:
		return r.waitForRun(ctx, req, record)
	default:
		return r.runFirst(ctx, req, record)
	}
}

// refused returns a refusal. The kind determines whether the request may have run.
func refused(kind refusal.Kind) once.Outcome {
	return once.Outcome{Refused: refusal.New(kind, "")}
}

// refusedMayHaveRun returns a refusal which states that the request may have run.
func refusedMayHaveRun(kind refusal.Kind) once.Outcome {
	e := refusal.New(kind, "")
	e.MayHaveRun = true
	return once.Outcome{Refused: e}
}

// waitForRun waits until the run of the record has ended and returns its outcome. If the answer is no longer in
// memory, it is read from the claim row.
func (r *Runner) waitForRun(ctx context.Context, req *Request, record *once.Record) once.Outcome {
	select {
	case <-record.Done():
	case <-ctx.Done():
		return refused(refusal.KeyInFlight)
	}
	outcome, ok := r.table.Outcome(record)
	if !ok {
		return r.readAnswer(ctx, req)
	}
	r.options.Count("once.replayed")
	return outcome
}

// readAnswer returns the stored answer of a key whose run has ended, or a refusal which states that it ran.
func (r *Runner) readAnswer(ctx context.Context, req *Request) once.Outcome {
	claim, ok, err := r.readClaim(ctx, &req.Key)
	switch {
	case err != nil:
		return refusedMayHaveRun(refusal.StoreUnavailable)
	case ok && claim.Answer != nil && claim.Fingerprint == req.Fingerprint:
		r.options.Count("once.readBack")
		return once.Outcome{Answer: claim.Answer}
	case ok && claim.AnswerDropped:
		return refused(refusal.KeyExpired)
	}
	return refused(refusal.KeyOutcomeUnknown)
}

// runFirst runs the request as the only run of its key. For a plain key it writes the claim first,
// and runs the request only if the claim permits it. It ends the record in any case.
func (r *Runner) runFirst(ctx context.Context, req *Request, record *once.Record) (outcome once.Outcome) {
	ran := false
	defer func() {
		if outcome.Answer == nil && outcome.Refused == nil {
			// req.Run panicked before it returned an outcome.
			outcome = refusedMayHaveRun(refusal.Internal)
		}
		r.table.End(&req.Key, record, outcome)
		if ran {
			r.storeOutcome(req, outcome)
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

// claim inserts the claim row of a plain key. If run is false, the request must not run here and
// outcome is its result.
func (r *Runner) claim(ctx context.Context, req *Request) (outcome once.Outcome, run bool) {
	now := time.Now()
	row, err := json.Marshal(once.Claim{Incarnation: r.options.Self, Fingerprint: req.Fingerprint, Time: now})
	if err != nil {
		return refusedMayHaveRun(refusal.Internal), false
	}
	key := req.Key.ClaimKey()
	err = r.claims.write(ctx, store.Write{Key: key, Value: row, Expect: store.Absent})
	if err == nil {
		r.options.Count("once.claimed")
		return once.Outcome{}, true
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return r.resolveClaim(ctx, req, true)
	}
	// The effect of the write is unknown. If there is a row, it may also be from an earlier send.
	r.options.Count("once.storeAway")
	return r.resolveClaim(ctx, req, false)
}

// resolveClaim reads the claim row of a key and decides by it whether the request runs here, as
// claim does. rowExists states that the row is known to exist.
func (r *Runner) resolveClaim(ctx context.Context, req *Request, rowExists bool) (outcome once.Outcome, run bool) {
	claim, ok, err := r.readClaim(ctx, &req.Key)
	if err != nil || !ok {
		// This send has not run. If the row exists, an earlier send of the key may have run.
		if rowExists {
			return refusedMayHaveRun(refusal.StoreUnavailable), false
		}
		return refused(refusal.StoreUnavailable), false
	}
	switch claim.Evaluate(time.Now(), r.options.Self, req.Fingerprint, r.options.Retention) {
	case once.Run:
		return once.Outcome{}, true
	case once.Replay:
		r.options.Count("once.replayed")
		return once.Outcome{Answer: claim.Answer}, false
	case once.AskHolder:
		return r.forwardToHolder(ctx, req, claim.Incarnation), false
	case once.OtherRequest:
		return refused(refusal.KeyReused), false
	case once.AnswerExpired:
		return refused(refusal.KeyExpired), false
	default:
		return refused(refusal.KeyOutcomeUnknown), false
	}
}

// readClaim reads the claim row of a key and reports whether it exists.
func (r *Runner) readClaim(ctx context.Context, key *once.Key) (once.Claim, bool, error) {
	row, ok, err := r.options.Store.Read(ctx, key.ClaimKey())
	if err != nil || !ok {
		return once.Claim{}, false, err
	}
	var claim once.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return once.Claim{}, false, fmt.Errorf("once: decode claim row: %w", err)
	}
	return claim, true, nil
}

// forwardToHolder forwards the request to the incarnation that claimed its plain key.
func (r *Runner) forwardToHolder(ctx context.Context, req *Request, holder ident.Incarnation) once.Outcome {
	if req.Forwarded {
		// The sender takes this incarnation for the holder of the claim, but the claim row names another one.
		return refusedMayHaveRun(refusal.PeerUnreachable)
	}
	if r.options.IncarnationEnded(holder) {
		return refused(refusal.KeyOutcomeUnknown)
	}
	outcome, reached := req.Forward(ctx, holder)
	if !reached {
		return refusedMayHaveRun(refusal.PeerUnreachable)
	}
	return outcome
}

// forwardToDecider forwards a request with a permit key to the incarnation that decides the key.
// If that incarnation has ended or cannot be reached, the outcome is read from the claim row.
func (r *Runner) forwardToDecider(ctx context.Context, req *Request, decider ident.Incarnation) once.Outcome {
	if req.Forwarded {
		return refusedMayHaveRun(refusal.PeerUnreachable)
	}
	ended := r.options.IncarnationEnded(decider)
	if !ended {
		if outcome, reached := req.Forward(ctx, decider); reached {
			return outcome
		}
	}
	claim, ok, err := r.readClaim(ctx, &req.Key)
	switch {
	case err == nil && ok && claim.Fingerprint != req.Fingerprint:
		return refused(refusal.KeyReused)
	case err == nil && ok && claim.AnswerDropped:
		return refused(refusal.KeyExpired)
	case err == nil && ok && claim.Answer != nil:
		r.options.Count("once.replayed")
		return once.Outcome{Answer: claim.Answer}
	case ended:
		return refused(refusal.KeyOutcomeUnknown)
	}
	return refusedMayHaveRun(refusal.PeerUnreachable)
}

// maxRowAnswerBytes is the maximum size in bytes of an answer that is stored in a claim row for resends.
// For larger answers, only the end of the run is stored.
const maxRowAnswerBytes = 1 << 20

// storeOutcome queues the write of the outcome to the claim row. The caller does not wait for the
// write. The outcome of a request that was refused before it ran is not stored.
func (r *Runner) storeOutcome(req *Request, o once.Outcome) {
	key := req.Key.ClaimKey()
	if o.Refused != nil && o.Refused.Outcome() == refusal.NotRun {
		if req.Key.Decider == "" {
			// The claim row stays, but the record in memory is deleted. Until the row is deleted,
			// resends are forwarded to this incarnation, which may run them.
			r.options.Count("once.released")
		}
		return
	}
	claim := once.Claim{
		Incarnation: r.options.Self, Fingerprint: req.Fingerprint, Time: time.Now(),
		Ended: true,
	}
	if len(o.Answer) <= maxRowAnswerBytes {
		claim.Answer = o.Answer
	}
	if r.enqueueOutcome(key, &claim) {
		return
	}
	// Without its answer the row still tells that the request must not run again.
	claim.Answer = nil
	if !r.enqueueOutcome(key, &claim) {
		r.options.Count("once.outcomeDropped")
		return
	}
	r.options.Count("once.answerNotStored")
}

// enqueueOutcome queues the write of a claim row, and reports whether there was room for it.
func (r *Runner) enqueueOutcome(key string, claim *once.Claim) bool {
	row, err := json.Marshal(claim)
	if err != nil {
		r.options.Count("once.outcomeInvalid")
		return false
	}
	return r.outcomes.enqueue(store.Write{Key: key, Value: row, Expect: store.Anything})
}
