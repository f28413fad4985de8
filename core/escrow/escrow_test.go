package escrow_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
)

// sumEffective returns the number of slots that all holders together may eject under
// an escrow of the given size.
func sumEffective(r escrow.Row, total int) int {
	sum := 0
	for _, h := range r.Holds {
		sum += h.Effective(total)
	}
	return sum
}

// grantFunc grants slots to a holder, either by the code under test or by a faulty
// rule.
type grantFunc func(r escrow.Row, inc ident.Incarnation, want, inUse, total int) escrow.Row

// grantByRow grants slots by the code under test.
func grantByRow(r escrow.Row, inc ident.Incarnation, want, inUse, total int) escrow.Row {
	next, _ := r.Grant(inc, "vm", want, inUse, total)
	return next
}

// grantBySlotSum is a faulty rule. It adds up slots and ignores that the holds were
// granted under escrows of different sizes.
func grantBySlotSum(r escrow.Row, inc ident.Incarnation, want, _, total int) escrow.Row {
	next := r.Release(inc)
	taken := 0
	for _, h := range next.Holds {
		taken += h.Slots
	}
	if slots := max(0, min(want, total-taken)); slots > 0 {
		next.Holds[inc] = escrow.Hold{VM: "vm", Slots: slots, Total: total}
	}
	return next
}

// findOverdraft grants and releases holds and changes the size of the escrow at random.
// After each step it checks every escrow up to the current size. It describes the first
// case in which the holders together may eject more slots than the escrow has, or
// returns an empty string if there is none.
func findOverdraft(t *rapid.T, grant grantFunc) string {
	var r escrow.Row
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		total := rapid.IntRange(0, 40).Draw(t, "total")
		inc := ident.Incarnation(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "holder")))
		if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
			r = r.Release(inc)
		} else {
			inUse := r.Holds[inc].Effective(total)
			r = grant(r, inc, rapid.IntRange(0, 20).Draw(t, "want"), inUse, total)
		}
		for size := range total + 1 {
			if sum := sumEffective(r, size); sum > size {
				return fmt.Sprintf("holders may eject %d of %d slots: %v", sum, size, r.Holds)
			}
		}
	}
	return ""
}

// TestHoldsNeverExceedEscrow guards the capacity floor: holds that were granted under
// escrows of different sizes must not together exceed the current escrow or a smaller
// one.
func TestHoldsNeverExceedEscrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := findOverdraft(t, grantByRow); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestCheckDetectsOverdraft checks that findOverdraft detects a faulty rule.
func TestCheckDetectsOverdraft(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = findOverdraft(t, grantBySlotSum) != "" || found
	})
	if !found {
		t.Fatal("no overdraft found for a rule that adds slots granted under different escrows, want one")
	}
}

// TestReclaimReleasesHoldsOfGoneVMs checks that Reclaim removes the holds of VMs that
// are gone, and no others.
func TestReclaimReleasesHoldsOfGoneVMs(t *testing.T) {
	var r escrow.Row
	r, _ = r.Grant("a", "vm-a", 2, 0, 6)
	r, _ = r.Grant("b", "vm-b", 2, 0, 6)
	r, changed := r.Reclaim(func(vm ident.VMID) bool { return vm == "vm-a" })
	if _, kept := r.Holds["b"]; !changed || !kept || len(r.Holds) != 1 {
		t.Fatalf("after reclaim: changed %v, holds %v, want true and only the hold of b", changed, r.Holds)
	}
}

// TestPermitPoolEnforcesHold checks that permits can be acquired only as far as the
// hold covers them, and that Excess reports the uncovered slots after the escrow shrank.
func TestPermitPoolEnforcesHold(t *testing.T) {
	p := escrow.NewPermitPool()
	p.SetTotal(6)
	p.SetHold(escrow.Hold{VM: "vm", Slots: 4, Total: 6})
	if !p.TryAcquire(2) || !p.TryAcquire(2) || p.TryAcquire(1) {
		t.Fatal("a hold of 4 slots must allow two acquisitions of 2 slots and refuse a third of 1")
	}
	if p.Shortfall() != 1 {
		t.Fatalf("shortfall of %d slots, want 1", p.Shortfall())
	}
	p.SetTotal(3)
	if p.Excess() != 2 {
		t.Fatalf("excess of %d slots after the escrow was halved, want 2", p.Excess())
	}
}
