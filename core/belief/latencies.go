package belief

import (
	"math"
	"time"

	"bilberrymux/core/detect"
)

// The parameters of the response times of a route.
const (
	// lateDeviations is the distance of lateQuantile from the median in standard deviations of a
	// normal distribution.
	lateDeviations = 1.645
	// minLogDeviation bounds the standard deviation of the logarithm of response times from below.
	minLogDeviation = 0.1
	// unknownUsualShare and unknownHighShare are the shares of a route's target latency that stand
	// in for the median and the late quantile of its response times while these are not known.
	unknownUsualShare = 0.25
	unknownHighShare  = 0.65
	// initialHangShare is the assumed share of a route's requests that sound servers don't answer
	// in time, and initialHangSamples the number of attempts whose weight it has.
	initialHangShare   = 0.01
	initialHangSamples = 30
	// initialSilentShare is the assumed share of faults in which a server gives no response,
	// initialSilentSamples the number of faults whose weight it has, and maxSilentSamples bounds the
	// weight of past faults.
	initialSilentShare   = 0.5
	initialSilentSamples = 6
	maxSilentSamples     = 60
	// maxHangSamples bounds the weight of past attempts in a route's share, and minHangShare the
	// share: however long a route was calm, one hang proves nothing for certain.
	maxHangSamples = 200
	minHangShare   = 0.0005
)

// latencies describes the response times of one route.
type latencies struct {
	quantiles *detect.Quantiles
	// hangs is the number of attempts at sound servers that got no response in time, out of
	// attempts. Both are decayed counts.
	hangs, attempts float64
	// silentFaults is the number of attempts that servers left without a response, out of faults, which
	// include errors and broken exchanges. Both are decayed counts.
	silentFaults, faults float64
}

// latenciesOf returns the response times of a route and creates them if there are none.
func (t *Tracker) latenciesOf(route string) *latencies {
	l := t.latencies[route]
	if l == nil {
		l = &latencies{
			quantiles: detect.NewQuantiles(lateQuantile),
			hangs:     initialHangShare * initialHangSamples, attempts: initialHangSamples,
			silentFaults: initialSilentShare * initialSilentSamples, faults: initialSilentSamples,
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

// hangShare returns the share of requests, at most 1, that sound servers don't answer in time.
func (l *latencies) hangShare() float64 {
	return min(1, max(minHangShare, l.hangs/l.attempts))
}

// recordFault records an attempt without a good response, and whether it was silent: it waited
// until it was overdue.
func (l *latencies) recordFault(silent bool) {
	if l.faults >= maxSilentSamples {
		l.silentFaults *= 1 - 1/l.faults
		l.faults--
	}
	l.faults++
	if silent {
		l.silentFaults++
	}
}

// silentShare returns the share of faults in which a server gives no response.
func (l *latencies) silentShare() float64 {
	return l.silentFaults / l.faults
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

// recordLatency adds the response time of a Good outcome, without the time for which it waited at a
// crowded server, to the quantiles of the route and, once these are warm, to the slowness of the
// server.
func (t *Tracker) recordLatency(s *state, a *Attempt, took time.Duration) {
	q := t.latenciesOf(a.route).quantiles
	took = time.Duration(float64(took) / a.crowding)
	if q.Warm() {
		ratio := math.Log(float64(took) / float64(q.Median()))
		s.slowness += (ratio - s.slowness) * slownessWeight
	}
	q.Add(took)
}

// lateQuantile is the quantile of a route's response times beyond which a response is late.
const lateQuantile = 0.95

// UsualLatency returns the median response time of the route. While there are too few samples, it
// is estimated from the target latency.
func (t *Tracker) UsualLatency(route string, target time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	median, _ := t.latenciesOf(route).distribution(target)
	return median
}
