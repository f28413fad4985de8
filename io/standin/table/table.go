// Package table is an in-memory stand-in for the platform's table service,
// object store and VM list, with faults that are set at run time.
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

// Faults are the present faults of the platform.
type Faults struct {
	// Down answers nothing.
	Down bool `json:"down"`
	// DelayMillis holds back every answer.
	DelayMillis int `json:"delayMillis"`
	// LoseReplyFraction is the part of writes whose reply is lost after the write took
	// effect, 0 to 1.
	LoseReplyFraction float64 `json:"loseReply"`
	// LoseRequestFraction is the part of calls that are lost before any effect.
	LoseRequestFraction float64 `json:"loseRequest"`
	// StaleReadFraction is the part of reads that see the state before the last write
	// of the row.
	StaleReadFraction float64 `json:"staleReads"`
}

// Counts are the calls that took effect.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RowsWritten int64 `json:"rowsWritten"`
	RowsRead    int64 `json:"rowsRead"`
	ObjectCalls int64 `json:"objects"`
}

// Table is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	previous map[string]store.Row
	keys     []string
	objects  map[string][]byte
	vms      map[ident.VMID]store.VM
	revision store.Revision
	faults   Faults
	counts   Counts
	random   *rand.Rand
}

// New returns an empty table whose faults are drawn from the seed.
func New(seed uint64) *Table {
	return &Table{
		rows:     map[string]store.Row{},
		previous: map[string]store.Row{},
		objects:  map[string][]byte{},
		vms:      map[ident.VMID]store.VM{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the present faults.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// SetVM puts a VM on the list, or takes it off.
func (t *Table) SetVM(vm store.VM, present bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present {
		t.vms[vm.ID] = vm
		return
	}
	delete(t.vms, vm.ID)
}

// Store returns the table as a platform.
func (t *Table) Store() *store.Store {
	return &store.Store{
		Read: t.read, Scan: t.scan, Transact: t.transact,
		PutObject: t.putObject, GetObject: t.getObject, ListVMs: t.listVMs,
	}
}

// fate is what happens to one call.
type fate struct {
	delay                    time.Duration
	lost, replyLost, isStale bool
}

func (t *Table) draw() fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	return fate{
		delay:     time.Duration(f.DelayMillis) * time.Millisecond,
		lost:      f.Down || t.random.Float64() < f.LoseRequestFraction,
		replyLost: t.random.Float64() < f.LoseReplyFraction,
		isStale:   t.random.Float64() < f.StaleReadFraction,
	}
}

// pass lets a call through, holds it back or loses it.
func (t *Table) pass(ctx context.Context) (fate, error) {
	f := t.draw()
	if f.delay > 0 {
		timer := time.NewTimer(f.delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return f, fmt.Errorf("%w: %w", store.ErrNoResponse, ctx.Err())
		case <-timer.C:
		}
	}
	if f.lost {
		return f, fmt.Errorf("%w: unavailable", store.ErrNoResponse)
	}
	return f, ctx.Err()
}

func (t *Table) read(ctx context.Context, key string) (store.Row, bool, error) {
	f, err := t.pass(ctx)
	if err != nil {
		return store.Row{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	t.counts.RowsRead++
	source := t.rows
	if f.isStale {
		source = t.previous
	}
	row, ok := source[key]
	return row, ok, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if _, err := t.pass(ctx); err != nil {
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
	f, err := t.pass(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := t.commit(writes)
	if f.replyLost {
		return 0, fmt.Errorf("%w: reply lost", store.ErrNoResponse)
	}
	return revision, err
}

func (t *Table) commit(writes []store.Write) (store.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	var failed []string
	for _, w := range writes {
		if !t.holds(w) {
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

func (t *Table) holds(w store.Write) bool {
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

func (t *Table) write(w store.Write) {
	at, known := slices.BinarySearch(t.keys, w.Key)
	if old, ok := t.rows[w.Key]; ok {
		t.previous[w.Key] = old
	}
	if w.Delete {
		delete(t.rows, w.Key)
		delete(t.previous, w.Key)
		if known {
			t.keys = slices.Delete(t.keys, at, at+1)
		}
		return
	}
	t.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
	if !known {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
}

func (t *Table) putObject(ctx context.Context, name string, body []byte) error {
	f, err := t.pass(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.counts.ObjectCalls++
	t.objects[name] = slices.Clone(body)
	t.mu.Unlock()
	if f.replyLost {
		return fmt.Errorf("%w: reply lost", store.ErrNoResponse)
	}
	return nil
}

func (t *Table) getObject(ctx context.Context, name string) ([]byte, error) {
	if _, err := t.pass(ctx); err != nil {
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
	if _, err := t.pass(ctx); err != nil {
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
