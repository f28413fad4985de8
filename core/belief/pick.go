package belief

import (
	"math"
	"slices"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// PickInfo describes the attempt that needs a server.
type PickInfo struct {
	Servers []*roster.Server
	// Route groups requests whose times compare.
	Route string
	// Target is the time within which an answer has its full worth.
	Target     time.Duration
	Idempotent bool
	// Last says that no further attempt may follow this one.
	Last bool
	// Tried lists the servers that the request was sent to already.
	Tried []roster.Key
}

// The costs of a choice, in parts of the worth of one request.
const (
	// zoneCost and regionCost are those of bytes that leave the zone and the
	// region, for a request that may not be repeated.
	zoneCost   = 0.08
	regionCost = 0.14
	// Answers of idempotent requests are longer, and a failed attempt can be
	// made good.
	zoneCostIdempotent   = 0.2
	regionCostIdempotent = 0.3
	failCostIdempotent   = 0.3
	// lateCost is that of an answer which comes after its target.
	lateCost = 0.5
	// unknownWait is that of waiting for a round of slots while the usual time
	// is not known.
	unknownWait = 0.2
	// crowdCost is that of a server whose slots are all but one in use.
	crowdCost = 0.03
	// pathCost and shedCost keep work off servers out of reach or without room
	// while there are others.
	pathCost = 1.2
	shedCost = 0.6
	// coldCost is that of a server that has just started.
	coldCost = 0.1
	// overdueCost is that of each attempt which takes far too long.
	overdueCost = 0.35
	// probationCost keeps a second request off a server that is likely sick.
	probationCost = 0.5
	// slowCost is that of a server which takes e times as long as usual.
	slowCost = 0.2
)

// slowFrom is the logarithm of the slowness that is noise.
const slowFrom = 0.4

// overdueFactor is how many times the usual time makes an attempt overdue.
const overdueFactor = 4

// leastOverdue is the age below which no attempt is overdue.
const leastOverdue = 250 * time.Millisecond

// Pick chooses the server with the least expected cost and counts the attempt.
// It returns nil where no server may take it.
func (b *Tracker) Pick(now time.Time, ask *PickInfo) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *roster.Server
	var bestState *state
	least := math.Inf(1)
	for _, server := range ask.Servers {
		if server.Draining || slices.Contains(ask.Tried, server.Key()) {
			continue
		}
		s := b.state(now, server.Key())
		if s.misdirected {
			continue
		}
		if cost := b.cost(now, ask, server, s); cost < least {
			best, bestState, least = server, s, cost
		}
	}
	if best == nil {
		return nil
	}
	due := b.floorDue(now, ask)
	if due != nil {
		best, bestState = due, b.state(now, due.Key())
	}
	bestState.picked = now
	a := &Attempt{Server: *best, Floor: due != nil, Risk: bestState.riskAt(now), Age: -1, Started: now, route: ask.Route}
	if bestState.tried {
		a.Age = now.Sub(bestState.at)
	}
	bestState.active = append(bestState.active, a)
	return a
}

// cost is what the attempt is expected to lose at a server.
func (b *Tracker) cost(now time.Time, ask *PickInfo, server *roster.Server, s *state) float64 {
	risk := s.riskAt(now)
	cost := risk
	if ask.Idempotent && !ask.Last {
		cost *= failCostIdempotent
	}
	far := b.distance(server.Zone, ask.Idempotent)
	cost += far + b.loadCost(now, ask, server, s, risk)
	if now.Before(s.pathUntil) {
		cost += pathCost
	}
	if now.Before(s.shedUntil) {
		cost += shedCost
	}
	if server.Cold {
		cost += coldCost
	}
	if s.slowness > slowFrom {
		cost += slowCost * (s.slowness - slowFrom)
	}
	return cost
}

// distance is the cost of the way to a zone.
func (b *Tracker) distance(zone ident.ZoneID, idempotent bool) float64 {
	near, far := zoneCost, regionCost
	if idempotent {
		near, far = zoneCostIdempotent, regionCostIdempotent
	}
	switch {
	case zone == b.options.Zone:
		return 0
	case b.options.Regions[zone] == b.options.Regions[b.options.Zone]:
		return near
	}
	return far
}

// loadCost is the cost of what the server has to do already.
func (b *Tracker) loadCost(now time.Time, ask *PickInfo, server *roster.Server, s *state, risk float64) float64 {
	busy := len(s.active)
	for vm, e := range s.elsewhere {
		if now.Sub(e.at) > elsewhereLife {
			delete(s.elsewhere, vm)
			continue
		}
		busy += e.count
	}
	slots := max(1, server.Slots)
	cost := crowdCost * float64(busy) / float64(slots)
	if over := busy - slots + 1; over > 0 {
		cost += b.waitCost(ask) * float64(over) / float64(slots)
	}
	if risk >= sickFrom/2 && busy > 0 {
		cost += probationCost * risk
	}
	for _, a := range s.active {
		if now.Sub(a.Started) > b.overdueAfter(a.route) {
			cost += overdueCost
		}
	}
	return cost
}

// waitCost is the cost of waiting for a whole round of the slots: the part that
// it takes of the time which is left until the target.
func (b *Tracker) waitCost(ask *PickInfo) float64 {
	q := b.usual[ask.Route]
	if q == nil || !q.Warm() {
		return unknownWait
	}
	usual := q.Median()
	slack := ask.Target - usual
	if slack <= usual/2 {
		return lateCost
	}
	return min(1, lateCost*float64(usual)/float64(slack))
}

// overdueAfter returns the age from which an attempt of a route is overdue.
func (b *Tracker) overdueAfter(route string) time.Duration {
	q := b.usual[route]
	if q == nil || !q.Warm() {
		return time.Second
	}
	return max(leastOverdue, overdueFactor*q.Median())
}
