package versions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/store"
)

// Submission is a request to apply a patch to the shared configuration.
type Submission struct {
	// ID identifies the patch and makes submission idempotent: submitting an accepted ID again
	// returns the version of the first submission, as long as that version is in the history.
	ID     string
	Author string
	// Base is the version to which the patch applies. It must be the current one.
	Base  ident.Version
	Patch json.RawMessage
}

// retryDelay is the delay between two attempts while the store does not answer.
const retryDelay = 200 * time.Millisecond

// Submit validates a patch and commits it as the next version. It returns the number of the
// accepted version. The error is a *StaleError if the base is not current, a *config.InvalidError
// if the resulting configuration is invalid, and ErrOutcomeUnknown if the context ends before the
// store has answered.
func (r *Replica) Submit(ctx context.Context, s Submission) (ident.Version, error) {
	if s.ID == "" {
		return 0, fmt.Errorf("versions: a submission needs an id")
	}
	object, err := r.storeLargePatch(ctx, &s)
	if err != nil {
		return 0, err
	}
	for {
		number, err := r.submitOnce(ctx, s, object)
		if err == nil || !errors.Is(err, store.ErrNoResponse) {
			return number, err
		}
		// The transaction may have been committed although its reply was lost. Repeating it is
		// safe, because its conditions let at most one of the attempts succeed.
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		case <-time.After(retryDelay):
		}
	}
}

// storeLargePatch writes a patch that is too large for a row to the object store and returns the
// object's name. The name is empty if the patch fits into a row.
func (r *Replica) storeLargePatch(ctx context.Context, s *Submission) (string, error) {
	if len(s.Patch) <= maxInlinePatchBytes {
		return "", nil
	}
	name := patchObjectPrefix + s.ID
	if err := r.store.PutObject(ctx, name, s.Patch); err != nil {
		return "", fmt.Errorf("versions: store patch: %w", err)
	}
	return name, nil
}

// submitOnce makes one attempt to commit a submission, whose patch is in the given object unless
// the name is empty. The error wraps store.ErrNoResponse if the attempt may be repeated.
func (r *Replica) submitOnce(ctx context.Context, s Submission, object string) (ident.Version, error) {
	if number, accepted, err := r.findAccepted(ctx, s.ID); err != nil || accepted {
		return number, err
	}
	h, revision, err := r.readHead(ctx)
	if err != nil {
		return 0, err
	}
	// The head may come from a stale read. The version in force here is a lower bound for the
	// current version, so that an outdated patch is not taken for a current one.
	if current := max(h.Version, r.Current().Version); s.Base != current {
		return r.confirmStale(ctx, s, current)
	}
	if h.Version < s.Base {
		return 0, errStaleRead
	}
	if err := r.catchUp(ctx, h); err != nil {
		return 0, err
	}
	next, err := r.applyToBase(s)
	if err != nil {
		return 0, err
	}
	record := Record{Number: next.Version, ID: s.ID, Author: s.Author, Time: time.Now().UTC(), Patch: s.Patch}
	if err := r.commit(ctx, record, object, h, revision); err != nil {
		return r.resolveConflict(ctx, s, err)
	}
	if _, err := r.Apply([]Record{record}); err != nil {
		return 0, err
	}
	r.snapshotAndTrim(ctx, h)
	return record.Number, nil
}

// applyToBase applies the patch to its base and returns the resulting configuration. It returns a
// *StaleError if the base is no longer the version in force.
func (r *Replica) applyToBase(s Submission) (*config.Config, error) {
	patch, err := config.ParsePatch(s.Patch)
	if err != nil {
		return nil, err
	}
	base := r.Current()
	if base.Version != s.Base {
		return nil, &StaleError{s.Base, base.Version}
	}
	return base.Apply(patch)
}

// Check returns an error if a patch cannot be applied to the version in force. It submits nothing.
func (r *Replica) Check(patch json.RawMessage) error {
	p, err := config.ParsePatch(patch)
	if err != nil {
		return err
	}
	_, err = r.Current().Apply(p)
	return err
}

// commit writes the version row, the ID row and the head row in one transaction. It fails with a
// *store.ConflictError if another version was committed first.
func (r *Replica) commit(ctx context.Context, record Record, object string, h head, revision store.Revision) error {
	if object != "" {
		record.Patch, record.Object = nil, object
	}
	row, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("versions: encode version %d: %w", record.Number, err)
	}
	headRow, err := json.Marshal(head{Version: record.Number, Snapshot: h.Snapshot})
	if err != nil {
		return fmt.Errorf("versions: encode head row: %w", err)
	}
	number, err := json.Marshal(record.Number)
	if err != nil {
		return fmt.Errorf("versions: encode id row: %w", err)
	}
	expect := store.AtRevision
	if revision == 0 {
		expect = store.Absent
	}
	_, err = r.store.Transact(ctx, []store.Write{
		{Key: headRowKey, Value: headRow, Expect: expect, Revision: revision},
		{Key: versionRowKey(record.Number), Value: row, Expect: store.Absent},
		{Key: patchIDRowPrefix + record.ID, Value: number, Expect: store.Absent},
	})
	return err
}

// resolveConflict returns the outcome of a submission whose commit failed. After a conflict, either
// an earlier attempt of the same submission was committed or another patch was. Other errors are
// returned as they are.
func (r *Replica) resolveConflict(ctx context.Context, s Submission, err error) (ident.Version, error) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return 0, err
	}
	h, _, err := r.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if h.Version <= s.Base {
		// The condition failed because of a stale read of the head. The base may still be current.
		return 0, errStaleRead
	}
	return r.confirmStale(ctx, s, h.Version)
}

// errStaleRead reports a read that missed a write known to be committed. It wraps store.ErrNoResponse,
// so that Submit tries again.
var errStaleRead = fmt.Errorf("%w: stale read", store.ErrNoResponse)

// confirmStale returns a *StaleError once it is certain that no earlier attempt of the submission
// was accepted, and otherwise the accepted version. Since reads may be stale, it tests for the ID
// row with a conditional write: it deletes the row on condition that the row is absent, which
// changes nothing and conflicts if the row exists.
func (r *Replica) confirmStale(ctx context.Context, s Submission, current ident.Version) (ident.Version, error) {
	_, err := r.store.Transact(ctx, []store.Write{{Key: patchIDRowPrefix + s.ID, Delete: true, Expect: store.Absent}})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return 0, &StaleError{s.Base, current}
	case !errors.As(err, &conflict):
		return 0, err
	}
	number, accepted, err := r.findAccepted(ctx, s.ID)
	if err == nil && !accepted {
		err = errStaleRead
	}
	return number, err
}

// findAccepted reports whether a patch with the given ID was accepted, and as which version. If so,
// it also tries to install the versions that are missing here.
func (r *Replica) findAccepted(ctx context.Context, id string) (ident.Version, bool, error) {
	row, ok, err := r.store.Read(ctx, patchIDRowPrefix+id)
	if err != nil || !ok {
		return 0, false, err
	}
	var number ident.Version
	if err := json.Unmarshal(row.Value, &number); err != nil {
		return 0, false, fmt.Errorf("versions: decode id row: %w", err)
	}
	// The accepted version may not be installed at this daemon yet.
	if err := r.Poll(ctx); err != nil && !errors.Is(err, store.ErrNoResponse) {
		return 0, false, err
	}
	return number, true, nil
}

// snapshotAndTrim writes a snapshot if the last one is at least snapshotInterval versions old, and
// deletes the rows of versions that are older than the history. The daemon that committed a version
// calls it. Errors are ignored, since the next commit tries again.
func (r *Replica) snapshotAndTrim(ctx context.Context, old head) {
	version := r.Current().Version
	if version < old.Snapshot+snapshotInterval {
		return
	}
	at, body, err := r.SnapshotBody()
	if err != nil || r.store.PutObject(ctx, objectName(snapshotObjectPrefix, at), body) != nil {
		return
	}
	h, revision, err := r.readHead(ctx)
	if err != nil || h.Snapshot >= at {
		return
	}
	row, err := json.Marshal(head{Version: h.Version, Snapshot: at})
	if err != nil {
		return
	}
	writes := []store.Write{{Key: headRowKey, Value: row, Expect: store.AtRevision, Revision: revision}}
	_, _ = r.store.Transact(ctx, append(writes, r.expiredDeletes(ctx, at)...))
}

// expiredDeletes returns the writes that delete the version and ID rows of versions older than the
// history.
func (r *Replica) expiredDeletes(ctx context.Context, version ident.Version) []store.Write {
	if version <= maxHistoryRows {
		return nil
	}
	rows, err := r.store.Scan(ctx, versionRowPrefix, "", 2*snapshotInterval)
	if err != nil {
		return nil
	}
	var writes []store.Write
	for _, row := range rows {
		var record Record
		if json.Unmarshal(row.Value, &record) != nil || record.Number+maxHistoryRows > version {
			continue
		}
		writes = append(
			writes,
			store.Write{Key: row.Key, Delete: true, Expect: store.Anything},
			store.Write{Key: patchIDRowPrefix + record.ID, Delete: true, Expect: store.Anything},
		)
	}
	return writes
}

// History returns up to limit of the latest versions, newest first.
func (r *Replica) History(ctx context.Context, limit int) ([]Record, error) {
	h, _, err := r.readHead(ctx)
	if err != nil {
		return nil, err
	}
	from := ident.Version(0)
	if h.Version > ident.Version(limit) {
		from = h.Version - ident.Version(limit)
	}
	records, err := r.readVersions(ctx, from, limit)
	slices.Reverse(records)
	return records, err
}

// At reconstructs the configuration of an older version from the nearest earlier snapshot and the
// versions that follow it. It returns an error if these are no longer stored.
func (r *Replica) At(ctx context.Context, number ident.Version) (*config.Config, error) {
	base, err := r.snapshotBefore(ctx, number)
	if err != nil {
		return nil, err
	}
	rebuilt := New(r.store, nil)
	rebuilt.current.Store(base)
	for rebuilt.Current().Version < number {
		want := int(number - rebuilt.Current().Version)
		records, err := rebuilt.readVersions(ctx, rebuilt.Current().Version, min(want, snapshotInterval))
		if err != nil {
			return nil, err
		}
		n, err := rebuilt.Apply(records)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, fmt.Errorf("versions: version %d is no longer stored or does not exist", number)
		}
	}
	return rebuilt.Current(), nil
}

// snapshotBefore returns the latest snapshot at or before a version. It searches
// 2*snapshotInterval versions back and returns the empty configuration if there is none.
func (r *Replica) snapshotBefore(ctx context.Context, number ident.Version) (*config.Config, error) {
	for at := number; at > 0 && at+2*snapshotInterval > number; at-- {
		body, err := r.store.GetObject(ctx, objectName(snapshotObjectPrefix, at))
		if errors.Is(err, store.ErrNoObject) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return decodeSnapshot(at, body)
	}
	return config.Empty(), nil
}

// Rollback submits the content of an older version as a new version on top of the current one.
func (r *Replica) Rollback(ctx context.Context, to ident.Version, id, author string) (ident.Version, error) {
	if err := r.Poll(ctx); err != nil {
		return 0, err
	}
	current := r.Current()
	old, err := r.At(ctx, to)
	if err != nil {
		return 0, err
	}
	diff, err := old.Diff(current)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(diff)
	if err != nil {
		return 0, fmt.Errorf("versions: encode rollback patch: %w", err)
	}
	return r.Submit(ctx, Submission{ID: id, Author: author, Base: current.Version, Patch: body})
}
