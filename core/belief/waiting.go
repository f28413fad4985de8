package belief

import (
	"math"
	"time"

	"bilberrymux/core/detect"
)

// The model of attempts without a response. An attempt that waits for longer than the route's
// responses usually take is evidence that its server is sick, also before the attempt ends.
const (
	// sickHangShare is the share of requests that a sick server never answers.
	sickHangShare = 0.75
	// overdueSurvival is the share of a route's responses that take longer than the time from
	// which an attempt is overdue.
	overdueSurvival = 0.02
	// initialHangShare is the assumed share of a route's requests that sound servers don't answer
	// in time, and initialHangSamples the number of attempts whose weight it has.
	initialHangShare   = 0.01
	initialHangSamples = 30
	// maxHangSamples bounds the weight of past attempts in a route's share.
	maxHangSamples = 200
	// minWaitingRatio is the likelihood ratio from which an attempt that ended without a response
	// counts as evidence.
	minWaitingRatio = 1.5
	// unknownUsualShare and unknownHighShare are the shares of a route's target latency that stand
	// in for the median and the late quantile of its response times while these are not known.
	unknownUsualShare = 0.25
	unknownHighShare  = 0.65
	// lateDeviations is the distance of lateQuantile from the median in standard deviations of a
	// normal distribution, and overdueDeviations that of 1 - overdueSurvival.
	lateDeviations    = 1.645
	overdueDeviations = 2.054
	// minLogDeviation bounds the standard deviation of the logarithm of response times from below.
	minLogDeviation = 0.1
)

// latencies describes the response times of one route.
type latencies struct {
	quantiles *detect.Quantiles
	// hangs is the number of attempts at sound servers that got no response in time, out of
	// attempts. Both are decayed counts.
	hangs, attempts float64
}

// latenciesOf returns the response times of a route and creates them if there are none.
func (t *Tracker) latenciesOf(route string) *latencies {
	l := t.latencies[route]
	if l == nil {
		l = &latencies{
			quantiles: detect.NewQuantiles(lateQuantile),
			hangs:     initialHangShare * initialHangSamples, attempts: initialHangSamples,
		}
		t.latencies[route] = l
	}
	return l
}

// recordEnd records whether an attempt at a server that was sound with the given probability
// got a response before it was overdue.
func (l *latencies) recordEnd(overdue bool, sound float64) {
	if l.attempts >= maxHangSamples {
		l.hangs *= 1 - 1/l.attempts
		l.attempts--
	}
	l.attempts++
	if overdue {
		l.hangs += sound
	}
}

// distribution returns the median of the response times and the standard deviation of their
// logarithm, which is assumed to be normally distributed. While there are too few samples, both
// are estimated from the target latency.
func (l *latencies) distribution(target time.Duration) (median time.Duration, logDeviation float64) {
	median, high := time.Duration(unknownUsualShare*float64(target)), time.Duration(unknownHighShare*float64(target))
	if l.quantiles.Warm() {
		median, high = l.quantiles.Median(), l.quantiles.High()
	}
	if median <= 0 {
		return time.Second, minLogDeviation
	}
	return median, max(minLogDeviation, math.Log(float64(high)/float64(median))/lateDeviations)
}

// survival returns the share of responses of sound servers, from 0 to 1, that take longer than
// the given time.
func (l *latencies) survival(target, age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	median, deviation := l.distribution(target)
	return 0.5 * math.Erfc(math.Log(float64(age)/float64(median))/deviation/math.Sqrt2)
}

// waitingRatio returns how much likelier it is at a sick than at a sound server that an attempt
// has waited for the given time.
func (t *Tracker) waitingRatio(a *Attempt, age time.Duration) float64 {
	l := t.latenciesOf(a.route)
	survival := l.survival(a.target, time.Duration(float64(age)/a.crowding))
	hang := min(1, l.hangs/l.attempts)
	return (sickHangShare + (1-sickHangShare)*survival) / (hang + (1-hang)*survival)
}

// OverdueAfter returns the age from which an attempt is overdue.
func (t *Tracker) OverdueAfter(a *Attempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	median, deviation := t.latenciesOf(a.route).distribution(a.target)
	return max(minOverdueAge, time.Duration(a.crowding*math.Exp(overdueDeviations*deviation)*float64(median)))
}

// minOverdueAge is the age below which no attempt is overdue.
const minOverdueAge = 100 * time.Millisecond

// Overdue records that an attempt got no response in the time of OverdueAfter. A later Good outcome
// of the attempt takes the evidence back.
func (t *Tracker) Overdue(now time.Time, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(now, a.Server.Key())
	if !s.isActive(a) {
		return
	}
	a.overdueRatio = t.waitingRatio(a, now.Sub(a.Started))
	s.applyRatio(now, a.overdueRatio)
	t.notifyHealthChange(s, a.Server, Overdue)
}

// recordWaiting applies the evidence of the time for which an attempt that ended waited, beyond
// what Overdue has applied already.
func (t *Tracker) recordWaiting(now time.Time, s *state, a *Attempt, o Outcome) {
	age := now.Sub(a.Started)
	l := t.latenciesOf(a.route)
	switch o {
	case Good:
		if a.overdueRatio > 0 {
			s.applyRatio(now, 1/a.overdueRatio)
		}
		l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
	case Silent, Neutral:
		ratio := t.waitingRatio(a, age)
		if a.overdueRatio > 0 {
			ratio /= a.overdueRatio
		}
		if ratio >= minWaitingRatio {
			s.applyRatio(now, ratio)
		}
		if a.overdueRatio > 0 || o == Silent {
			l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
		}
	default:
		l.recordEnd(a.overdueRatio > 0, 1-a.Risk)
	}
}

// applyRatio updates the risk with evidence that is ratio times as likely at a sick server as at
// a sound one.
func (s *state) applyRatio(now time.Time, ratio float64) {
	s.risk = bound(withRatio(s.riskAt(now), ratio))
	s.evidenceAt, s.hasEvidence = now, true
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
