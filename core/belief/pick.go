package belief

import (
	"math"
	"slices"
	"time"

	"bilberrymux/core/holdoff"
	"bilberrymux/core/ident"
	"bilberrymux/core/ratelimit"
	"bilberrymux/core/roster"
)

// PickInfo describes the attempt for which a server is picked.
type PickInfo struct {
	// Servers lists the servers of the service.
	Servers []*roster.Server
	// Route groups requests with comparable response times.
	Route string
	// TargetLatency is the response time up to which a response has its full value.
	TargetLatency time.Duration
	Idempotent    bool
	// Last says that no further attempt of the request may follow this one.
	Last bool
	// Tried lists the servers to which the request was already sent.
	Tried []roster.Key
	// Limits holds the limits that servers have named. It may be nil.
	Limits *ratelimit.Limits
	// Holdoffs holds the servers that asked for no requests. It may be nil.
	Holdoffs *holdoff.Holdoffs
}

// allows reports whether the limits and the server itself allow an attempt at the server.
func (info *PickInfo) allows(now time.Time, key roster.Key) bool {
	return !info.heldOff(now, key) && (info.Limits == nil || info.Limits.Allows(now, key))
}

// heldOff reports whether a server asked for no requests.
func (info *PickInfo) heldOff(now time.Time, key roster.Key) bool {
	return info.Holdoffs != nil && !info.Holdoffs.Allows(now, key)
}

// The costs of picking a server, as fractions of the value of one request.
const (
	// crossZoneCost and crossRegionCost are the costs of traffic that leaves the zone and
	// the region, for a request that is not idempotent.
	crossZoneCost   = 0.08
	crossRegionCost = 0.14
	// Idempotent requests have larger responses, so traffic costs more. Their failed
	// attempts can be retried, so a failure costs less.
	crossZoneCostIdempotent   = 0.2
	crossRegionCostIdempotent = 0.3
	failureCostIdempotent     = 0.3
	// lateCost is the cost of a response that arrives after its target.
	lateCost = 0.5
	// unknownQueueCost is the cost of waiting until all slots of a server were reused once,
	// while the response time of the route is not known.
	unknownQueueCost = 0.2
	// utilizationCost is multiplied by the share of the server's slots that is in use.
	utilizationCost = 0.03
	// unreachableCost and shedCost are the costs of a server in its backoff after a failed
	// connection and in its cooldown after it shed a request. They keep requests off such a
	// server while there are others.
	unreachableCost = 1.2
	shedCost        = 0.6
	// coldStartCost is the cost of a server that has just started.
	coldStartCost = 0.1
	// suspectLoadCost is multiplied by the risk of a server that is possibly sick and has
	// in-flight attempts, to keep a second request off it.
	suspectLoadCost = 0.5
	// slownessCost is the cost per unit of slowness above slownessThreshold. One unit is a
	// factor of e in response time.
	slownessCost = 0.2
)

// slownessThreshold is the slowness, a natural logarithm, up to which differences in
// response time are treated as noise.
const slownessThreshold = 0.4

// Pick returns an attempt at the server with the lowest expected cost, or at a server of
// the floor that is due. The attempt is in flight until End is called. Pick returns nil
// if no server may take it.
func (t *Tracker) Pick(now time.Time, info *PickInfo) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *roster.Server
	var bestState *state
	least := math.Inf(1)
	for _, server := range info.Servers {
		if server.Draining || slices.Contains(info.Tried, server.Key()) {
			continue
		}
		s := t.state(now, server.Key())
		if now.Before(s.misdirectedUntil) || !info.allows(now, server.Key()) {
			continue
		}
		if cost := t.cost(now, info, server, s); cost < least {
			best, bestState, least = server, s, cost
		}
	}
	if best == nil {
		return nil
	}
	reason := LeastCost
	if due := t.dueFloorServer(now, info); due != nil {
		best, bestState, reason = due, t.state(now, due.Key()), KeepInUse
		if bestState.isDoubtful(now) {
			reason = Probe
		}
	}
	if info.Limits != nil {
		info.Limits.Take(now, best.Key())
	}
	if info.Holdoffs != nil {
		info.Holdoffs.Take(now, best.Key())
	}
	bestState.lastPicked = now
	a := &Attempt{
		Server: *best, Reason: reason, Risk: t.currentRisk(now, bestState), EvidenceAge: -1, Started: now,
		route: info.Route, target: info.TargetLatency, crowding: max(1, float64(bestState.busy(now)+1)/float64(max(1, best.Slots))),
	}
	if bestState.hasEvidence {
		a.EvidenceAge = now.Sub(bestState.evidenceAt)
	}
	bestState.active = append(bestState.active, a)
	return a
}

// cost returns the expected cost of the attempt at a server.
func (t *Tracker) cost(now time.Time, info *PickInfo, server *roster.Server, s *state) float64 {
	risk := t.currentRisk(now, s)
	cost := risk
	if info.Idempotent && !info.Last {
		cost *= failureCostIdempotent
	}
	locality := t.localityCost(server.Zone, info.Idempotent)
	cost += locality + t.loadCost(now, info, server, s, risk)
	if now.Before(s.unreachableUntil) {
		cost += unreachableCost
	}
	if now.Before(s.shedUntil) {
		cost += shedCost
	}
	if server.Cold {
		cost += coldStartCost
	}
	if s.slowness > slownessThreshold {
		cost += slownessCost * (s.slowness - slownessThreshold)
	}
	return cost
}

// localityCost returns the cost of traffic to a zone.
func (t *Tracker) localityCost(zone ident.ZoneID, idempotent bool) float64 {
	zoneCost, regionCost := crossZoneCost, crossRegionCost
	if idempotent {
		zoneCost, regionCost = crossZoneCostIdempotent, crossRegionCostIdempotent
	}
	switch {
	case zone == t.options.Zone:
		return 0
	case t.options.Regions[zone] == t.options.Regions[t.options.Zone]:
		return zoneCost
	}
	return regionCost
}

// loadCost returns the cost of the load of the server.
func (t *Tracker) loadCost(now time.Time, info *PickInfo, server *roster.Server, s *state, risk float64) float64 {
	busy := s.busy(now)
	slots := max(1, server.Slots)
	cost := utilizationCost * float64(busy) / float64(slots)
	if excess := busy - slots + 1; excess > 0 {
		cost += t.queueCost(info) * float64(excess) / float64(slots)
	}
	if risk >= sickThreshold/2 && busy > 0 {
		cost += suspectLoadCost * risk
	}
	return cost
}

// inFlight returns the number of in-flight attempts of this daemon, without those that it delays itself.
func (s *state) inFlight() int {
	count := 0
	for _, a := range s.active {
		if !a.isDelayed() {
			count++
		}
	}
	return count
}

// busy returns the number of in-flight attempts at the server, including those that other daemons
// report. Expired reports are deleted.
func (s *state) busy(now time.Time) int {
	count := s.inFlight()
	for vm, e := range s.remote {
		if now.Sub(e.at) > remoteAttemptsTTL {
			delete(s.remote, vm)
			continue
		}
		count += e.count
	}
	return count
}

// queueCost returns the cost of waiting until all slots of a server were reused once. It
// grows with the ratio of the median response time to the time left until the target.
func (t *Tracker) queueCost(info *PickInfo) float64 {
	q := t.latenciesOf(info.Route).quantiles
	if !q.Warm() {
		return unknownQueueCost
	}
	median := q.Median()
	slack := info.TargetLatency - median
	if slack <= median/2 {
		return lateCost
	}
	return min(1, lateCost*float64(median)/float64(slack))
}
