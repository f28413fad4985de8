package shard

import (
	"slices"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	// Good is a whole answer that is no server error.
	Good End = "good"
	// ServerError is a whole answer with a server error status.
	ServerError End = "serverError"
	// Broken is an exchange that the server cut off.
	Broken End = "broken"
	// NoAnswer is an exchange on a fresh connection that the deadline ended.
	NoAnswer End = "noAnswer"
	// SilentConnection is the same on a connection that was used before, which
	// says nothing about the server as yet.
	SilentConnection End = "silentConnection"
	// StaleConnection is an exchange on a reused connection that the server cut
	// off before any answer; the server may just have closed it for being idle.
	StaleConnection End = "staleConnection"
	// DialFailed is a connection that could not be opened.
	DialFailed End = "dialFailed"
	// Shed is the server's word that it did not run the request for lack of
	// room.
	Shed End = "shed"
	// Drain is the server's word that it did not run the request because it
	// stops.
	Drain End = "drain"
	// Outrun is an attempt that was cancelled because a hedge beside it answered
	// first.
	Outrun End = "outrun"
	// Cancelled is an attempt that the caller or a faster hedge made useless.
	Cancelled End = "cancelled"
)

// attemptCounters names the counter of each end, so that counting allocates
// nothing.
var attemptCounters = map[End]string{
	Good: "attempt.good", ServerError: "attempt.serverError", Broken: "attempt.broken",
	NoAnswer: "attempt.noAnswer", SilentConnection: "attempt.silentConnection",
	StaleConnection: "attempt.staleConnection", DialFailed: "attempt.dialFailed", Shed: "attempt.shed",
	Drain: "attempt.drain", Outrun: "attempt.outrun", Cancelled: "attempt.cancelled",
}

// brokenExchange is a request that was running when a server cut it off.
type brokenExchange struct {
	fingerprint ident.Fingerprint
	at          time.Time
}

// How long a broken exchange counts as running when its server is found dead,
// and the time that an answer must lie above the median to be slow.
const (
	brokenWindow = 3 * time.Second
	slowGap      = 5 * time.Millisecond
	maxDepth     = 6
	// outrunsSuspect is how many attempts on reused connections in a row must
	// be outrun for the connections to be taken for silent.
	outrunsSuspect = 2
)

// Finish ends an attempt and hands its slot on.
func (s *Shard) Finish(now time.Time, a *admit.Attempt, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := a.Server.InFlight
	m := s.release(now, a)
	if m == nil {
		s.pump(now)
		return
	}
	s.options.Count(attemptCounters[end])
	// A server that has just failed is no better than the others.
	s.freed = nil
	if end == Good {
		s.freed = a.Server
	}
	s.learn(now, m, a, end)
	s.adapt(now, m, a, end, busy)
	s.judge(now, m)
	s.pump(now)
}

// learn turns the end of an attempt into evidence.
func (s *Shard) learn(now time.Time, m *member, a *admit.Attempt, end End) {
	switch end {
	case Good:
		s.learnGood(now, m, a)
	case ServerError:
		s.observe(now, m, detect.Observation{Class: detect.Failed})
	case Broken:
		m.broken = append(m.broken, brokenExchange{a.Ticket.Fingerprint, now})
		s.observe(now, m, detect.Observation{Class: detect.Failed})
	case DialFailed:
		s.observe(now, m, detect.Observation{Class: detect.Unreachable})
		s.checkCrash(now, m)
	case NoAnswer:
		s.learnLate(now, m, a)
	case Shed:
		s.learnShed(now, m)
	case Drain:
		s.drain(now, m, true)
	case StaleConnection:
		m.broken = append(m.broken, brokenExchange{a.Ticket.Fingerprint, now})
	case Outrun:
		s.learnOutrun(now, m, a)
	case SilentConnection, Cancelled:
	}
	if end != Shed {
		m.sheds.Add(false)
		m.shedRun = 0
	}
}

func (s *Shard) learnGood(now time.Time, m *member, a *admit.Attempt) {
	m.outruns = 0
	latency := now.Sub(a.Started)
	limit := s.slowLimit(a.Ticket.Kind)
	s.kinds[a.Ticket.Kind%kindCount].Add(latency)
	s.options.Poison.RecordCompletion(s.options.ID.Service, a.Ticket.Fingerprint)
	slow := limit > 0 && latency > limit
	m.slows.Add(slow || a.Depth > 0)
	if !slow {
		s.observe(now, m, detect.Observation{Class: detect.Success, Cold: now.Before(m.coldUntil)})
		return
	}
	// Depth counts what Tick has already seen of this attempt.
	if a.Depth == 0 {
		s.observe(now, m, detect.Observation{Class: detect.Slow, Answered: true, Cold: now.Before(m.coldUntil)})
	}
}

// learnOutrun counts an attempt whose hedge won. It had already taken longer
// than the high quantile, which a sound server's attempts rarely do.
func (s *Shard) learnOutrun(now time.Time, m *member, a *admit.Attempt) {
	q := s.kinds[a.Ticket.Kind%kindCount]
	if a.Depth > 0 || !a.Sent.Load() || now.Sub(a.Started) < q.High() {
		return
	}
	if a.Reused.Load() {
		m.outruns++
		if m.outruns >= outrunsSuspect {
			s.suspectConnections(m)
		}
		return
	}
	m.slows.Add(true)
	s.observe(now, m, detect.Observation{Class: detect.Slow, AboveHighQuantile: true, Cold: now.Before(m.coldUntil)})
}

// learnLate counts an attempt that never answered, unless its deadline was so
// short that a sound server could have missed it.
func (s *Shard) learnLate(now time.Time, m *member, a *admit.Attempt) {
	limit := s.slowLimit(a.Ticket.Kind)
	if limit > 0 && now.Sub(a.Started) > limit && a.Depth == 0 {
		m.slows.Add(true)
		s.observe(now, m, detect.Observation{Class: detect.Slow, Cold: now.Before(m.coldUntil)})
	}
}

// peersShed is the part of sheds at the peers below which a server that sheds
// with room left misleads.
const peersShed = 0.05

// misledRun is the number of sheds in a row from which they are evidence. Fewer
// happen where another daemon dispatches to the server as well.
const misledRun = 3

func (s *Shard) learnShed(now time.Time, m *member) {
	m.sheds.Add(true)
	if m.suspects() {
		// By the count of this daemon the server has room, unless it runs the
		// attempts that are late.
		if m.InFlight < m.Slots {
			s.clearConnections(m)
		}
		return
	}
	m.shedRun++
	if m.shedRun < misledRun || 2*(m.InFlight+1) > max(m.Slots, 2) || s.medianOfPeers(m, (*member).shedRate) > peersShed {
		return
	}
	s.options.Count("evidence.misled")
	s.observe(now, m, detect.Observation{Class: detect.SpuriousShed})
}

// slowLimit returns the latency above which an attempt of a kind is slow against
// its peers, or zero while that is not known.
func (s *Shard) slowLimit(kind uint8) time.Duration {
	q := s.kinds[kind%kindCount]
	if !q.Warm() {
		return 0
	}
	median := q.Median()
	return max(time.Duration(s.service.Detector.SlowFactor*float64(median)), median+slowGap)
}

// HedgeDelay returns after how long an attempt of the kind is late enough to
// be sent a second time, or zero for never.
func (s *Shard) HedgeDelay(t *admit.Ticket) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service.Retry.HedgeQuantile == 0 || !t.Idempotent {
		return 0
	}
	limit := s.slowLimit(t.Kind)
	if t.Rank != ident.Urgent {
		// Less urgent work is hedged where something is wrong only. That also
		// takes it off a server that hangs, whose slots new work then tests.
		return limit
	}
	return min(s.kinds[t.Kind%kindCount].High(), limit)
}

// observe adds evidence and steers by it.
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
		s.trialResult(now, m, o.Class)
		return
	}
	m.detector.Observe(o, m.base)
	s.steer(now, m)
}

// checkCrash finds out which requests a server that died was running.
func (s *Shard) checkCrash(now time.Time, m *member) {
	var running []ident.Fingerprint
	for _, b := range m.broken {
		if now.Sub(b.at) <= brokenWindow && !slices.Contains(running, b.fingerprint) {
			running = append(running, b.fingerprint)
		}
	}
	m.broken = nil
	if len(running) == 0 {
		return
	}
	s.options.Count("evidence.crash")
	for _, e := range s.options.Poison.RecordCrash(now, s.options.ID.Service, m.ID, running) {
		s.options.Count("poison.quarantined")
		s.options.Quarantined(e)
		s.clear(now, e.Servers)
	}
}

// clear takes the evidence off servers that a poison request killed. They come
// back as soon as they are reached.
func (s *Shard) clear(now time.Time, ids []ident.ServerID) {
	for _, m := range s.members {
		if !slices.Contains(ids, m.ID) {
			continue
		}
		m.detector.Reset()
		m.flaps = 0
		if m.State == pool.Ejected {
			m.retryAt = now
		}
	}
}

// ServerDied reports that a server which cut off an exchange accepts no
// connection any more.
func (s *Shard) ServerDied(now time.Time, id ident.ServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	if m == nil {
		return
	}
	s.observe(now, m, detect.Observation{Class: detect.Unreachable})
	s.checkCrash(now, m)
	s.judge(now, m)
	s.pump(now)
}

func (s *Shard) member(id ident.ServerID) *member {
	for _, m := range s.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}
