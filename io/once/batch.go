// Package once runs requests with an idempotency key at most once, on top of
// the decisions of core/once and the platform's table service.
package once

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"bilberrymux/core/store"
	"bilberrymux/io/loop"
)

// The batching of writes.
const (
	// claimRows and outcomeRows bound the rows of one transaction.
	claimRows   = 100
	outcomeRows = 1000
	// claimWait is how long a claim, which a caller waits for, waits for others.
	claimWait = 2 * time.Millisecond
	// leastOutcomeWait and mostOutcomeWait bound how long an outcome, which
	// nobody waits for, waits for others.
	leastOutcomeWait = 250 * time.Millisecond
	mostOutcomeWait  = time.Minute
	// outcomeRate is the transactions a second that outcomes of the whole fleet
	// may take.
	outcomeRate = 200
	// batchQueue bounds the writes that wait.
	batchQueue = 16_384
	// writers is the number of transactions under way at once.
	writers = 2
	// writeTimeout bounds one transaction.
	writeTimeout = 2 * time.Second
)

// pending is one write that waits for its transaction.
type pending struct {
	write store.Write
	done  chan error
}

// batcher joins writes of many requests into few transactions.
type batcher struct {
	store *store.Store
	queue chan *pending
	// wait returns how long a batch is collected, rows bounds it.
	wait func() time.Duration
	rows int
	// flush ends the collecting of batches at once.
	flush chan struct{}
	// persistent tries again until the store answers.
	persistent bool
	// waiting counts the writes that are queued or under way.
	waiting atomic.Int64
}

func newBatcher(s *store.Store, rows int, wait func() time.Duration) *batcher {
	return &batcher{
		store: s, queue: make(chan *pending, batchQueue), rows: rows, wait: wait, flush: make(chan struct{}),
	}
}

// outcomeWait spreads the transactions of a fleet of so many daemons.
func outcomeWait(daemons int) time.Duration {
	wait := time.Duration(daemons) * time.Second / outcomeRate
	return min(max(wait, leastOutcomeWait), mostOutcomeWait)
}

// write waits for the write's transaction. The error is a *store.ConflictError
// where the write's own condition failed, or wraps store.ErrNoResponse where its
// effect is unknown.
func (b *batcher) write(ctx context.Context, w store.Write) error {
	p := &pending{write: w, done: make(chan error, 1)}
	select {
	case b.queue <- p:
		b.waiting.Add(1)
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

// later queues a write that nobody waits for. It reports false where the queue
// is full.
func (b *batcher) later(w store.Write) bool {
	select {
	case b.queue <- &pending{write: w, done: make(chan error, 1)}:
		b.waiting.Add(1)
		return true
	default:
		return false
	}
}

// run sends transactions until the context ends.
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

// collect takes what waits already, and what comes within the batch wait.
func (b *batcher) collect(first *pending) []*pending {
	batch := []*pending{first}
	timer := time.NewTimer(b.wait())
	defer timer.Stop()
	flush := b.flush
	for len(batch) < b.rows {
		select {
		case p := <-b.queue:
			if !slices.ContainsFunc(batch, func(o *pending) bool { return o.write.Key == p.write.Key }) {
				batch = append(batch, p)
				continue
			}
			// Two writes of one row can't share a transaction.
			b.end(p, b.sendOne(p))
		case <-timer.C:
			return batch
		case <-flush:
			// What waits already goes as well.
			timer.Reset(0)
			flush = nil
		}
	}
	return batch
}

// end tells a write what became of it.
func (b *batcher) end(p *pending, err error) {
	b.waiting.Add(-1)
	p.done <- err
}

func (b *batcher) sendOne(p *pending) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_, err := b.store.Transact(ctx, []store.Write{p.write})
	return err
}

// storeRest is the pause before outcomes are written again.
const storeRest = time.Second

// send writes a batch. Writes whose condition failed are told so, and the rest
// goes again without them.
func (b *batcher) send(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		writes := make([]store.Write, len(batch))
		for i, p := range batch {
			writes[i] = p.write
		}
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := b.store.Transact(call, writes)
		cancel()
		if b.persistent && errors.Is(err, store.ErrNoResponse) && loop.Sleep(ctx, storeRest) {
			continue
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			for _, p := range batch {
				b.end(p, err)
			}
			return
		}
		batch = slices.DeleteFunc(batch, func(p *pending) bool {
			failed := slices.Contains(conflict.Keys, p.write.Key)
			if failed {
				b.end(p, &store.ConflictError{Keys: []string{p.write.Key}})
			}
			return failed
		})
	}
}
