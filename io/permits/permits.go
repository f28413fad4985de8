// Package permits keeps this daemon's ejection permits: it takes and returns
// them by conditional writes in the table service, ahead of need.
package permits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/config"
	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
	"bilberrymux/core/store"
)

// rowPrefix starts the key of a service's escrow row.
const rowPrefix = "escrow/"

// The keeping of permits.
const (
	// period is how often holds are brought in line with the need.
	period = 5 * time.Second
	// callTimeout bounds one exchange with the store.
	callTimeout = 2 * time.Second
	// maxTries bounds the tries of one change of a row that others change too.
	maxTries = 5
)

// Options are the dependencies of a Manager.
type Options struct {
	Self  ident.Incarnation
	VM    ident.VMID
	Store *store.Store
	// Gone reports whether the platform's list says that a VM is gone.
	Gone func(ident.VMID) bool
	// Count adds one to the counter of that name.
	Count func(name string)
}

// need is what the daemon wants to hold for one service.
type need struct {
	purse *escrow.PermitPool
	// want is the slots to hold, total the escrow of the service.
	want, total int
	held        escrow.Hold
}

// Manager is safe for concurrent use.
type Manager struct {
	options Options

	mu    sync.Mutex
	needs map[ident.ServiceID]*need
	wake  chan struct{}
}

// New returns a keeper that holds nothing.
func New(o Options) *Manager {
	if o.Count == nil {
		o.Count = func(string) {}
	}
	return &Manager{options: o, needs: map[ident.ServiceID]*need{}, wake: make(chan struct{}, 1)}
}

// Pool returns the purse of a service.
func (k *Manager) Pool(service ident.ServiceID) *escrow.PermitPool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.need(service).purse
}

func (k *Manager) need(service ident.ServiceID) *need {
	n := k.needs[service]
	if n == nil {
		n = &need{purse: escrow.NewPermitPool()}
		k.needs[service] = n
	}
	return n
}

// SetOwnedSlots says which slots of a service this daemon owns; zero for none. The
// escrow of the service comes from its configuration.
func (k *Manager) SetOwnedSlots(service ident.ServiceID, s *config.Service, ownedSlots int) {
	k.mu.Lock()
	n := k.need(service)
	n.total, n.want = 0, 0
	if s != nil {
		n.total = max(0, s.Capacity()-s.FloorSlots)
		n.want = share(n.total, ownedSlots, s)
	}
	n.purse.SetTotal(n.total)
	k.mu.Unlock()
	k.poke()
}

// share is the part of the escrow that goes with a part of the capacity,
// rounded up to whole servers.
func share(total, ownedSlots int, s *config.Service) int {
	capacity := s.Capacity()
	if ownedSlots == 0 || capacity == 0 {
		return 0
	}
	largest := 0
	for _, srv := range s.Servers {
		largest = max(largest, srv.Slots)
	}
	part := (total*ownedSlots + capacity - 1) / capacity
	// A part of a server's slots ejects nothing.
	return min(total, (part+largest-1)/largest*largest)
}

func (k *Manager) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Start keeps the holds in line until the context ends.
func (k *Manager) Start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-k.wake:
			}
			k.Reconcile(ctx)
		}
	})
}

// Reconcile brings every hold in line with its need, where the store answers.
func (k *Manager) Reconcile(ctx context.Context) {
	for _, service := range k.unsettled() {
		if err := k.settleOne(ctx, service); err != nil {
			k.options.Count("permits.failed")
		}
	}
}

// unsettled returns the services whose hold is not what is needed.
func (k *Manager) unsettled() []ident.ServiceID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []ident.ServiceID
	for service, n := range k.needs {
		if n.purse.Shortfall() > 0 || n.held.Slots != n.want || (n.want > 0 && n.held.Total != n.total) {
			out = append(out, service)
		}
	}
	return out
}

func (k *Manager) settleOne(ctx context.Context, service ident.ServiceID) error {
	k.mu.Lock()
	n := *k.needs[service]
	k.mu.Unlock()
	used, _ := n.purse.Usage()
	n.want = min(n.total, n.want+n.purse.Shortfall())
	if n.want < used {
		// What is in use can't be given back yet.
		n.want = used
	}
	hold, err := k.change(ctx, service, func(r escrow.Row) (escrow.Row, escrow.Hold) {
		return r.Grant(k.options.Self, k.options.VM, n.want, used, n.total)
	}, n.purse)
	if err != nil {
		return err
	}
	n.purse.ResetShortfall()
	k.mu.Lock()
	k.needs[service].held = hold
	k.mu.Unlock()
	return nil
}

// change rewrites the row of a service. A smaller hold is put in force here
// before the write, a larger one after it, so that a lost reply never leaves
// this daemon with more than the row says.
func (k *Manager) change(ctx context.Context, service ident.ServiceID, edit func(escrow.Row) (escrow.Row, escrow.Hold), purse *escrow.PermitPool) (escrow.Hold, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := rowPrefix + string(service)
	for range maxTries {
		row, revision, err := k.read(ctx, key)
		if err != nil {
			return escrow.Hold{}, err
		}
		old := row.Holds[k.options.Self]
		next, hold := edit(k.reclaim(row))
		purse.SetHold(smaller(old, hold))
		err = k.write(ctx, key, next, revision)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			k.options.Count("permits.conflict")
			continue
		}
		if err != nil {
			return escrow.Hold{}, err
		}
		purse.SetHold(hold)
		k.options.Count("permits.changed")
		return hold, nil
	}
	return escrow.Hold{}, fmt.Errorf("permits: row %s: too many conflicts", key)
}

// smaller returns a hold that is covered by both.
func smaller(a, b escrow.Hold) escrow.Hold {
	if a.Total == b.Total {
		a.Slots = min(a.Slots, b.Slots)
		return a
	}
	least := min(a.Effective(b.Total), b.Slots)
	return escrow.Hold{VM: b.VM, Slots: min(a.Slots, least), Total: max(a.Total, b.Total)}
}

// reclaim drops the holds of daemons that are gone: their VM is off the
// platform's list, or an earlier process of this VM held them. That process has
// ended, or this one could not listen on its address.
func (k *Manager) reclaim(r escrow.Row) escrow.Row {
	for inc, h := range r.Holds {
		if h.VM == k.options.VM && inc != k.options.Self {
			r = r.Release(inc)
		}
	}
	next, changed := r.Reclaim(k.options.Gone)
	if changed {
		k.options.Count("permits.reclaimed")
	}
	return next
}

func (k *Manager) read(ctx context.Context, key string) (escrow.Row, store.Revision, error) {
	row, ok, err := k.options.Store.Read(ctx, key)
	if err != nil || !ok {
		return escrow.Row{}, 0, err
	}
	var r escrow.Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return escrow.Row{}, 0, fmt.Errorf("permits: row %s: %w", key, err)
	}
	return r, row.Revision, nil
}

func (k *Manager) write(ctx context.Context, key string, r escrow.Row, revision store.Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("permits: %w", err)
	}
	w := store.Write{Key: key, Value: value, Expect: store.AtRevision, Revision: revision}
	if revision == 0 {
		w.Expect = store.Absent
	}
	_, err = k.options.Store.Transact(ctx, []store.Write{w})
	return err
}

// Release gives back every hold, as part of a planned stop.
func (k *Manager) Release(ctx context.Context) {
	k.mu.Lock()
	held := map[ident.ServiceID]*escrow.PermitPool{}
	for service, n := range k.needs {
		if n.held.Slots > 0 {
			held[service] = n.purse
		}
	}
	k.mu.Unlock()
	for service, purse := range held {
		purse.SetHold(escrow.Hold{})
		_, err := k.change(ctx, service, func(r escrow.Row) (escrow.Row, escrow.Hold) {
			return r.Release(k.options.Self), escrow.Hold{}
		}, purse)
		if err != nil {
			k.options.Count("permits.releaseFailed")
		}
	}
}
