// Package escrow bounds the ejections of a service by permits, so that all
// owners together never push its capacity below the floor. The capacity above
// the floor is an escrow quantity (O'Neil 1986): owners take parts of it in
// advance through one row of the table service and then eject without asking.
package escrow

import (
	"maps"
	"math/big"
	"slices"

	"bilberrymux/core/ident"
)

// Hold is what one incarnation holds of a service's permits.
type Hold struct {
	// VM is where the holder runs. The hold is free again when the platform
	// says that this VM is gone.
	VM ident.VMID `json:"vm"`
	// Slots is the number of slots that the holder may eject.
	Slots int `json:"slots"`
	// Total is the escrow of the whole service when Slots was granted.
	Total int `json:"total"`
}

// Row is the row of one service in the table service.
type Row struct {
	Holds map[ident.Incarnation]Hold `json:"holds"`
}

// Effective returns how many slots of a hold may be ejected when the service
// now has the given escrow. When the escrow shrinks, each holder keeps its
// proportional part, rounded down; the sum over all holders stays within the
// new escrow without any holder knowing the others.
func (h Hold) Effective(total int) int {
	if total >= h.Total {
		return h.Slots
	}
	if total <= 0 || h.Total <= 0 {
		return 0
	}
	return h.Slots * total / h.Total
}

// clone returns a copy whose map can be changed.
func (r Row) clone() Row {
	holds := maps.Clone(r.Holds)
	if holds == nil {
		holds = map[ident.Incarnation]Hold{}
	}
	return Row{Holds: holds}
}

// room returns how many slots an escrow of the given size leaves beside the
// other holders. Fractions of the escrow are added instead of slots, so that
// the sum of all Effective slots stays within every later, smaller escrow too,
// although the holds were granted under escrows of different sizes.
func (r Row) room(except ident.Incarnation, total int) int {
	rest := big.NewRat(1, 1)
	for inc, h := range r.Holds {
		if inc != except && h.Total > 0 {
			rest.Sub(rest, big.NewRat(int64(h.Slots), int64(h.Total)))
		}
	}
	rest.Mul(rest, big.NewRat(int64(total), 1))
	if rest.Sign() <= 0 {
		return 0
	}
	return int(new(big.Int).Quo(rest.Num(), rest.Denom()).Int64())
}

// Grant returns the row in which the holder has as much of want as the escrow
// allows, and the new hold. A hold that is there already never shrinks below
// inUse.
func (r Row) Grant(inc ident.Incarnation, vm ident.VMID, want, inUse, total int) (Row, Hold) {
	next := r.clone()
	slots := max(min(want, r.room(inc, total)), 0)
	if old, had := r.Holds[inc]; had {
		slots = max(slots, min(inUse, old.Effective(total)))
	}
	hold := Hold{VM: vm, Slots: slots, Total: total}
	if slots == 0 {
		delete(next.Holds, inc)
		return next, hold
	}
	next.Holds[inc] = hold
	return next, hold
}

// Release returns the row without the holder.
func (r Row) Release(inc ident.Incarnation) Row {
	next := r.clone()
	delete(next.Holds, inc)
	return next
}

// Reclaim returns the row without the holders whose VM is gone, and whether
// any was dropped.
func (r Row) Reclaim(gone func(ident.VMID) bool) (Row, bool) {
	next := r.clone()
	for _, inc := range slices.Sorted(maps.Keys(r.Holds)) {
		if gone(r.Holds[inc].VM) {
			delete(next.Holds, inc)
		}
	}
	return next, len(next.Holds) != len(r.Holds)
}
