package edge

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/ratelimit"
	"bilberrymux/core/roster"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// learnLimit records what a server says about its limit in a response.
func (e *Edge) learnLimit(s *roster.Server, answer *backend.Answer) {
	perSecond, limited, err := platform.ParseLimit(&answer.Response.Header)
	if err != nil {
		e.count("limits.invalid")
		e.log.WithError(err).WithField("server", s.ID).Warn("invalid limit of a backend server")
		return
	}
	now := time.Now()
	if e.limits.Learn(now, s.Key(), ratelimit.Statement{Limited: limited, PerSecond: perSecond, At: now}) {
		e.logLimit(s, perSecond, limited, sourceServer)
		e.triggerGossip()
		e.tasks.Go(func() { e.sendLimitsToOtherZones() })
	}
}

// mergeLimits records the limits that another daemon reports.
func (e *Edge) mergeLimits(now time.Time, from ident.VMID, reports []ratelimit.Report) {
	for _, r := range reports {
		if !e.limits.Merge(now, r) {
			continue
		}
		if s := e.watcher.Roster().Find(r.ID); s != nil {
			e.logLimit(s, r.PerSecond, r.Limited, "daemon "+string(from))
		}
		e.triggerGossip()
	}
}

// sendLimitsToOtherZones sends the known limits to the gateways of the other zones, which relay them
// inside their zones.
func (e *Edge) sendLimitsToOtherZones() {
	now := time.Now()
	m := e.message(now)
	m.Relay = true
	m.Limits = e.limits.Reports(now, maxLimitReports)
	e.transport.Send(m, addresses(e.members.Gateways(gatewaysPerZone)))
}

// updateLimitShares sets this daemon's share of each limit by the daemons that it hears.
func (e *Edge) updateLimitShares(now time.Time) {
	e.limits.SetShares(now, func(key roster.Key, perSecond float64) float64 {
		s := e.watcher.Roster().Find(key.ID)
		if s == nil || s.Zone != e.settings.Zone {
			return 0
		}
		return e.limitZone(now, s).Share(perSecond)
	})
}

// limitZone describes the daemons that share the limit of a server of this zone.
func (e *Edge) limitZone(now time.Time, s *roster.Server) ratelimit.Zone {
	owners := e.ownersOfService(s.Service)
	position := slices.Index(owners, e.settings.VM)
	if position >= 0 {
		// The first positions differ between servers, so that the limits of a service spread over its
		// owners.
		position = int((uint64(position) + xxhash.Sum64String(string(s.ID))) % uint64(len(owners)))
	}
	return ratelimit.Zone{
		Owners: len(owners), Position: position,
		Live: len(e.members.Live()) + 1, Known: e.members.Heard(now, limitMemory) + 1,
	}
}

// limitMemory is the time since the last message of a daemon after which it no longer counts among
// those that may share a limit.
const limitMemory = time.Minute

// ownersOfService returns the daemons of this zone to which the callers of a service's routes are
// directed, sorted by VM.
func (e *Edge) ownersOfService(service ident.ServiceID) []ident.VMID {
	var owners []ident.VMID
	for _, host := range e.watcher.Catalog().HostsOf(service) {
		for _, m := range e.owners(host) {
			owners = append(owners, m.VM)
		}
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

// sourceServer is the value of the log field "source" for a limit that a server's own response
// named. For a report the value contains the VM of the reporting daemon.
const sourceServer = "server"

// logLimit logs that a limit was named, changed or withdrawn.
func (e *Edge) logLimit(s *roster.Server, perSecond float64, limited bool, source string) {
	e.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "limited": limited, "perSecond": perSecond, "source": source,
	}).Info(event.LimitChanged)
}
