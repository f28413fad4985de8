package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
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
	if e.limits.Learn(s.Key(), ratelimit.Statement{Limited: limited, PerSecond: perSecond, At: time.Now()}) {
		e.logLimit(s, perSecond, limited, sourceServer)
	}
}

// sourceServer is the value of the log field "source" for a limit that a server's own response
// named.
const sourceServer = "server"

// logLimit logs that a limit was named, changed or withdrawn.
func (e *Edge) logLimit(s *roster.Server, perSecond float64, limited bool, source string) {
	e.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "limited": limited, "perSecond": perSecond, "source": source,
	}).Info(event.LimitChanged)
}
