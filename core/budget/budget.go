// Package budget bounds the arrivals at servers beyond the first of each
// request, for each service.
package budget

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// Options set the size of a budget. In any span of time it allows at most Burst,
// Ratio for each request, and PerSecond for each second.
type Options struct {
	// Ratio is the number of further arrivals that each request earns.
	Ratio float64
	// PerSecond is earned by time while requests come.
	PerSecond float64
	// Burst is the most further arrivals that may be saved up.
	Burst float64
	// Initial is what a service's budget begins with.
	Initial float64
}

// maxGap bounds the time that one request earns for, so that a daemon which
// rarely sees a service saves up little.
const maxGap = time.Second

type bucket struct {
	tokens float64
	last   time.Time
}

// Budget is a token bucket for each service. A process that may have had an
// earlier incarnation begins with an empty one, so that restarts never spend more
// than requests earn. It is
// safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	options Options
	buckets map[ident.ServiceID]*bucket
}

// New returns an empty budget.
func New(o Options) *Budget {
	return &Budget{options: o, buckets: map[ident.ServiceID]*bucket{}}
}

// SetOptions changes the size.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = o
}

// Deposit counts one request for the service.
func (b *Budget) Deposit(now time.Time, service ident.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[service]
	if k == nil {
		k = &bucket{last: now, tokens: min(b.options.Initial, b.options.Burst)}
		b.buckets[service] = k
	}
	gap := min(max(0, now.Sub(k.last)), maxGap)
	k.last = now
	k.tokens = min(k.tokens+b.options.Ratio+b.options.PerSecond*gap.Seconds(), b.options.Burst)
}

// TryWithdraw takes one further arrival out of the budget and reports whether there
// was one.
func (b *Budget) TryWithdraw(service ident.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[service]
	if k == nil || k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Balance returns the further arrivals that the service has left.
func (b *Budget) Balance(service ident.ServiceID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[service]; k != nil {
		return k.tokens
	}
	return 0
}
