package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/belief"
	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/refresh"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/meter"
	"bilberrymux/io/news"
)

// Periods and limits of gossip messages.
const (
	// gossipPeriod is the maximum time between two messages to another daemon of the zone.
	gossipPeriod = 300 * time.Millisecond
	// maxReportAge is the maximum age of evidence that is repeated in a message.
	maxReportAge = 700 * time.Millisecond
	// maxReports is the maximum number of servers reported in one message.
	maxReports = 40
	// maxLimitReports is the maximum number of servers whose limits are reported in one message.
	maxLimitReports = 30
	// maxCrashes is the maximum number of crashes, and maxQuarantineChanges that of changes of the quarantine, in one message.
	maxCrashes           = 40
	maxQuarantineChanges = 12
	// quarantinedPerMessage and quarantinedPerCrossZoneMessage are the numbers of quarantined requests in one message,
	// besides those that changed lately.
	quarantinedPerMessage          = 1
	quarantinedPerCrossZoneMessage = 4
	// crossZonePeriod is the time between two messages with versions to the other zones, and
	// gatewaysPerZone the number of daemons in each of those zones that receive them.
	crossZonePeriod = time.Second
	gatewaysPerZone = 2
	// crossZoneSenderKey is the key for the rank of the daemons of a zone. The daemon with rank
	// 0 sends messages with versions to the other zones.
	crossZoneSenderKey = "envoy"
	// Health changes are sent to the other zones only for services with fewer servers than
	// crossZoneServerLimit. With more servers, each zone has enough of its own.
	crossZoneServerLimit = 20
)

// message returns a message with the state of this daemon.
func (e *Edge) message(now time.Time) *news.Message {
	e.members.SetReady(e.ready())
	m := &news.Message{From: e.members.Self(), Stopping: e.stopping.Load(), Crashes: e.crashes.recent(now, maxCrashes)}
	e.watcher.SetVersions(now, m)
	return m
}

// gossip sends the state of this daemon and its reports about servers to the zone, and versions
// to the other zones, until the context ends.
func (e *Edge) gossip(ctx context.Context) {
	zoneTicker, crossZoneTicker := time.NewTicker(gossipPeriod), time.NewTicker(crossZonePeriod)
	defer zoneTicker.Stop()
	defer crossZoneTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-crossZoneTicker.C:
			e.sendToOtherZones(time.Now())
			continue
		case <-e.gossipNow:
		case <-zoneTicker.C:
		}
		e.sendToZone(time.Now())
	}
}

// sendToZone sends a message with reports and changes of the server list to the other daemons
// of the zone. It also marks silent daemons as down and computes this daemon's part of the budget.
func (e *Edge) sendToZone(now time.Time) {
	for _, m := range e.members.Expire(now) {
		e.log.WithFields(logrus.Fields{"daemon": m.VM, "silentMillis": zone.SilenceTimeout.Milliseconds()}).Warn(event.DaemonDown)
	}
	m := e.message(now)
	m.Reports = e.tracker.Reports(now, maxReportAge, maxReports)
	m.Losses = e.tracker.LossReports(now)
	m.Changes = e.watcher.Changes(e.changesBase(now, m.ListVersion()))
	m.Packed = e.watcher.ConfigPayload(now, changesLifetime)
	m.Limits = e.limits.Reports(now, maxLimitReports)
	e.setQuarantine(now, m, quarantinedPerMessage)
	e.updateLimitShares(now)
	e.transport.Send(m, addresses(e.members.Peers()))
	e.updateReserves(now)
}

// changesBase returns the revision after which changes of the server list are sent, given the
// revision of the current list. Each change is repeated for changesLifetime.
func (e *Edge) changesBase(now time.Time, revision ident.StoreVersion) ident.StoreVersion {
	if revision != e.sharedRevisions.newest {
		e.sharedRevisions.previous, e.sharedRevisions.newest, e.sharedRevisions.changedAt = e.sharedRevisions.newest, revision, now
	}
	if now.Sub(e.sharedRevisions.changedAt) > changesLifetime {
		return revision
	}
	return e.sharedRevisions.previous
}

// changesLifetime is how long a change of the server list or of the configuration is repeated in messages.
const changesLifetime = 500 * time.Millisecond

// triggerGossip requests a message to the zone before the end of the gossip period. It does not
// block.
func (e *Edge) triggerGossip() {
	select {
	case e.gossipNow <- struct{}{}:
	default:
	}
}

// beliefChanged logs that a server changed between sound and sick, and triggers messages about
// it. The tracker holds its lock during the call, so the report for other zones is read by
// another goroutine.
func (e *Edge) beliefChanged(s roster.Server, risk float64, o belief.Outcome) {
	e.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "risk": risk, "outcome": o,
	}).Info(event.BeliefChanged)
	e.metrics.Count(meter.Name("belief.changes",
		meter.Label{Key: "to", Value: string(belief.HealthOf(risk))}, meter.Label{Key: "cause", Value: string(o)}))
	e.triggerGossip()
	if len(e.watcher.Roster().ForService(s.Service)) < crossZoneServerLimit {
		e.tasks.Go(func() { e.sendReportToOtherZones(s.Key()) })
	}
}

// slownessChanged logs that this daemon has become slow, so that missing responses are no evidence about
// servers, or that it no longer is.
func (e *Edge) slownessChanged(slow bool) {
	e.countBy("slowness.changes", "slow", strconv.FormatBool(slow))
	e.log.WithField("slow", slow).Warn(event.DaemonSlow)
}

// sendToOtherZones sends the versions and limits that this daemon knows to the gateways of the other zones
// if this daemon has rank 0 in its zone.
func (e *Edge) sendToOtherZones(now time.Time) {
	if e.members.Rank(crossZoneSenderKey) != 0 {
		return
	}
	m := e.message(now)
	m.Limits = e.limits.Reports(now, maxLimitReports)
	e.setQuarantine(now, m, quarantinedPerCrossZoneMessage)
	e.transport.Send(m, addresses(e.members.Gateways(gatewaysPerZone)))
}

// sendReportToOtherZones sends the report of one server to the gateways of the other zones,
// which relay it inside their zones.
func (e *Edge) sendReportToOtherZones(key roster.Key) {
	now := time.Now()
	m := e.message(now)
	m.Relay = true
	m.Reports = []belief.Report{e.tracker.Report(now, key)}
	m.Reports[0].Active = 0
	e.transport.Send(m, addresses(e.members.Gateways(gatewaysPerZone)))
}

// handleMessage applies a message from another daemon.
func (e *Edge) handleMessage(m *news.Message) {
	now := time.Now()
	if m.From.VM == "" || m.From.Zone == "" {
		e.count("news.invalid")
		return
	}
	if m.From.VM == e.settings.VM {
		return
	}
	sameZone := m.From.Zone == e.settings.Zone
	if m.Stopping {
		m.From.Ready = false
	}
	if e.members.RecordMessage(now, m.From) && sameZone {
		e.log.WithFields(logrus.Fields{"daemon": m.From.VM, "incarnation": m.From.Incarnation}).Info(event.DaemonUp)
	}
	// The tracker ignores the in-flight attempts of a report without a sender. They count only
	// within a zone.
	from := m.From.VM
	if !sameZone {
		from = ""
	}
	for _, r := range m.Reports {
		if e.tracker.Merge(now, from, r) {
			e.countBy("belief.heard", "to", string(belief.HealthOf(r.SickProbability())))
			e.log.WithFields(logrus.Fields{
				"server": r.ID, "risk": r.SickProbability(), "from": m.From.VM, "ageMillis": r.AgeMillis,
			}).Info(event.BeliefReceived)
		}
	}
	if sameZone {
		e.tracker.MergeLosses(now, m.From.VM, m.Losses)
	}
	e.mergeLimits(now, m.From.VM, m.Limits)
	e.recordCrashes(now, m.Crashes)
	e.mergeQuarantine(now, m)
	if m.Relay {
		e.relay(m)
	}
	if m.Hello {
		e.transport.Send(e.helloReply(now), []string{m.From.PeerAddress})
	}
	if m.Changes != nil {
		e.watcher.ApplyChanges(now, m.Changes, m.RevisionAgeMillis, m.From.VM)
	}
	if len(m.Packed) > 0 {
		e.watcher.ApplyPayload(now, m.Packed, m.VersionAgeMillis, m.RevisionAgeMillis, m.From.VM)
	}
	if sameZone {
		e.sendMissingData(now, m)
	}
	if request := e.watcher.StateRequestFor(now, m); request != nil {
		e.fetchState(m.From, request, refresh.Target{Version: m.Version, Revision: m.ListVersion()})
	}
}

// relay sends a message from another zone to the live daemons of this daemon's zone.
func (e *Edge) relay(m *news.Message) {
	relayed := *m
	relayed.Relay, relayed.Hello = false, false
	e.transport.Send(&relayed, addresses(e.members.Live()))
}

// configChanged is called after each change of the active configuration.
func (e *Edge) configChanged(*catalog.Catalog) {
	e.triggerGossip()
}

// rosterChanged is called for each change of the server list. It closes the idle connections to
// addresses that are no longer listed.
func (e *Edge) rosterChanged(now time.Time, r, before *roster.Roster) {
	e.tracker.Sync(now, r)
	e.limits.Sync(now, r)
	e.holdoffs.Sync(now, r)
	e.invalidLoggedAt.Range(func(id, _ any) bool {
		if r.Find(id.(ident.ServerID)) == nil {
			e.invalidLoggedAt.Delete(id)
		}
		return true
	})
	listed := map[string]bool{}
	for i := range r.Servers() {
		listed[r.Servers()[i].Address] = true
	}
	for i := range before.Servers() {
		if a := before.Servers()[i].Address; !listed[a] {
			e.backend.Invalidate(a)
		}
	}
	e.triggerGossip()
}
