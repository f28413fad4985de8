package refresh

import (
	"sync"
	"time"
)

const (
	// minPause is the pause after the first failed call, and the shortest one.
	minPause = 300 * time.Millisecond
	// pausePerDaemon limits the pause during a long outage of the store, for each live daemon
	// of the zone.
	pausePerDaemon = 300 * time.Millisecond
	// maxDoublings limits the growth of the pause, so that it can't overflow.
	maxDoublings = 16
)

// Limiter limits the calls of one daemon to the store while the store does not answer.
// Then only one call is made at a time, followed by a random pause whose limit doubles with
// each failure. The limit is lower the fewer daemons the zone has, so that a zone of any
// size notices within about a second that the store answers again. Limiter is safe for
// concurrent use.
type Limiter struct {
	mu sync.Mutex
	// random returns a number from 0 to 1.
	random func() float64
	// failures counts the failed calls since the last successful one.
	failures int
	failedAt time.Time
	// spread is the random factor, from 0 to 1, by which the current pause is shortened, so
	// that the daemons of a zone don't call at the same time.
	spread  float64
	probing bool
}

// NewLimiter returns a Limiter for a store that is assumed to answer. random must return
// numbers from 0 to 1.
func NewLimiter(random func() float64) *Limiter {
	return &Limiter{random: random}
}

// Begin reports whether a call may be made now. daemons is the number of live daemons of
// the zone, this one included. After each call that Begin allowed, End must be called.
func (l *Limiter) Begin(now time.Time, daemons int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == 0 {
		return true
	}
	if l.probing || now.Sub(l.failedAt) < l.pause(daemons) {
		return false
	}
	l.probing = true
	return true
}

// End records whether a call was answered. It reports whether the store has thereby become
// reachable or unreachable.
func (l *Limiter) End(now time.Time, answered bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	before := l.failures
	if answered {
		l.failures = 0
		return before > 0
	}
	l.failures++
	l.failedAt, l.spread = now, l.random()
	return before == 0
}

// Down reports whether the last call was not answered.
func (l *Limiter) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0
}

// pause returns the current pause in a zone with the given number of daemons.
func (l *Limiter) pause(daemons int) time.Duration {
	longest := max(minPause, time.Duration(daemons)*pausePerDaemon)
	doubled := minPause << min(l.failures-1, maxDoublings)
	return max(minPause, time.Duration(l.spread*float64(min(longest, doubled))))
}
