package belief

import (
	"math"
	"time"
)

// The model of attempts without a response. An attempt that waits for longer than the route's
// responses usually take is evidence that its server is sick, also before the attempt ends.
const (
	// sickFaultShare is the share of requests that a sick server fails.
	sickFaultShare = 0.85
	// minWaitingRatio is the likelihood ratio from which an attempt that ended without a response
	// counts as evidence.
	minWaitingRatio = 1.5
	// overdueDeviations is the age from which an attempt is overdue, in standard deviations of the
	// logarithm of the response times: 2% of responses take longer.
	overdueDeviations = 2.054
	// minOverdueAge is the age below which no attempt is overdue.
	minOverdueAge = 100 * time.Millisecond
)

// waitingRatio returns how much likelier it is at a sick than at a sound server that an attempt
// has waited for the given time.
func (t *Tracker) waitingRatio(a *Attempt, age time.Duration) float64 {
	l := t.latenciesOf(a.route)
	survival := l.survival(a.target, time.Duration(float64(age)/a.crowding))
	hang, sickHang := l.hangShare(), l.sickHangShare()
	return (sickHang + (1-sickHang)*survival) / (hang + (1-hang)*survival)
}

// sickHangShare returns the share of requests that a sick server never answers.
func (l *latencies) sickHangShare() float64 {
	return sickFaultShare * l.silentShare()
}

// OverdueAfter returns the age from which an attempt is overdue.
func (t *Tracker) OverdueAfter(a *Attempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	median, deviation := t.latenciesOf(a.route).distribution(a.target)
	return max(minOverdueAge, time.Duration(a.crowding*math.Exp(overdueDeviations*deviation)*float64(median)))
}

// Overdue records that an attempt got no response in the time of OverdueAfter. A later Good outcome
// of the attempt takes the evidence back.
func (t *Tracker) Overdue(now time.Time, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(now, a.Server.Key())
	if !s.isActive(a) {
		return
	}
	a.overdueAt = now
	t.observe(now, true)
	if t.observer.wasSlow(a.Started, now) {
		return
	}
	a.overdueRatio = max(1, t.waitingRatio(a, now.Sub(a.Started)))
	s.applyRatio(now, a.overdueRatio)
	t.notifyHealthChange(s, a.Server, Overdue)
}

// isDelayed reports whether the attempt is overdue since this daemon is slow.
func (a *Attempt) isDelayed() bool {
	return !a.overdueAt.IsZero() && a.overdueRatio == 0
}

// recordWaiting applies the evidence of the time for which an attempt that ended waited, beyond
// what Overdue has applied already.
func (t *Tracker) recordWaiting(now time.Time, s *state, a *Attempt, o Outcome) {
	age := now.Sub(a.Started)
	l := t.latenciesOf(a.route)
	if (o == Silent || o == Neutral) && t.observer.wasSlow(a.Started, now) {
		if a.overdueRatio > 0 {
			s.applyRatio(now, 1/a.overdueRatio)
		}
		return
	}
	switch o {
	case Good:
		if a.overdueRatio > 0 {
			s.applyRatio(now, 1/a.overdueRatio)
		}
		l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
	case Silent, Neutral:
		ratio := t.waitingRatio(a, age)
		if ratio >= minWaitingRatio {
			s.failures++
		}
		if a.overdueRatio > 0 {
			ratio /= a.overdueRatio
		}
		if ratio >= minWaitingRatio {
			s.applyRatio(now, ratio)
		}
		if a.overdueRatio > 0 || o == Silent {
			l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
		}
		if a.overdueRatio > 0 {
			l.recordFault(true)
		}
	case Failed, Broken:
		l.recordFault(a.overdueRatio > 0)
		l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
	default:
		l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
	}
}

// applyRatio updates the risk with evidence that is ratio times as likely at a sick server as at
// a sound one.
func (s *state) applyRatio(now time.Time, ratio float64) {
	s.risk = bound(withRatio(s.riskAt(now), ratio))
	s.evidenceAt, s.hasEvidence, s.heard = now, true, false
}

// withRatio returns a risk after evidence with the given likelihood ratio.
func withRatio(risk, ratio float64) float64 {
	return risk * ratio / (risk*ratio + 1 - risk)
}

// bound returns the risk within minRisk and maxRisk.
func bound(risk float64) float64 {
	return min(max(risk, minRisk), maxRisk)
}

// currentRisk returns the risk of a server, including the evidence of this daemon's attempts that
// still wait for a response.
func (t *Tracker) currentRisk(now time.Time, s *state) float64 {
	risk := s.riskAt(now)
	for _, a := range s.active {
		if t.observer.wasSlow(a.Started, now) {
			continue
		}
		ratio := t.waitingRatio(a, now.Sub(a.Started))
		if a.overdueRatio > 0 {
			ratio /= a.overdueRatio
		}
		risk = withRatio(risk, max(1, ratio))
	}
	return bound(risk)
}

// isActive reports whether an attempt is in flight.
func (s *state) isActive(a *Attempt) bool {
	for _, o := range s.active {
		if o == a {
			return true
		}
	}
	return false
}
