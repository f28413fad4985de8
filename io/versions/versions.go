// Package versions keeps the numbered versions of the shared configuration. A
// version is accepted by one conditional write in the table service; daemons
// learn of it from the table or from each other and never step back.
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

// Rows and objects of the configuration.
const (
	headKey      = "config/head"
	versionsKey  = "config/v/"
	patchIDKey   = "config/id/"
	snapshotName = "config/snapshot/"
	patchName    = "config/patch/"
)

// How much is kept, and when a patch is too big for a row.
const (
	// snapshotEvery is the number of versions between two snapshots.
	snapshotEvery = 100
	// historyKept is the number of version rows that stay for history,
	// rollback and daemons that were away.
	historyKept = 1000
	// recentKept is the number of versions a daemon keeps for its peers.
	recentKept = 256
	// maxRowPatch is the size in bytes from which a patch becomes an object.
	maxRowPatch = 64 << 10
)

// Record is one accepted version.
type Record struct {
	Number ident.Version `json:"number"`
	// ID is the submitter's name for the patch, by which a lost reply is
	// resolved.
	ID     string          `json:"id"`
	Author string          `json:"author,omitempty"`
	Time   time.Time       `json:"time"`
	Patch  json.RawMessage `json:"patch,omitempty"`
	// Object names the object that holds a patch too big for a row.
	Object string `json:"object,omitempty"`
}

// head is the row that names the latest version.
type head struct {
	Version ident.Version `json:"version"`
	// Snapshot is the latest version of which there is a snapshot.
	Snapshot ident.Version `json:"snapshot"`
}

// StaleError refuses a patch that was made against another version.
type StaleError struct {
	Base, Current ident.Version
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("versions: patch against version %d is stale, current is %d", e.Base, e.Current)
}

// ErrOutcomeUnknown marks a submission whose outcome could not be found out.
// Submitting again with the same id is safe.
var ErrOutcomeUnknown = errors.New("versions: the store did not answer; submit again with the same id")

// Replica holds the version in force at one daemon. It is safe for concurrent
// use.
type Replica struct {
	store *store.Store
	// applied is told of each batch of versions that came into force here, in
	// order, with the lock held.
	applied func(*config.Config, []Record)

	current atomic.Pointer[config.Config]

	mu     sync.Mutex
	recent []Record
	// since is when the version in force was applied.
	since time.Time
}

// New returns a keeper at version 0. Applied is told of each change and may be
// nil.
func New(s *store.Store, applied func(*config.Config, []Record)) *Replica {
	if applied == nil {
		applied = func(*config.Config, []Record) {}
	}
	k := &Replica{store: s, applied: applied}
	k.current.Store(config.Empty())
	return k
}

// Current returns the version in force.
func (k *Replica) Current() *config.Config {
	return k.current.Load()
}

// Apply applies versions that follow the one in force and ignores the others.
// It returns how many came into force. A patch that does not apply is an error,
// since accepted versions always do.
func (k *Replica) Apply(records []Record) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := k.current.Load()
	var done []Record
	var failed error
	for _, r := range records {
		if r.Number != next.Version+1 || r.Patch == nil {
			continue
		}
		after, err := applyBody(next, r.Patch)
		if err != nil {
			failed = fmt.Errorf("versions: version %d: %w", r.Number, err)
			break
		}
		next = after
		done = append(done, r)
	}
	if len(done) > 0 {
		k.install(next, done)
	}
	return len(done), failed
}

func applyBody(c *config.Config, body []byte) (*config.Config, error) {
	patch, err := config.ParsePatch(body)
	if err != nil {
		return nil, err
	}
	return c.Apply(patch)
}

// install puts a version in force. The lock is held.
func (k *Replica) install(next *config.Config, records []Record) {
	k.recent = append(k.recent, records...)
	if extra := len(k.recent) - recentKept; extra > 0 {
		k.recent = append([]Record(nil), k.recent[extra:]...)
	}
	k.since = time.Now()
	k.current.Store(next)
	k.applied(next, records)
}

// InstallSnapshot takes over a whole version, if it is higher than the one in
// force.
func (k *Replica) InstallSnapshot(version ident.Version, body []byte) error {
	if version <= k.Current().Version {
		return nil
	}
	c, err := fromSnapshot(version, body)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.current.Load().Version {
		return nil
	}
	k.recent = nil
	k.install(c, nil)
	return nil
}

func fromSnapshot(version ident.Version, body []byte) (*config.Config, error) {
	c, err := applyBody(config.Empty(), body)
	if err != nil {
		return nil, fmt.Errorf("versions: snapshot %d: %w", version, err)
	}
	c.Version = version
	return c, nil
}

// RecordsAfter returns the versions after a number that this daemon can hand on, and
// false where the gap is too wide.
func (k *Replica) RecordsAfter(number ident.Version) ([]Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.current.Load().Version
	if number >= current {
		return nil, true
	}
	if len(k.recent) == 0 || k.recent[0].Number > number+1 {
		return nil, false
	}
	from := int(number + 1 - k.recent[0].Number)
	return append([]Record(nil), k.recent[from:]...), true
}

// SnapshotBody returns the whole configuration in force as a patch against the
// empty one.
func (k *Replica) SnapshotBody() (ident.Version, []byte, error) {
	c := k.Current()
	patch, err := c.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	body, err := json.Marshal(patch)
	if err != nil {
		return 0, nil, fmt.Errorf("versions: %w", err)
	}
	return c.Version, body, nil
}

// Poll reads the head from the store and catches up with it. A head below the
// version in force is a stale read and changes nothing.
func (k *Replica) Poll(ctx context.Context) error {
	h, _, err := k.readHead(ctx)
	if err != nil {
		return err
	}
	return k.catchUp(ctx, h)
}

func (k *Replica) readHead(ctx context.Context) (head, store.Revision, error) {
	row, ok, err := k.store.Read(ctx, headKey)
	if err != nil || !ok {
		return head{}, 0, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, fmt.Errorf("versions: head: %w", err)
	}
	return h, row.Revision, nil
}

// catchUp reads the versions up to a head, from a snapshot where that is nearer.
func (k *Replica) catchUp(ctx context.Context, h head) error {
	if h.Snapshot > k.Current().Version+snapshotEvery {
		if err := k.loadSnapshot(ctx, h.Snapshot); err != nil {
			return err
		}
	}
	for k.Current().Version < h.Version {
		records, err := k.readVersions(ctx, k.Current().Version, snapshotEvery)
		if err != nil {
			return err
		}
		n, err := k.Apply(records)
		if err != nil {
			return err
		}
		if n == 0 && k.Current().Version < h.Version {
			return fmt.Errorf("versions: version %d is missing", k.Current().Version+1)
		}
	}
	return nil
}

func (k *Replica) loadSnapshot(ctx context.Context, version ident.Version) error {
	body, err := k.store.GetObject(ctx, objectName(snapshotName, version))
	if err != nil {
		return fmt.Errorf("versions: snapshot %d: %w", version, err)
	}
	return k.InstallSnapshot(version, body)
}

func objectName(prefix string, version ident.Version) string {
	return fmt.Sprintf("%s%020d", prefix, version)
}

func rowKey(version ident.Version) string {
	return fmt.Sprintf("%s%020d", versionsKey, version)
}

// readVersions returns up to limit versions after a number, bodies included.
func (k *Replica) readVersions(ctx context.Context, after ident.Version, limit int) ([]Record, error) {
	rows, err := k.store.Scan(ctx, versionsKey, rowKey(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, fmt.Errorf("versions: row %s: %w", row.Key, err)
		}
		if err := k.fillPatch(ctx, &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// fillPatch reads the body of a version whose patch is an object.
func (k *Replica) fillPatch(ctx context.Context, r *Record) error {
	if r.Object == "" {
		return nil
	}
	body, err := k.store.GetObject(ctx, r.Object)
	if err != nil {
		return fmt.Errorf("versions: version %d: %w", r.Number, err)
	}
	r.Patch = body
	return nil
}
