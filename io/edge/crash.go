package edge

import (
	"context"
	"sync"
	"time"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/io/news"
)

// crashLifetime is how long a crash, or a change of the quarantine, is repeated in gossip messages.
const crashLifetime = time.Second

// recentLog holds recent items, which are repeated in gossip messages. It is safe for
// concurrent use.
type recentLog[T any] struct {
	mu    sync.Mutex
	items []T
	times []time.Time
}

// add appends an item that was found at the given time.
func (l *recentLog[T]) add(now time.Time, item T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items, l.times = append(l.items, item), append(l.times, now)
}

// recent removes the items older than crashLifetime and returns a copy of the others, at most limit of them, the
// newest.
func (l *recentLog[T]) recent(now time.Time, limit int) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.times) > 0 && now.Sub(l.times[0]) > crashLifetime {
		l.items, l.times = l.items[1:], l.times[1:]
	}
	return append([]T(nil), l.items[max(0, len(l.items)-limit):]...)
}

// crashCheckTimeout bounds the dial that checks whether a server crashed.
const crashCheckTimeout = 400 * time.Millisecond

// checkCrash dials a server after an exchange with it broke. If the server is unreachable, and this daemon was not
// slow itself, the request is recorded as a possible cause of the crash and sent to the zone and to the gateways
// of the other zones.
func (e *Edge) checkCrash(k *call, a *belief.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if e.backend.Reachable(ctx, a.Server.Address) {
		return
	}
	now := time.Now()
	if e.tracker.Slow(now, a.Started) {
		e.count("crashes.unsure")
		return
	}
	c := news.Crash{Service: k.service, Server: a.Server.ID, StartMillis: a.Server.StartMillis, Fingerprint: k.fingerprint}
	e.crashes.add(now, c)
	for _, q := range e.recordCrashes(now, []news.Crash{c}) {
		e.storeQuarantined(q.Fingerprint)
	}
	e.triggerGossip()
	m := e.message(now)
	m.Relay = true
	e.transport.Send(m, addresses(e.members.Gateways(gatewaysPerZone)))
}

// recordCrashes records crashes in the quarantine, logs each request that is quarantined
// by them, and returns their entries.
func (e *Edge) recordCrashes(now time.Time, crashes []news.Crash) []poison.Entry {
	var found []poison.Entry
	for _, c := range crashes {
		run := poison.Run{Service: c.Service, Server: c.Server, StartMillis: c.StartMillis}
		for _, q := range e.quarantine.RecordCrash(now, run, []ident.Fingerprint{c.Fingerprint}) {
			e.count("poison.quarantined")
			e.logQuarantine(now, q, "crash")
			found = append(found, q)
		}
	}
	return found
}
