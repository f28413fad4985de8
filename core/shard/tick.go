package shard

import (
	"slices"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// TickPeriod is the interval at which Tick should be called.
const TickPeriod = 100 * time.Millisecond

// Tick performs the time-driven work: it records evidence from late attempts that are still in
// flight, moves servers between states, updates weights and the peers' failure and slow rates,
// enforces the floor, and refuses queued requests whose deadline has passed.
func (s *Shard) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		s.observeLateAttempts(now, m)
		s.handleAlarm(now, m)
		s.advanceState(now, m)
		s.updateWeight(now, m)
	}
	for _, m := range s.members {
		m.baseline = detect.Baseline{
			FailureRate: s.medianOfPeers(m, (*member).failureRate),
			SlowRate:    s.medianOfPeers(m, (*member).slowRate),
		}
	}
	s.updateDemand()
	s.enforceFloor(now)
	s.dispatchQueued(now)
}

// demandSmoothing is the weight of one tick in the exponential moving average of a rank's demand.
const demandSmoothing = 0.02

// updateDemand updates the moving average of the number of slots that each rank uses or waits for.
func (s *Shard) updateDemand() {
	waiting := s.queue.Waiting()
	for i := range s.load.Demand {
		now := float64(s.load.Busy[i] + waiting[i])
		s.load.Demand[i] += demandSmoothing * (now - s.load.Demand[i])
	}
}

// observeLateAttempts records slow evidence for each attempt in flight when its age exceeds the
// slow limit, and again at each doubling of it. A hanging server is thereby detected before any
// request deadline passes.
func (s *Shard) observeLateAttempts(now time.Time, m *member) {
	for _, a := range m.attempts {
		limit := s.slowLimit(a.Ticket.LatencyClass)
		if limit == 0 || !a.Sent.Load() {
			continue
		}
		age := now.Sub(a.Started)
		if a.Reused.Load() {
			s.releaseSuspectSlot(m, a, age > limit<<1)
			continue
		}
		for a.SlowCount < maxSlowCount && age > limit<<a.SlowCount {
			s.observe(now, m, detect.Observation{
				Class: detect.Slow, Doublings: a.SlowCount, Cold: now.Before(m.coldUntil),
			})
			a.SlowCount++
		}
	}
}

// releaseSuspectSlot frees the slot of an attempt on a reused connection if it is late. The
// connection may have failed rather than the server, so the attempt is not counted as evidence;
// further attempts use new connections.
func (s *Shard) releaseSuspectSlot(m *member, a *admit.Attempt, late bool) {
	if !late || a.Suspect {
		return
	}
	s.freeSlot(a)
	a.Suspect = true
	s.reportSilentConnections(m)
}

// reportSilentConnections makes further attempts to the server use new connections.
func (s *Shard) reportSilentConnections(m *member) {
	m.hedgeLosses = 0
	s.options.Count("evidence.silentConnection")
	if s.options.SuspectConnections != nil {
		s.options.SuspectConnections(m.Address)
	}
}

// reclaimSuspectSlots reverses releaseSuspectSlot for the attempts of a server that sheds. The
// server is full, so it must be running the late attempts: they hold their slots again, and from
// now on their lateness counts as evidence.
func (s *Shard) reclaimSuspectSlots(m *member) {
	for _, a := range m.attempts {
		if !a.Suspect {
			continue
		}
		a.Suspect = false
		a.Reused.Store(false)
		m.InFlight++
		if a.InLoad {
			s.load.Busy[a.Ticket.Rank.Index()]++
		}
	}
}

// hasSuspectAttempts reports whether the server may be running attempts whose slots were freed by
// releaseSuspectSlot.
func (m *member) hasSuspectAttempts() bool {
	return slices.ContainsFunc(m.attempts, func(a *admit.Attempt) bool { return a.Suspect })
}

// advanceState moves an ejected server to a trial once its ejection time is over and its last probe
// did not fail, restores a server whose trial got too little work, and resets the flaps of a server that
// has been stable.
func (s *Shard) advanceState(now time.Time, m *member) {
	switch m.State {
	case pool.Ejected:
		if !now.Before(m.trialAt) && !m.probeFailed {
			m.Weight = trialWeight
			s.setState(now, m, pool.Trial, "ejection over")
		}
	case pool.Trial:
		if now.Sub(m.Since) >= trialTimeout {
			s.restore(now, m, "trial without work")
		}
	case pool.Active:
		if m.flaps > 0 && now.Sub(m.Since) > flapResetTime {
			m.flaps = 0
		}
	default:
	}
}

func (m *member) failureRate() float64 { return m.failures.Value() }
func (m *member) slowRate() float64    { return m.slows.Value() }
func (m *member) shedRate() float64    { return m.sheds.Value() }

// medianOfPeers returns the median of a rate over the other active servers, or zero if there are
// none. In large shards, it is taken over a sample of at most maxPeerSample peers.
func (s *Shard) medianOfPeers(m *member, rate func(*member) float64) float64 {
	var buffer [maxPeerSample]float64
	rates := buffer[:0]
	stride := max(1, len(s.members)/maxPeerSample)
	for i := 0; i < len(s.members) && len(rates) < maxPeerSample; i += stride {
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

// maxPeerSample is the maximum number of peers in the sample of medianOfPeers.
const maxPeerSample = 32

// ProbeResult is the result of a health probe of a server. A failed probe or an announced drain counts
// against the server; a successful probe ends their effect but is no evidence of health.
type ProbeResult struct {
	Reached  bool
	Healthy  bool
	Draining bool
}

// RecordProbe records the result of a health probe.
func (s *Shard) RecordProbe(now time.Time, id ident.ServerID, r ProbeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.findMember(id)
	if m == nil {
		return
	}
	m.probeFailed = !r.Reached || !r.Healthy
	if r.Reached {
		s.setSelfDraining(now, m, r.Draining)
	} else if m.State == pool.Active {
		s.observe(now, m, detect.Observation{Class: detect.Unreachable})
		s.checkCrash(now, m)
	}
	s.handleAlarm(now, m)
	s.updateWeight(now, m)
	s.dispatchQueued(now)
}
