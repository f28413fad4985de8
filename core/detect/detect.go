// Package detect implements passive failure detection. A Detector accumulates
// evidence against one backend server from the outcomes of its requests and
// raises an alarm when the evidence reaches a threshold. Detector, Rate and
// Quantiles are not safe for concurrent use.
package detect

import (
	"math"
	"time"

	"bilberrymux/core/kernel"
)

// Class classifies the outcome of an attempt as evidence about the server.
type Class string

// Values of Class.
const (
	// Success is a complete response that is not a server error.
	Success Class = "success"
	// Failed is a server error, or an exchange that was interrupted.
	Failed Class = "failed"
	// Unreachable is a connection that could not be established.
	Unreachable Class = "unreachable"
	// Slow is an attempt, finished or still running, that takes much longer than the
	// median of its latency class over all servers.
	Slow Class = "slow"
	// SpuriousShed is a request shed by a server that has free slots by the count of
	// this daemon, while its peers shed hardly any requests.
	SpuriousShed Class = "misled"
	// Neutral is no evidence about the server: a request shed under load, a
	// draining server, a cancelled call or an unresponsive connection.
	Neutral Class = "neutral"
)

// Cause is the reason for an alarm.
type Cause string

// Values of Cause.
const (
	NoCause          Cause = ""
	CauseFailing     Cause = "failing"
	CauseUnreachable Cause = "unreachable"
	CauseSlow        Cause = "slow"
)

// Baseline describes the current behaviour of the server's peers.
type Baseline struct {
	// FailureRate is the fraction of failed attempts at the median peer, 0 to 1.
	FailureRate float64
	// SlowRate is the fraction of slow attempts at the median peer, 0 to 1.
	SlowRate float64
}

// Observation is the classified outcome of one attempt, or of its progress so far.
type Observation struct {
	Class Class
	// Doublings is the number of times that the elapsed time of a slow attempt
	// has doubled beyond the slow limit.
	Doublings int
	// Answered is set when a slow attempt ended with a successful response.
	Answered bool
	// AboveHighQuantile is set when a slow attempt is only known to have exceeded
	// the high quantile of its latency class, not the slow limit.
	AboveHighQuantile bool
	// Cold is set when the server has started recently, so that slow attempts
	// are expected.
	Cold bool
}

// Detector accumulates the evidence against one server.
type Detector struct {
	// Observe adds an observation, weighed against the baseline of the peers.
	Observe func(o Observation, base Baseline)
	// Alarm returns the cause of the alarm, or NoCause while the evidence is below
	// the threshold.
	Alarm func() Cause
	// Suspicion returns the evidence as a fraction of the threshold, 0 to 1.
	Suspicion func() float64
	// Evidence returns the evidence for one cause as a fraction of the threshold,
	// 0 to 1.
	Evidence func(cause Cause) float64
	// Reset discards all evidence.
	Reset func()
}

// Options configures a detector.
type Options struct {
	// FalseAlarmRate is the accepted number of false alarms per request to a
	// healthy server.
	FalseAlarmRate float64
}

// Detectors is the registry of detector factories.
var Detectors kernel.Registry[func(Options) *Detector]

func init() {
	Detectors.Register(kernel.DetectorKind, "cusum", newCUSUM)
	Detectors.Register(kernel.DetectorKind, "consecutive", newConsecutive)
	Detectors.Register(kernel.DetectorKind, "none", newNone)
}

// Parameters of the two hypotheses of the sequential tests, healthy and faulty.
// The rates are fractions of attempts, 0 to 1.
const (
	// minFailureRate is the failure rate that is tolerated even if the peers have
	// no failures.
	minFailureRate = 0.02
	// minSlowRate is the rate of slow attempts that is tolerated even if the peers
	// have none.
	minSlowRate = 0.02
	// aboveHighQuantileRate is the rate of attempts above the high latency quantile
	// that is normal on any server.
	aboveHighQuantileRate = 0.05
	// sickRate is the rate of failed or slow attempts at a faulty server.
	sickRate = 0.7
	// maxHealthyRate is the highest rate that counts as healthy, however high the
	// rates of the peers are.
	maxHealthyRate = 0.4
	// peerMargin is the factor by which the rate of a healthy server may exceed
	// the rate of its median peer.
	peerMargin = 1.5
)

// cusum is a pair of one-sided CUSUM tests (Page 1954), one for failures and one
// for slowness. By Lorden's bound, a threshold of ln(1/a) gives a mean of at least
// 1/a samples between false alarms.
type cusum struct {
	// threshold, failing and slow are log likelihood ratios.
	threshold float64
	failing   float64
	slow      float64
	// unreachable and failed count the failed attempts by class and decide the cause
	// of the alarm. Both are reset when a success finds or leaves failing at zero.
	unreachable int
	failed      int
}

func newCUSUM(o Options) *Detector {
	c := &cusum{threshold: -math.Log(o.FalseAlarmRate)}
	return &Detector{Observe: c.observe, Alarm: c.alarm, Suspicion: c.suspicion, Evidence: c.evidence, Reset: c.reset}
}

func (c *cusum) observe(o Observation, base Baseline) {
	failureRate := healthyRate(minFailureRate, base.FailureRate)
	slowRate := healthyRate(minSlowRate, base.SlowRate)
	switch o.Class {
	case Success:
		c.failing = max(0, c.failing+goodLogRatio(failureRate))
		if !o.Cold {
			c.slow = max(0, c.slow+goodLogRatio(slowRate))
		}
		if c.failing == 0 {
			c.unreachable, c.failed = 0, 0
		}
	case Failed, SpuriousShed:
		c.failing += badLogRatio(failureRate)
		c.failed++
	case Unreachable:
		c.failing += badLogRatio(failureRate)
		c.unreachable++
	case Slow:
		if !o.Cold {
			if o.AboveHighQuantile {
				slowRate = max(slowRate, aboveHighQuantileRate)
			}
			c.slow += slowLogRatio(slowRate, o.Doublings)
		}
		if o.Answered {
			c.failing = max(0, c.failing+goodLogRatio(failureRate))
		}
	case Neutral:
	}
	// The sums are capped at the threshold, since a higher sum would only delay the
	// recovery of the server.
	c.failing = min(c.failing, c.threshold)
	c.slow = min(c.slow, c.threshold)
}

// healthyRate returns the rate of failed or slow attempts that counts as healthy,
// given the minimum and the rate of the median peer.
func healthyRate(minimum, peerRate float64) float64 {
	return min(max(minimum, peerRate*peerMargin), maxHealthyRate)
}

// badLogRatio returns the log likelihood ratio of a failed or slow attempt.
func badLogRatio(healthyRate float64) float64 {
	return math.Log(sickRate / healthyRate)
}

// tailFactor is the factor by which the probability of exceeding a latency falls
// when the latency doubles, on a healthy server. Four corresponds to a Pareto tail
// with index 2, which is heavier than that of most services.
const tailFactor = 4

// slowLogRatio returns the log likelihood ratio that a slow attempt adds after the
// given number of doublings. Exceeding the slow limit counts as a bad attempt. Each
// further doubling adds only the logarithm of tailFactor, so that a single attempt
// cannot raise the alarm.
func slowLogRatio(healthyRate float64, doublings int) float64 {
	if doublings == 0 {
		return badLogRatio(healthyRate)
	}
	return math.Log(tailFactor)
}

// goodLogRatio returns the log likelihood ratio of a successful attempt, which is
// negative.
func goodLogRatio(healthyRate float64) float64 {
	return math.Log((1 - sickRate) / (1 - healthyRate))
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

// consecutiveLimit is the number of consecutive failures that raises the alarm of
// the consecutive detector.
const consecutiveLimit = 5

// newConsecutive returns a detector that raises an alarm after consecutiveLimit
// failures in a row and ignores slow attempts. It represents conventional outlier
// detection and serves for comparison.
func newConsecutive(Options) *Detector {
	consecutive, cause := 0, NoCause
	return &Detector{
		Observe: func(o Observation, _ Baseline) {
			switch o.Class {
			case Success:
				consecutive = 0
			case Failed, SpuriousShed:
				consecutive, cause = consecutive+1, CauseFailing
			case Unreachable:
				consecutive, cause = consecutive+1, CauseUnreachable
			default:
			}
		},
		Alarm: func() Cause {
			if consecutive >= consecutiveLimit {
				return cause
			}
			return NoCause
		},
		Suspicion: func() float64 { return 0 },
		Evidence:  func(Cause) float64 { return 0 },
		Reset:     func() { consecutive, cause = 0, NoCause },
	}
}

// newNone returns a detector that never raises an alarm.
func newNone(Options) *Detector {
	return &Detector{
		Observe:   func(Observation, Baseline) {},
		Alarm:     func() Cause { return NoCause },
		Suspicion: func() float64 { return 0 },
		Evidence:  func(Cause) float64 { return 0 },
		Reset:     func() {},
	}
}

// Rate is a moving average of the fraction of samples with an event. It is the plain
// mean of the first rateWindow samples and exponentially weighted from then on.
type Rate struct {
	value   float64
	samples int
}

// rateWindow is the time constant of a Rate, in samples.
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

// Value returns the fraction of samples with the event, 0 to 1.
func (r *Rate) Value() float64 {
	return r.value
}

// Quantiles estimates the median and one high quantile of the latency of one
// latency class by stochastic approximation on the logarithm of the latency. A
// single faulty server among several has little effect on the median.
type Quantiles struct {
	samples int
	// median and high are natural logarithms of seconds.
	median float64
	high   float64
	// target is the probability of the high quantile.
	target float64
}

// warmSamples is the number of samples from which the estimates are used.
const warmSamples = 30

// quantileStep is the smallest step of the approximation, in natural logarithms of
// seconds.
const quantileStep = 0.02

// initialQuantileStep is the step of the approximation, in natural logarithms of
// seconds, before it is divided by the number of samples.
const initialQuantileStep = 0.5

// NewQuantiles returns an estimator of the median and of the target quantile,
// which must lie between 0.5 and 1.
func NewQuantiles(target float64) *Quantiles {
	return &Quantiles{target: target}
}

// Add records a latency. A latency of zero or less is ignored.
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
	step := max(quantileStep, initialQuantileStep/float64(q.samples))
	q.median += quantileGradient(x > q.median, 0.5) * 2 * step
	q.high += quantileGradient(x > q.high, q.target) * 2 * step
}

// quantileGradient returns the direction and size of a step, relative to the step
// size, towards the target quantile for a sample above or below the estimate.
func quantileGradient(above bool, target float64) float64 {
	if above {
		return target
	}
	return target - 1
}

// Warm reports whether enough samples were recorded for the estimates to be used.
func (q *Quantiles) Warm() bool {
	return q.samples >= warmSamples
}

// Median returns the estimated median latency.
func (q *Quantiles) Median() time.Duration {
	return time.Duration(math.Exp(q.median) * float64(time.Second))
}

// High returns the estimated latency at the target quantile, which is at least the
// median.
func (q *Quantiles) High() time.Duration {
	return time.Duration(math.Exp(max(q.high, q.median)) * float64(time.Second))
}
