// Package permits manages the ejection permits of a daemon. It reserves them in advance and returns
// them by conditional writes in the table service.
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

// rowPrefix is the prefix of the keys of the escrow rows. The service ID follows it.
const rowPrefix = "escrow/"

// Intervals and limits of the exchanges with the store.
const (
	// reconcilePeriod is the interval at which the holds are adjusted to the demands.
	reconcilePeriod = 5 * time.Second
	// storeTimeout is the timeout of one update of a row, including its repetitions.
	storeTimeout = 2 * time.Second
	// maxWriteAttempts is the maximum number of attempts to update a row. An attempt fails if
	// another daemon changes the row at the same time.
	maxWriteAttempts = 5
)

// Options are the dependencies of a Manager.
type Options struct {
	Self  ident.Incarnation
	VM    ident.VMID
	Store *store.Store
	// VMRemoved reports whether a VM was on the platform's list earlier and is no longer on it.
	VMRemoved func(ident.VMID) bool
	// Count increments the named counter. If it is nil, nothing is counted.
	Count func(name string)
}

// demand states how many permits the daemon should hold for one service, and how many it holds.
type demand struct {
	pool *escrow.PermitPool
	// want is the number of slots to hold, and total the escrow of the service in slots.
	want, total int
	// held is the hold according to the last successful update of the row.
	held escrow.Hold
}

// Manager reserves and returns the ejection permits of this daemon for all services. It is safe for
// concurrent use.
type Manager struct {
	options Options

	mu      sync.Mutex
	demands map[ident.ServiceID]*demand
	wake    chan struct{}
}

// New returns a manager that holds no permits.
func New(o Options) *Manager {
	if o.Count == nil {
		o.Count = func(string) {}
	}
	return &Manager{options: o, demands: map[ident.ServiceID]*demand{}, wake: make(chan struct{}, 1)}
}

// Pool returns the permit pool of a service.
func (m *Manager) Pool(service ident.ServiceID) *escrow.PermitPool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.demand(service).pool
}

// demand returns the demand of a service and creates it if necessary. The caller must hold m.mu.
func (m *Manager) demand(service ident.ServiceID) *demand {
	d := m.demands[service]
	if d == nil {
		d = &demand{pool: escrow.NewPermitPool()}
		m.demands[service] = d
	}
	return d
}

// SetOwnedSlots sets the number of slots of a service that this daemon owns, which may be zero. The
// escrow of the service is computed from its configuration s. It is zero if s is nil. The holds are
// adjusted in the background.
func (m *Manager) SetOwnedSlots(service ident.ServiceID, s *config.Service, ownedSlots int) {
	m.mu.Lock()
	d := m.demand(service)
	d.total, d.want = 0, 0
	if s != nil {
		d.total = max(0, s.Capacity()-s.FloorSlots)
		d.want = proportionalShare(d.total, ownedSlots, s)
	}
	d.pool.SetTotal(d.total)
	m.mu.Unlock()
	m.wakeUp()
}

// proportionalShare returns the part of the escrow, in slots, that is proportional to the owned part
// of the capacity. It is rounded up to a multiple of the slots of the largest server, but is
// at most total.
func proportionalShare(total, ownedSlots int, s *config.Service) int {
	capacity := s.Capacity()
	if ownedSlots == 0 || capacity == 0 {
		return 0
	}
	largest := 0
	for _, srv := range s.Servers {
		largest = max(largest, srv.Slots)
	}
	slots := (total*ownedSlots + capacity - 1) / capacity
	// Permits for only a part of a server's slots do not allow its ejection.
	return min(total, (slots+largest-1)/largest*largest)
}

// wakeUp makes the goroutine of Start reconcile the holds without waiting for the next period.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Start starts a goroutine in wg that calls Reconcile periodically, and after each change of a demand,
// until the context ends.
func (m *Manager) Start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() {
		ticker := time.NewTicker(reconcilePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-m.wake:
			}
			m.Reconcile(ctx)
		}
	})
}

// Reconcile adjusts every hold to its demand. If this fails for a service, its hold is left to the
// next call.
func (m *Manager) Reconcile(ctx context.Context) {
	for _, service := range m.outdated() {
		if err := m.reconcileService(ctx, service); err != nil {
			m.options.Count("permits.failed")
		}
	}
}

// outdated returns the services whose hold differs from the demand, or whose pool had too few permits.
func (m *Manager) outdated() []ident.ServiceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []ident.ServiceID
	for service, d := range m.demands {
		if d.pool.Shortfall() > 0 || d.held.Slots != d.want || (d.want > 0 && d.held.Total != d.total) {
			out = append(out, service)
		}
	}
	return out
}

// reconcileService adjusts the hold of one service. It requests additional permits for the shortfall
// of the pool.
func (m *Manager) reconcileService(ctx context.Context, service ident.ServiceID) error {
	m.mu.Lock()
	d := *m.demands[service]
	m.mu.Unlock()
	used, _ := d.pool.Usage()
	d.want = min(d.total, d.want+d.pool.Shortfall())
	if d.want < used {
		// Permits that are in use cannot be returned yet.
		d.want = used
	}
	hold, err := m.updateRow(ctx, service, func(r escrow.Row) (escrow.Row, escrow.Hold) {
		return r.Grant(m.options.Self, m.options.VM, d.want, used, d.total)
	}, d.pool)
	if err != nil {
		return err
	}
	d.pool.ResetShortfall()
	m.mu.Lock()
	m.demands[service].held = hold
	m.mu.Unlock()
	return nil
}

// updateRow changes the row of a service by the edit function, which returns the new row and the new
// hold of this daemon. It repeats the change if another daemon changed the row at the same time. A
// reduced hold is applied to the pool before the write, and an increased hold after it. Therefore the
// pool never allows more than the row, even if the reply to the write is lost.
func (m *Manager) updateRow(ctx context.Context, service ident.ServiceID, edit func(escrow.Row) (escrow.Row, escrow.Hold), pool *escrow.PermitPool) (escrow.Hold, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := rowPrefix + string(service)
	for range maxWriteAttempts {
		row, revision, err := m.readRow(ctx, key)
		if err != nil {
			return escrow.Hold{}, err
		}
		old := row.Holds[m.options.Self]
		next, hold := edit(m.reclaim(row))
		pool.SetHold(lowerHold(old, hold))
		err = m.writeRow(ctx, key, next, revision)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			m.options.Count("permits.conflict")
			continue
		}
		if err != nil {
			return escrow.Hold{}, err
		}
		pool.SetHold(hold)
		m.options.Count("permits.changed")
		return hold, nil
	}
	return escrow.Hold{}, fmt.Errorf("permits: row %s: %d updates conflicted with those of other daemons", key, maxWriteAttempts)
}

// lowerHold returns a hold that allows no more slots than a and no more than b under any escrow.
func lowerHold(a, b escrow.Hold) escrow.Hold {
	if a.Total == b.Total {
		a.Slots = min(a.Slots, b.Slots)
		return a
	}
	covered := min(a.Effective(b.Total), b.Slots)
	return escrow.Hold{VM: b.VM, Slots: min(a.Slots, covered), Total: max(a.Total, b.Total)}
}

// reclaim returns the row without the holds of daemons that have ended. These are the daemons whose VM
// was removed according to Options.VMRemoved, and earlier processes on this VM. An earlier process
// must have ended, since otherwise this one could not listen on its address.
func (m *Manager) reclaim(r escrow.Row) escrow.Row {
	for inc, h := range r.Holds {
		if h.VM == m.options.VM && inc != m.options.Self {
			r = r.Release(inc)
		}
	}
	next, changed := r.Reclaim(m.options.VMRemoved)
	if changed {
		m.options.Count("permits.reclaimed")
	}
	return next
}

// readRow reads the escrow row with the given key. If there is none, it returns an empty row and
// revision 0.
func (m *Manager) readRow(ctx context.Context, key string) (escrow.Row, store.Revision, error) {
	row, ok, err := m.options.Store.Read(ctx, key)
	if err != nil || !ok {
		return escrow.Row{}, 0, err
	}
	var r escrow.Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return escrow.Row{}, 0, fmt.Errorf("permits: decoding row %s: %w", key, err)
	}
	return r, row.Revision, nil
}

// writeRow writes an escrow row, provided that its revision has not changed. Revision 0 states that
// the row does not exist.
func (m *Manager) writeRow(ctx context.Context, key string, r escrow.Row, revision store.Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("permits: encoding row %s: %w", key, err)
	}
	w := store.Write{Key: key, Value: value, Expect: store.AtRevision, Revision: revision}
	if revision == 0 {
		w.Expect = store.Absent
	}
	_, err = m.options.Store.Transact(ctx, []store.Write{w})
	return err
}

// Release removes the holds of this daemon from all rows and empties its pools. It is part of a
// planned shutdown. If a row can't be updated, its hold stays until another daemon reclaims it.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	held := map[ident.ServiceID]*escrow.PermitPool{}
	for service, d := range m.demands {
		if d.held.Slots > 0 {
			held[service] = d.pool
		}
	}
	m.mu.Unlock()
	for service, pool := range held {
		pool.SetHold(escrow.Hold{})
		_, err := m.updateRow(ctx, service, func(r escrow.Row) (escrow.Row, escrow.Hold) {
			return r.Release(m.options.Self), escrow.Hold{}
		}, pool)
		if err != nil {
			m.options.Count("permits.releaseFailed")
		}
	}
}
