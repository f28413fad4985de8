package edge

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
)

// logQuarantine logs a change of an entry.
func (e *Edge) logQuarantine(now time.Time, q poison.Entry, source string) {
	e.log.WithFields(logrus.Fields{
		"service": q.Service, "fingerprint": strconv.FormatUint(uint64(q.Fingerprint), 16), "servers": q.Servers,
		"leftMillis": q.Until.Sub(now).Milliseconds(), "released": q.Released, "source": source,
	}).Warn(event.Quarantined)
}

// recordCompletion records that a server of a service has answered a request.
func (e *Edge) recordCompletion(service ident.ServiceID, f ident.Fingerprint) {
	now := time.Now()
	if q, lifted := e.quarantine.RecordCompletion(now, service, f); lifted {
		e.count("poison.lifted")
		e.logQuarantine(now, q, "answer")
	}
}
