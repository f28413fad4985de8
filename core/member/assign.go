package member

import (
	"maps"
	"slices"

	"bilberrymux/core/ident"
)

// Assignment keeps the owner of each shard of one region and works out changes
// of the membership at the cost of the shards that move. It is not safe for
// concurrent use.
type Assignment struct {
	region ident.RegionID
	live   map[ident.VMID]bool
	owners map[ident.ShardID]assigned
}

type assigned struct {
	vm    ident.VMID
	score uint64
}

// NewAssignment returns an assignment without shards.
func NewAssignment(region ident.RegionID) *Assignment {
	return &Assignment{region: region, live: map[ident.VMID]bool{}, owners: map[ident.ShardID]assigned{}}
}

// SetShards replaces the shards; those that stay keep their owner.
func (a *Assignment) SetShards(v *View, shards []ident.ShardID) {
	old := a.owners
	a.owners = make(map[ident.ShardID]assigned, len(shards))
	for _, s := range shards {
		if o, ok := old[s]; ok {
			a.owners[s] = o
			continue
		}
		a.owners[s] = a.best(v, s)
	}
}

// SetView brings the owners in line with a view.
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
			a.owners[s] = a.best(v, s)
			continue
		}
		a.owners[s] = challenge(s, o, joined)
	}
}

// challenge returns the owner of a shard after others joined.
func challenge(s ident.ShardID, owner assigned, joined []ident.VMID) assigned {
	if len(joined) == 0 {
		return owner
	}
	key := s.String()
	for _, vm := range joined {
		if c := score(vm, key); c > owner.score {
			owner = assigned{vm, c}
		}
	}
	return owner
}

func (a *Assignment) best(v *View, s ident.ShardID) assigned {
	owners := v.Owners(a.region, s.String(), 1)
	if len(owners) == 0 {
		return assigned{}
	}
	return assigned{owners[0].VM, score(owners[0].VM, s.String())}
}

// Owned returns the shards of one VM, sorted.
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
