package belief

import (
	"math"
	"time"
)

// The parameters of the time at which a second attempt is started beside the first one.
const (
	// hedgeHangProbability is the probability that the first attempt is never answered from which
	// the second one starts.
	hedgeHangProbability = 0.3
	// minHedgeDelay and maxHedgeDelay bound the delay.
	minHedgeDelay = 50 * time.Millisecond
	maxHedgeDelay = time.Hour
)

// HedgeDelay returns the time from the start of an attempt after which a second one should be
// started beside it. It answers servers that hang: the delay is shorter the more likely the server is
// sick and the more of the faults on the route are silent.
func (t *Tracker) HedgeDelay(a *Attempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.latenciesOf(a.route)
	median, deviation := l.distribution(a.target)
	deviations := hangDeviations(a.Risk * l.sickHangShare())
	delay := a.crowding * float64(median) * math.Exp(deviations*deviation)
	return time.Duration(min(max(delay, float64(minHedgeDelay)), float64(maxHedgeDelay)))
}

// hangDeviations returns the age, in standard deviations from the median, at which an attempt that is
// never answered with the probability hang is so with hedgeHangProbability, as it still waits.
func hangDeviations(hang float64) float64 {
	survival := hang * (1 - hedgeHangProbability) / (hedgeHangProbability * (1 - hang))
	if survival >= 1 {
		return math.Inf(-1)
	}
	return math.Sqrt2 * math.Erfinv(1-2*survival)
}
