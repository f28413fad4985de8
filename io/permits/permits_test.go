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
	holders = 4
	steps   = 40
)

func service(floor int) *config.Service {
	s := &config.Service{FloorSlots: floor, Servers: map[ident.ServerID]config.Server{}}
	for i := range 8 {
		s.Servers[ident.ServerID(fmt.Sprint("s", i))] = config.Server{Slots: 2}
	}
	return s
}

// holder is one owner that ejects and restores servers as its permits allow.
type holder struct {
	keeper *permits.Manager
	used   int
}

// overdrawn lets owners over a store with faults take, use and give back
// permits, pause and restart, and returns how often they together had more
// slots ejected than the escrow holds.
func overdrawn(t *testing.T, seed uint64, wrap func(*store.Store) *store.Store) int {
	broken := 0
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(seed)
		tab.SetFaults(table.Faults{LoseReply: 0.2, LoseRequest: 0.2, StaleReads: 0.2, DelayMillis: 5})
		s := service(8)
		total := s.Capacity() - s.FloorSlots
		var out atomic.Int64
		var wg conc.WaitGroup
		var over atomic.Int64
		for i := range holders {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				h := &holder{}
				for range steps {
					h.step(r, i, wrap(tab.Store()), s, &out)
					if out.Load() > int64(total) {
						over.Add(1)
					}
				}
			})
		}
		wg.Wait()
		broken = int(over.Load())
	})
	return broken
}

// step does one random thing.
func (h *holder) step(r *rand.Rand, i int, s *store.Store, svc *config.Service, out *atomic.Int64) {
	if h.keeper == nil {
		h.keeper = permits.New(permits.Options{
			Self: ident.Incarnation(fmt.Sprintf("vm-%d~%d", i, r.Uint32())), VM: ident.VMID(fmt.Sprint("vm-", i)), Store: s,
			Gone: func(ident.VMID) bool { return false },
		})
	}
	purse := h.keeper.Pool("a")
	switch r.IntN(6) {
	case 0, 1:
		h.keeper.SetOwnedSlots("a", svc, 2*r.IntN(9))
		h.keeper.Reconcile(context.Background())
	case 2, 3:
		if purse.TryAcquire(2) {
			h.used += 2
			out.Add(2)
		}
	case 4:
		if h.used > 0 {
			h.used -= 2
			out.Add(-2)
			purse.Release(2)
		}
	default:
		if r.IntN(3) == 0 {
			// The process restarts: what it had ejected is back at work.
			out.Add(int64(-h.used))
			h.used, h.keeper = 0, nil
		}
	}
	time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
}

// TestFloorHoldsOverFaultyStore never overdraws the escrow.
func TestFloorHoldsOverFaultyStore(t *testing.T) {
	for seed := range uint64(30) {
		if n := overdrawn(t, seed, func(s *store.Store) *store.Store { return s }); n > 0 {
			t.Fatalf("seed %d: the floor was broken %d times", seed, n)
		}
	}
}

// TestCheckerFindsLostConditions shows that the check fails when the store's
// conditions are dropped.
func TestCheckerFindsLostConditions(t *testing.T) {
	for seed := range uint64(30) {
		n := overdrawn(t, seed, func(s *store.Store) *store.Store {
			free := *s
			free.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
				writes[0].Expect = store.Anything
				return s.Transact(ctx, writes)
			}
			return &free
		})
		if n > 0 {
			return
		}
	}
	t.Fatal("30 runs over a store without conditions keep the floor")
}

// TestHoldsWorkWhileStoreIsAway takes permits in advance and uses them in an
// outage; the dead holder's permits come back once its VM is gone.
func TestHoldsWorkWhileStoreIsAway(t *testing.T) {
	tab := table.New(1)
	gone := false
	newKeeper := func(vm ident.VMID) *permits.Manager {
		return permits.New(permits.Options{
			Self: ident.Incarnation(vm + "~1"), VM: vm, Store: tab.Store(),
			Gone: func(id ident.VMID) bool { return gone && id == "vm-a" },
		})
	}
	a, b := newKeeper("vm-a"), newKeeper("vm-b")
	s := service(12)
	a.SetOwnedSlots("a", s, 16)
	a.Reconcile(context.Background())
	tab.SetFaults(table.Faults{Down: true})
	if !a.Pool("a").TryAcquire(4) {
		t.Fatal("permits held in advance are not usable in an outage")
	}
	tab.SetFaults(table.Faults{})
	b.SetOwnedSlots("a", s, 16)
	b.Reconcile(context.Background())
	if b.Pool("a").TryAcquire(2) {
		t.Fatal("a second holder got permits that the first one uses")
	}
	gone = true
	b.Reconcile(context.Background())
	if !b.Pool("a").TryAcquire(4) {
		t.Fatal("permits of a VM that is gone did not come back")
	}
}
