package belief

import (
	"math"
	"time"
)

// The parameters of an observer.
const (
	// observerDecayTime is the time constant with which past attempts decay.
	observerDecayTime = 500 * time.Millisecond
	// minObservedAttempts is the decayed number of attempts below which an observer is not slow.
	minObservedAttempts = 4
	// slowShare is the share of overdue attempts from which an observer is slow, and timelyShare the one
	// below which it is no longer.
	slowShare   = 0.7
	timelyShare = 0.4
	// slowLookback is the time before the first overdue attempts from which attempts may have been
	// delayed.
	slowLookback = time.Second
)

// observer tells whether this daemon itself is slow: its link or its processor delays the attempts at
// nearly all servers of all services. Then a missing response is no evidence about a server. An observer
// that mistakes most servers for sick would spoil the estimates of all daemons of its zone.
type observer struct {
	// timely and overdue are the decayed numbers of attempts, at the time at.
	timely, overdue float64
	at              time.Time
	slow            bool
	// slowFrom and slowTo are the begin and the end so far of the last time for which the observer was
	// slow.
	slowFrom, slowTo time.Time
}

// record records that an attempt was answered in time, or that it is overdue. It reports whether the observer
// has become slow, or is no longer.
func (o *observer) record(now time.Time, overdue bool) (changed bool) {
	decay := math.Exp(-float64(now.Sub(o.at)) / float64(observerDecayTime))
	o.timely, o.overdue, o.at = o.timely*decay, o.overdue*decay, now
	if overdue {
		o.overdue++
	} else {
		o.timely++
	}
	before, total := o.slow, o.timely+o.overdue
	switch {
	case o.overdue < timelyShare*total:
		o.slow = false
	case total >= minObservedAttempts && o.overdue >= slowShare*total:
		o.slow = true
	}
	if o.slow && !before {
		o.slowFrom = now.Add(-slowLookback)
	}
	if o.slow {
		o.slowTo = now
	}
	return o.slow != before
}

// wasSlow reports whether the observer was slow at any time since the start of an attempt.
func (o *observer) wasSlow(started, now time.Time) bool {
	return !o.slowTo.IsZero() && !started.After(o.slowTo) && !now.Before(o.slowFrom)
}
