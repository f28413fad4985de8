// Package link guards the slow, paid link between regions with a token bucket
// for each rank.
package link

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// Budget is the bytes a second that this daemon may send over the link. It is
// safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	rates   [ident.RankCount]float64
	tokens  [ident.RankCount]float64
	updated time.Time
}

// burstSeconds is how many seconds of its rate a bucket holds.
const burstSeconds = 2

// shares are the parts of the link that the ranks get. Unused tokens of a less
// urgent rank are not lent: the link is paid by volume.
var shares = [ident.RankCount]float64{0.6, 0.35, 0.05}

// New returns a budget of so many bytes a second for all ranks together. A
// rate of zero refuses everything.
func New(bytesPerSecond float64, now time.Time) *Budget {
	b := &Budget{updated: now}
	for i, share := range shares {
		b.rates[i] = share * bytesPerSecond
		b.tokens[i] = b.rates[i] * burstSeconds
	}
	return b
}

// Take uses bytes of a rank's budget and reports whether there were enough. An
// urgent request may use the tokens of less urgent ranks.
func (b *Budget) Take(now time.Time, rank ident.Rank, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := float64(bytes)
	for i := rank.Index(); i < ident.RankCount; i++ {
		if b.tokens[i] >= need {
			b.tokens[i] -= need
			return true
		}
	}
	return false
}

// Charge uses bytes that were sent already, as those of an answer. The bucket
// may go below zero.
func (b *Budget) Charge(now time.Time, rank ident.Rank, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens[rank.Index()] -= float64(bytes)
}

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
