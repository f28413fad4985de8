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

// Submission is a patch that an operator wants in force.
type Submission struct {
	// ID names the patch. Submitting the same id again gives the outcome of
	// the first time.
	ID     string
	Author string
	// Base is the version that the patch was made against.
	Base  ident.Version
	Patch json.RawMessage
}

// retryPause is the pause between two tries while the store does not answer.
const retryPause = 200 * time.Millisecond

// Submit checks a patch whole and puts it in force as the next version. It
// returns the number under which the patch was accepted, a *StaleError, a
// *config.InvalidError, or ErrOutcomeUnknown when the context ended before the
// store answered.
func (k *Keeper) Submit(ctx context.Context, s Submission) (ident.Version, error) {
	if s.ID == "" {
		return 0, fmt.Errorf("versions: a submission needs an id")
	}
	object, err := k.putBig(ctx, &s)
	if err != nil {
		return 0, err
	}
	for {
		number, err := k.submitOnce(ctx, s, object)
		if err == nil || !errors.Is(err, store.ErrNoResponse) {
			return number, err
		}
		// The write may have taken effect. The same write again settles it:
		// its conditions let at most one of the two through.
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		case <-time.After(retryPause):
		}
	}
}

// putBig stores a patch that is too big for a row, and returns the object.
func (k *Keeper) putBig(ctx context.Context, s *Submission) (string, error) {
	if len(s.Patch) <= maxRowPatch {
		return "", nil
	}
	name := patchName + s.ID
	if err := k.store.PutObject(ctx, name, s.Patch); err != nil {
		return "", fmt.Errorf("versions: store patch: %w", err)
	}
	return name, nil
}

func (k *Keeper) submitOnce(ctx context.Context, s Submission, object string) (ident.Version, error) {
	if number, won, err := k.resolve(ctx, s.ID); err != nil || won {
		return number, err
	}
	h, revision, err := k.readHead(ctx)
	if err != nil {
		return 0, err
	}
	// A stale read of the head must not let a patch look current.
	if current := max(h.Version, k.Current().Version); s.Base != current {
		return k.refuseStale(ctx, s, current)
	}
	if h.Version < s.Base {
		return 0, errStaleRead
	}
	if err := k.catchUp(ctx, h); err != nil {
		return 0, err
	}
	next, err := k.check(s)
	if err != nil {
		return 0, err
	}
	record := Record{Number: next.Version, ID: s.ID, Author: s.Author, Time: time.Now().UTC(), Patch: s.Patch}
	if err := k.commit(ctx, record, object, h, revision); err != nil {
		return k.lost(ctx, s, err)
	}
	if _, err := k.Learn([]Record{record}); err != nil {
		return 0, err
	}
	k.maintain(ctx, h)
	return record.Number, nil
}

// check applies the patch to the version it names.
func (k *Keeper) check(s Submission) (*config.Config, error) {
	patch, err := config.ParsePatch(s.Patch)
	if err != nil {
		return nil, err
	}
	base := k.Current()
	if base.Version != s.Base {
		return nil, &StaleError{s.Base, base.Version}
	}
	return base.Apply(patch)
}

// Check applies a patch to the version in force without submitting it.
func (k *Keeper) Check(patch json.RawMessage) error {
	p, err := config.ParsePatch(patch)
	if err != nil {
		return err
	}
	_, err = k.Current().Apply(p)
	return err
}

// commit writes the version, its id and the head in one transaction.
func (k *Keeper) commit(ctx context.Context, r Record, object string, h head, revision store.Revision) error {
	if object != "" {
		r.Patch, r.Object = nil, object
	}
	row, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	headRow, err := json.Marshal(head{Version: r.Number, Snapshot: h.Snapshot})
	if err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	number, err := json.Marshal(r.Number)
	if err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	expect := store.AtRevision
	if revision == 0 {
		expect = store.Absent
	}
	_, err = k.store.Transact(ctx, []store.Write{
		{Key: headKey, Value: headRow, Expect: expect, Revision: revision},
		{Key: rowKey(r.Number), Value: row, Expect: store.Absent},
		{Key: patchIDKey + r.ID, Value: number, Expect: store.Absent},
	})
	return err
}

// lost finds out what a conflict means: an earlier try of the same patch won,
// or another patch did.
func (k *Keeper) lost(ctx context.Context, s Submission, err error) (ident.Version, error) {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return 0, err
	}
	h, _, err := k.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if h.Version <= s.Base {
		// The condition failed because the head was read stale; the base may be
		// current.
		return 0, errStaleRead
	}
	return k.refuseStale(ctx, s, h.Version)
}

// errStaleRead marks a read that did not see what is known to be there. Trying
// again helps.
var errStaleRead = fmt.Errorf("%w: stale read", store.ErrNoResponse)

// refuseStale says that a patch is stale, once it is certain that no earlier
// try of it was accepted. Reads may be stale, so that the condition of a write
// is asked: deleting the row of the id, where there is none, changes nothing.
func (k *Keeper) refuseStale(ctx context.Context, s Submission, current ident.Version) (ident.Version, error) {
	_, err := k.store.Transact(ctx, []store.Write{{Key: patchIDKey + s.ID, Delete: true, Expect: store.Absent}})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return 0, &StaleError{s.Base, current}
	case !errors.As(err, &conflict):
		return 0, err
	}
	number, won, err := k.resolve(ctx, s.ID)
	if err == nil && !won {
		err = errStaleRead
	}
	return number, err
}

// resolve reports whether a patch of that id was accepted, and as what.
func (k *Keeper) resolve(ctx context.Context, id string) (ident.Version, bool, error) {
	row, ok, err := k.store.Read(ctx, patchIDKey+id)
	if err != nil || !ok {
		return 0, false, err
	}
	var number ident.Version
	if err := json.Unmarshal(row.Value, &number); err != nil {
		return 0, false, fmt.Errorf("versions: id row: %w", err)
	}
	// The winner may not be in force here yet.
	if err := k.Poll(ctx); err != nil && !errors.Is(err, store.ErrNoResponse) {
		return 0, false, err
	}
	return number, true, nil
}

// maintain writes a snapshot now and then, and drops versions that are older
// than the history. Whoever accepts a version does it; a failure leaves it to
// the next.
func (k *Keeper) maintain(ctx context.Context, old head) {
	version := k.Current().Version
	if version < old.Snapshot+snapshotEvery {
		return
	}
	at, body, err := k.SnapshotBody()
	if err != nil || k.store.PutObject(ctx, objectName(snapshotName, at), body) != nil {
		return
	}
	h, revision, err := k.readHead(ctx)
	if err != nil || h.Snapshot >= at {
		return
	}
	row, err := json.Marshal(head{Version: h.Version, Snapshot: at})
	if err != nil {
		return
	}
	writes := []store.Write{{Key: headKey, Value: row, Expect: store.AtRevision, Revision: revision}}
	_, _ = k.store.Transact(ctx, append(writes, k.expired(ctx, at)...))
}

// expired returns the deletions of versions that fell out of the history.
func (k *Keeper) expired(ctx context.Context, version ident.Version) []store.Write {
	if version <= historyKept {
		return nil
	}
	rows, err := k.store.Scan(ctx, versionsKey, "", 2*snapshotEvery)
	if err != nil {
		return nil
	}
	var writes []store.Write
	for _, row := range rows {
		var r Record
		if json.Unmarshal(row.Value, &r) != nil || r.Number+historyKept > version {
			continue
		}
		writes = append(
			writes,
			store.Write{Key: row.Key, Delete: true, Expect: store.Anything},
			store.Write{Key: patchIDKey + r.ID, Delete: true, Expect: store.Anything},
		)
	}
	return writes
}

// History returns the last versions that are kept, the newest first.
func (k *Keeper) History(ctx context.Context, limit int) ([]Record, error) {
	h, _, err := k.readHead(ctx)
	if err != nil {
		return nil, err
	}
	from := ident.Version(0)
	if h.Version > ident.Version(limit) {
		from = h.Version - ident.Version(limit)
	}
	records, err := k.readVersions(ctx, from, limit)
	slices.Reverse(records)
	return records, err
}

// At rebuilds an older version from the snapshot before it and the versions in
// between. It returns an error where those are not kept any more.
func (k *Keeper) At(ctx context.Context, number ident.Version) (*config.Config, error) {
	base, err := k.snapshotBefore(ctx, number)
	if err != nil {
		return nil, err
	}
	side := New(k.store, nil)
	side.current.Store(base)
	for side.Current().Version < number {
		want := int(number - side.Current().Version)
		records, err := side.readVersions(ctx, side.Current().Version, min(want, snapshotEvery))
		if err != nil {
			return nil, err
		}
		n, err := side.Learn(records)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, fmt.Errorf("versions: version %d is not kept or does not exist", number)
		}
	}
	return side.Current(), nil
}

// snapshotBefore returns the nearest snapshot at or before a version, or the
// empty configuration.
func (k *Keeper) snapshotBefore(ctx context.Context, number ident.Version) (*config.Config, error) {
	for at := number; at > 0 && at+2*snapshotEvery > number; at-- {
		body, err := k.store.GetObject(ctx, objectName(snapshotName, at))
		if errors.Is(err, store.ErrNoObject) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return fromSnapshot(at, body)
	}
	return config.Empty(), nil
}

// Rollback puts the content of an older version in force as a new version.
func (k *Keeper) Rollback(ctx context.Context, to ident.Version, id, author string) (ident.Version, error) {
	if err := k.Poll(ctx); err != nil {
		return 0, err
	}
	current := k.Current()
	old, err := k.At(ctx, to)
	if err != nil {
		return 0, err
	}
	diff, err := old.Diff(current)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(diff)
	if err != nil {
		return 0, fmt.Errorf("versions: %w", err)
	}
	return k.Submit(ctx, Submission{ID: id, Author: author, Base: current.Version, Patch: body})
}
