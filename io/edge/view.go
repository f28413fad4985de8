package edge

import (
	"time"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/io/meter"
)

// Version returns the version of the active configuration, or 0 if none is known.
func (e *Edge) Version() ident.Version {
	return e.watcher.Catalog().Version
}

// Servers returns the registered backend servers, sorted by ID. The caller must not modify the
// slice.
func (e *Edge) Servers() []roster.Server {
	return e.watcher.Roster().Servers()
}

// Beliefs returns the daemon's view of the health of each server.
func (e *Edge) Beliefs() []belief.View {
	return e.tracker.Views(time.Now())
}

// updateGauges sets the gauges to their current values.
func (e *Edge) updateGauges() {
	set := e.metrics.Set
	set("config.version", int64(e.Version()))
	set("servers.listed", int64(len(e.Servers())))
	set("servers.era", int64(e.watcher.Roster().Revision.Era))
	set("servers.unlisted", int64(e.watcher.Unlisted()))
	configAge, serversAge := e.watcher.Ages(time.Now())
	set("config.ageMillis", configAge.Milliseconds())
	set("servers.ageMillis", serversAge.Milliseconds())
	set("servers.limited", int64(e.limits.Count()))
	leaving, paused := e.holdoffs.Counts(time.Now())
	set("servers.leaving", int64(leaving))
	set("servers.paused", int64(paused))
	set("requests.inFlight", e.inFlight.Load())
	set("answers.bufferedBytes", e.answerBuffers.Held())
	set("requests.bodyBytes", e.requestBodies.Held())
	set("connections.servers", e.backend.OpenConns())
	set("daemons.live", int64(len(e.members.Live())+1))
	set("connections.callers", int64(e.callerServer.app.Server().GetOpenConnectionsCount()))
	for id := range e.watcher.Catalog().Services {
		service := meter.Label{Key: "service", Value: string(id)}
		set(meter.Name("budget", service), int64(e.budget.Balance(time.Now(), id)))
		set(meter.Name("lossPerMille", service), int64(1000*e.tracker.LossRate(time.Now(), id)))
		e.updateUsage(service, e.tracker.Usage(time.Now(), e.watcher.Roster().ForService(id)))
	}
	if e.options.LogDropped != nil {
		set("log.dropped", e.options.LogDropped())
	}
}

// updateUsage sets the gauges of the servers of one service by their use.
func (e *Edge) updateUsage(service meter.Label, counts map[belief.Use]int) {
	for _, use := range belief.Uses {
		e.metrics.Set(meter.Name("servers.use", service, meter.Label{Key: "use", Value: string(use)}), int64(counts[use]))
	}
}
