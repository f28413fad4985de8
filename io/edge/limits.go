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
		e.reportInvalid(s, "limits.invalid", err)
		if !limited {
			return
		}
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
		e.updateLimitShares(now)
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
	if e.limits.Count() == 0 {
		return
	}
	live, known := len(e.members.Live())+1, e.members.Heard(now, limitMemory)+1
	owners := map[ident.ServiceID][]ident.VMID{}
	e.limits.SetShares(now, func(key roster.Key, perSecond float64) float64 {
		s := e.watcher.Roster().Find(key.ID)
		if s == nil || s.Zone != e.settings.Zone {
			return 0
		}
		if owners[s.Service] == nil {
			owners[s.Service] = e.ownersOfService(s.Service)
		}
		z := ratelimit.Zone{
			Owners: len(owners[s.Service]), Position: positionFor(s.ID, owners[s.Service], e.settings.VM),
			Live: live, Known: known,
		}
		return z.Share(perSecond)
	})
}

// positionFor returns the place of a daemon among the owners that share the limit of a server, or -1 if
// it is none of them. The first place goes to another owner for each server, so that the limits of a
// service spread over its owners.
func positionFor(server ident.ServerID, owners []ident.VMID, self ident.VMID) int {
	i := slices.Index(owners, self)
	if i < 0 {
		return -1
	}
	return int((uint64(i) + xxhash.Sum64String(string(server))%uint64(len(owners))) % uint64(len(owners)))
}

// limitMemory is the time since the last message of a daemon after which it no longer counts among
// those that may share a limit or the reserve of further attempts.
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
