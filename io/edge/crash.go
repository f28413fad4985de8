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

// crashLife is how long a crash is told of.
const crashLife = time.Second

// crashLog holds the crashes that are still told of.
type crashLog struct {
	mu      sync.Mutex
	crashes []news.Crash
	at      []time.Time
}

func (l *crashLog) add(now time.Time, c news.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes, l.at = append(l.crashes, c), append(l.at, now)
}

func (l *crashLog) recent(now time.Time) []news.Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.at) > 0 && now.Sub(l.at[0]) > crashLife {
		l.crashes, l.at = l.crashes[1:], l.at[1:]
	}
	return append([]news.Crash(nil), l.crashes...)
}

// checkTimeout bounds the check whether a server died.
const checkTimeout = 400 * time.Millisecond

// checkCrash finds out whether a server that cut off an exchange died of it.
func (e *Edge) checkCrash(k *call, a *belief.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if e.backend.Reachable(ctx, a.Server.Address) {
		return
	}
	now := time.Now()
	c := news.Crash{Service: k.service, Server: a.Server.ID, Fingerprint: k.fingerprint}
	e.crashes.add(now, c)
	e.takeCrashes(now, []news.Crash{c})
	e.hurry()
	m := e.message(now)
	m.Relay = true
	e.post.Send(m, addresses(e.members.Gateways(gateways)))
}

func (e *Edge) takeCrashes(now time.Time, crashes []news.Crash) {
	for _, c := range crashes {
		found := e.poison.RecordCrash(now, c.Service, c.Server, []ident.Fingerprint{c.Fingerprint})
		for _, q := range found {
			e.count("poison.quarantined")
			e.log.WithFields(logrus.Fields{
				"service": q.Service, "fingerprint": strconv.FormatUint(uint64(q.Fingerprint), 16), "servers": q.Servers,
			}).Warn(event.Quarantined)
		}
	}
}
