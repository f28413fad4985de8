// Package once runs requests with an idempotency key at most once. It stores claims and outcomes
// in the platform's table service and follows the decisions of core/once.
package once

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/store"
	"bilberrymux/io/periodic"
)

// Limits and delays of batched writes.
const (
	// maxClaimRows and maxOutcomeRows are the maximum numbers of rows in one transaction.
	maxClaimRows   = 100
	maxOutcomeRows = 1000
	// claimDelay is how long a batch of claims is collected before it is written. It is short
	// because callers wait for their claims.
	claimDelay = 2 * time.Millisecond
	// minOutcomeDelay and maxOutcomeDelay bound how long a batch of outcomes is collected before
	// it is written. They are long because no caller waits for the write of an outcome.
	minOutcomeDelay = 250 * time.Millisecond
	maxOutcomeDelay = time.Minute
	// outcomeTransactionRate is the number of transactions per second that the outcomes of the
	// whole fleet may use. The delay of outcomes is computed from it.
	outcomeTransactionRate = 200
	// queueCapacity is the maximum number of writes in the queue of a batcher.
	queueCapacity = 16_384
	// writersPerBatcher is the maximum number of concurrent transactions of a batcher.
	writersPerBatcher = 2
	// writeTimeout is the timeout of one transaction.
	writeTimeout = 2 * time.Second
)

// pendingWrite is a queued write. Its result is sent on done, which has a buffer of one.
type pendingWrite struct {
	write store.Write
	done  chan error
	// taken is the number of bytes that the write holds of the batcher's budget.
	taken int64
}

// batcher combines the writes of many requests into few transactions.
type batcher struct {
	store *store.Store
	queue chan *pendingWrite
	// delay returns how long a batch is collected. A batch of maxRows rows is sent at once.
	delay   func() time.Duration
	maxRows int
	// flush is closed to send batches without the delay from then on.
	flush chan struct{}
	// retryUnavailable makes the batcher repeat a batch until the store answers.
	retryUnavailable bool
	// bytes bounds the values of the writes that enqueue has queued. It may be nil if enqueue is not used.
	bytes *bytebudget.Budget
	// unfinished is the number of writes that are queued or being written.
	unfinished atomic.Int64
}

func newBatcher(s *store.Store, maxRows int, delay func() time.Duration) *batcher {
	return &batcher{
		store: s, queue: make(chan *pendingWrite, queueCapacity), maxRows: maxRows, delay: delay, flush: make(chan struct{}),
	}
}

// outcomeDelay returns how long a daemon collects a batch of outcomes. The delay grows with the
// number of daemons, so that the fleet stays near outcomeTransactionRate.
func outcomeDelay(daemons int) time.Duration {
	delay := time.Duration(daemons) * time.Second / outcomeTransactionRate
	return min(max(delay, minOutcomeDelay), maxOutcomeDelay)
}

// write queues a write and waits until its transaction has ended. It returns a
// *store.ConflictError if the condition of this write failed, and an error that wraps
// store.ErrNoResponse if the queue is full or the effect of the write is unknown.
func (b *batcher) write(ctx context.Context, w store.Write) error {
	p := &pendingWrite{write: w, done: make(chan error, 1)}
	select {
	case b.queue <- p:
		b.unfinished.Add(1)
	default:
		return store.ErrNoResponse
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Join(store.ErrNoResponse, ctx.Err())
	}
}

// enqueue queues a write without waiting for its transaction. It returns false if the queue is
// full, or its values hold as many bytes as they may.
func (b *batcher) enqueue(w store.Write) bool {
	size := int64(len(w.Value))
	if !b.bytes.TryTake(size) {
		return false
	}
	select {
	case b.queue <- &pendingWrite{write: w, done: make(chan error, 1), taken: size}:
		b.unfinished.Add(1)
		return true
	default:
		b.bytes.Return(size)
		return false
	}
}

// run collects and sends batches until the context ends. Several calls may run concurrently.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			b.send(ctx, b.collect(first))
		}
	}
}

// collect returns a batch of the first write and the writes that are queued until the delay has
// passed or the batch is full.
func (b *batcher) collect(first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	timer := time.NewTimer(b.delay())
	defer timer.Stop()
	flush := b.flush
	for len(batch) < b.maxRows {
		select {
		case p := <-b.queue:
			if !slices.ContainsFunc(batch, func(o *pendingWrite) bool { return o.write.Key == p.write.Key }) {
				batch = append(batch, p)
				continue
			}
			// A transaction must not contain two writes of the same row, so the second one is
			// sent on its own.
			b.complete(p, b.sendOne(p))
		case <-timer.C:
			return batch
		case <-flush:
			// The timer expires at once. Writes that are already queued may still join the batch.
			timer.Reset(0)
			flush = nil
		}
	}
	return batch
}

// complete passes the result of a write to its sender.
func (b *batcher) complete(p *pendingWrite, err error) {
	b.unfinished.Add(-1)
	if p.taken > 0 {
		b.bytes.Return(p.taken)
	}
	p.done <- err
}

// sendOne sends a write in a transaction of its own.
func (b *batcher) sendOne(p *pendingWrite) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_, err := b.store.Transact(ctx, []store.Write{p.write})
	return err
}

// outcomeRetryDelay is the pause before a batch of outcomes is repeated because the store did not
// answer.
const outcomeRetryDelay = time.Second

// send writes a batch in one transaction. If the conditions of some writes fail, it completes
// these with a *store.ConflictError and repeats the transaction with the others. If the store does
// not answer and retryUnavailable is set, it repeats the transaction until the context ends.
func (b *batcher) send(ctx context.Context, batch []*pendingWrite) {
	for len(batch) > 0 {
		writes := make([]store.Write, len(batch))
		for i, p := range batch {
			writes[i] = p.write
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := b.store.Transact(callCtx, writes)
		cancel()
		if b.retryUnavailable && errors.Is(err, store.ErrNoResponse) && periodic.Sleep(ctx, outcomeRetryDelay) {
			continue
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			for _, p := range batch {
				b.complete(p, err)
			}
			return
		}
		batch = slices.DeleteFunc(batch, func(p *pendingWrite) bool {
			failed := slices.Contains(conflict.Keys, p.write.Key)
			if failed {
				b.complete(p, &store.ConflictError{Keys: []string{p.write.Key}})
			}
			return failed
		})
	}
}
