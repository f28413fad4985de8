package permits_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/store"
	"bilberrymux/io/permits"
	"bilberrymux/io/standin/table"
)

const (
	ownerCount    = 4
	stepsPerOwner = 40
)

// service returns a service with the given floor and 8 servers of 2 slots each.
func service(floor int) *config.Service {
	s := &config.Service{FloorSlots: floor, Servers: map[ident.ServerID]config.Server{}}
	for i := range 8 {
		s.Servers[ident.ServerID(fmt.Sprint("s", i))] = config.Server{Slots: 2}
	}
	return s
}

// owner simulates a daemon that ejects and restores servers as its permits allow.
type owner struct {
	manager *permits.Manager
	// used is the number of slots that the owner has ejected.
	used int
}

// countOverdrafts simulates owners that reserve, use and return permits, pause and restart, while the
// store is faulty. It returns the number of steps after which all owners together had ejected more
// slots than the escrow allows.
func countOverdrafts(t *testing.T, seed uint64, wrapStore func(*store.Store) *store.Store) int {
	overdrafts := 0
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(seed)
		tab.SetFaults(table.Faults{LoseReplyFraction: 0.2, LoseRequestFraction: 0.2, StaleReadFraction: 0.2, DelayMillis: 5})
		s := service(8)
		total := s.Capacity() - s.FloorSlots
		var ejectedSlots atomic.Int64
		var wg conc.WaitGroup
		var overdraftCount atomic.Int64
		for i := range ownerCount {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				o := &owner{}
				for range stepsPerOwner {
					o.step(r, i, wrapStore(tab.Store()), s, &ejectedSlots)
					if ejectedSlots.Load() > int64(total) {
						overdraftCount.Add(1)
					}
				}
			})
		}
		wg.Wait()
		overdrafts = int(overdraftCount.Load())
	})
	return overdrafts
}

// step performs one random action of owner i. ejectedSlots is the number of slots that all owners
// together have ejected.
func (o *owner) step(r *rand.Rand, i int, s *store.Store, svc *config.Service, ejectedSlots *atomic.Int64) {
	if o.manager == nil {
		o.manager = permits.New(permits.Options{
			Self: ident.Incarnation(fmt.Sprintf("vm-%d~%d", i, r.Uint32())), VM: ident.VMID(fmt.Sprint("vm-", i)), Store: s,
			VMRemoved: func(ident.VMID) bool { return false },
		})
	}
	pool := o.manager.Pool("a")
	switch r.IntN(6) {
	case 0, 1:
		o.manager.SetOwnedSlots("a", svc, 2*r.IntN(9))
		o.manager.Reconcile(context.Background())
	case 2, 3:
		if pool.TryAcquire(2) {
			o.used += 2
			ejectedSlots.Add(2)
		}
	case 4:
		if o.used > 0 {
			o.used -= 2
			ejectedSlots.Add(-2)
			pool.Release(2)
		}
	default:
		if r.IntN(3) == 0 {
			// The process restarts, and the servers that it had ejected are in use again.
			ejectedSlots.Add(int64(-o.used))
			o.used, o.manager = 0, nil
		}
	}
	time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
}

// TestFloorIsKeptWithFaultyStore checks that owners never eject more slots than the escrow allows,
// although requests to the store and replies are lost and reads are stale.
func TestFloorIsKeptWithFaultyStore(t *testing.T) {
	for seed := range uint64(30) {
		if n := countOverdrafts(t, seed, func(s *store.Store) *store.Store { return s }); n > 0 {
			t.Fatalf("seed %d: capacity was below the floor after %d steps, want 0", seed, n)
		}
	}
}

// TestCheckDetectsUnconditionalWrites checks that countOverdrafts finds overdrafts if the store ignores
// the conditions of writes.
func TestCheckDetectsUnconditionalWrites(t *testing.T) {
	for seed := range uint64(30) {
		n := countOverdrafts(t, seed, func(s *store.Store) *store.Store {
			unconditional := *s
			unconditional.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
				writes[0].Expect = store.Anything
				return s.Transact(ctx, writes)
			}
			return &unconditional
		})
		if n > 0 {
			return
		}
	}
	t.Fatal("no overdraft found in 30 runs without conditional writes, want at least one")
}

// TestHoldsAreUsableWhileStoreIsUnavailable checks that permits reserved in advance can be used while
// the store is unavailable, and that another daemon gets them once the VM of the holder is removed.
func TestHoldsAreUsableWhileStoreIsUnavailable(t *testing.T) {
	tab := table.New(1)
	vmRemoved := false
	newManager := func(vm ident.VMID) *permits.Manager {
		return permits.New(permits.Options{
			Self: ident.Incarnation(vm + "~1"), VM: vm, Store: tab.Store(),
			VMRemoved: func(id ident.VMID) bool { return vmRemoved && id == "vm-a" },
		})
	}
	a, b := newManager("vm-a"), newManager("vm-b")
	s := service(12)
	a.SetOwnedSlots("a", s, 16)
	a.Reconcile(context.Background())
	tab.SetFaults(table.Faults{Down: true})
	if !a.Pool("a").TryAcquire(4) {
		t.Fatal("permits reserved in advance cannot be used while the store is unavailable")
	}
	tab.SetFaults(table.Faults{})
	b.SetOwnedSlots("a", s, 16)
	b.Reconcile(context.Background())
	if b.Pool("a").TryAcquire(2) {
		t.Fatal("a second holder got permits that the first one is using")
	}
	vmRemoved = true
	b.Reconcile(context.Background())
	if !b.Pool("a").TryAcquire(4) {
		t.Fatal("permits of a removed VM were not reclaimed")
	}
}
