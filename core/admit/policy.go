package admit

import (
	"math"
	"time"

	"bilberrymux/core/ident"
)

// headroom is the part of the slots that less urgent ranks leave free beyond
// their guarantee, so that urgent work finds a slot at once.
const headroom = 0.1

// longHold is how many times longer a rank's attempts may keep a slot than
// those of a more urgent rank before the rank may no longer borrow the more
// urgent rank's unused guarantee.
const longHold = 2

// rankShares guarantees each rank its share and gives what is unused by rank.
type rankShares struct {
	shares [ident.RankCount]float64
}

func newRankShares(o Options) *Policy {
	r := &rankShares{shares: o.Shares}
	return &Policy{Next: r.next, Estimate: r.estimate, LimitsQueue: true}
}

// guaranteed returns the slots that the rank's share amounts to.
func (r *rankShares) guaranteed(l *Load, rank int) float64 {
	return r.shares[rank] * float64(l.Capacity)
}

// entitled reports whether the rank uses less than its guaranteed slots.
func (r *rankShares) entitled(l *Load, rank int) bool {
	return float64(l.Busy[rank]) < r.guaranteed(l, rank)
}

func (r *rankShares) next(l *Load, ready [ident.RankCount]bool) int {
	free := l.Capacity - l.busy()
	if free <= 0 {
		return -1
	}
	for i, is := range ready {
		if is && r.entitled(l, i) {
			return i
		}
	}
	for i, is := range ready {
		if is && float64(free) > r.reserve(l, i) {
			return i
		}
	}
	return -1
}

// reserve returns the slots that a rank beyond its guarantee must leave free
// for the more urgent ranks.
func (r *rankShares) reserve(l *Load, rank int) float64 {
	if rank == 0 {
		return 0
	}
	kept := math.Round(headroom * float64(l.Capacity))
	long := 0.0
	for i := range rank {
		if l.MeanHoldTime[i] > 0 && l.MeanHoldTime[rank] > longHold*l.MeanHoldTime[i] {
			long += max(0, r.needed(l, i)-float64(l.Busy[i]))
		}
	}
	return max(kept, math.Ceil(long))
}

// demandDeviations is how many standard deviations above its mean demand a more
// urgent rank finds slots kept free from long, less urgent work.
const demandDeviations = 1

// needed returns the slots that a rank may come to use soon: its mean demand
// and some deviations of a Poisson variable, within its guarantee.
func (r *rankShares) needed(l *Load, rank int) float64 {
	demand := l.Demand[rank]
	return min(r.guaranteed(l, rank), demand+demandDeviations*math.Sqrt(demand))
}

// estimate divides the tickets ahead by the slots that the rank can count on:
// its guarantee, or what more urgent ranks leave, if that is more.
func (r *rankShares) estimate(l *Load, rank int) time.Duration {
	left := float64(l.Capacity) - r.reserve(l, rank)
	for i := range rank {
		left -= float64(l.Busy[i])
		if l.Waiting[i] > 0 {
			left = 0
		}
	}
	for i := rank + 1; i < ident.RankCount; i++ {
		left -= min(float64(l.Busy[i]), math.Ceil(r.guaranteed(l, i)))
	}
	slots := max(left, r.guaranteed(l, rank), 0.5)
	ahead := float64(l.Waiting[rank])
	if l.busy() >= l.Capacity {
		ahead++
	}
	return time.Duration(ahead / slots * float64(l.MeanHoldTime[rank]))
}

// newFIFO returns the policy that knows no ranks: the rank whose head arrived
// first takes any free slot, and nothing is refused at the door. It is the
// baseline of the experiments.
func newFIFO(Options) *Policy {
	return &Policy{
		Next: func(l *Load, ready [ident.RankCount]bool) int {
			if l.busy() >= l.Capacity {
				return -1
			}
			best := -1
			for i, is := range ready {
				if is && (best < 0 || l.HeadArrival[i].Before(l.HeadArrival[best])) {
					best = i
				}
			}
			return best
		},
		Estimate: func(*Load, int) time.Duration { return 0 },
	}
}
