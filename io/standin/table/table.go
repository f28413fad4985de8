// Package table simulates the platform's table service, object store and VM list in memory, with
// faults that can be set at run time.
package table

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/store"
)

// Faults configures the faults that a Table injects. The zero value injects none.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// DelayMillis delays each call, in milliseconds, before it takes effect.
	DelayMillis int `json:"delayMillis"`
	// LoseReplyFraction is the fraction of writes, from 0 to 1, whose reply is lost after the write
	// took effect.
	LoseReplyFraction float64 `json:"loseReply"`
	// LoseRequestFraction is the fraction of calls, from 0 to 1, that are lost before they take
	// effect.
	LoseRequestFraction float64 `json:"loseRequest"`
	// StaleReadFraction is the fraction of reads of single rows, from 0 to 1, that return the state
	// before the last write of the row.
	StaleReadFraction float64 `json:"staleReads"`
}

// Counts holds the numbers of calls that were not lost as requests, and of the rows that they wrote
// and read.
type Counts struct {
	// Reads is the number of row reads, scans and VM list reads.
	Reads int64 `json:"reads"`
	// Writes is the number of transactions, including those with conflicts.
	Writes int64 `json:"writes"`
	// RowsWritten and RowsRead are numbers of rows, including deleted rows and reads of missing rows.
	RowsWritten int64 `json:"rowsWritten"`
	RowsRead    int64 `json:"rowsRead"`
	// ObjectCalls is the number of reads and writes of objects.
	ObjectCalls int64 `json:"objects"`
}

// Table is a simulated platform. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]store.Row
	// previous holds the state of each row before its last write, for stale reads.
	previous map[string]store.Row
	// keys holds the keys of rows in ascending order.
	keys     []string
	objects  map[string][]byte
	vms      map[ident.VMID]store.VM
	revision store.Revision
	faults   Faults
	counts   Counts
	random   *rand.Rand
}

// New returns an empty table. Random faults are drawn with the seed.
func New(seed uint64) *Table {
	return &Table{
		rows:     map[string]store.Row{},
		previous: map[string]store.Row{},
		objects:  map[string][]byte{},
		vms:      map[ident.VMID]store.VM{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the faults that are currently injected.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the numbers of calls and rows so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// SetVM adds a VM to the list or replaces it there, or removes it if present is false.
func (t *Table) SetVM(vm store.VM, present bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present {
		t.vms[vm.ID] = vm
		return
	}
	delete(t.vms, vm.ID)
}

// Store returns the calls of the simulated platform. They are subject to the faults, and those that
// fail because of a fault return an error that wraps store.ErrNoResponse.
func (t *Table) Store() *store.Store {
	return &store.Store{
		Read: t.read, Scan: t.scan, Transact: t.transact,
		PutObject: t.putObject, GetObject: t.getObject, ListVMs: t.listVMs,
	}
}

// callFaults holds the faults of one call.
type callFaults struct {
	delay                         time.Duration
	loseRequest, loseReply, stale bool
}

// drawFaults draws the faults of one call.
func (t *Table) drawFaults() callFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	return callFaults{
		delay:       time.Duration(f.DelayMillis) * time.Millisecond,
		loseRequest: f.Down || t.random.Float64() < f.LoseRequestFraction,
		loseReply:   t.random.Float64() < f.LoseReplyFraction,
		stale:       t.random.Float64() < f.StaleReadFraction,
	}
}

// applyFaults draws the faults of a call and applies the delay and the loss of the request. It
// returns an error if the call must not take effect. The caller applies the other faults.
func (t *Table) applyFaults(ctx context.Context) (callFaults, error) {
	f := t.drawFaults()
	if f.delay > 0 {
		timer := time.NewTimer(f.delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return f, fmt.Errorf("%w: %w", store.ErrNoResponse, ctx.Err())
		case <-timer.C:
		}
	}
	if f.loseRequest {
		return f, fmt.Errorf("%w: unavailable", store.ErrNoResponse)
	}
	return f, ctx.Err()
}

func (t *Table) read(ctx context.Context, key string) (store.Row, bool, error) {
	f, err := t.applyFaults(ctx)
	if err != nil {
		return store.Row{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	t.counts.RowsRead++
	source := t.rows
	if f.stale {
		source = t.previous
	}
	row, ok := source[key]
	return row, ok, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if _, err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []store.Row
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	t.counts.RowsRead += int64(len(rows))
	return rows, nil
}

func (t *Table) transact(ctx context.Context, writes []store.Write) (store.Revision, error) {
	f, err := t.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := t.commit(writes)
	if f.loseReply {
		return 0, fmt.Errorf("%w: reply lost", store.ErrNoResponse)
	}
	return revision, err
}

// commit applies writes atomically, and returns a store.ConflictError with the keys in conflict if a
// condition failed.
func (t *Table) commit(writes []store.Write) (store.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	var failed []string
	for _, w := range writes {
		if !t.conditionHolds(w) {
			failed = append(failed, w.Key)
		}
	}
	if len(failed) > 0 {
		return 0, &store.ConflictError{Keys: failed}
	}
	t.revision++
	t.counts.RowsWritten += int64(len(writes))
	for _, w := range writes {
		t.write(w)
	}
	return t.revision, nil
}

// conditionHolds reports whether the condition of a write holds. The caller must hold the lock.
func (t *Table) conditionHolds(w store.Write) bool {
	row, ok := t.rows[w.Key]
	switch w.Expect {
	case store.Absent:
		return !ok
	case store.AtRevision:
		return ok && row.Revision == w.Revision
	default:
		return true
	}
}

// write applies one write at the current revision. It keeps the replaced row for stale reads. The
// caller must hold the lock.
func (t *Table) write(w store.Write) {
	index, exists := slices.BinarySearch(t.keys, w.Key)
	if old, ok := t.rows[w.Key]; ok {
		t.previous[w.Key] = old
	}
	if w.Delete {
		delete(t.rows, w.Key)
		delete(t.previous, w.Key)
		if exists {
			t.keys = slices.Delete(t.keys, index, index+1)
		}
		return
	}
	t.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
	if !exists {
		t.keys = slices.Insert(t.keys, index, w.Key)
	}
}

func (t *Table) putObject(ctx context.Context, name string, body []byte) error {
	f, err := t.applyFaults(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.counts.ObjectCalls++
	t.objects[name] = slices.Clone(body)
	t.mu.Unlock()
	if f.loseReply {
		return fmt.Errorf("%w: reply lost", store.ErrNoResponse)
	}
	return nil
}

func (t *Table) getObject(ctx context.Context, name string) ([]byte, error) {
	if _, err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.ObjectCalls++
	body, ok := t.objects[name]
	if !ok {
		return nil, store.ErrNoObject
	}
	return body, nil
}

func (t *Table) listVMs(ctx context.Context) ([]store.VM, error) {
	if _, err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	out := make([]store.VM, 0, len(t.vms))
	for _, vm := range t.vms {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b store.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, nil
}
