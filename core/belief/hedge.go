package belief

import (
	"math"
	"time"
)

// The parameters of the time at which a second attempt is started beside the first one.
const (
	// the logarithm of the response times: 15% and 5% of responses take longer.
	latestHedgeDeviations = 1.645
	// in median response times.
	// hedgeHangProbability is the probability that the first attempt is never answered from which
	// the second one starts regardless of the bounds.
	hedgeHangProbability = 0.3
	// minHedgeDelay is the shortest delay of a second attempt.
	minHedgeDelay = 50 * time.Millisecond
)

// HedgeDelay returns the time from the start of an attempt after which a second one should be
// started. It answers two loads: responses that would miss the target latency, and servers that
// hang. The delay leaves the second attempt enough time before the target, and it is shorter the
// more likely the server is sick.
func (t *Tracker) HedgeDelay(a *Attempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	median, deviation := t.latenciesOf(a.route).distribution(a.target)
	at := func(deviations float64) time.Duration {
		return time.Duration(a.crowding * float64(median) * math.Exp(deviations*deviation))
	}
	return max(minHedgeDelay, min(at(latestHedgeDeviations), at(hangDeviations(a.Risk))))
}

// hangDeviations returns the age, in standard deviations from the median, at which an attempt at
// a server of the given risk is unanswered for good with a probability of hedgeHangProbability.
func hangDeviations(risk float64) float64 {
	hang := risk * sickHangShare
	survival := hang * (1 - hedgeHangProbability) / (hedgeHangProbability * (1 - hang))
	if survival >= 1 {
		return math.Inf(-1)
	}
	return math.Sqrt2 * math.Erfinv(1-2*survival)
}
