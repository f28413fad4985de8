package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bilberrymux/core/once"
	"bilberrymux/core/store"
	"bilberrymux/io/periodic"
)

// Intervals and limits of the deletion of old claim rows.
const (
	// cleanPeriod is the interval at which a daemon cleans its partitions.
	cleanPeriod = 6 * time.Hour
	// partitionPause is the pause between two partitions. It spreads the reads over time.
	partitionPause = 5 * time.Second
	// maxCleanRows is the maximum number of rows in one cleaning transaction.
	maxCleanRows = 50
)

// Cleaner deletes answers and claim rows whose retention time has passed. The key space is split
// into partitions, and each daemon cleans those that it owns. Two daemons may clean the same
// partition at the same time, since every write is conditional on the revision of its row.
type Cleaner struct {
	Store     *store.Store
	Retention once.Retention
	// Owns reports whether this daemon cleans the partition with the given key prefix.
	Owns func(partition string) bool
	// Count adds n to the named counter.
	Count func(name string, n int64)
}

// Run cleans the partitions of this daemon every cleanPeriod until the context ends.
func (c *Cleaner) Run(ctx context.Context) {
	for periodic.Sleep(ctx, cleanPeriod) {
		for _, partition := range once.ClaimPartitions() {
			if !c.Owns(partition) {
				continue
			}
			if err := c.CleanPartition(ctx, partition, time.Now()); err != nil {
				c.Count("once.cleanFailed", 1)
			}
			if !periodic.Sleep(ctx, partitionPause) {
				return
			}
		}
	}
}

// CleanPartition applies the retention times to the rows of one partition, which is given by its
// key prefix. It returns an error if the store does not answer.
func (c *Cleaner) CleanPartition(ctx context.Context, partition string, now time.Time) error {
	rows, err := c.Store.ScanAll(ctx, partition)
	if err != nil {
		return err
	}
	var writes []store.Write
	for _, row := range rows {
		if w, due := c.cleanupWrite(row, now); due {
			writes = append(writes, w)
		}
	}
	for len(writes) > 0 {
		n := min(len(writes), maxCleanRows)
		if err := c.apply(ctx, writes[:n]); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}

// cleanupWrite returns the write that deletes a row or its answer, and whether such a write is due.
func (c *Cleaner) cleanupWrite(row store.Row, now time.Time) (store.Write, bool) {
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

// apply writes a batch in one transaction. If one of its rows was changed since it was read, nothing
// is written and the rows are left to the next run.
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
