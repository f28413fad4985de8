// Package zone keeps the daemons that one daemon knows: those of its own
// availability zone with their liveness, those of other zones as they were last
// heard of. It does no I/O.
package zone

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrymux/core/ident"
)

// Member is one daemon.
type Member struct {
	VM          ident.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Zone        ident.ZoneID      `cbor:"3,keyasint" json:"zone"`
	// PeerAddress and CallerAddress are where daemons and callers reach it.
	PeerAddress   string `cbor:"4,keyasint" json:"peerAddress"`
	CallerAddress string `cbor:"5,keyasint" json:"callerAddress"`
	// Ready says that callers may be sent to it.
	Ready bool `cbor:"7,keyasint,omitempty" json:"ready"`
	// Capacity is the share of a core that the VM has, or less where its link
	// carries less.
	Capacity float64 `cbor:"8,keyasint,omitempty" json:"capacity"`
}

// SilenceTimeout is how long a daemon of the own zone may say nothing before it
// counts as down.
const SilenceTimeout = 1200 * time.Millisecond

// heard is what is known about one other daemon.
type heard struct {
	Member
	last time.Time
	live bool
	// former is the incarnation before this one, whose messages may come late. No
	// clock orders incarnations, since the time of day may go back.
	former ident.Incarnation
}

// Table is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	self  Member
	known map[ident.VMID]*heard
}

// New returns a table that knows only the daemon itself.
func New(self Member) *Table {
	return &Table{self: self, known: map[ident.VMID]*heard{}}
}

// Self returns the daemon's own entry.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetReady records whether callers may be sent to this daemon.
func (t *Table) SetReady(ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Ready = ready
}

// AddReported adds a daemon that others told of, without evidence that it lives.
// Own evidence goes first: a daemon that is live stays as it was heard. It reports
// whether the incarnation was unknown.
func (t *Table) AddReported(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return false
	}
	h := t.known[m.VM]
	if h == nil {
		t.known[m.VM] = &heard{Member: m}
		return true
	}
	if h.live || h.Incarnation == m.Incarnation || h.former == m.Incarnation {
		return false
	}
	h.former, h.Member = h.Incarnation, m
	return true
}

// RecordMessage records a message from a daemon. It reports whether the daemon was down
// or unknown before.
func (t *Table) RecordMessage(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return false
	}
	h := t.known[m.VM]
	if h == nil {
		h = &heard{Member: m}
		t.known[m.VM] = h
	}
	if h.former == m.Incarnation {
		return false
	}
	came := !h.live || h.Incarnation != m.Incarnation
	if h.Incarnation != m.Incarnation {
		h.former = h.Incarnation
	}
	h.Member, h.last, h.live = m, now, true
	return came
}

// Expire marks the daemons of the own zone that fell silent as down and returns
// them.
func (t *Table) Expire(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []Member
	for _, h := range t.known {
		if h.live && h.Zone == t.self.Zone && now.Sub(h.last) > SilenceTimeout {
			h.live = false
			gone = append(gone, h.Member)
		}
	}
	return gone
}

// Peers returns the other daemons of the own zone, live or not, sorted by VM.
func (t *Table) Peers() []Member {
	return t.list(func(h *heard) bool { return h.Zone == t.self.Zone })
}

// Live returns the live daemons of the own zone without this one, sorted by VM.
func (t *Table) Live() []Member {
	return t.list(func(h *heard) bool { return h.live && h.Zone == t.self.Zone })
}

// All returns every other daemon, sorted by VM.
func (t *Table) All() []Member {
	return t.list(func(*heard) bool { return true })
}

func (t *Table) list(keep func(*heard) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, h := range t.known {
		if keep(h) {
			out = append(out, h.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Rank returns the place of this daemon among the live ones of its zone in the
// order of a key, from 0. Those that can carry more come first, and one that is not
// ready comes after all that are.
func (t *Table) Rank(key string) int {
	self := t.Self()
	rank := 0
	for _, m := range t.Live() {
		if m.before(&self, key) {
			rank++
		}
	}
	return rank
}

// before reports whether a daemon comes before another in the order of a key.
func (m *Member) before(o *Member, key string) bool {
	if m.Ready != o.Ready {
		return m.Ready
	}
	if m.Capacity != o.Capacity {
		return m.Capacity > o.Capacity
	}
	return score(m.VM, key) > score(o.VM, key)
}

// Owners returns the n live daemons of the own zone that callers of a key should
// use, the first one first. Every daemon of the zone finds the same ones from
// the same view. Where none is ready, this daemon stands in.
func (t *Table) Owners(key string, n int) []Member {
	self := t.Self()
	candidates := slices.DeleteFunc(append(t.Live(), self), func(m Member) bool { return !m.Ready })
	if len(candidates) == 0 {
		return []Member{self}
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.weighted(key), a.weighted(key)), cmp.Compare(a.VM, b.VM))
	})
	return candidates[:min(n, len(candidates))]
}

// weighted is the rendezvous hash by which VMs win in proportion to what they
// can carry (Schindelhauer and Schomaker 2005).
func (m *Member) weighted(key string) float64 {
	unit := (float64(score(m.VM, key)>>11) + 0.5) / (1 << 53)
	return -max(m.Capacity, leastCapacity) / math.Log(unit)
}

// leastCapacity is the share of a core that a VM is taken to have at least.
const leastCapacity = 0.01

// Gateways returns up to n daemons of each other zone, which pass news on inside
// their zone.
func (t *Table) Gateways(n int) []Member {
	byZone := map[ident.ZoneID][]Member{}
	for _, m := range t.All() {
		if m.Zone != t.self.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	var out []Member
	for zone, members := range byZone {
		byScore(members, gatewayKey+string(zone))
		out = append(out, members[:min(n, len(members))]...)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// gatewayKey starts the key by which the gateways of a zone are chosen.
const gatewayKey = "gateway/"

func byScore(members []Member, key string) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b.VM, key), score(a.VM, key)), cmp.Compare(a.VM, b.VM))
	})
}

// score is the rendezvous hash of a VM for a key.
func score(vm ident.VMID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
