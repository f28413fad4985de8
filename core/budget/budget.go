// Package budget bounds the arrivals at servers beyond the first of each
// request, for each service.
package budget

import (
	"sync"

	"bilberrymux/core/ident"
)

// Options set the size of a budget.
type Options struct {
	// Ratio is the number of further arrivals that each request earns.
	Ratio float64
	// Reserve is the most further arrivals that may be saved up.
	Reserve float64
}

// Budget is a token bucket for each service. A new one is empty, so that a
// process that restarts often never spends more than its requests earn. It is
// safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	options Options
	tokens  map[ident.ServiceID]float64
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{options: o, tokens: map[ident.ServiceID]float64{}}
}

// SetReserve changes the most that may be saved up.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options.Reserve = reserve
}

// Earn counts one request for the service.
func (b *Budget) Earn(service ident.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(service, b.options.Ratio)
}

// Accrue adds a part of the reserve for each service, in tokens.
func (b *Budget) Accrue(service ident.ServiceID, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(service, tokens)
}

func (b *Budget) add(service ident.ServiceID, tokens float64) {
	b.tokens[service] = min(b.tokens[service]+tokens, b.options.Reserve)
}

// Spend takes one further arrival out of the budget and reports whether there
// was one.
func (b *Budget) Spend(service ident.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// Left returns the further arrivals that the service has left.
func (b *Budget) Left(service ident.ServiceID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[service]
}
