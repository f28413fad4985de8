// Package budget limits the retries and hedged attempts of each service, that is, all
// attempts that reach a server beyond the first one of each request.
package budget

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// Options set the rate and capacity of a budget, in further attempts. In any time window
// the budget allows at most Burst, plus Ratio for each request, plus PerSecond for each
// second.
type Options struct {
	// Ratio is the number of tokens that each request adds.
	Ratio float64
	// PerSecond is the number of tokens that are added per second while requests arrive.
	PerSecond float64
	// Burst is the maximum number of tokens in a bucket.
	Burst float64
	// Initial is the number of tokens in a new bucket, at most Burst.
	Initial float64
}

// maxAccrualTime bounds the time since the previous request for which PerSecond adds tokens,
// so that a daemon which rarely gets requests for a service accumulates few tokens.
const maxAccrualTime = time.Second

// bucket is the token bucket of a service. One token allows one further attempt.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Budget holds a token bucket for each service. In a process that may have had an earlier
// incarnation the buckets must start empty, so that restarts never allow more further
// attempts than the requests add tokens for. Budget is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	options Options
	buckets map[ident.ServiceID]*bucket
}

// New returns a Budget without buckets.
func New(o Options) *Budget {
	return &Budget{options: o, buckets: map[ident.ServiceID]*bucket{}}
}

// SetOptions changes the options. A bucket with more than the new Burst is cut to it at the
// next Deposit.
func (b *Budget) SetOptions(o Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = o
}

// Deposit adds the tokens for one request to the bucket of the service.
func (b *Budget) Deposit(now time.Time, service ident.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[service]
	if k == nil {
		k = &bucket{updatedAt: now, tokens: min(b.options.Initial, b.options.Burst)}
		b.buckets[service] = k
	}
	elapsed := min(max(0, now.Sub(k.updatedAt)), maxAccrualTime)
	k.updatedAt = now
	k.tokens = min(k.tokens+b.options.Ratio+b.options.PerSecond*elapsed.Seconds(), b.options.Burst)
}

// TryWithdraw takes one token from the bucket of the service. It returns false if less than
// one token is left.
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

// Balance returns the number of tokens in the bucket of the service.
func (b *Budget) Balance(service ident.ServiceID) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[service]; k != nil {
		return k.tokens
	}
	return 0
}
