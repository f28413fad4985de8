package edge

import (
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

// Shares of the budget for further attempts that all daemons together may use. The part of one
// daemon is computed by budgetOptions.
const (
	// ratioShare is the used share of ExtraAttemptRatio. The rest is a margin for requests that are
	// counted elsewhere.
	ratioShare = 0.9
	// burstShare and rateShare are the shares of ExtraAttemptReserve that may be used at once and
	// over one ExtraAttemptWindow.
	burstShare = 0.5
	rateShare  = 0.45
)

// budgetOptions returns this daemon's part of the budget. The reserve is divided evenly among
// the owners of a host, whose number in each zone is given; 0 means that this daemon owns none.
func budgetOptions(s *settings.Edge, owners int) budget.Options {
	reserve := 0.0
	if owners > 0 {
		reserve = s.Bounds.ExtraAttemptReserve / float64(owners*len(s.Zones))
	}
	o := budget.Options{
		Ratio:     s.Bounds.ExtraAttemptRatio * ratioShare,
		PerSecond: rateShare * reserve / float64(s.Bounds.ExtraAttemptWindow),
		Burst:     max(1, burstShare*reserve),
	}
	if s.Bootstrap {
		o.Initial = bootstrapTokens
	}
	return o
}

// bootstrapTokens is the number of further attempts that each daemon may make at the first
// start of the whole system, before any request has added tokens to the budget.
const bootstrapTokens = 2

// ownerCheckPeriod is the time between two computations of ownedHostOwners.
const ownerCheckPeriod = time.Second

// maxCheckedHosts bounds the number of hosts that ownedHostOwners looks at.
const maxCheckedHosts = 64

// ownedHostOwners returns the least number of owners of a host that this daemon owns, or 0 if it owns
// none of the hosts of the configuration. Without a configuration it returns minOwners.
func (e *Edge) ownedHostOwners() int {
	hosts := e.watcher.Catalog().Hosts()
	if len(hosts) == 0 {
		return minOwners
	}
	self, least := e.members.Self().VM, 0
	for _, host := range hosts[:min(len(hosts), maxCheckedHosts)] {
		owners := e.owners(host)
		owned := slices.ContainsFunc(owners, func(m zone.Member) bool { return m.VM == self })
		if owned && (least == 0 || len(owners) < least) {
			least = len(owners)
		}
	}
	return least
}

// owners returns the daemons of this zone to which the callers of a host are directed.
func (e *Edge) owners(host string) []zone.Member {
	return e.members.Owners(host, max(minOwners, len(e.members.Live())/daemonsPerOwner), minOwners)
}
