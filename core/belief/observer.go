package belief

import "time"

// The parameters of an observer.
const (
	// observerWeight is the weight of one attempt in the moving average of the overdue ones. Eight overdue
	// attempts in a row make an observer slow.
	observerWeight = 0.15
	// slowShare is the share of overdue attempts from which an observer is slow, and timelyShare the one
	// below which it is no longer.
	slowShare   = 0.7
	timelyShare = 0.4
	// slowLookback is the time before an observer is found slow from which attempts may have been
	// delayed.
	slowLookback = time.Second
)

// observer tells whether this daemon itself is slow: its link or its processor delays the attempts at
// nearly all servers of all services. Then a missing response is no evidence about a server. An observer
// that mistakes most servers for sick would spoil the estimates of all daemons of its zone.
type observer struct {
	// overdue is the moving average of the share of overdue attempts.
	overdue float64
	slow    bool
	// slowFrom and slowTo are the begin and the end so far of the last time for which the observer was
	// slow.
	slowFrom, slowTo time.Time
}

// record records that an attempt was answered in time, or that it is overdue. It reports whether the observer
// has become slow, or is no longer.
func (o *observer) record(now time.Time, overdue bool) (changed bool) {
	o.overdue *= 1 - observerWeight
	if overdue {
		o.overdue += observerWeight
	}
	before := o.slow
	switch {
	case o.overdue < timelyShare:
		o.slow = false
	case o.overdue >= slowShare:
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
