package belief

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// The parameters of the floor. Requests must not concentrate on the few servers with the lowest risk: when a
// service loses requests suddenly, the share of its servers that were in use just before counts.
const (
	// degradedFloorShare is the share of a large service's servers that get requests which can't be
	// retried while the service is degraded.
	degradedFloorShare = 0.9
	// floorMargin is added to Options.FloorShare.
	floorMargin = 0.05
	// largeServiceSize is the number of servers from which a daemon keeps only the servers of its own zone
	// in view for the floor.
	largeServiceSize = 16
	// floorIdleTime is how long a server may be idle: neither picked by this
	// daemon nor with new evidence. floorIdleJitter is the upper bound of what is added to
	// it. The jitter depends on server and daemon, so that the daemons of a zone don't pick
	// the same server at the same time.
	floorIdleTime   = 500 * time.Millisecond
	floorIdleJitter = 300 * time.Millisecond
	// degradedIdleTime and degradedIdleJitter replace them while the service is degraded, when a request
	// that is not sent to the server with the least cost is more likely to be lost.
	degradedIdleTime   = 800 * time.Millisecond
	degradedIdleJitter = 500 * time.Millisecond
	// recoveredIdleTime replaces floorIdleTime for a server whose last response was good, but whose risk was
	// recoveredRisk or more then, since it had failed not long before.
	recoveredIdleTime = 2500 * time.Millisecond
	recoveredRisk     = 0.1
	// failedIdleTime is how long a server may be idle after its first failure while the service is not
	// degraded. It doubles with each further failure in a row, up to maxFailedIdleTime.
	failedIdleTime    = 3 * time.Second
	maxFailedIdleTime = 8 * time.Second
	// maxFailedDoublings limits the growth of failedIdleTime, so that it can't overflow.
	maxFailedDoublings = 8
)

// dueFloorServer returns a server of this daemon's zone that must get the attempt so that it stays in use, or
// nil. Of the servers that are due it returns the one with the lowest risk. The daemons of each zone keep
// only the servers of their own zone in use.
func (t *Tracker) dueFloorServer(now time.Time, info *PickInfo) *roster.Server {
	if len(info.Servers) == 0 || len(info.Tried) > 0 {
		return nil
	}
	if due := t.dueLimitedServer(now, info); due != nil {
		return due
	}
	degraded, large := t.lossRateOf(info.Servers[0].Service).degraded(now), len(info.Servers) >= largeServiceSize
	if !large && !degraded {
		return nil
	}
	for _, c := range t.floor(now, info, degraded, large) {
		limit := t.idleLimit(c.state, c.server.ID, degraded)
		idle := now.Sub(c.state.lastPicked) > limit && now.Sub(c.state.evidenceAt) > limit
		usable := c.state.busy(now) < c.maxBusy(now, degraded) && !now.Before(c.state.unreachableUntil) && !now.Before(c.state.misdirectedUntil) && info.allows(now, c.server.Key())
		if c.server.Zone == t.options.Zone && idle && usable {
			return c.server
		}
	}
	return nil
}

// candidate is a server with its state and its current risk.
type candidate struct {
	server *roster.Server
	state  *state
	risk   float64
}

// maxBusy returns the number of attempts in flight from which the server gets no further one to keep it in
// use: its slots, or one if it is in doubt, an attempt is overdue, or the service is degraded.
func (c *candidate) maxBusy(now time.Time, degraded bool) int {
	if degraded || c.state.isDoubtful(now) {
		return 1
	}
	for _, a := range c.state.active {
		if a.overdueRatio > 0 {
			return 1
		}
	}
	return max(1, c.server.Slots)
}

// floor returns the servers that stay in use, in ascending order of risk: all that are neither draining nor
// held off. While the service is degraded, requests that can't be retried leave out those with the highest
// risk. For a large service floor returns only the servers of the daemon's zone, since there is little
// evidence about the others.
func (t *Tracker) floor(now time.Time, info *PickInfo, degraded, large bool) []candidate {
	out := make([]candidate, 0, len(info.Servers))
	for _, server := range info.Servers {
		if server.Draining || (large && server.Zone != t.options.Zone) || info.heldOff(now, server.Key()) {
			continue
		}
		s := t.state(now, server.Key())
		out = append(out, candidate{server, s, s.riskAt(now)})
	}
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(x.risk, y.risk) })
	if !degraded || (info.Idempotent && !info.Last) {
		return out
	}
	share := t.options.FloorShare + floorMargin
	if large {
		share = degradedFloorShare
	}
	return out[:min(len(out), int(math.Ceil(share*float64(len(out)))))]
}

// idleLimit returns how long this daemon lets a server be idle.
func (t *Tracker) idleLimit(s *state, id ident.ServerID, degraded bool) time.Duration {
	switch {
	case degraded:
		return degradedIdleTime + t.jitter(id, degradedIdleJitter)
	case s.failures == 0 && s.hasEvidence && s.risk >= recoveredRisk:
		return recoveredIdleTime + t.jitter(id, floorIdleJitter)
	case s.failures == 0:
		return floorIdleTime + t.jitter(id, floorIdleJitter)
	}
	return min(failedIdleTime<<min(s.failures-1, maxFailedDoublings), maxFailedIdleTime) + t.jitter(id, floorIdleJitter)
}

// isDoubtful reports whether the server has failed since its last good response, or its risk is recoveredRisk
// or more.
func (s *state) isDoubtful(now time.Time) bool {
	return s.failures > 0 || s.riskAt(now) >= recoveredRisk
}

// dueLimitedServer returns a server with a limit that must get the attempt so that its limit
// stays known, or nil. Sick servers are left alone.
func (t *Tracker) dueLimitedServer(now time.Time, info *PickInfo) *roster.Server {
	if info.Limits == nil || info.Limits.Count() == 0 {
		return nil
	}
	for _, server := range info.Servers {
		s := t.state(now, server.Key())
		usable := s.busy(now) == 0 && !now.Before(s.unreachableUntil) && !now.Before(s.misdirectedUntil) && s.riskAt(now) < sickThreshold
		if !server.Draining && usable && !info.heldOff(now, server.Key()) && info.Limits.Due(now, server.Key()) {
			return server
		}
	}
	return nil
}

// jitter returns what is added to the idle times of a server, less than the given bound. It
// is derived from a hash of the server's ID and the daemon's seed.
func (t *Tracker) jitter(id ident.ServerID, bound time.Duration) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(t.options.Seed)
	_, _ = d.WriteString(string(id))
	return time.Duration(d.Sum64() % uint64(bound))
}
