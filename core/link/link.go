// Package link limits the traffic on the link between regions, which is slow and billed by
// volume, with a token bucket for each rank.
package link

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// Budget limits the bytes that this daemon may send over the link with one token bucket per
// rank. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// rates are the refill rates in bytes per second, and tokens the bytes in the buckets.
	rates  [ident.RankCount]float64
	tokens [ident.RankCount]float64
	// updated is the time of the last refill.
	updated time.Time
}

// burstSeconds is the capacity of a bucket in seconds of its refill rate.
const burstSeconds = 2

// rankShares are the shares of the link's rate that the ranks get, in order of descending
// urgency. Unused tokens are not lent to less urgent ranks, because the link is billed by volume.
var rankShares = [ident.RankCount]float64{0.6, 0.35, 0.05}

// New returns a budget of bytesPerSecond for all ranks together, with full buckets. A rate of
// zero refuses all traffic.
func New(bytesPerSecond float64, now time.Time) *Budget {
	b := &Budget{updated: now}
	for i, share := range rankShares {
		b.rates[i] = share * bytesPerSecond
		b.tokens[i] = b.rates[i] * burstSeconds
	}
	return b
}

// Take takes tokens for the given number of bytes from the bucket of the rank, or else from the first less
// urgent one that holds enough. It reports whether any of them did; otherwise nothing is taken.
func (b *Budget) Take(now time.Time, rank ident.Rank, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	cost := float64(bytes)
	for i := rank.Index(); i < ident.RankCount; i++ {
		if b.tokens[i] >= cost {
			b.tokens[i] -= cost
			return true
		}
	}
	return false
}

// Charge takes tokens of the rank for bytes that were already sent, such as those of a response.
// The bucket's level may become negative.
func (b *Budget) Charge(now time.Time, rank ident.Rank, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens[rank.Index()] -= float64(bytes)
}

// refill adds the tokens for the time since the last refill. It does nothing if the clock went back.
func (b *Budget) refill(now time.Time) {
	seconds := now.Sub(b.updated).Seconds()
	if seconds <= 0 {
		return
	}
	b.updated = now
	for i, rate := range b.rates {
		b.tokens[i] = min(b.tokens[i]+seconds*rate, rate*burstSeconds)
	}
}
