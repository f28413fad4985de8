package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/belief"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/io/news"
)

// crashLifetime is how long a crash is repeated in gossip messages.
const crashLifetime = time.Second

// crashLog holds the recent crashes, which are repeated in gossip messages. It is safe for
// concurrent use.
type crashLog struct {
	mu      sync.Mutex
	crashes []news.Crash
	times   []time.Time
}

// add appends a crash that was found at the given time.
func (l *crashLog) add(now time.Time, c news.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes, l.times = append(l.crashes, c), append(l.times, now)
}

// recent removes the crashes older than crashLifetime and returns a copy of the others.
func (l *crashLog) recent(now time.Time) []news.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.times) > 0 && now.Sub(l.times[0]) > crashLifetime {
		l.crashes, l.times = l.crashes[1:], l.times[1:]
	}
	return append([]news.Crash(nil), l.crashes...)
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
	c := news.Crash{Service: k.service, Server: a.Server.ID, Fingerprint: k.fingerprint}
	e.crashes.add(now, c)
	e.recordCrashes(now, []news.Crash{c})
	e.triggerGossip()
	m := e.message(now)
	m.Relay = true
	e.transport.Send(m, addresses(e.members.Gateways(gatewaysPerZone)))
}

// recordCrashes records crashes in the quarantine and logs each request that is quarantined
// by them.
func (e *Edge) recordCrashes(now time.Time, crashes []news.Crash) {
	for _, c := range crashes {
		found := e.quarantine.RecordCrash(now, c.Service, c.Server, []ident.Fingerprint{c.Fingerprint})
		for _, q := range found {
			e.count("poison.quarantined")
			e.log.WithFields(logrus.Fields{
				"service": q.Service, "fingerprint": strconv.FormatUint(uint64(q.Fingerprint), 16), "servers": q.Servers,
			}).Warn(event.Quarantined)
		}
	}
}
