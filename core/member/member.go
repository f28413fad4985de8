// Package member tracks the membership of the fleet as seen by one daemon and determines which
// daemon owns which key. Each daemon computes the owners from its own view by rendezvous hashing,
// without leader election.
package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrymux/core/ident"
)

// State is the lifecycle state of one incarnation of a daemon.
type State string

// The states in ascending order of precedence. With equal sequence numbers, a later state supersedes an
// earlier one.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Down    State = "down"
)

// precedence returns a number that orders the states: with equal sequence numbers, the state with the
// higher one wins.
func (s State) precedence() int {
	switch s {
	case Live:
		return 0
	case Leaving:
		return 1
	default:
		return 2
	}
}

// Entry is the membership record of one daemon.
type Entry struct {
	VM            ident.VMID        `json:"vm"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	CallerAddress string            `json:"callerAddress"`
	PeerAddress   string            `json:"peerAddress"`
	Region        ident.RegionID    `json:"region"`
	Zone          ident.ZoneID      `json:"zone"`
	State         State             `json:"state"`
	// Sequence orders the states of one incarnation; the higher one wins. A daemon that receives
	// a report of itself as down increases it to refute the report.
	Sequence uint64 `json:"sequence"`
	// Started orders the incarnations of one VM. It is the start time in Unix microseconds. If
	// the clock stepped back between two runs, the daemon sets it above the value of the former
	// run.
	Started int64 `json:"started"`
}

// supersedes reports whether entry a replaces entry b of the same VM.
func supersedes(a, b *Entry) bool {
	if a.Incarnation != b.Incarnation {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation)) > 0
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State.precedence(), b.State.precedence())) > 0
}

// View is an immutable snapshot of the membership.
type View struct {
	// Entries contains all known entries, sorted by VM. Callers must not modify them.
	Entries       []*Entry
	byVM          map[ident.VMID]*Entry
	byIncarnation map[ident.Incarnation]*Entry
	live          map[ident.RegionID][]*Entry
	digest        uint64
	buckets       [Buckets]uint32
}

// Buckets is the number of hash buckets into which the members are divided. Two daemons compare
// the digests of the buckets to find the entries in which their views differ.
const Buckets = 256

// BucketOf returns the index of the bucket to which a VM belongs.
func BucketOf(vm ident.VMID) int {
	return int(xxhash.Sum64String(string(vm)) % Buckets)
}

// BucketDigests returns a hash of the entries of each bucket, by bucket index.
func (v *View) BucketDigests() []uint32 {
	return slices.Clone(v.buckets[:])
}

// InBuckets returns copies of the entries in the given buckets, sorted by VM.
func (v *View) InBuckets(want []uint32) []Entry {
	var set [Buckets]bool
	for _, b := range want {
		set[b%Buckets] = true
	}
	var out []Entry
	for _, e := range v.Entries {
		if set[BucketOf(e.VM)] {
			out = append(out, *e)
		}
	}
	return out
}

// Digest returns a hash of all entries. Equal views have equal digests.
func (v *View) Digest() uint64 {
	return v.digest
}

// ByVM returns the entry of a VM, or nil if the VM is unknown.
func (v *View) ByVM(id ident.VMID) *Entry {
	return v.byVM[id]
}

// ByIncarnation returns the entry of an incarnation, or nil if it is unknown or not the latest
// incarnation of its VM.
func (v *View) ByIncarnation(id ident.Incarnation) *Entry {
	return v.byIncarnation[id]
}

// Live returns the entries of a region in state Live, sorted by VM. Callers must not modify the
// result.
func (v *View) Live(region ident.RegionID) []*Entry {
	return v.live[region]
}

// LiveCount returns the number of live entries in all regions.
func (v *View) LiveCount() int {
	n := 0
	for _, entries := range v.live {
		n += len(entries)
	}
	return n
}

// Regions returns the sorted list of regions that have live entries.
func (v *View) Regions() []ident.RegionID {
	var out []ident.RegionID
	for region := range v.live {
		out = append(out, region)
	}
	slices.Sort(out)
	return out
}

// score returns the weight of a daemon for a key in rendezvous hashing (Thaler and Ravishankar
// 1998). The daemon with the highest score owns the key.
func score(vm ident.VMID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(vm))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owners returns up to n live daemons of a region in descending order of their score for the key.
// The first is the owner, the others are its successors.
func (v *View) Owners(region ident.RegionID, key string, n int) []*Entry {
	type scored struct {
		entry *Entry
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, e := range v.live[region] {
		s := score(e.VM, key)
		if len(best) == n && s <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(b scored, s uint64) int { return cmp.Compare(s, b.score) })
		best = slices.Insert(best, at, scored{e, s})
		if len(best) > n {
			best = best[:n]
		}
	}
	out := make([]*Entry, len(best))
	for i, b := range best {
		out[i] = b.entry
	}
	return out
}

// Table is the membership table of one daemon. It is safe for concurrent use. Readers use a View
// and never wait for a lock.
type Table struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	self    Entry
	entries map[ident.VMID]*Entry
	// downSince is the local time at which each entry in state Down was received or marked down.
	downSince map[ident.VMID]time.Time
	onChange  func(*Entry)
}

// New returns a table that contains only the entry of its own daemon. The function onChange is
// called with each accepted entry of another daemon while the lock is held; it may be nil.
func New(self Entry, onChange func(*Entry)) *Table {
	if onChange == nil {
		onChange = func(*Entry) {}
	}
	t := &Table{
		self:      self,
		entries:   map[ident.VMID]*Entry{},
		downSince: map[ident.VMID]time.Time{},
		onChange:  onChange,
	}
	t.entries[self.VM] = &self
	t.publish()
	return t
}

// View returns the current view.
func (t *Table) View() *View {
	return t.view.Load()
}

// Self returns the entry of this daemon.
func (t *Table) Self() Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Merge accepts the entries that supersede the known ones and returns them. An entry about this
// daemon that supersedes its own entry is refuted, except that the state Leaving of the same
// incarnation is adopted. In both cases the result contains the own entry with a higher sequence
// number.
func (t *Table) Merge(now time.Time, entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []Entry
	for i := range entries {
		e := entries[i]
		if e.VM == t.self.VM {
			if t.refute(&e) {
				accepted = append(accepted, t.self)
			}
			continue
		}
		if t.apply(now, &e) {
			accepted = append(accepted, e)
		}
	}
	if len(accepted) > 0 {
		t.publish()
	}
	return accepted
}

// apply stores the entry of another daemon if it supersedes the known one and reports whether it
// did. The caller must hold t.mu and publish afterwards.
func (t *Table) apply(now time.Time, e *Entry) bool {
	old := t.entries[e.VM]
	if old != nil && !supersedes(e, old) {
		return false
	}
	t.entries[e.VM] = e
	if e.State == Down {
		t.downSince[e.VM] = now
	} else {
		delete(t.downSince, e.VM)
	}
	t.onChange(e)
	return true
}

// refute handles a received entry about this daemon. If it supersedes the own entry, refute
// raises the own entry above it and returns true. The caller must hold t.mu and publish
// afterwards.
func (t *Table) refute(e *Entry) bool {
	if !supersedes(e, &t.self) {
		return false
	}
	if e.Incarnation != t.self.Incarnation {
		// The clock has stepped back since the former run of this daemon started.
		t.self.Started = e.Started + 1
	} else if e.State == Leaving {
		// The platform is removing this VM, so the report is correct and is adopted.
		t.self.State = Leaving
	}
	t.self.Sequence = e.Sequence + 1
	own := t.self
	t.entries[own.VM] = &own
	return true
}

// SetState changes the state of this daemon, increases its sequence number and returns the new
// entry.
func (t *Table) SetState(state State) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = state
	t.self.Sequence++
	own := t.self
	t.entries[own.VM] = &own
	t.publish()
	return own
}

// MarkDown marks an incarnation of another daemon as down and returns its new entry for
// dissemination. It returns false if the incarnation is unknown, not the latest of its VM,
// already down or that of this daemon.
func (t *Table) MarkDown(now time.Time, id ident.Incarnation) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.Incarnation != id || e.State == Down || e.VM == t.self.VM {
			continue
		}
		down := *e
		down.State = Down
		t.apply(now, &down)
		t.publish()
		return down, true
	}
	return Entry{}, false
}

// tombstoneRetention is how long the entry of a daemon that is down is kept, so that an outdated
// entry received in the meantime cannot revive it.
const tombstoneRetention = 10 * time.Minute

// PurgeDown removes entries that have been down for longer than tombstoneRetention, and those
// that are down and whose VM no longer exists according to the platform, which removed reports.
func (t *Table) PurgeDown(now time.Time, removed func(ident.VMID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for vm, since := range t.downSince {
		if now.Sub(since) > tombstoneRetention || removed(vm) {
			delete(t.entries, vm)
			delete(t.downSince, vm)
			dropped = true
		}
	}
	if dropped {
		t.publish()
	}
}

// publish builds a new view from the entries and makes it visible to readers. The caller must
// hold t.mu.
func (t *Table) publish() {
	v := &View{
		Entries:       make([]*Entry, 0, len(t.entries)),
		byVM:          make(map[ident.VMID]*Entry, len(t.entries)),
		byIncarnation: make(map[ident.Incarnation]*Entry, len(t.entries)),
		live:          map[ident.RegionID][]*Entry{},
	}
	for _, e := range t.entries {
		v.Entries = append(v.Entries, e)
	}
	slices.SortFunc(v.Entries, func(a, b *Entry) int { return cmp.Compare(a.VM, b.VM) })
	for _, e := range v.Entries {
		v.byVM[e.VM] = e
		v.byIncarnation[e.Incarnation] = e
		if e.State == Live {
			v.live[e.Region] = append(v.live[e.Region], e)
		}
		h := entryHash(e)
		v.digest ^= h
		v.buckets[BucketOf(e.VM)] ^= uint32(h)
	}
	t.view.Store(v)
}

// entryHash returns a hash of the fields that identify the version of an entry: VM, incarnation,
// state and sequence number.
func entryHash(e *Entry) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.VM))
	_, _ = d.WriteString(string(e.Incarnation))
	_, _ = d.WriteString(string(e.State))
	var seq [8]byte
	binary.LittleEndian.PutUint64(seq[:], e.Sequence)
	_, _ = d.Write(seq[:])
	return d.Sum64()
}
