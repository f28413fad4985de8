package shard

import (
	"slices"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// TickPeriod is how often Tick expects to be called.
const TickPeriod = 100 * time.Millisecond

// Tick does what time alone brings: evidence from attempts that are late but
// not ended, the peers' rates, returns from ejection, ramps and deadlines.
func (s *Shard) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		s.lateAttempts(now, m)
		s.judge(now, m)
		s.advance(now, m)
		s.steer(now, m)
	}
	for _, m := range s.members {
		m.base = detect.Baseline{
			FailureRate: s.medianOfPeers(m, (*member).failureRate),
			SlowRate:    s.medianOfPeers(m, (*member).slowRate),
		}
	}
	s.meterDemand()
	s.settleFloor(now)
	s.pump(now)
}

// demandWeight is the weight of one tick in the mean demand of a rank.
const demandWeight = 0.02

// meterDemand follows the slots that each rank uses or waits for.
func (s *Shard) meterDemand() {
	waiting := s.queue.Waiting()
	for i := range s.load.Demand {
		now := float64(s.load.Busy[i] + waiting[i])
		s.load.Demand[i] += demandWeight * (now - s.load.Demand[i])
	}
}

// lateAttempts counts an attempt in flight each time that its age passes
// another doubling of the slow limit. A server that hangs is found so before
// any deadline passes.
func (s *Shard) lateAttempts(now time.Time, m *member) {
	for _, a := range m.active {
		limit := s.slowLimit(a.Ticket.Kind)
		if limit == 0 || !a.Sent.Load() {
			continue
		}
		age := now.Sub(a.Started)
		if a.Reused.Load() {
			s.suspectConnection(m, a, age > limit<<1)
			continue
		}
		for a.Depth < maxDepth && age > limit<<a.Depth {
			s.observe(now, m, detect.Observation{
				Class: detect.Slow, Doublings: a.Depth, Cold: now.Before(m.coldUntil),
			})
			a.Depth++
		}
	}
}

// suspectConnection handles an attempt that is late on a reused connection.
// It may be the connection and not the server, so that it is no evidence; the
// slot is freed, and what comes next runs on fresh connections.
func (s *Shard) suspectConnection(m *member, a *admit.Attempt, late bool) {
	if !late || a.Suspect {
		return
	}
	s.freeSlot(a)
	a.Suspect = true
	s.suspectConnections(m)
}

// suspectConnections makes what comes next run on fresh connections.
func (s *Shard) suspectConnections(m *member) {
	m.outruns = 0
	s.options.Count("evidence.silentConnection")
	if s.options.SuspectConnections != nil {
		s.options.SuspectConnections(m.Address)
	}
}

// clearConnections takes back the suspicion against connections: the server is
// full, so that it does run the attempts which are late. They hold their slots
// again, and their lateness is evidence from now on.
func (s *Shard) clearConnections(m *member) {
	for _, a := range m.active {
		if !a.Suspect {
			continue
		}
		a.Suspect = false
		a.Reused.Store(false)
		m.InFlight++
		if a.Counted {
			s.load.Busy[a.Ticket.Rank.Index()]++
		}
	}
}

// suspects reports whether an attempt may be running without its slot.
func (m *member) suspects() bool {
	return slices.ContainsFunc(m.active, func(a *admit.Attempt) bool { return a.Suspect })
}

// advance moves a server on its way back.
func (s *Shard) advance(now time.Time, m *member) {
	switch m.State {
	case pool.Ejected:
		if !now.Before(m.retryAt) && !m.probeFailed {
			m.Weight = trialWeight
			s.move(now, m, pool.Trial, "ejection over")
		}
	case pool.Trial:
		if now.Sub(m.Since) >= trialTime {
			s.restore(now, m, "trial without work")
		}
	case pool.Active:
		if m.flaps > 0 && now.Sub(m.Since) > flapMemory {
			m.flaps = 0
		}
	default:
	}
}

func (m *member) failureRate() float64 { return m.failures.Value() }
func (m *member) slowRate() float64    { return m.slows.Value() }
func (m *member) shedRate() float64    { return m.sheds.Value() }

// medianOfPeers returns the median of a rate over the other active servers.
// For large shards, a sample of the peers stands for all.
func (s *Shard) medianOfPeers(m *member, rate func(*member) float64) float64 {
	var buffer [peerSample]float64
	rates := buffer[:0]
	stride := max(1, len(s.members)/peerSample)
	for i := 0; i < len(s.members) && len(rates) < peerSample; i += stride {
		if o := s.members[i]; o != m && o.State == pool.Active {
			rates = append(rates, rate(o))
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// peerSample bounds the peers that a median looks at.
const peerSample = 32

// Report is what a health probe of a server said. It can only make things
// worse for the server: a good report is no evidence.
type Report struct {
	Reached  bool
	Healthy  bool
	Draining bool
}

// Probed records a health report.
func (s *Shard) Probed(now time.Time, id ident.ServerID, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if m == nil {
		return
	}
	m.probeFailed = !r.Reached || !r.Healthy
	if r.Reached {
		s.drain(now, m, r.Draining)
	} else if m.State == pool.Active {
		s.observe(now, m, detect.Observation{Class: detect.Unreachable})
		s.checkCrash(now, m)
	}
	s.judge(now, m)
	s.steer(now, m)
	s.pump(now)
}
