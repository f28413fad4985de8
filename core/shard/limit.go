package shard

import (
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/pool"
)

// limiter adapts the concurrency limit of one server by additive increase and
// decrease, since the configured slots may be wrong.
type limiter struct {
	good     int
	capUntil time.Time
	sheds    int
}

// The bounds of the adaptation.
const (
	// growthFactor bounds the limit in multiples of the configured slots.
	growthFactor = 2
	// shedPause is how long a limit stays down after a shed; it doubles up to
	// maxShedPause while the sheds go on.
	shedPause    = 10 * time.Second
	maxShedPause = 5 * time.Minute
	// goodPerSlot is the number of good attempts per slot before a raise.
	goodPerSlot = 4
	// crowded is how much slower than the median a server may be before its
	// limit falls back to the configured slots.
	crowded = 1.5
)

// adapt moves the limit of a server. Busy counts its attempts including the
// one that ended.
func (s *Shard) adapt(now time.Time, m *member, a *admit.Attempt, end End, busy int) {
	switch end {
	case Shed:
		if m.suspects() {
			return
		}
		s.lower(now, m, max(1, busy-1))
	case Good:
		s.mayRaise(now, m, a, busy)
	default:
	}
}

func (s *Shard) lower(now time.Time, m *member, limit int) {
	pause := min(shedPause<<min(m.limit.sheds, 10), maxShedPause)
	m.limit.capUntil = now.Add(pause)
	m.limit.sheds++
	m.limit.good = 0
	if limit < m.Limit {
		s.setLimit(m, limit)
	}
}

func (s *Shard) setLimit(m *member, limit int) {
	if m.State == pool.Active {
		s.load.Capacity += limit - m.Limit
	}
	m.Limit = limit
}

// mayRaise lets the limit grow back to the slots, and beyond them while
// requests wait and the server is as fast as ever.
func (s *Shard) mayRaise(now time.Time, m *member, a *admit.Attempt, busy int) {
	if q := s.kinds[a.Ticket.Kind%kindCount]; m.Limit > m.Slots && q.Warm() {
		if float64(now.Sub(a.Started)) > crowded*float64(q.High()) {
			s.lower(now, m, m.Slots)
			return
		}
	}
	if busy < m.Limit || now.Before(m.limit.capUntil) {
		return
	}
	m.limit.good++
	if m.limit.good < goodPerSlot*m.Limit {
		return
	}
	m.limit.good = 0
	if m.Limit < m.Slots || (m.Limit < growthFactor*m.Slots && s.overloaded()) {
		s.setLimit(m, m.Limit+1)
	}
	if m.Limit >= m.Slots {
		m.limit.sheds = max(0, m.limit.sheds-1)
	}
}
