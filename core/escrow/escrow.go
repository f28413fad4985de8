// Package escrow limits the ejections of a service by permits, so that all owners
// together never reduce its capacity below the floor. The capacity above the floor is
// an escrow quantity (O'Neil 1986): each owner reserves a part of it in advance, in
// one row of the table service, and then ejects servers without further coordination.
// All quantities are numbers of slots.
package escrow

import (
	"maps"
	"math/big"
	"slices"

	"bilberrymux/core/ident"
)

// Hold is the part of a service's permits that one incarnation of a daemon has
// reserved.
type Hold struct {
	// VM is the VM on which the holder runs. The hold may be reclaimed when the
	// platform reports that this VM is gone.
	VM ident.VMID `json:"vm"`
	// Slots is the number of slots that the holder may eject.
	Slots int `json:"slots"`
	// Total is the escrow of the whole service at the time when Slots was granted.
	Total int `json:"total"`
}

// Row is the content of a service's row in the table service: the holds of all
// incarnations. Its methods return changed copies and leave the row as it is.
type Row struct {
	Holds map[ident.Incarnation]Hold `json:"holds"`
}

// Effective returns the number of slots of the hold that may be ejected under the
// given current escrow of the service. When the escrow shrinks, each holder keeps its
// proportional part, rounded down. The sum over all holders therefore stays within the
// new escrow, although the holders do not know of each other.
func (h Hold) Effective(total int) int {
	if total >= h.Total {
		return h.Slots
	}
	if total <= 0 || h.Total <= 0 {
		return 0
	}
	return h.Slots * total / h.Total
}

// clone returns a copy whose map is not nil and can be changed.
func (r Row) clone() Row {
	holds := maps.Clone(r.Holds)
	if holds == nil {
		holds = map[ident.Incarnation]Hold{}
	}
	return Row{Holds: holds}
}

// availableSlots returns the number of slots of an escrow of the given size that are
// not reserved by holders other than the excepted one. It adds up fractions of the
// escrow instead of slots, because the holds may have been granted under escrows of
// different sizes. This keeps the sum of all Effective slots within any later, smaller
// escrow as well.
func (r Row) availableSlots(except ident.Incarnation, total int) int {
	remaining := big.NewRat(1, 1)
	for inc, h := range r.Holds {
		if inc != except && h.Total > 0 {
			remaining.Sub(remaining, big.NewRat(int64(h.Slots), int64(h.Total)))
		}
	}
	remaining.Mul(remaining, big.NewRat(int64(total), 1))
	if remaining.Sign() <= 0 {
		return 0
	}
	return int(new(big.Int).Quo(remaining.Num(), remaining.Denom()).Int64())
}

// Grant returns the row in which the holder has as many of the wanted slots as the
// escrow allows, and the new hold. An existing hold is not reduced below inUse, as far
// as it covers inUse under the given escrow.
func (r Row) Grant(inc ident.Incarnation, vm ident.VMID, want, inUse, total int) (Row, Hold) {
	next := r.clone()
	slots := max(min(want, r.availableSlots(inc, total)), 0)
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

// Release returns the row without the hold of the given incarnation.
func (r Row) Release(inc ident.Incarnation) Row {
	next := r.clone()
	delete(next.Holds, inc)
	return next
}

// Reclaim returns the row without the holds of holders whose VM is gone, and whether
// any hold was removed.
func (r Row) Reclaim(gone func(ident.VMID) bool) (Row, bool) {
	next := r.clone()
	for _, inc := range slices.Sorted(maps.Keys(r.Holds)) {
		if gone(r.Holds[inc].VM) {
			delete(next.Holds, inc)
		}
	}
	return next, len(next.Holds) != len(r.Holds)
}
