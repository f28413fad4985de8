// Package versions stores the shared configuration as a sequence of numbered versions and
// replicates it to the daemons. A version is committed by one conditional write to the table
// service. Daemons receive it from the table or from each other, and the version in force at a
// daemon never decreases.
package versions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/store"
)

// Row keys in the table and name prefixes in the object store.
const (
	headRowKey           = "config/head"
	versionRowPrefix     = "config/v/"
	patchIDRowPrefix     = "config/id/"
	snapshotObjectPrefix = "config/snapshot/"
	patchObjectPrefix    = "config/patch/"
)

// Retention and size limits.
const (
	// snapshotInterval is the number of versions between two snapshots.
	snapshotInterval = 100
	// maxHistoryRows is the number of version rows retained for History, Rollback and daemons
	// that reconnect after an absence.
	maxHistoryRows = 1000
	// maxRecentRecords is the number of versions that a daemon caches in memory for its peers.
	maxRecentRecords = 256
	// maxInlinePatchBytes is the size of the largest patch stored in its version row. A larger
	// patch is stored as an object.
	maxInlinePatchBytes = 64 << 10
)

// Record describes one accepted version of the configuration.
type Record struct {
	Number ident.Version `json:"number"`
	// ID is the identifier that the submitter chose for the patch. After a lost reply it tells
	// whether the patch was accepted.
	ID     string          `json:"id"`
	Author string          `json:"author,omitempty"`
	Time   time.Time       `json:"time"`
	Patch  json.RawMessage `json:"patch,omitempty"`
	// Object is the name of the object that holds the patch, if it is too large for a row.
	Object string `json:"object,omitempty"`
}

// head is the content of the row that holds the number of the latest version.
type head struct {
	Version ident.Version `json:"version"`
	// Snapshot is the latest version for which a snapshot is stored.
	Snapshot ident.Version `json:"snapshot"`
}

// StaleError reports that a patch was rejected because its base is not the current version.
type StaleError struct {
	Base, Current ident.Version
}

// Error implements the error interface.
func (e *StaleError) Error() string {
	return fmt.Sprintf("versions: patch against version %d is stale, current is %d", e.Base, e.Current)
}

// ErrOutcomeUnknown is returned if the store did not answer and it is unknown whether the patch
// was accepted. Submitting again with the same ID is safe.
var ErrOutcomeUnknown = errors.New("versions: the store did not answer; submit again with the same id")

// Replica holds a daemon's copy of the shared configuration and submits changes to it. It is safe
// for concurrent use.
type Replica struct {
	store *store.Store
	// onInstall is called after each change of the version in force, in version order and with
	// mu held. The records are nil if the change came from a snapshot.
	onInstall func(*config.Config, []Record)

	current atomic.Pointer[config.Config]

	mu sync.Mutex
	// recent holds the latest consecutive versions up to the one in force, oldest first.
	recent []Record
	// installedAt is the time at which the version in force was installed.
	installedAt time.Time
}

// New returns a replica at version 0, the empty configuration. If onInstall is not nil, it is
// called after each change of the version in force, with the new configuration and the records that
// led to it; the records are nil after the installation of a snapshot. Calls are serialized by the
// replica's lock, so that the callback must not call Apply, InstallSnapshot or RecordsAfter.
func New(s *store.Store, onInstall func(*config.Config, []Record)) *Replica {
	if onInstall == nil {
		onInstall = func(*config.Config, []Record) {}
	}
	r := &Replica{store: s, onInstall: onInstall}
	r.current.Store(config.Empty())
	return r
}

// Current returns the configuration in force at this daemon.
func (r *Replica) Current() *config.Config {
	return r.current.Load()
}

// Apply applies, in order, the records that directly follow the version in force and skips the
// others. It returns the number of records applied. A patch that cannot be applied is an error,
// since every accepted version was checked before it was committed.
func (r *Replica) Apply(records []Record) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current.Load()
	var applied []Record
	var applyErr error
	for _, record := range records {
		if record.Number != next.Version+1 || record.Patch == nil {
			continue
		}
		candidate, err := applyEncodedPatch(next, record.Patch)
		if err != nil {
			applyErr = fmt.Errorf("versions: apply version %d: %w", record.Number, err)
			break
		}
		next = candidate
		applied = append(applied, record)
	}
	if len(applied) > 0 {
		r.install(next, applied)
	}
	return len(applied), applyErr
}

// applyEncodedPatch decodes a JSON patch and applies it to c.
func applyEncodedPatch(c *config.Config, body []byte) (*config.Config, error) {
	patch, err := config.ParsePatch(body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}

// install makes next the version in force and caches the records for peers. The caller holds mu.
func (r *Replica) install(next *config.Config, records []Record) {
	r.recent = append(r.recent, records...)
	if extra := len(r.recent) - maxRecentRecords; extra > 0 {
		r.recent = append([]Record(nil), r.recent[extra:]...)
	}
	r.installedAt = time.Now()
	r.current.Store(next)
	r.onInstall(next, records)
}

// InstallSnapshot replaces the configuration with a complete snapshot if the snapshot's version is
// higher than the one in force.
func (r *Replica) InstallSnapshot(version ident.Version, body []byte) error {
	if version <= r.Current().Version {
		return nil
	}
	c, err := decodeSnapshot(version, body)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.current.Load().Version {
		return nil
	}
	r.recent = nil
	r.install(c, nil)
	return nil
}

// decodeSnapshot decodes the snapshot of a version, which is a patch against the empty
// configuration.
func decodeSnapshot(version ident.Version, body []byte) (*config.Config, error) {
	c, err := applyEncodedPatch(config.Empty(), body)
	if err != nil {
		return nil, fmt.Errorf("versions: decode snapshot %d: %w", version, err)
	}
	c.Version = version
	return c, nil
}

// RecordsAfter returns the cached records of all versions after the given one. It returns false if
// the cache does not reach back that far.
func (r *Replica) RecordsAfter(number ident.Version) ([]Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load().Version
	if number >= current {
		return nil, true
	}
	if len(r.recent) == 0 || r.recent[0].Number > number+1 {
		return nil, false
	}
	from := int(number + 1 - r.recent[0].Number)
	return append([]Record(nil), r.recent[from:]...), true
}

// SnapshotBody returns the version in force and the complete configuration, encoded as a JSON patch
// against the empty configuration.
func (r *Replica) SnapshotBody() (ident.Version, []byte, error) {
	c := r.Current()
	patch, err := c.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	body, err := json.Marshal(patch)
	if err != nil {
		return 0, nil, fmt.Errorf("versions: encode snapshot: %w", err)
	}
	return c.Version, body, nil
}

// Poll reads the head from the store and installs all versions up to it. A head below the version
// in force comes from a stale read and is ignored.
func (r *Replica) Poll(ctx context.Context) error {
	h, _, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	return r.catchUp(ctx, h)
}

// readHead reads the head row and its revision. Both are zero if there is no version yet.
func (r *Replica) readHead(ctx context.Context) (head, store.Revision, error) {
	row, ok, err := r.store.Read(ctx, headRowKey)
	if err != nil || !ok {
		return head{}, 0, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, fmt.Errorf("versions: decode head row: %w", err)
	}
	return h, row.Revision, nil
}

// catchUp installs all versions up to h. If the latest snapshot is more than snapshotInterval
// versions ahead, it installs that first.
func (r *Replica) catchUp(ctx context.Context, h head) error {
	if h.Snapshot > r.Current().Version+snapshotInterval {
		if err := r.loadSnapshot(ctx, h.Snapshot); err != nil {
			return err
		}
	}
	for r.Current().Version < h.Version {
		records, err := r.readVersions(ctx, r.Current().Version, snapshotInterval)
		if err != nil {
			return err
		}
		n, err := r.Apply(records)
		if err != nil {
			return err
		}
		if n == 0 && r.Current().Version < h.Version {
			return fmt.Errorf("versions: version %d is missing in the store", r.Current().Version+1)
		}
	}
	return nil
}

// loadSnapshot reads the snapshot of a version from the object store and installs it.
func (r *Replica) loadSnapshot(ctx context.Context, version ident.Version) error {
	body, err := r.store.GetObject(ctx, objectName(snapshotObjectPrefix, version))
	if err != nil {
		return fmt.Errorf("versions: read snapshot %d: %w", version, err)
	}
	return r.InstallSnapshot(version, body)
}

// objectName returns the name of a version's object. Numbers are padded with zeros, so that names
// sort by version.
func objectName(prefix string, version ident.Version) string {
	return fmt.Sprintf("%s%020d", prefix, version)
}

// versionRowKey returns the key of a version's row. Numbers are padded with zeros, so that a scan
// returns rows by version.
func versionRowKey(version ident.Version) string {
	return fmt.Sprintf("%s%020d", versionRowPrefix, version)
}

// readVersions reads up to limit versions after the given one, in order, including patches that are
// stored as objects.
func (r *Replica) readVersions(ctx context.Context, after ident.Version, limit int) ([]Record, error) {
	rows, err := r.store.Scan(ctx, versionRowPrefix, versionRowKey(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, fmt.Errorf("versions: decode row %s: %w", row.Key, err)
		}
		if err := r.loadPatchObject(ctx, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// loadPatchObject fills in the patch of a record from the object store if it is not in the row.
func (r *Replica) loadPatchObject(ctx context.Context, record *Record) error {
	if record.Object == "" {
		return nil
	}
	body, err := r.store.GetObject(ctx, record.Object)
	if err != nil {
		return fmt.Errorf("versions: read patch of version %d: %w", record.Number, err)
	}
	record.Patch = body
	return nil
}
