// Package once runs requests with an idempotency key at most once, on top of
// the decisions of core/once and the platform's table service.
package once

import (
	"context"
	"errors"
	"slices"
	"time"

	"bilberrymux/core/store"
)

// The batching of writes.
const (
	// batchRows bounds the rows of one transaction.
	batchRows = 100
	// batchWait is how long a write waits for others while a transaction is on
	// its way.
	batchWait = 2 * time.Millisecond
	// batchQueue bounds the writes that wait.
	batchQueue = 4096
	// writers is the number of transactions under way at once.
	writers = 4
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
}

func newBatcher(s *store.Store) *batcher {
	return &batcher{store: s, queue: make(chan *pending, batchQueue)}
}

// write waits for the write's transaction. The error is a *store.ConflictError
// where the write's own condition failed, or wraps store.ErrAway where its
// effect is unknown.
func (b *batcher) write(ctx context.Context, w store.Write) error {
	p := &pending{write: w, done: make(chan error, 1)}
	select {
	case b.queue <- p:
	default:
		return store.ErrAway
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Join(store.ErrAway, ctx.Err())
	}
}

// later queues a write that nobody waits for. It reports false where the queue
// is full.
func (b *batcher) later(w store.Write) bool {
	select {
	case b.queue <- &pending{write: w, done: make(chan error, 1)}:
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
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < batchRows {
		select {
		case p := <-b.queue:
			if !slices.ContainsFunc(batch, func(o *pending) bool { return o.write.Key == p.write.Key }) {
				batch = append(batch, p)
				continue
			}
			// Two writes of one row can't share a transaction.
			p.done <- b.sendOne(p)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (b *batcher) sendOne(p *pending) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_, err := b.store.Transact(ctx, []store.Write{p.write})
	return err
}

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
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			for _, p := range batch {
				p.done <- err
			}
			return
		}
		batch = slices.DeleteFunc(batch, func(p *pending) bool {
			failed := slices.Contains(conflict.Keys, p.write.Key)
			if failed {
				p.done <- &store.ConflictError{Keys: []string{p.write.Key}}
			}
			return failed
		})
	}
}
