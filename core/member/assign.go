package member

import (
	"maps"
	"slices"

	"bilberrymux/core/ident"
)

// Assignment tracks the owner of each shard of one region and updates the owners incrementally
// when the membership changes: only shards whose owner left are recomputed against all live
// daemons, the others are compared with the daemons that joined. It is not safe for concurrent
// use.
type Assignment struct {
	region ident.RegionID
	live   map[ident.VMID]bool
	owners map[ident.ShardID]shardOwner
}

// shardOwner is the owning VM of a shard and its rendezvous score. An empty vm means that the
// region has no live daemon.
type shardOwner struct {
	vm    ident.VMID
	score uint64
}

// NewAssignment returns an assignment without shards.
func NewAssignment(region ident.RegionID) *Assignment {
	return &Assignment{region: region, live: map[ident.VMID]bool{}, owners: map[ident.ShardID]shardOwner{}}
}

// SetShards replaces the set of shards. Shards that were in the previous set keep their owner.
func (a *Assignment) SetShards(v *View, shards []ident.ShardID) {
	old := a.owners
	a.owners = make(map[ident.ShardID]shardOwner, len(shards))
	for _, s := range shards {
		if o, ok := old[s]; ok {
			a.owners[s] = o
			continue
		}
		a.owners[s] = a.computeOwner(v, s)
	}
}

// SetView updates the owners to a new view of the membership.
func (a *Assignment) SetView(v *View) {
	live := v.Live(a.region)
	next := make(map[ident.VMID]bool, len(live))
	var joined []ident.VMID
	for _, e := range live {
		next[e.VM] = true
		if !a.live[e.VM] {
			joined = append(joined, e.VM)
		}
	}
	a.live = next
	for s, o := range a.owners {
		if o.vm == "" || !next[o.vm] {
			a.owners[s] = a.computeOwner(v, s)
			continue
		}
		a.owners[s] = ownerAfterJoin(s, o, joined)
	}
}

// ownerAfterJoin returns the owner of a shard after the joined VMs were added: the VM with the
// highest score among the current owner and those that joined.
func ownerAfterJoin(s ident.ShardID, owner shardOwner, joined []ident.VMID) shardOwner {
	if len(joined) == 0 {
		return owner
	}
	key := s.String()
	for _, vm := range joined {
		if candidate := score(vm, key); candidate > owner.score {
			owner = shardOwner{vm, candidate}
		}
	}
	return owner
}

// computeOwner selects the owner of a shard among all live daemons of the region.
func (a *Assignment) computeOwner(v *View, s ident.ShardID) shardOwner {
	owners := v.Owners(a.region, s.String(), 1)
	if len(owners) == 0 {
		return shardOwner{}
	}
	return shardOwner{owners[0].VM, score(owners[0].VM, s.String())}
}

// Owned returns the shards owned by a VM, sorted by name.
func (a *Assignment) Owned(vm ident.VMID) []ident.ShardID {
	var out []ident.ShardID
	for s := range maps.Keys(a.owners) {
		if a.owners[s].vm == vm {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y ident.ShardID) int {
		if x.String() < y.String() {
			return -1
		}
		return 1
	})
	return out
}
