package shard

import (
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/pool"
)

// limiter is the state of one server's adaptive concurrency limit. The limit adapts by additive
// increase and decrease, since the configured slots may not match the server's real capacity.
type limiter struct {
	// successes counts the successful attempts at the full limit since the limit was last lowered or
	// due for a raise.
	successes int
	// noRaiseUntil is the end of the cooldown during which the limit is not raised.
	noRaiseUntil time.Time
	// cooldownExponent is the number of doublings of the next cooldown. It grows each time that the
	// limit is lowered, and shrinks each time that it is due for a raise while it is at or above the
	// slots.
	cooldownExponent int
}

// Parameters of the limit's adaptation.
const (
	// maxLimitFactor is the maximum limit as a multiple of the configured slots.
	maxLimitFactor = 2
	// raiseCooldown is how long the limit is not raised after it was lowered, for a shed or a slow
	// answer. It doubles while it keeps being lowered, up to maxRaiseCooldown.
	raiseCooldown    = 10 * time.Second
	maxRaiseCooldown = 5 * time.Minute
	// successesPerSlot is the number of successful attempts per slot of the limit before a raise.
	successesPerSlot = 4
	// maxSlowdown is the latency, as a multiple of the upper latency quantile, above which a limit
	// beyond the configured slots falls back to them.
	maxSlowdown = 1.5
)

// adaptLimit adapts the concurrency limit of a server to the outcome of an attempt. inFlight is the
// number of attempts in flight before this one ended, including it.
func (s *Shard) adaptLimit(now time.Time, m *member, a *admit.Attempt, outcome Outcome, inFlight int) {
	switch outcome {
	case Shed:
		if m.hasSuspectAttempts() {
			return
		}
		s.lowerLimit(now, m, max(1, inFlight-1))
	case Good:
		s.updateLimit(now, m, a, inFlight)
	default:
	}
}

// lowerLimit lowers the limit of a server, if it is higher, and starts a cooldown.
func (s *Shard) lowerLimit(now time.Time, m *member, limit int) {
	cooldown := min(raiseCooldown<<min(m.limiter.cooldownExponent, 10), maxRaiseCooldown)
	m.limiter.noRaiseUntil = now.Add(cooldown)
	m.limiter.cooldownExponent++
	m.limiter.successes = 0
	if limit < m.Limit {
		s.setLimit(m, limit)
	}
}

// setLimit sets the limit of a server and updates the capacity of the shard.
func (s *Shard) setLimit(m *member, limit int) {
	if m.State == pool.Active {
		s.load.Capacity += limit - m.Limit
	}
	m.Limit = limit
}

// updateLimit raises the limit by one after enough successful attempts, up to the configured slots, and
// beyond them only while requests are queued. If the limit is beyond the slots, a slow answer lowers it
// to the slots.
func (s *Shard) updateLimit(now time.Time, m *member, a *admit.Attempt, inFlight int) {
	if q := s.latencies[a.Ticket.LatencyClass%latencyClasses]; m.Limit > m.Slots && q.Warm() {
		if float64(now.Sub(a.Started)) > maxSlowdown*float64(q.High()) {
			s.lowerLimit(now, m, m.Slots)
			return
		}
	}
	if inFlight < m.Limit || now.Before(m.limiter.noRaiseUntil) {
		return
	}
	m.limiter.successes++
	if m.limiter.successes < successesPerSlot*m.Limit {
		return
	}
	m.limiter.successes = 0
	if m.Limit < m.Slots || (m.Limit < maxLimitFactor*m.Slots && s.overloaded()) {
		s.setLimit(m, m.Limit+1)
	}
	if m.Limit >= m.Slots {
		m.limiter.cooldownExponent = max(0, m.limiter.cooldownExponent-1)
	}
}
