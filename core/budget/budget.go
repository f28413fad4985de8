// Package budget limits the retries and hedged attempts of each service, that is, all
// attempts that reach a server beyond the first one of each request. All daemons together
// must stay within a share of the requests plus a fixed reserve in any time window. Each
// daemon bounds its own part, see Division.
package budget

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// slotsPerWindow is the number of slots in which requests and attempts of a window are counted.
const slotsPerWindow = 40

// Options set the limits of a budget.
type Options struct {
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Window is the time window in which attempts and requests are counted.
	Window time.Duration
}

// slot holds the counts of one part of the window.
type slot struct {
	// number is the number of the slot since the start of the budget, from 1. A slot that was never used
	// has number 0.
	number             int64
	requests, attempts int
}

// account holds the counts of a service and the daemon's part of its reserve.
type account struct {
	slots   [slotsPerWindow + 1]slot
	reserve float64
}

// Budget counts the requests and the further attempts of each service. In any window it allows
// at most Ratio for each request of the window, plus the reserve. Budget is safe for concurrent
// use.
type Budget struct {
	options Options
	start   time.Time

	mu       sync.Mutex
	accounts map[ident.ServiceID]*account
}

// New returns a Budget without reserves that starts now. It panics if the window is too short to be
// divided.
func New(now time.Time, o Options) *Budget {
	if o.Window < slotsPerWindow {
		panic("budget: the window must be longer")
	}
	return &Budget{options: o, start: now, accounts: map[ident.ServiceID]*account{}}
}

// SetReserve sets the number of further attempts of a service that are allowed in any window
// beyond those for its requests.
func (b *Budget) SetReserve(service ident.ServiceID, reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service).reserve = reserve
}

// Deposit counts one request of a service.
func (b *Budget) Deposit(now time.Time, service ident.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotAt(now, b.account(service)).requests++
}

// TryWithdraw counts one further attempt of a service, or returns false if that is not allowed.
func (b *Budget) TryWithdraw(now time.Time, service ident.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[service]
	if a == nil || b.balance(now, a) < 1 {
		return false
	}
	b.slotAt(now, a).attempts++
	return true
}

// Balance returns the number of further attempts of a service that are allowed now, with fractions.
func (b *Budget) Balance(now time.Time, service ident.ServiceID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[service]; a != nil {
		return b.balance(now, a)
	}
	return 0
}

func (b *Budget) account(service ident.ServiceID) *account {
	a := b.accounts[service]
	if a == nil {
		a = &account{}
		b.accounts[service] = a
	}
	return a
}

// slotNumber returns the number of the slot that a time lies in.
func (b *Budget) slotNumber(now time.Time) int64 {
	return 1 + int64(max(0, now.Sub(b.start))/(b.options.Window/slotsPerWindow))
}

// slotAt returns the slot of an account for the current time, and empties it if it held older counts.
func (b *Budget) slotAt(now time.Time, a *account) *slot {
	number := b.slotNumber(now)
	s := &a.slots[number%int64(len(a.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// balance returns what an account allows. The slot that the window begins in counts for attempts, but not
// for requests, so that no window of any position holds more than is allowed.
func (b *Budget) balance(now time.Time, a *account) float64 {
	oldest := b.slotNumber(now) - slotsPerWindow
	requests, attempts := 0, 0
	for i := range a.slots {
		s := &a.slots[i]
		if s.number >= oldest {
			attempts += s.attempts
		}
		if s.number > oldest {
			requests += s.requests
		}
	}
	return b.options.Ratio*float64(requests) + a.reserve - float64(attempts)
}
