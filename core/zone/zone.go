// Package zone holds the membership table of a daemon: the daemons of its own
// availability zone with their liveness, and the daemons of other zones with the
// state that was last received. It does no I/O.
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

// Member describes one daemon and the addresses at which it accepts connections.
type Member struct {
	VM          ident.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Zone        ident.ZoneID      `cbor:"3,keyasint" json:"zone"`
	// PeerAddress and CallerAddress are the addresses for other daemons and for callers.
	PeerAddress   string `cbor:"4,keyasint" json:"peerAddress"`
	CallerAddress string `cbor:"5,keyasint" json:"callerAddress"`
	// Ready reports whether callers may be directed to the daemon.
	Ready bool `cbor:"7,keyasint,omitempty" json:"ready"`
	// Capacity is the CPU share of the VM in cores. It is lower if the network link
	// of the VM is the tighter limit.
	Capacity float64 `cbor:"8,keyasint,omitempty" json:"capacity"`
}

// SilenceTimeout is the time without a message after which a daemon of the same zone is
// marked as down.
const SilenceTimeout = 1200 * time.Millisecond

// peer is the state of one other daemon.
type peer struct {
	Member
	// lastMessage is the time at which the last message was received.
	lastMessage time.Time
	live        bool
	// previousIncarnation is the incarnation before the current one. Its messages may
	// arrive late and are ignored. Incarnations can't be ordered by time, because the
	// wall clock may be set back.
	previousIncarnation ident.Incarnation
}

// Table holds the known daemons. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// self describes this daemon. Only its Ready field changes.
	self  Member
	peers map[ident.VMID]*peer
}

// New returns a table that holds only the daemon itself.
func New(self Member) *Table {
	return &Table{self: self, peers: map[ident.VMID]*peer{}}
}

// Self returns the daemon's own entry.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetReady sets whether callers may be directed to this daemon.
func (t *Table) SetReady(ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Ready = ready
}

// AddReported adds a daemon that another daemon reported. The report is no evidence of
// liveness: a daemon that is live keeps the state from its own messages. It reports
// whether the incarnation was unknown.
func (t *Table) AddReported(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return false
	}
	p := t.peers[m.VM]
	if p == nil {
		t.peers[m.VM] = &peer{Member: m}
		return true
	}
	if p.live || p.Incarnation == m.Incarnation || p.previousIncarnation == m.Incarnation {
		return false
	}
	p.previousIncarnation, p.Member = p.Incarnation, m
	return true
}

// RecordMessage records a message from a daemon and marks the daemon as live. It reports
// whether the daemon was down or unknown before, or has a new incarnation. Messages of the
// previous incarnation are ignored.
func (t *Table) RecordMessage(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return false
	}
	p := t.peers[m.VM]
	if p == nil {
		p = &peer{Member: m}
		t.peers[m.VM] = p
	}
	if p.previousIncarnation == m.Incarnation {
		return false
	}
	changed := !p.live || p.Incarnation != m.Incarnation
	if p.Incarnation != m.Incarnation {
		p.previousIncarnation = p.Incarnation
	}
	p.Member, p.lastMessage, p.live = m, now, true
	return changed
}

// Expire marks the live daemons of this daemon's zone that sent no message for more than
// SilenceTimeout as down, and returns them.
func (t *Table) Expire(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var down []Member
	for _, p := range t.peers {
		if p.live && p.Zone == t.self.Zone && now.Sub(p.lastMessage) > SilenceTimeout {
			p.live = false
			down = append(down, p.Member)
		}
	}
	return down
}

// Peers returns the other daemons of this daemon's zone, live or not, sorted by VM.
func (t *Table) Peers() []Member {
	return t.list(func(p *peer) bool { return p.Zone == t.self.Zone })
}

// Live returns the other live daemons of this daemon's zone, sorted by VM.
func (t *Table) Live() []Member {
	return t.list(func(p *peer) bool { return p.live && p.Zone == t.self.Zone })
}

// Heard returns the number of other daemons of this daemon's zone whose last message is not older than
// maxAge.
func (t *Table) Heard(now time.Time, maxAge time.Duration) int {
	return len(t.list(func(p *peer) bool {
		return p.Zone == t.self.Zone && !p.lastMessage.IsZero() && now.Sub(p.lastMessage) <= maxAge
	}))
}

// All returns all other daemons of all zones, live or not, sorted by VM.
func (t *Table) All() []Member {
	return t.list(func(*peer) bool { return true })
}

// list returns the other daemons for which keep returns true, sorted by VM. The lock of
// the table is held during the calls of keep.
func (t *Table) list(keep func(*peer) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, p := range t.peers {
		if keep(p) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Rank returns the position, from 0, of this daemon among the live daemons of its zone but
// the given ones. Ready daemons come before those that are not ready, then higher capacity comes first.
// Ties are resolved by the rendezvous hash for the key.
func (t *Table) Rank(key string, without ...ident.VMID) int {
	self := t.Self()
	rank := 0
	for _, m := range t.Live() {
		if m.ranksBefore(&self, key) && !slices.Contains(without, m.VM) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether m comes before o in the order that Rank uses for the key.
func (m *Member) ranksBefore(o *Member, key string) bool {
	if m.Ready != o.Ready {
		return m.Ready
	}
	if m.Capacity != o.Capacity {
		return m.Capacity > o.Capacity
	}
	return score(m.VM, key) > score(o.VM, key)
}

// Owners returns up to n live and ready daemons of this daemon's zone, possibly including
// itself, that callers of a key should use, the preferred one first. Daemons with the same
// view of the zone compute the same owners. If no daemon is ready, Owners returns only this
// daemon.
//
// A single owner is chosen by weighted rendezvous hashing. Several owners get the same share of the
// callers each, whatever their capacity, which answers zones of unequal VMs: Owners prefers strong
// daemons, and returns fewer, but at least atLeast, where further ones would get a share that is
// greater in proportion to their capacity.
func (t *Table) Owners(key string, n, atLeast int) []Member {
	self := t.Self()
	candidates := slices.DeleteFunc(append(t.Live(), self), func(m Member) bool { return !m.Ready })
	if len(candidates) == 0 {
		return []Member{self}
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.capacityScore(key), a.capacityScore(key)), cmp.Compare(a.VM, b.VM))
	})
	if n > 1 {
		slices.SortStableFunc(candidates, func(a, b Member) int { return cmp.Compare(b.capacityClass(), a.capacityClass()) })
	}
	candidates = candidates[:min(n, len(candidates))]
	return candidates[:leastLoadedCount(candidates, atLeast)]
}

// capacityClass returns the binary logarithm of the capacity, rounded down. VMs of a class are about
// as strong as each other.
func (m *Member) capacityClass() int {
	return int(math.Floor(math.Log2(max(m.Capacity, minCapacity))))
}

// leastLoadedCount returns how many of the members, in descending order of capacity class and at least
// atLeast, should share a load evenly so that the load of the weakest one, in proportion to its
// capacity, is least.
func leastLoadedCount(members []Member, atLeast int) int {
	best, least := len(members), math.Inf(1)
	weakest := math.Inf(1)
	for i, m := range members {
		weakest = min(weakest, max(m.Capacity, minCapacity))
		load := 1 / (float64(i+1) * weakest)
		if i+1 >= min(atLeast, len(members)) && load <= least {
			best, least = i+1, load
		}
	}
	return best
}

// capacityScore is the score of weighted rendezvous hashing (Schindelhauer and Schomaker
// 2005): the VM with the highest score owns the key, and each VM owns a share of the keys
// in proportion to its capacity.
func (m *Member) capacityScore(key string) float64 {
	unit := (float64(score(m.VM, key)>>11) + 0.5) / (1 << 53)
	return -max(m.Capacity, minCapacity) / math.Log(unit)
}

// minCapacity is the lowest capacity, in cores, that capacityScore assumes for a VM.
const minCapacity = 0.01

// Gateways returns up to n daemons of each other zone, sorted by VM. They relay gossip
// messages inside their zones.
func (t *Table) Gateways(n int) []Member {
	byZone := map[ident.ZoneID][]Member{}
	for _, m := range t.All() {
		if m.Zone != t.self.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	var out []Member
	for zone, members := range byZone {
		sortByScore(members, gatewayKeyPrefix+string(zone))
		out = append(out, members[:min(n, len(members))]...)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// gatewayKeyPrefix precedes the zone's name in the hash key that selects its gateways.
const gatewayKeyPrefix = "gateway/"

// sortByScore sorts members by descending rendezvous hash for the key, then by VM.
func sortByScore(members []Member, key string) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b.VM, key), score(a.VM, key)), cmp.Compare(a.VM, b.VM))
	})
}

// score returns the rendezvous hash of a VM for a key.
func score(vm ident.VMID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
