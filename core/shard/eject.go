package shard

import (
	"cmp"
	"slices"
	"time"

	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// Durations of ejection, recovery and reduced work.
const (
	// baseEjectionTime is the duration of a first ejection. It doubles with each flap, up to
	// maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// flapResetTime is how long a server must stay active for its flaps to be reset.
	flapResetTime = 10 * time.Minute
	// trialTimeout is how long a trial waits for requiredTrialSuccesses. After that, the server is
	// restored without them: it may have got too little work, and a health probe allowed the trial.
	trialTimeout = 30 * time.Second
	// requiredTrialSuccesses is the number of successful attempts that pass a trial.
	requiredTrialSuccesses = 5
	// rampTime is how long a restored or new server takes to reach its full weight.
	rampTime = 5 * time.Second
	// coldStartTime is how long slow answers are expected from a server that has just started.
	coldStartTime = 10 * time.Second
	// pathAvoidTime is how long a server is avoided that other daemons reach but this one does not.
	pathAvoidTime = 5 * time.Second
)

// Server weights, as fractions of pool.FullWeight.
const (
	// minWeight is the weight of a server whose alarm is raised or whose ramp-up begins. It is the
	// lowest weight of an active server that is not avoided.
	minWeight = 50
	// minSuspectWeight is the lowest weight due to suspicion while the alarm is not raised.
	minSuspectWeight = 500
	// trialWeight is the weight of a server on trial.
	trialWeight = 100
	// avoidedWeight is the weight of a server that only this daemon can't reach.
	avoidedWeight = 10
)

// Evidence, as a fraction of the alarm threshold, at which a peer counts as unhealthy in
// isSharedCause. For causes other than slowness, a single recent failure suffices: it only delays the
// alarm until the peers' next successful answers. The threshold for slowness is higher because
// healthy servers have slow answers as well.
const (
	sharedFailureEvidence = 0.15
	sharedSlowEvidence    = 0.5
)

// suspicionThreshold is the suspicion, as a fraction of the alarm threshold, above which a server gets
// less work.
const suspicionThreshold = 0.3

// sharedCauseWindow is how long an ejected server counts as unhealthy in isSharedCause.
const sharedCauseWindow = 10 * time.Second

// updateWeight sets the weight of an active server from its suspicion, its ramp-up, its last probe
// and the result of a path check.
func (s *Shard) updateWeight(now time.Time, m *member) {
	if m.State != pool.Active {
		return
	}
	weight := pool.FullWeight
	if suspicion := m.detector.Suspicion(); suspicion > suspicionThreshold {
		// Until the alarm is raised, the server must keep getting work, which is the only source of
		// further evidence.
		weight = max(minSuspectWeight, int(float64(pool.FullWeight)*(1-suspicion)))
		if suspicion >= 1 {
			weight = minWeight
		}
	}
	if !m.rampStart.IsZero() {
		progress := float64(now.Sub(m.rampStart)) / float64(rampTime)
		weight = min(weight, int(progress*pool.FullWeight))
		if progress >= 1 {
			m.rampStart = time.Time{}
		}
	}
	if m.probeFailed {
		weight /= 2
	}
	weight = max(weight, minWeight)
	if now.Before(m.avoidUntil) {
		weight = avoidedWeight
	}
	m.Weight = weight
}

// handleAlarm acts on the alarm of an active server. It ejects the server unless a shared cause is
// likely; an unreachable server is ejected only after other daemons have been asked by CheckPath.
func (s *Shard) handleAlarm(now time.Time, m *member) {
	cause := m.detector.Alarm()
	if m.State != pool.Active || cause == detect.NoCause || m.pathCheckPending || now.Before(m.avoidUntil) {
		return
	}
	if s.isSharedCause(now, m, cause) {
		s.options.Count("alarm.shared")
		return
	}
	if cause == detect.CauseUnreachable && s.options.CheckPath != nil {
		m.pathCheckPending = true
		s.options.CheckPath(m.ID, m.Address)
		return
	}
	s.eject(now, m, cause)
}

// isSharedCause reports whether at least half of the other servers, not counting draining ones, are
// unhealthy for the same cause.
// The likely reason is then a dependency that all servers share.
func (s *Shard) isSharedCause(now time.Time, m *member, cause detect.Cause) bool {
	threshold := sharedFailureEvidence
	if cause == detect.CauseSlow {
		threshold = sharedSlowEvidence
	}
	others, unhealthy := 0, 0
	for _, o := range s.members {
		if o == m || o.State == pool.Draining {
			continue
		}
		others++
		recent := o.State == pool.Ejected && o.cause == cause && now.Sub(o.Since) < sharedCauseWindow
		if recent || (o.State == pool.Active && o.detector.Evidence(cause) >= threshold) {
			unhealthy++
		}
	}
	return others > 0 && 2*unhealthy >= others && unhealthy > 0
}

// RecordPathCheck records the result of a CheckPath call. If other daemons reach the server, it is
// avoided for pathAvoidTime; otherwise it is ejected.
func (s *Shard) RecordPathCheck(now time.Time, id ident.ServerID, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.findMember(id)
	if m == nil || !m.pathCheckPending {
		return
	}
	m.pathCheckPending = false
	if m.State != pool.Active || m.detector.Alarm() == detect.NoCause {
		return
	}
	if reached {
		s.options.Count("alarm.path")
		m.detector.Reset()
		m.avoidUntil = now.Add(pathAvoidTime)
		s.updateWeight(now, m)
		return
	}
	s.eject(now, m, detect.CauseUnreachable)
	s.dispatchQueued(now)
}

// eject ejects a server if enough permits are available for its slots.
func (s *Shard) eject(now time.Time, m *member, cause detect.Cause) {
	if !s.options.Permits.TryAcquire(m.Slots) {
		s.options.Count("eject.denied")
		return
	}
	m.holdsEjectionPermits = true
	m.cause = cause
	s.options.Count("eject." + string(cause))
	s.startEjection(now, m, string(cause))
}

// startEjection moves a server to the ejected state. The server must already hold permits.
func (s *Shard) startEjection(now time.Time, m *member, reason string) {
	m.trialAt = now.Add(min(baseEjectionTime<<min(m.flaps, 10), maxEjectionTime))
	m.flaps++
	m.trialSuccesses = 0
	m.detector.Reset()
	s.setState(now, m, pool.Ejected, reason)
}

// setState changes the state of a server, recomputes the load and reports the change.
func (s *Shard) setState(now time.Time, m *member, to pool.State, reason string) {
	from := m.State
	m.State, m.Since = to, now
	s.recomputeLoad()
	s.options.StateChanged(Event{Time: now, Shard: s.options.ID, Server: m.ID, From: from, To: to, Reason: reason})
}

// recordTrialResult records the outcome of an attempt on a server on trial. The first bad outcome
// ejects the server again, for a longer time.
func (s *Shard) recordTrialResult(now time.Time, m *member, class detect.Class) {
	switch class {
	case detect.Success:
		m.trialSuccesses++
		if m.trialSuccesses >= requiredTrialSuccesses {
			s.restore(now, m, "trial passed")
		}
	case detect.Neutral:
	default:
		s.options.Count("eject.trial")
		s.startEjection(now, m, "trial failed: "+string(class))
	}
}

// restore returns an ejected server or a server on trial to the active state and ramps its weight
// up.
func (s *Shard) restore(now time.Time, m *member, reason string) {
	s.returnPermits(m)
	m.detector.Reset()
	m.cause = detect.NoCause
	m.rampStart = now
	s.options.Count("eject.restored")
	s.setState(now, m, pool.Active, reason)
	s.updateWeight(now, m)
}

// setSelfDraining records whether a server announces that it is draining.
func (s *Shard) setSelfDraining(now time.Time, m *member, draining bool) {
	if m.selfDraining == draining {
		return
	}
	m.selfDraining = draining
	s.reconcileDrain(now, m)
	s.enforceFloor(now)
}

// reconcileDrain updates the state and the permits of a server after a change of leaving or
// selfDraining.
func (s *Shard) reconcileDrain(now time.Time, m *member) {
	draining := m.leaving || m.selfDraining
	if draining && m.State != pool.Draining {
		s.returnPermits(m)
		s.options.Count("server.draining")
		s.setState(now, m, pool.Draining, "draining")
	}
	// The escrow computed from the configuration accounts for leaving servers, but not for servers
	// that drain on their own. The latter use permits as ejected servers do.
	needsPermits := m.selfDraining && !m.leaving
	if needsPermits && !m.holdsDrainPermits {
		s.options.Permits.ForceAcquire(m.Slots)
		m.holdsDrainPermits = true
	}
	if !needsPermits && m.holdsDrainPermits {
		s.options.Permits.Release(m.Slots)
		m.holdsDrainPermits = false
	}
	if !draining && m.State == pool.Draining {
		m.coldUntil = now.Add(coldStartTime)
		m.rampStart = now
		m.detector.Reset()
		s.setState(now, m, pool.Active, "drain ended")
		s.updateWeight(now, m)
	}
}

// enforceFloor restores servers that are ejected or on trial until the escrow covers the permits in
// use, beginning with the server that has been in its state for longest.
func (s *Shard) enforceFloor(now time.Time) {
	for s.options.Permits.Excess() > 0 {
		ejected := slices.DeleteFunc(slices.Clone(s.members), func(m *member) bool { return !m.holdsEjectionPermits })
		if len(ejected) == 0 {
			return
		}
		longest := slices.MinFunc(ejected, func(a, b *member) int {
			return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
		})
		s.options.Count("eject.floorRestored")
		s.restore(now, longest, "floor")
	}
}
