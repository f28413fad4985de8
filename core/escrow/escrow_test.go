package escrow_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
)

// sumEffective is what all holders together may eject under an escrow.
func sumEffective(r escrow.Row, total int) int {
	sum := 0
	for _, h := range r.Holds {
		sum += h.Effective(total)
	}
	return sum
}

// grant is the rule under test, or a broken one.
type grant func(r escrow.Row, inc ident.Incarnation, want, inUse, total int) escrow.Row

func rule(r escrow.Row, inc ident.Incarnation, want, inUse, total int) escrow.Row {
	next, _ := r.Grant(inc, "vm", want, inUse, total)
	return next
}

// slotRule is the rule that forgets holds granted under another escrow.
func slotRule(r escrow.Row, inc ident.Incarnation, want, _, total int) escrow.Row {
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

// checkEscrow grants, releases and resizes at random and fails when the holders
// could together eject more than some escrow of the size in force or less.
func checkEscrow(t *rapid.T, g grant) string {
	var r escrow.Row
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		total := rapid.IntRange(0, 40).Draw(t, "total")
		inc := ident.Incarnation(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "holder")))
		if rapid.IntRange(0, 4).Draw(t, "release") == 0 {
			r = r.Release(inc)
		} else {
			inUse := r.Holds[inc].Effective(total)
			r = g(r, inc, rapid.IntRange(0, 20).Draw(t, "want"), inUse, total)
		}
		for size := range total + 1 {
			if sum := sumEffective(r, size); sum > size {
				return fmt.Sprintf("holders may eject %d of %d slots: %v", sum, size, r.Holds)
			}
		}
	}
	return ""
}

// TestHoldsNeverExceedEscrow is the capacity floor: whatever is granted under
// escrows of whatever sizes, no escrow is ever overdrawn.
func TestHoldsNeverExceedEscrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := checkEscrow(t, rule); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestCheckerFindsSlotRule shows that the check fails for a broken rule.
func TestCheckerFindsSlotRule(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) {
		found = checkEscrow(t, slotRule) != "" || found
	})
	if !found {
		t.Fatal("the check passes a rule that adds slots granted under different escrows")
	}
}

// TestReclaimDropsGoneVMs frees the holds of VMs that are gone, and no others.
func TestReclaimDropsGoneVMs(t *testing.T) {
	var r escrow.Row
	r, _ = r.Grant("a", "vm-a", 2, 0, 6)
	r, _ = r.Grant("b", "vm-b", 2, 0, 6)
	r, changed := r.Reclaim(func(vm ident.VMID) bool { return vm == "vm-a" })
	if _, kept := r.Holds["b"]; !changed || !kept || len(r.Holds) != 1 {
		t.Fatalf("after reclaim: changed %v, holds %v", changed, r.Holds)
	}
}

// TestPurseCoversUse takes permits only while the hold covers them, also after
// the escrow shrank.
func TestPurseCoversUse(t *testing.T) {
	p := escrow.NewPermitPool()
	p.SetTotal(6)
	p.SetHold(escrow.Hold{VM: "vm", Slots: 4, Total: 6})
	if !p.TryAcquire(2) || !p.TryAcquire(2) || p.TryAcquire(1) {
		t.Fatal("a hold of 4 must cover 2 and 2 and no more")
	}
	if p.Shortfall() != 1 {
		t.Fatalf("denied %d slots, want 1", p.Shortfall())
	}
	p.SetTotal(3)
	if p.Excess() != 2 {
		t.Fatalf("excess %d after the escrow was halved, want 2", p.Excess())
	}
}
