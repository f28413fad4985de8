package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bilberrymux/core/once"
	"bilberrymux/core/store"
	"bilberrymux/io/loop"
)

// The cleaning of claim rows.
const (
	// cleanPeriod is how often a daemon goes through its slices.
	cleanPeriod = 6 * time.Hour
	// sliceRest is the pause between two slices, which spreads the reads.
	sliceRest = 5 * time.Second
	// cleanBatch bounds the rows of one cleaning transaction.
	cleanBatch = 50
)

// Cleaner drops answers and claims past their windows. The key space is split
// into slices, and each daemon cleans those that it owns; two daemons that both
// think they own a slice do no harm, since every write is conditional.
type Cleaner struct {
	Store     *store.Store
	Retention once.Retention
	// Owns reports whether this daemon cleans a slice.
	Owns func(slice string) bool
	// Count adds to the counter of that name.
	Count func(name string, n int64)
}

// Run cleans until the context ends.
func (c *Cleaner) Run(ctx context.Context) {
	for loop.Sleep(ctx, cleanPeriod) {
		for _, slice := range once.ClaimPartitions() {
			if !c.Owns(slice) {
				continue
			}
			if err := c.CleanPartition(ctx, slice, time.Now()); err != nil {
				c.Count("once.cleanFailed", 1)
			}
			if !loop.Sleep(ctx, sliceRest) {
				return
			}
		}
	}
}

// CleanPartition trims and deletes the rows of one slice.
func (c *Cleaner) CleanPartition(ctx context.Context, slice string, now time.Time) error {
	rows, err := c.Store.ScanAll(ctx, slice)
	if err != nil {
		return err
	}
	var writes []store.Write
	for _, row := range rows {
		if w, due := c.due(row, now); due {
			writes = append(writes, w)
		}
	}
	for len(writes) > 0 {
		n := min(len(writes), cleanBatch)
		if err := c.apply(ctx, writes[:n]); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}

// due returns what is to be done to a row.
func (c *Cleaner) due(row store.Row, now time.Time) (store.Write, bool) {
	w := store.Write{Key: row.Key, Expect: store.AtRevision, Revision: row.Revision}
	var claim once.Claim
	if json.Unmarshal(row.Value, &claim) != nil {
		return w, false
	}
	age := now.Sub(claim.Time)
	if age > c.Retention.Keys {
		w.Delete = true
		return w, true
	}
	if age <= c.Retention.Answers || claim.AnswerDropped || claim.Answer == nil {
		return w, false
	}
	claim.Answer, claim.AnswerDropped = nil, true
	value, err := json.Marshal(claim)
	if err != nil {
		return w, false
	}
	w.Value = value
	return w, true
}

// apply writes a batch. Rows that changed meanwhile are left for the next time.
func (c *Cleaner) apply(ctx context.Context, writes []store.Write) error {
	_, err := c.Store.Transact(ctx, writes)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err == nil {
		c.Count("once.cleaned", int64(len(writes)))
	}
	return err
}
