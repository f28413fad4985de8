// Package detect turns the outcomes of real work into evidence against a
// backend server, and evidence into an alarm. A Detector belongs to one server
// and is not safe for concurrent use.
package detect

import (
	"math"
	"time"

	"bilberrymux/core/kernel"
)

// Class says how an attempt ended, as evidence about the server.
type Class string

// The classes.
const (
	// Success is a whole answer that is no server error.
	Success Class = "success"
	// Failed is a server error, or an exchange that broke.
	Failed Class = "failed"
	// Unreachable is a connection that could not be opened.
	Unreachable Class = "unreachable"
	// Slow is an attempt, finished or not, that takes far longer than the same
	// work at the peers.
	Slow Class = "slow"
	// Misled is a shed by a server that had room by its own slot count while
	// its peers shed nothing.
	Misled Class = "misled"
	// Neutral says nothing about the server: a shed under load, a drain, a
	// caller that left, a connection gone silent.
	Neutral Class = "neutral"
)

// Cause is why an alarm was raised.
type Cause string

// The causes.
const (
	NoCause          Cause = ""
	CauseFailing     Cause = "failing"
	CauseUnreachable Cause = "unreachable"
	CauseSlow        Cause = "slow"
)

// Baseline is what the peers of the server do at present.
type Baseline struct {
	// FailureRate is the part of attempts that fail at the median peer.
	FailureRate float64
	// SlowRate is the part of attempts that are slow at the median peer.
	SlowRate float64
}

// Observation is one piece of evidence.
type Observation struct {
	Class Class
	// Depth is how many doublings a slow attempt lies beyond the slow limit.
	Depth int
	// Answered says that a slow attempt ended with a good answer.
	Answered bool
	// Outrun says that a slow attempt passed the peers' high quantile only.
	Outrun bool
	// Cold says that the server has just started, so that slowness is expected.
	Cold bool
}

// Detector collects the evidence against one server.
type Detector struct {
	// Observe adds one piece of evidence.
	Observe func(o Observation, base Baseline)
	// Alarm returns the cause once the evidence passes the threshold.
	Alarm func() Cause
	// Suspicion returns the evidence as a part of the threshold, 0 to 1.
	Suspicion func() float64
	// Evidence returns the evidence for one cause as a part of the threshold.
	Evidence func(cause Cause) float64
	// Reset forgets all evidence.
	Reset func()
}

// Options tune a detector.
type Options struct {
	// FalseAlarmRate is the accepted number of false alarms per request to a
	// sound server.
	FalseAlarmRate float64
}

// Detectors is the registry of detectors.
var Detectors kernel.Registry[func(Options) *Detector]

func init() {
	Detectors.Register(kernel.DetectorKind, "cusum", newCUSUM)
	Detectors.Register(kernel.DetectorKind, "consecutive", newConsecutive)
	Detectors.Register(kernel.DetectorKind, "none", newNone)
}

// The hypotheses of the sequential tests.
const (
	// minFailureRate is the failure rate that a sound server may always have.
	minFailureRate = 0.02
	// minSlowRate is the part of slow attempts a sound server may always have.
	minSlowRate = 0.02
	// outrunRate is the part of attempts that pass the high quantile anywhere.
	outrunRate = 0.05
	// sickRate is the part of bad attempts at a server that is to be found.
	sickRate = 0.7
	// maxSoundRate bounds what the peers' rates can excuse.
	maxSoundRate = 0.4
	// peerMargin is how much worse than its peers a sound server may be.
	peerMargin = 1.5
)

// cusum is a pair of one-sided CUSUM tests (Page 1954). By Lorden's bound, a
// threshold of ln(1/a) gives a mean of at least 1/a samples between false
// alarms.
type cusum struct {
	threshold   float64
	failing     float64
	slow        float64
	unreachable int
	failed      int
}

func newCUSUM(o Options) *Detector {
	c := &cusum{threshold: -math.Log(o.FalseAlarmRate)}
	return &Detector{Observe: c.observe, Alarm: c.alarm, Suspicion: c.suspicion, Evidence: c.evidence, Reset: c.reset}
}

func (c *cusum) observe(o Observation, base Baseline) {
	failureRate := soundRate(minFailureRate, base.FailureRate)
	slowRate := soundRate(minSlowRate, base.SlowRate)
	switch o.Class {
	case Success:
		c.failing = max(0, c.failing+good(failureRate))
		if !o.Cold {
			c.slow = max(0, c.slow+good(slowRate))
		}
		if c.failing == 0 {
			c.unreachable, c.failed = 0, 0
		}
	case Failed, Misled:
		c.failing += bad(failureRate)
		c.failed++
	case Unreachable:
		c.failing += bad(failureRate)
		c.unreachable++
	case Slow:
		if !o.Cold {
			if o.Outrun {
				slowRate = max(slowRate, outrunRate)
			}
			c.slow += late(slowRate, o.Depth)
		}
		if o.Answered {
			c.failing = max(0, c.failing+good(failureRate))
		}
	case Neutral:
	}
	// Evidence beyond the threshold would only delay the way back.
	c.failing = min(c.failing, c.threshold)
	c.slow = min(c.slow, c.threshold)
}

func soundRate(least, peers float64) float64 {
	return min(max(least, peers*peerMargin), maxSoundRate)
}

// bad is the log likelihood ratio of a bad attempt.
func bad(soundRate float64) float64 {
	return math.Log(sickRate / soundRate)
}

// tailFactor is how much rarer a latency twice as long is at a sound server.
// Four is that of a Pareto tail with index 2, heavier than most services have.
const tailFactor = 4

// late is what one more doubling of an attempt's time adds. The first slow limit
// counts as a bad attempt; a further doubling adds only what it makes less
// likely, so that no single attempt can raise the alarm.
func late(soundRate float64, depth int) float64 {
	if depth == 0 {
		return bad(soundRate)
	}
	return math.Log(tailFactor)
}

// good is the log likelihood ratio of a good attempt.
func good(soundRate float64) float64 {
	return math.Log((1 - sickRate) / (1 - soundRate))
}

func (c *cusum) alarm() Cause {
	switch {
	case c.failing >= c.threshold && c.unreachable > c.failed:
		return CauseUnreachable
	case c.failing >= c.threshold:
		return CauseFailing
	case c.slow >= c.threshold:
		return CauseSlow
	}
	return NoCause
}

func (c *cusum) suspicion() float64 {
	return min(1, max(c.failing, c.slow)/c.threshold)
}

func (c *cusum) evidence(cause Cause) float64 {
	if cause == CauseSlow {
		return c.slow / c.threshold
	}
	return c.failing / c.threshold
}

func (c *cusum) reset() {
	c.failing, c.slow, c.unreachable, c.failed = 0, 0, 0, 0
}

// consecutiveLimit is the number of bad attempts in a row that raises the
// alarm of the consecutive detector.
const consecutiveLimit = 5

// newConsecutive returns the detector that alarms after five failures in a row
// and knows nothing of slowness. It stands for the usual outlier rule.
func newConsecutive(Options) *Detector {
	run, cause := 0, NoCause
	return &Detector{
		Observe: func(o Observation, _ Baseline) {
			switch o.Class {
			case Success:
				run = 0
			case Failed, Misled:
				run, cause = run+1, CauseFailing
			case Unreachable:
				run, cause = run+1, CauseUnreachable
			default:
			}
		},
		Alarm: func() Cause {
			if run >= consecutiveLimit {
				return cause
			}
			return NoCause
		},
		Suspicion: func() float64 { return 0 },
		Evidence:  func(Cause) float64 { return 0 },
		Reset:     func() { run, cause = 0, NoCause },
	}
}

// newNone returns the detector that never alarms.
func newNone(Options) *Detector {
	return &Detector{
		Observe:   func(Observation, Baseline) {},
		Alarm:     func() Cause { return NoCause },
		Suspicion: func() float64 { return 0 },
		Evidence:  func(Cause) float64 { return 0 },
		Reset:     func() {},
	}
}

// Rate is an exponentially weighted part of events over samples.
type Rate struct {
	value   float64
	samples int
}

// rateWindow is the number of samples over which a Rate forgets.
const rateWindow = 50

// Add records one sample.
func (r *Rate) Add(event bool) {
	r.samples = min(r.samples+1, rateWindow)
	x := 0.0
	if event {
		x = 1
	}
	r.value += (x - r.value) / float64(r.samples)
}

// Value returns the part of samples with the event, 0 to 1.
func (r *Rate) Value() float64 {
	return r.value
}

// Quantiles follows the median and one high quantile of the latency of one
// kind of work by stochastic approximation on the logarithm. One bad server in
// several moves the median little.
type Quantiles struct {
	samples int
	median  float64
	high    float64
	target  float64
}

// warmSamples is the number of samples before Quantiles are trusted.
const warmSamples = 30

// quantileStep is the step of the approximation once warm, in log seconds.
const quantileStep = 0.02

// warmStep is the step of the approximation at the first sample.
const warmStep = 0.5

// NewQuantiles returns a follower of the median and of the target quantile,
// which must lie between 0.5 and 1.
func NewQuantiles(target float64) *Quantiles {
	return &Quantiles{target: target}
}

// Add records one latency. A latency of zero or less is ignored.
func (q *Quantiles) Add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	x := math.Log(latency.Seconds())
	q.samples++
	if q.samples == 1 {
		q.median, q.high = x, x
		return
	}
	step := max(quantileStep, warmStep/float64(q.samples))
	q.median += move(x > q.median, 0.5) * 2 * step
	q.high += move(x > q.high, q.target) * 2 * step
}

func move(above bool, target float64) float64 {
	if above {
		return target
	}
	return target - 1
}

// Warm reports whether enough samples were seen.
func (q *Quantiles) Warm() bool {
	return q.samples >= warmSamples
}

// Median returns the median latency.
func (q *Quantiles) Median() time.Duration {
	return time.Duration(math.Exp(q.median) * float64(time.Second))
}

// High returns the latency at the target quantile.
func (q *Quantiles) High() time.Duration {
	return time.Duration(math.Exp(max(q.high, q.median)) * float64(time.Second))
}
