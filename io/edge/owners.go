package edge

import (
	"maps"
	"slices"
	"time"

	"bilberrymux/core/budget"
	"bilberrymux/core/settings"
	"bilberrymux/core/zone"
)

// minOwners is the minimum number of daemons of a zone to which the callers of one host are
// directed, so that these daemons collect the evidence about its servers. In larger zones, up to
// one in daemonsPerOwner live daemons is an owner.
const (
	minOwners       = 2
	daemonsPerOwner = 4
)

// ratioShare is the share of ExtraAttemptRatio that is used. The rest is a margin for requests that are
// counted in other windows.
const ratioShare = 0.9

// budgetOptions returns the limits of further attempts of this daemon.
func budgetOptions(s *settings.Edge) budget.Options {
	return budget.Options{Ratio: s.Bounds.ExtraAttemptRatio * ratioShare, Window: s.Bounds.ExtraAttemptWindow.Duration()}
}

// divisionOptions describe the reserve of further attempts that all daemons share.
func divisionOptions(s *settings.Edge) budget.DivisionOptions {
	return budget.DivisionOptions{
		Reserve: s.Bounds.ExtraAttemptReserve, Window: s.Bounds.ExtraAttemptWindow.Duration(), Zones: len(s.Zones), Bootstrap: s.Bootstrap,
	}
}

// reserveCheckPeriod is the time between two computations of this daemon's parts of the reserve, and
// maxCheckedServices is the number of services for which one of them computes it.
const (
	reserveCheckPeriod = time.Second
	maxCheckedServices = 64
)

// updateReserves computes this daemon's part of the reserve of each service. If there are more than
// maxCheckedServices, it computes those of the next ones in turn.
func (e *Edge) updateReserves(now time.Time) {
	if now.Sub(e.reservesUpdatedAt) < reserveCheckPeriod {
		return
	}
	e.reservesUpdatedAt = now
	live, heard := len(e.members.Live())+1, e.members.Heard(now, limitMemory)+1
	view := budget.View{Known: len(e.members.All()) + 1, Majority: 2*live > heard}
	services := slices.Sorted(maps.Keys(e.watcher.Catalog().Services))
	for range min(len(services), maxCheckedServices) {
		e.nextReserve = (e.nextReserve + 1) % len(services)
		service := services[e.nextReserve]
		owners := e.ownersOfService(service)
		view.Owners, view.Owner = len(owners), slices.Contains(owners, e.settings.VM)
		e.budget.SetReserve(service, e.division.Reserve(now, service, view))
	}
}

// owners returns the daemons of this zone to which the callers of a host are directed.
func (e *Edge) owners(host string) []zone.Member {
	return e.members.Owners(host, max(minOwners, len(e.members.Live())/daemonsPerOwner), minOwners)
}
