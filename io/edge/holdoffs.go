package edge

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/belief"
	"bilberrymux/core/event"
	"bilberrymux/core/refusal"
	"bilberrymux/core/roster"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// learnHoldoffs records whether a server asked for no requests in its answer to a request that was sent at
// a time, and logs each change.
func (e *Edge) learnHoldoffs(s *roster.Server, answer *backend.Answer, sentAt time.Time) {
	header := &answer.Response.Header
	leaving, err := platform.ParseLeaving(header)
	if err != nil {
		e.reportInvalid(s, "holdoffs.invalid", err)
	}
	if leaving && e.holdoffs.Leave(s.Key()) {
		e.logHoldoff(s, "leaving", 0)
		// Idle connections would keep the server from shutting down.
		e.backend.Invalidate(s.Address)
	}
	pause, err := platform.ParsePause(header)
	if err != nil {
		e.reportInvalid(s, "holdoffs.invalid", err)
	}
	switch {
	case err != nil && pause == 0:
	case pause == 0:
		e.holdoffs.Answered(s.Key(), sentAt)
	case e.holdoffs.Pause(time.Now(), s.Key(), pause):
		e.logHoldoff(s, "paused", pause)
	}
}

func (e *Edge) logHoldoff(s *roster.Server, state string, pause time.Duration) {
	e.countBy("holdoffs", "state", state)
	e.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "state": state, "millis": pause.Milliseconds(),
	}).Info(event.ServerHoldoff)
}

// invalidLogPeriod is the minimum time between two log lines about invalid statements of one server.
const invalidLogPeriod = time.Minute

// reportInvalid counts an invalid statement of a server, and logs it once in invalidLogPeriod.
func (e *Edge) reportInvalid(s *roster.Server, counter string, err error) {
	e.count(counter)
	now := time.Now()
	last, known := e.invalidLoggedAt.Load(s.ID)
	if known && now.Sub(last.(time.Time)) < invalidLogPeriod {
		return
	}
	e.invalidLoggedAt.Store(s.ID, now)
	e.log.WithError(err).WithField("server", s.ID).Warn("invalid statement of a backend server")
}

// learnStatements records what a server said about itself in an attributable answer.
func (e *Edge) learnStatements(s *roster.Server, answer *backend.Answer, o belief.Outcome, sentAt time.Time) {
	if o != belief.Good && o != belief.Failed && o != belief.Shed {
		return
	}
	e.learnLimit(s, answer)
	e.learnHoldoffs(s, answer, sentAt)
}

// retrySpread is the share of a pause by which callers are told to come back later at random, so that they
// don't all come back when it ends.
const retrySpread = 0.25

// setRetryAfter makes a refusal for lack of servers tell the caller to come back when the first pause of the
// service's servers has ended, if all of them are paused.
func (r *forwardState) setRetryAfter(refused *refusal.Error) {
	if refused.Kind != refusal.ServersShed && refused.Kind != refusal.NoServer {
		return
	}
	wait := r.edge.holdoffs.Wait(time.Now(), r.edge.watcher.Roster().ForService(r.call.service))
	if wait > 0 {
		refused.RetryAfter = wait + time.Duration(retrySpread*rand.Float64()*float64(wait))
	}
}
