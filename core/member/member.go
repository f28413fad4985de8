// Package member holds what a daemon knows of the other daemons of its fleet,
// and which daemon owns what. Every daemon works out owners from its own view;
// nothing is elected.
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

// State is the state of one incarnation of a daemon.
type State string

// The states, in the order in which they supersede each other at the same
// sequence number.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Down    State = "down"
)

func (s State) order() int {
	switch s {
	case Live:
		return 0
	case Leaving:
		return 1
	default:
		return 2
	}
}

// Entry is what is known of one daemon.
type Entry struct {
	VM            ident.VMID        `json:"vm"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	CallerAddress string            `json:"callerAddress"`
	PeerAddress   string            `json:"peerAddress"`
	Region        ident.RegionID    `json:"region"`
	Zone          ident.ZoneID      `json:"zone"`
	State         State             `json:"state"`
	// Sequence orders the states of one incarnation. A daemon that finds
	// itself called down raises it to refute that.
	Sequence uint64 `json:"sequence"`
	// Started orders the incarnations of one VM, in Unix microseconds; a daemon
	// whose clock went back raises it over that of its former run.
	Started int64 `json:"started"`
}

// newer reports whether a supersedes b.
func newer(a, b *Entry) bool {
	if a.Incarnation != b.Incarnation {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation)) > 0
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State.order(), b.State.order())) > 0
}

// View is one immutable state of the membership.
type View struct {
	// Entries is sorted by VM.
	Entries []*Entry
	byVM    map[ident.VMID]*Entry
	byRun   map[ident.Incarnation]*Entry
	live    map[ident.RegionID][]*Entry
	digest  uint64
	buckets [Buckets]uint32
}

// Buckets is the number of parts into which members are split to find out
// which ones two daemons see differently.
const Buckets = 256

// BucketOf returns the part that a VM belongs to.
func BucketOf(vm ident.VMID) int {
	return int(xxhash.Sum64String(string(vm)) % Buckets)
}

// BucketDigests returns a hash over the entries of each part.
func (v *View) BucketDigests() []uint32 {
	return slices.Clone(v.buckets[:])
}

// InBuckets returns the entries of the given parts.
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

// Digest is a hash over all entries. Equal views have equal digests.
func (v *View) Digest() uint64 {
	return v.digest
}

// ByVM returns the entry of a VM, or nil.
func (v *View) ByVM(id ident.VMID) *Entry {
	return v.byVM[id]
}

// ByIncarnation returns the entry of an incarnation, or nil where it is not
// the latest of its VM.
func (v *View) ByIncarnation(id ident.Incarnation) *Entry {
	return v.byRun[id]
}

// Live returns the live entries of a region, sorted by VM. Callers must not
// modify the result.
func (v *View) Live(region ident.RegionID) []*Entry {
	return v.live[region]
}

// LiveCount returns the number of live entries.
func (v *View) LiveCount() int {
	n := 0
	for _, entries := range v.live {
		n += len(entries)
	}
	return n
}

// Regions returns the regions with live entries, sorted.
func (v *View) Regions() []ident.RegionID {
	var out []ident.RegionID
	for region := range v.live {
		out = append(out, region)
	}
	slices.Sort(out)
	return out
}

// score is the weight of a daemon for a key in rendezvous hashing (Thaler and
// Ravishankar 1998).
func score(vm ident.VMID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(vm))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owners returns up to n live daemons of a region in the order of their claim
// to the key: the owner first, then its successors.
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

// Table is the membership of one daemon. It is safe for concurrent use;
// readers take a View and never wait.
type Table struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	self    Entry
	entries map[ident.VMID]*Entry
	// seenDown is when each entry that is down was first seen so.
	seenDown map[ident.VMID]time.Time
	changed  func(*Entry)
}

// New returns a table that knows its own daemon only. Changed is told of every
// entry that is news, with the lock held; it may be nil.
func New(self Entry, changed func(*Entry)) *Table {
	if changed == nil {
		changed = func(*Entry) {}
	}
	t := &Table{
		self:     self,
		entries:  map[ident.VMID]*Entry{},
		seenDown: map[ident.VMID]time.Time{},
		changed:  changed,
	}
	t.entries[self.VM] = &self
	t.publish()
	return t
}

// View returns the present view.
func (t *Table) View() *View {
	return t.view.Load()
}

// Self returns the daemon's own entry.
func (t *Table) Self() Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Merge takes over entries that supersede the known ones and returns those.
// News that calls this daemon down is refuted: the result then holds the own
// entry with a higher sequence.
func (t *Table) Merge(now time.Time, entries []Entry) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Entry
	for i := range entries {
		e := entries[i]
		if e.VM == t.self.VM {
			if t.refute(&e) {
				news = append(news, t.self)
			}
			continue
		}
		if t.take(now, &e) {
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		t.publish()
	}
	return news
}

func (t *Table) take(now time.Time, e *Entry) bool {
	old := t.entries[e.VM]
	if old != nil && !newer(e, old) {
		return false
	}
	t.entries[e.VM] = e
	if e.State == Down {
		t.seenDown[e.VM] = now
	} else {
		delete(t.seenDown, e.VM)
	}
	t.changed(e)
	return true
}

// refute answers wrong news about this daemon.
func (t *Table) refute(e *Entry) bool {
	if !newer(e, &t.self) {
		return false
	}
	if e.Incarnation != t.self.Incarnation {
		// The time of day went back since the former run began.
		t.self.Started = e.Started + 1
	} else if e.State == Leaving {
		// The platform takes this VM away; that is not wrong news.
		t.self.State = Leaving
	}
	t.self.Sequence = e.Sequence + 1
	own := t.self
	t.entries[own.VM] = &own
	return true
}

// SetState changes the state of this daemon and returns its entry.
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

// MarkDown marks an incarnation down and returns the entry to spread. It
// returns false where the incarnation is not the latest, or down already.
func (t *Table) MarkDown(now time.Time, id ident.Incarnation) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.Incarnation != id || e.State == Down || e.VM == t.self.VM {
			continue
		}
		down := *e
		down.State = Down
		t.take(now, &down)
		t.publish()
		return down, true
	}
	return Entry{}, false
}

// downMemory is how long an entry that is down is remembered, so that old news
// can't bring it back.
const downMemory = 10 * time.Minute

// PurgeDown drops entries that have been down for long, and those of VMs that the
// platform's list says are gone.
func (t *Table) PurgeDown(now time.Time, gone func(ident.VMID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for vm, since := range t.seenDown {
		if now.Sub(since) > downMemory || gone(vm) {
			delete(t.entries, vm)
			delete(t.seenDown, vm)
			dropped = true
		}
	}
	if dropped {
		t.publish()
	}
}

// publish builds the view of the entries. The lock is held.
func (t *Table) publish() {
	v := &View{
		Entries: make([]*Entry, 0, len(t.entries)),
		byVM:    make(map[ident.VMID]*Entry, len(t.entries)),
		byRun:   make(map[ident.Incarnation]*Entry, len(t.entries)),
		live:    map[ident.RegionID][]*Entry{},
	}
	for _, e := range t.entries {
		v.Entries = append(v.Entries, e)
	}
	slices.SortFunc(v.Entries, func(a, b *Entry) int { return cmp.Compare(a.VM, b.VM) })
	for _, e := range v.Entries {
		v.byVM[e.VM] = e
		v.byRun[e.Incarnation] = e
		if e.State == Live {
			v.live[e.Region] = append(v.live[e.Region], e)
		}
		h := entryHash(e)
		v.digest ^= h
		v.buckets[BucketOf(e.VM)] ^= uint32(h)
	}
	t.view.Store(v)
}

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
