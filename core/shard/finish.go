package shard

import (
	"slices"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/pool"
)

// Outcome is the outcome of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	// Good is a complete answer without a server error status.
	Good Outcome = "good"
	// ServerError is a complete answer with a server error status.
	ServerError Outcome = "serverError"
	// Broken is an exchange that failed before the answer was complete, usually because the server
	// aborted it.
	Broken Outcome = "broken"
	// NoAnswer is an exchange on a new connection that got no complete answer before the deadline.
	NoAnswer Outcome = "noAnswer"
	// SilentConnection is an exchange on a reused connection that got no complete answer before the
	// deadline. The connection may have failed, so it is no evidence against the server.
	SilentConnection Outcome = "silentConnection"
	// StaleConnection is an exchange on a reused connection that failed before the headers of the
	// answer were read. The server may just have closed the connection for being idle.
	StaleConnection Outcome = "staleConnection"
	// DialFailed is a failure to open a connection.
	DialFailed Outcome = "dialFailed"
	// Shed is an answer by which the server declines to run the request for lack of capacity.
	Shed Outcome = "shed"
	// Drain is an answer by which the server declines to run the request because it is draining.
	Drain Outcome = "drain"
	// LostToHedge is an attempt that was cancelled because its hedge answered first.
	LostToHedge Outcome = "outrun"
	// Cancelled is an attempt that was cancelled because its result was no longer needed.
	Cancelled Outcome = "cancelled"
)

// attemptCounters maps each outcome to its counter's name, so that counting does not allocate.
var attemptCounters = map[Outcome]string{
	Good: "attempt.good", ServerError: "attempt.serverError", Broken: "attempt.broken",
	NoAnswer: "attempt.noAnswer", SilentConnection: "attempt.silentConnection",
	StaleConnection: "attempt.staleConnection", DialFailed: "attempt.dialFailed", Shed: "attempt.shed",
	Drain: "attempt.drain", LostToHedge: "attempt.outrun", Cancelled: "attempt.cancelled",
}

// brokenExchange records a request that a server was running when the connection broke.
type brokenExchange struct {
	fingerprint ident.Fingerprint
	at          time.Time
}

// Parameters of the evaluation of attempts.
const (
	// brokenWindow is how long after its connection broke a request counts as in flight when its
	// server is found to have crashed.
	brokenWindow = 3 * time.Second
	// minSlowMargin is the minimum by which a latency must exceed the median to be slow.
	minSlowMargin = 5 * time.Millisecond
	// maxSlowCount is the maximum number of slow observations recorded for one attempt in flight.
	maxSlowCount = 6
	// hedgeLossLimit is the number of late attempts on reused connections lost to a hedge, without a
	// successful attempt in between, after which the connections are considered silent.
	hedgeLossLimit = 2
)

// Finish ends an attempt, records its outcome as evidence, and assigns the freed slot to a queued
// request. It has no effect on the evidence if the attempt ended before or its server is no longer
// configured.
func (s *Shard) Finish(now time.Time, a *admit.Attempt, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := a.Server.InFlight
	m := s.release(now, a)
	if m == nil {
		s.dispatchQueued(now)
		return
	}
	s.options.Count(attemptCounters[outcome])
	// The picker prefers lastFreed, which is not justified for a server that has just failed.
	s.lastFreed = nil
	if outcome == Good {
		s.lastFreed = a.Server
	}
	s.recordEvidence(now, m, a, outcome)
	s.adaptLimit(now, m, a, outcome, inFlight)
	s.handleAlarm(now, m)
	s.dispatchQueued(now)
}

// recordEvidence updates the evidence against a server from the outcome of an attempt.
func (s *Shard) recordEvidence(now time.Time, m *member, a *admit.Attempt, outcome Outcome) {
	switch outcome {
	case Good:
		s.recordSuccess(now, m, a)
	case ServerError:
		s.observe(now, m, detect.Observation{Class: detect.Failed})
	case Broken:
		m.brokenExchanges = append(m.brokenExchanges, brokenExchange{a.Ticket.Fingerprint, now})
		s.observe(now, m, detect.Observation{Class: detect.Failed})
	case DialFailed:
		s.observe(now, m, detect.Observation{Class: detect.Unreachable})
		s.checkCrash(now, m)
	case NoAnswer:
		s.recordTimeout(now, m, a)
	case Shed:
		s.recordShed(now, m)
	case Drain:
		s.setSelfDraining(now, m, true)
	case StaleConnection:
		m.brokenExchanges = append(m.brokenExchanges, brokenExchange{a.Ticket.Fingerprint, now})
	case LostToHedge:
		s.recordHedgeLoss(now, m, a)
	case SilentConnection, Cancelled:
	}
	if outcome != Shed {
		m.sheds.Add(false)
		m.consecutiveSheds = 0
	}
}

// recordSuccess records the latency of a successful attempt, and evidence of success or slowness.
func (s *Shard) recordSuccess(now time.Time, m *member, a *admit.Attempt) {
	m.hedgeLosses = 0
	latency := now.Sub(a.Started)
	limit := s.slowLimit(a.Ticket.LatencyClass)
	s.latencies[a.Ticket.LatencyClass%latencyClasses].Add(latency)
	if e, lifted := s.options.Poison.RecordCompletion(now, s.options.ID.Service, a.Ticket.Fingerprint); lifted {
		s.options.Count("poison.lifted")
		s.options.Quarantined(e)
	}
	slow := limit > 0 && latency > limit
	m.slows.Add(slow || a.SlowCount > 0)
	if !slow {
		s.observe(now, m, detect.Observation{Class: detect.Success, Cold: now.Before(m.coldUntil)})
		return
	}
	// If SlowCount is positive, Tick has already recorded the attempt as slow.
	if a.SlowCount == 0 {
		s.observe(now, m, detect.Observation{Class: detect.Slow, Answered: true, Cold: now.Before(m.coldUntil)})
	}
}

// recordHedgeLoss records slow evidence for an attempt that lost to its hedge if it had exceeded the
// upper latency quantile, which attempts on a healthy server rarely do. On a reused connection, the
// connection may be at fault instead: the loss is only counted, and hedgeLossLimit losses make
// further attempts use new connections.
func (s *Shard) recordHedgeLoss(now time.Time, m *member, a *admit.Attempt) {
	q := s.latencies[a.Ticket.LatencyClass%latencyClasses]
	if a.SlowCount > 0 || !a.Sent.Load() || now.Sub(a.Started) < q.High() {
		return
	}
	if a.Reused.Load() {
		m.hedgeLosses++
		if m.hedgeLosses >= hedgeLossLimit {
			s.reportSilentConnections(m)
		}
		return
	}
	m.slows.Add(true)
	s.observe(now, m, detect.Observation{Class: detect.Slow, AboveHighQuantile: true, Cold: now.Before(m.coldUntil)})
}

// recordTimeout records slow evidence for an attempt without an answer, unless its deadline was so
// short that a healthy server could have missed it, or Tick has already recorded it.
func (s *Shard) recordTimeout(now time.Time, m *member, a *admit.Attempt) {
	limit := s.slowLimit(a.Ticket.LatencyClass)
	if limit > 0 && now.Sub(a.Started) > limit && a.SlowCount == 0 {
		m.slows.Add(true)
		s.observe(now, m, detect.Observation{Class: detect.Slow, Cold: now.Before(m.coldUntil)})
	}
}

// maxPeerShedRate is the maximum median shed rate of the peers at which sheds by a server with spare
// capacity count as evidence against it.
const maxPeerShedRate = 0.05

// minConsecutiveSheds is the number of consecutive sheds from which they count as evidence. Shorter
// runs occur if another daemon sends work to the server as well.
const minConsecutiveSheds = 3

// recordShed records a shed. It counts as evidence against the server if this daemon uses at most half
// of the server's slots, including that of the shed attempt, the server has shed
// minConsecutiveSheds times in a row, and its peers shed little.
func (s *Shard) recordShed(now time.Time, m *member) {
	m.sheds.Add(true)
	if m.hasSuspectAttempts() {
		// By this daemon's count the server has free slots. That it sheds means that it is still running
		// the late attempts whose slots were freed.
		if m.InFlight < m.Slots {
			s.reclaimSuspectSlots(m)
		}
		return
	}
	m.consecutiveSheds++
	if m.consecutiveSheds < minConsecutiveSheds || 2*(m.InFlight+1) > max(m.Slots, 2) || s.medianOfPeers(m, (*member).shedRate) > maxPeerShedRate {
		return
	}
	s.options.Count("evidence.misled")
	s.observe(now, m, detect.Observation{Class: detect.SpuriousShed})
}

// slowLimit returns the latency above which an attempt of the latency class is slow compared with the
// median of all servers, or zero while there are too few samples.
func (s *Shard) slowLimit(latencyClass uint8) time.Duration {
	q := s.latencies[latencyClass%latencyClasses]
	if !q.Warm() {
		return 0
	}
	median := q.Median()
	return max(time.Duration(s.service.Detector.SlowFactor*float64(median)), median+minSlowMargin)
}

// HedgeDelay returns the time after which the request is late enough to be hedged. It returns zero if
// the request must not be hedged, or while there are too few latency samples.
func (s *Shard) HedgeDelay(t *admit.Ticket) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service.Retry.HedgeQuantile == 0 || !t.Idempotent {
		return 0
	}
	limit := s.slowLimit(t.LatencyClass)
	if t.Rank != ident.Urgent {
		// Less urgent requests are hedged only if the server is likely to be at fault. This also moves
		// them off a hanging server, whose freed slots then get new attempts that test it.
		return limit
	}
	return min(s.latencies[t.LatencyClass%latencyClasses].High(), limit)
}

// observe records one observation and updates the weight of the server, or its trial.
func (s *Shard) observe(now time.Time, m *member, o detect.Observation) {
	switch o.Class {
	case detect.Success:
		m.failures.Add(false)
	case detect.Failed, detect.Unreachable, detect.SpuriousShed:
		m.failures.Add(true)
	default:
	}
	if o.Class != detect.Success {
		s.options.Count("evidence." + string(o.Class))
	}
	if m.State == pool.Trial {
		s.recordTrialResult(now, m, o.Class)
		return
	}
	m.detector.Observe(o, m.baseline)
	s.updateWeight(now, m)
}

// checkCrash reports the requests that were in flight on a crashed server to the poison quarantine,
// which adds those that have crashed several servers.
func (s *Shard) checkCrash(now time.Time, m *member) {
	var running []ident.Fingerprint
	for _, b := range m.brokenExchanges {
		if now.Sub(b.at) <= brokenWindow && !slices.Contains(running, b.fingerprint) {
			running = append(running, b.fingerprint)
		}
	}
	m.brokenExchanges = nil
	if len(running) == 0 {
		return
	}
	s.options.Count("evidence.crash")
	for _, e := range s.options.Poison.RecordCrash(now, poison.Run{Service: s.options.ID.Service, Server: m.ID}, running) {
		s.options.Count("poison.quarantined")
		s.options.Quarantined(e)
		s.clearEvidence(now, e.Servers)
	}
}

// clearEvidence resets the evidence against servers that were crashed by a quarantined request.
// Ejected ones may enter a trial as soon as their probes succeed.
func (s *Shard) clearEvidence(now time.Time, ids []ident.ServerID) {
	for _, m := range s.members {
		if !slices.Contains(ids, m.ID) {
			continue
		}
		m.detector.Reset()
		m.flaps = 0
		if m.State == pool.Ejected {
			m.trialAt = now
		}
	}
}

// RecordUnreachable records that a server no longer accepts connections after it broke an exchange.
func (s *Shard) RecordUnreachable(now time.Time, id ident.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.findMember(id)
	if m == nil {
		return
	}
	s.observe(now, m, detect.Observation{Class: detect.Unreachable})
	s.checkCrash(now, m)
	s.handleAlarm(now, m)
	s.dispatchQueued(now)
}

// findMember returns the server with the given ID, or nil.
func (s *Shard) findMember(id ident.ServerID) *member {
	for _, m := range s.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}
