package shard

import (
	"cmp"
	"slices"
	"time"

	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// The times of ejection, return and steering.
const (
	// firstEjection is how long a first ejection lasts; each flap doubles it.
	firstEjection = 5 * time.Second
	maxEjection   = 5 * time.Minute
	// flapMemory is how long a server must be sound for its flaps to be
	// forgotten.
	flapMemory = 10 * time.Minute
	// trialTime is how long a trial waits for work before health reports
	// alone are taken.
	trialTime = 30 * time.Second
	// trialNeeds is the number of good attempts that end a trial.
	trialNeeds = 5
	// rampTime is how long a returned or new server takes to its full weight.
	rampTime = 5 * time.Second
	// coldTime is how long a started server may be slow.
	coldTime = 10 * time.Second
	// pathAvoid is how long a server is avoided that others reach.
	pathAvoid = 5 * time.Second
)

// Weights, in parts of pool.FullWeight.
const (
	leastWeight    = 50
	evidenceWeight = 500
	trialWeight    = 100
	pathWeight     = 10
)

// The evidence at which a peer counts as sick too when a shared cause is looked
// for. A single fresh failure is enough: the alarm is only put off by it, until
// the peers' next good answers. Slow answers happen at sound servers as well.
const (
	sharedFailing = 0.15
	sharedSlow    = 0.5
)

// steerFrom is the suspicion from which a server gets less work.
const steerFrom = 0.3

// sharedWindow is how long after an ejection a server counts as sick when a
// shared cause is looked for.
const sharedWindow = 10 * time.Second

// steer sets the weight of an active server from the evidence and its age.
func (s *Shard) steer(now time.Time, m *member) {
	if m.State != pool.Active {
		return
	}
	weight := pool.FullWeight
	if suspicion := m.detector.Suspicion(); suspicion > steerFrom {
		// Until the alarm, the server must go on getting work: evidence comes
		// from nothing else.
		weight = max(evidenceWeight, int(float64(pool.FullWeight)*(1-suspicion)))
		if suspicion >= 1 {
			weight = leastWeight
		}
	}
	if !m.rampFrom.IsZero() {
		part := float64(now.Sub(m.rampFrom)) / float64(rampTime)
		weight = min(weight, int(part*pool.FullWeight))
		if part >= 1 {
			m.rampFrom = time.Time{}
		}
	}
	if m.probeFailed {
		weight /= 2
	}
	weight = max(weight, leastWeight)
	if now.Before(m.avoidUntil) {
		weight = pathWeight
	}
	m.Weight = weight
}

// judge ejects a server whose evidence passed the threshold, if that is right.
func (s *Shard) judge(now time.Time, m *member) {
	cause := m.detector.Alarm()
	if m.State != pool.Active || cause == detect.NoCause || m.checking || now.Before(m.avoidUntil) {
		return
	}
	if s.shared(now, m, cause) {
		s.options.Count("alarm.shared")
		return
	}
	if cause == detect.CauseUnreachable && s.options.CheckPath != nil {
		m.checking = true
		s.options.CheckPath(m.ID, m.Address)
		return
	}
	s.eject(now, m, cause)
}

// shared reports whether at least half of the other servers are sick as well,
// so that the cause is likely something that all depend on.
func (s *Shard) shared(now time.Time, m *member, cause detect.Cause) bool {
	enough := sharedFailing
	if cause == detect.CauseSlow {
		enough = sharedSlow
	}
	others, sick := 0, 0
	for _, o := range s.members {
		if o == m || o.State == pool.Draining {
			continue
		}
		others++
		recent := o.State == pool.Ejected && o.cause == cause && now.Sub(o.Since) < sharedWindow
		if recent || (o.State == pool.Active && o.detector.Evidence(cause) >= enough) {
			sick++
		}
	}
	return others > 0 && 2*sick >= others && sick > 0
}

// PathChecked brings the answer to CheckPath: whether others reach the server.
func (s *Shard) PathChecked(now time.Time, id ident.ServerID, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if m == nil || !m.checking {
		return
	}
	m.checking = false
	if m.State != pool.Active || m.detector.Alarm() == detect.NoCause {
		return
	}
	if reached {
		s.options.Count("alarm.path")
		m.detector.Reset()
		m.avoidUntil = now.Add(pathAvoid)
		s.steer(now, m)
		return
	}
	s.eject(now, m, detect.CauseUnreachable)
	s.pump(now)
}

// eject takes a server out of work if a permit covers it.
func (s *Shard) eject(now time.Time, m *member, cause detect.Cause) {
	if !s.options.Permits.TryAcquire(m.Slots) {
		s.options.Count("eject.denied")
		return
	}
	m.held = true
	m.cause = cause
	s.options.Count("eject." + string(cause))
	s.banish(now, m, string(cause))
}

// banish moves a server whose permits are held to the ejected state.
func (s *Shard) banish(now time.Time, m *member, reason string) {
	m.retryAt = now.Add(min(firstEjection<<min(m.flaps, 10), maxEjection))
	m.flaps++
	m.trialGood = 0
	m.detector.Reset()
	s.move(now, m, pool.Ejected, reason)
}

// move changes the state of a server.
func (s *Shard) move(now time.Time, m *member, to pool.State, reason string) {
	from := m.State
	m.State, m.Since = to, now
	s.recount()
	s.options.Changed(Event{Time: now, Shard: s.options.ID, Server: m.ID, From: from, To: to, Reason: reason})
}

// trialResult counts the work of a server on trial. The first bad attempt
// ejects it again, for longer.
func (s *Shard) trialResult(now time.Time, m *member, class detect.Class) {
	switch class {
	case detect.Success:
		m.trialGood++
		if m.trialGood >= trialNeeds {
			s.restore(now, m, "trial passed")
		}
	case detect.Neutral:
	default:
		s.options.Count("eject.trial")
		s.banish(now, m, "trial failed: "+string(class))
	}
}

// restore brings an ejected or tried server back to work, slowly.
func (s *Shard) restore(now time.Time, m *member, reason string) {
	s.giveBack(m)
	m.detector.Reset()
	m.cause = detect.NoCause
	m.rampFrom = now
	s.options.Count("eject.restored")
	s.move(now, m, pool.Active, reason)
	s.steer(now, m)
}

// drain records whether a server says that it stops.
func (s *Shard) drain(now time.Time, m *member, draining bool) {
	if m.drains == draining {
		return
	}
	m.drains = draining
	s.settleDrain(now, m)
	s.settleFloor(now)
}

// settleDrain brings the state of a server in line with leaving and drains.
func (s *Shard) settleDrain(now time.Time, m *member) {
	stop := m.leaving || m.drains
	if stop && m.State != pool.Draining {
		s.giveBack(m)
		s.options.Count("server.draining")
		s.move(now, m, pool.Draining, "draining")
	}
	// The configuration's escrow knows of leaving servers, not of servers that
	// drain on their own: those use permits like ejected ones.
	wants := m.drains && !m.leaving
	if wants && !m.forced {
		s.options.Permits.ForceAcquire(m.Slots)
		m.forced = true
	}
	if !wants && m.forced {
		s.options.Permits.Release(m.Slots)
		m.forced = false
	}
	if !stop && m.State == pool.Draining {
		m.coldUntil = now.Add(coldTime)
		m.rampFrom = now
		m.detector.Reset()
		s.move(now, m, pool.Active, "drain ended")
		s.steer(now, m)
	}
}

// settleFloor restores ejected servers while the permits in use are more than
// the escrow covers, the longest ejected first.
func (s *Shard) settleFloor(now time.Time) {
	for s.options.Permits.Excess() > 0 {
		out := slices.DeleteFunc(slices.Clone(s.members), func(m *member) bool { return !m.held })
		if len(out) == 0 {
			return
		}
		longest := slices.MinFunc(out, func(a, b *member) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
		})
		s.options.Count("eject.floorRestored")
		s.restore(now, longest, "floor")
	}
}
