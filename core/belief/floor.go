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

// The parameters of the floor. While a service loses requests, its requests must not
// concentrate on the few servers with the lowest risk.
const (
	// degradedFloorShare is the share of a large service's servers that get requests while
	// the service is degraded, including requests that can't be retried.
	degradedFloorShare = 0.9
	// floorMargin is added to Options.FloorShare.
	floorMargin = 0.05
	// largeServiceSize is the number of servers from which a service is large. The floor of
	// a large service always applies: load balancing alone keeps a few servers in use,
	// but not many.
	largeServiceSize = 16
	// floorIdleTime is how long a server of the floor may be idle: neither picked by this
	// daemon nor with new evidence. floorIdleJitter is the upper bound of what is added to
	// it. The jitter depends on server and daemon, so that the daemons of a zone don't pick
	// the same server at the same time.
	floorIdleTime   = 800 * time.Millisecond
	floorIdleJitter = 500 * time.Millisecond
	// suspectThreshold is the risk from which a server is suspect. While the service is not
	// degraded, a suspect server may be idle for longer: by suspectIdleTime, or by
	// suspectIdleTimeNoRetry if the request can't be retried.
	suspectThreshold       = 0.15
	suspectIdleTime        = 4 * time.Second
	suspectIdleTimeNoRetry = 8 * time.Second
)

// dueFloorServer returns a server of this daemon's zone that must get the attempt so that
// the service keeps its floor, or nil. For requests that can be retried the floor consists
// of all candidates, otherwise of those with the lowest risk. The daemons of each zone keep
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
	candidates := t.candidatesByRisk(now, info, large)
	for _, c := range candidates[:floorSize(len(candidates), info, t.floorShare(degraded && large))] {
		idleLimit := t.floorIdleLimit(c.server.ID)
		if !degraded && c.risk >= suspectThreshold {
			idleLimit += suspectExtraIdle(info)
		}
		idle := now.Sub(c.state.lastPicked) > idleLimit && now.Sub(c.state.evidenceAt) > idleLimit
		usable := c.state.busy(now) == 0 && !now.Before(c.state.unreachableUntil) && !c.state.misdirected && info.allows(now, c.server.Key())
		if c.server.Zone == t.options.Zone && idle && usable {
			return c.server
		}
	}
	return nil
}

// dueLimitedServer returns a server with a limit that must get the attempt so that its limit
// stays known, or nil. Sick servers are left alone.
func (t *Tracker) dueLimitedServer(now time.Time, info *PickInfo) *roster.Server {
	if info.Limits == nil || info.Limits.Count() == 0 {
		return nil
	}
	for _, server := range info.Servers {
		s := t.state(now, server.Key())
		usable := s.busy(now) == 0 && !now.Before(s.unreachableUntil) && !s.misdirected && s.riskAt(now) < sickThreshold
		if !server.Draining && usable && !info.heldOff(now, server.Key()) && info.Limits.Due(now, server.Key()) {
			return server
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

// candidatesByRisk returns the servers that are neither draining nor held off, in ascending order of risk.
// For a large service it returns only the servers of the daemon's zone, since there is little
// evidence about the others.
func (t *Tracker) candidatesByRisk(now time.Time, info *PickInfo, large bool) []candidate {
	out := make([]candidate, 0, len(info.Servers))
	for _, server := range info.Servers {
		if server.Draining || (large && server.Zone != t.options.Zone) || info.heldOff(now, server.Key()) {
			continue
		}
		s := t.state(now, server.Key())
		out = append(out, candidate{server, s, s.riskAt(now)})
	}
	slices.SortStableFunc(out, func(x, y candidate) int { return cmp.Compare(x.risk, y.risk) })
	return out
}

// floorShare returns the share of the servers, from 0 to 1, that belong to the floor of
// requests that can't be retried.
func (t *Tracker) floorShare(degraded bool) float64 {
	if degraded {
		return degradedFloorShare
	}
	return t.options.FloorShare + floorMargin
}

// floorSize returns how many of count servers, in ascending order of risk, belong to the
// floor of a request. A request that can't be retried is not sent to the others to keep
// the floor.
func floorSize(count int, info *PickInfo, share float64) int {
	if info.Idempotent && !info.Last {
		return count
	}
	return min(count, int(math.Ceil(share*float64(count))))
}

// suspectExtraIdle returns how much longer a suspect server may be idle while its service
// is not degraded.
func suspectExtraIdle(info *PickInfo) time.Duration {
	if info.Idempotent && !info.Last {
		return suspectIdleTime
	}
	return suspectIdleTimeNoRetry
}

// floorIdleLimit returns how long this daemon lets a server of the floor be idle. The jitter
// is derived from a hash of the server's ID and the daemon's seed.
func (t *Tracker) floorIdleLimit(id ident.ServerID) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(t.options.Seed)
	_, _ = d.WriteString(string(id))
	return floorIdleTime + time.Duration(d.Sum64()%uint64(floorIdleJitter))
}
