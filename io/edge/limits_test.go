package edge

import (
	"fmt"
	"testing"

	"bilberrymux/core/ident"
)

func TestOwnersOfALimitHaveDistinctPlaces(t *testing.T) {
	owners := []ident.VMID{"a", "b", "c"}
	first := map[ident.VMID]int{}
	for n := range 60 {
		server := ident.ServerID(fmt.Sprintf("i-%d", n))
		taken := map[int]bool{}
		for _, vm := range owners {
			p := positionFor(server, owners, vm)
			if p < 0 || p >= len(owners) || taken[p] {
				t.Fatalf("%s: place %d of %s is taken or out of range", server, p, vm)
			}
			taken[p] = true
			if p == 0 {
				first[vm]++
			}
		}
	}
	for _, vm := range owners {
		if first[vm] < 10 {
			t.Errorf("%s has the first place for %d of 60 servers, want at least 10", vm, first[vm])
		}
	}
	if p := positionFor("i-1", owners, "other"); p != -1 {
		t.Errorf("place of a daemon that is no owner: got %d, want -1", p)
	}
}
