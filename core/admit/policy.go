package admit

import (
	"math"
	"time"

	"bilberrymux/core/ident"
)

// headroom is the fraction of the slots that less urgent ranks must leave free when they use more than
// their guarantee, so that urgent requests can start without waiting.
const headroom = 0.1

// maxHoldRatio is the highest ratio of a rank's mean hold time to that of a more urgent rank at
// which the former may still borrow the latter's unused guarantee. Above this ratio, the slots
// that the more urgent rank is expected to need are reserved for it.
const maxHoldRatio = 2

// rankShares guarantees each rank its share of the slots and lends unused slots to the waiting ranks,
// the most urgent first.
type rankShares struct {
	shares [ident.RankCount]float64
}

func newRankShares(o Options) *Policy {
	r := &rankShares{shares: o.Shares}
	return &Policy{Next: r.next, Estimate: r.estimate, LimitsQueue: true}
}

// guaranteed returns the number of slots guaranteed to the rank. It may be fractional.
func (r *rankShares) guaranteed(l *Load, rank int) float64 {
	return r.shares[rank] * float64(l.Capacity)
}

// belowGuarantee reports whether the rank uses fewer slots than are guaranteed to it.
func (r *rankShares) belowGuarantee(l *Load, rank int) bool {
	return float64(l.Busy[rank]) < r.guaranteed(l, rank)
}

func (r *rankShares) next(l *Load, ready [ident.RankCount]bool) int {
	free := l.Capacity - l.busy()
	if free <= 0 {
		return -1
	}
	for i, isReady := range ready {
		if isReady && r.belowGuarantee(l, i) {
			return i
		}
	}
	for i, isReady := range ready {
		if isReady && float64(free) > r.reservedSlots(l, i) {
			return i
		}
	}
	return -1
}

// reservedSlots returns the number of slots that a rank must leave free for more urgent ranks
// when it uses more than its guarantee.
func (r *rankShares) reservedSlots(l *Load, rank int) float64 {
	if rank == 0 {
		return 0
	}
	minimum := math.Round(headroom * float64(l.Capacity))
	expected := 0.0 // slots that more urgent ranks are expected to need beyond those in use
	for i := range rank {
		if l.MeanHoldTime[i] > 0 && l.MeanHoldTime[rank] > maxHoldRatio*l.MeanHoldTime[i] {
			expected += max(0, r.neededSlots(l, i)-float64(l.Busy[i]))
		}
	}
	return max(minimum, math.Ceil(expected))
}

// demandDeviations is the number of standard deviations above the mean demand of a more urgent rank for
// which slots are reserved against less urgent requests with long hold times.
const demandDeviations = 1

// neededSlots returns the number of slots that a rank is expected to need soon. This is its mean
// demand plus demandDeviations standard deviations of a Poisson variable, capped at its
// guarantee.
func (r *rankShares) neededSlots(l *Load, rank int) float64 {
	demand := l.Demand[rank]
	return min(r.guaranteed(l, rank), demand+demandDeviations*math.Sqrt(demand))
}

// estimate returns the expected waiting time of a new ticket of the rank: the number of waiting tickets
// of the rank, plus one if no slot is free, divided by the slots available to the rank and multiplied by
// the mean hold time. The slots available are the rank's guarantee or the slots left by the other ranks,
// whichever is more, and at least 0.5. While tickets of a more urgent rank wait, the other ranks leave
// no slots.
func (r *rankShares) estimate(l *Load, rank int) time.Duration {
	available := float64(l.Capacity) - r.reservedSlots(l, rank)
	for i := range rank {
		available -= float64(l.Busy[i])
		if l.Waiting[i] > 0 {
			available = 0
		}
	}
	for i := rank + 1; i < ident.RankCount; i++ {
		available -= min(float64(l.Busy[i]), math.Ceil(r.guaranteed(l, i)))
	}
	slots := max(available, r.guaranteed(l, rank), 0.5)
	ahead := float64(l.Waiting[rank])
	if l.busy() >= l.Capacity {
		ahead++
	}
	return time.Duration(ahead / slots * float64(l.MeanHoldTime[rank]))
}

// newFIFO returns a policy that ignores ranks: the rank whose head ticket was enqueued first takes any
// free slot, and no ticket is refused on arrival. It is the baseline of the experiments.
func newFIFO(Options) *Policy {
	return &Policy{
		Next: func(l *Load, ready [ident.RankCount]bool) int {
			if l.busy() >= l.Capacity {
				return -1
			}
			best := -1
			for i, isReady := range ready {
				if isReady && (best < 0 || l.HeadArrival[i].Before(l.HeadArrival[best])) {
					best = i
				}
			}
			return best
		},
		Estimate: func(*Load, int) time.Duration { return 0 },
	}
}
