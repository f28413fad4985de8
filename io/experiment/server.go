package experiment

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/admit"
	"bilberrymux/core/ident"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
)

// simServer simulates a backend server without sockets.
type simServer struct {
	id    ident.ServerID
	zone  int
	slots int

	mu     sync.Mutex
	random *rand.Rand
	busy   int
	faults []Fault
	start  time.Time
	// idleConns is the number of idle connections, silentConns the number of those that lose all
	// data without being closed.
	idleConns, silentConns int
	// deadUntil is the end of the downtime after a crash.
	deadUntil time.Time
	// silenceApplied holds the indexes of the silent faults that have already taken effect.
	silenceApplied map[int]bool
}

// activeFault returns the fault that is active at time t, or no fault. The first call during a silent
// fault makes the connections that are idle at that time silent. The caller must hold s.mu.
func (s *simServer) activeFault(t time.Time) Fault {
	var active Fault
	for i, f := range s.faults {
		if t.Before(at(s.start, f.From)) || !t.Before(at(s.start, f.Until)) {
			continue
		}
		if f.FlapSeconds > 0 {
			phase := t.Sub(at(s.start, f.From)).Seconds() / f.FlapSeconds
			if int(phase)%2 == 1 {
				continue
			}
		}
		if f.Silent && !s.silenceApplied[i] {
			s.silenceApplied[i] = true
			s.silentConns = s.idleConns
		}
		active = f
	}
	return active
}

// faulty reports whether an ejection of the server at time t is correct: it has a fault that is not
// benign or silent, or has crashed, or recovered less than grace ago.
func (s *simServer) faulty(t time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Before(s.deadUntil.Add(grace)) {
		return true
	}
	for _, f := range s.faults {
		if !f.Benign && !f.Silent && !t.Before(at(s.start, f.From)) && t.Before(at(s.start, f.Until).Add(grace)) {
			return true
		}
	}
	return false
}

// crash makes the server dead for a time and closes its connections.
func (s *simServer) crash(t time.Time, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadUntil = t.Add(down)
	s.idleConns, s.silentConns = 0, 0
}

// simRequest holds the parameters by which a simulated server runs a request.
type simRequest struct {
	// median and spread are the parameters of the log-normal service time.
	median time.Duration
	spread float64
	// failFraction is the fraction of requests that fail at healthy servers.
	failFraction float64
	poison       bool
	// ran is set when the server starts to run the request.
	ran *bool
}

// maxIdleConns limits the idle connections to one server.
const maxIdleConns = 64

// crashDowntime is how long a server stays dead after a crash.
const crashDowntime = 3 * time.Second

// dialTimeout is the time after which dialling an unreachable server fails.
const dialTimeout = 500 * time.Millisecond

// takeConn takes an idle connection, or opens a new one if there is none or if requireNew is set. It
// returns whether the connection is reused, whether it is silent, and the time to open it. The
// caller must hold s.mu.
func (s *simServer) takeConn(d *Deployment, requireNew bool) (reused, silent bool, delay time.Duration) {
	if s.idleConns == 0 || requireNew {
		return false, false, d.ConnectTime
	}
	s.idleConns--
	if s.silentConns > 0 {
		s.silentConns--
		return true, true, 0
	}
	return true, false, 0
}

// serve simulates one attempt, from the connection to the answer, and returns how it ended.
func (s *simServer) serve(ctx context.Context, d *Deployment, a *admit.Attempt, req simRequest) (*backend.Answer, shard.Outcome) {
	s.mu.Lock()
	now := time.Now()
	f := s.activeFault(now)
	dead := f.Dead || now.Before(s.deadUntil)
	if dead {
		s.idleConns = 0
		s.mu.Unlock()
		return nil, shard.DialFailed
	}
	if f.Unreachable {
		s.mu.Unlock()
		return nil, wait(ctx, dialTimeout, shard.DialFailed)
	}
	reused, silent, delay := s.takeConn(d, !a.Ticket.Idempotent)
	s.mu.Unlock()
	if s.zone != 0 {
		delay += d.ZoneDelay
	}
	if outcome := wait(ctx, delay, shard.Good); outcome != shard.Good {
		return nil, outcome
	}
	a.Reused.Store(reused)
	a.Sent.Store(true)
	if silent {
		<-ctx.Done()
		return nil, contextOutcome(ctx, reused)
	}
	return s.run(ctx, req, f, reused)
}

// run runs a request that has reached the server.
func (s *simServer) run(ctx context.Context, req simRequest, f Fault, reused bool) (*backend.Answer, shard.Outcome) {
	s.mu.Lock()
	if f.Draining {
		s.idleConns++
		s.mu.Unlock()
		return nil, shard.Drain
	}
	if s.busy >= s.slots || f.Shed {
		s.idleConns++
		s.mu.Unlock()
		return nil, shard.Shed
	}
	s.busy++
	*req.ran = true
	took := time.Duration(float64(req.median) * math.Exp(req.spread*s.random.NormFloat64()))
	fails := s.random.Float64() < max(f.FailFraction, req.failFraction)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.busy--
		s.mu.Unlock()
	}()
	if req.poison {
		s.crash(time.Now(), crashDowntime)
		return nil, shard.Broken
	}
	if f.SlowFactor > 0 {
		took = time.Duration(float64(took) * f.SlowFactor)
	}
	if f.Hang {
		<-ctx.Done()
		return nil, contextOutcome(ctx, reused)
	}
	begun := time.Now()
	if outcome := wait(ctx, took, shard.Good); outcome != shard.Good {
		if outcome == shard.NoAnswer && reused {
			outcome = shard.SilentConnection
		}
		return nil, outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadUntil.After(begun) {
		return nil, shard.Broken
	}
	s.idleConns = min(s.idleConns+1, maxIdleConns)
	if fails {
		answer := &backend.Answer{Response: &fasthttp.Response{}}
		answer.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return answer, shard.ServerError
	}
	return &backend.Answer{Response: &fasthttp.Response{}}, shard.Good
}

// wait waits for d and returns the given outcome. If the context ends first, it returns
// contextOutcome instead.
func wait(ctx context.Context, d time.Duration, outcome shard.Outcome) shard.Outcome {
	if d <= 0 {
		// Waiting for a timer that has already expired crashes the race detector of Go 1.26 inside
		// a testing/synctest bubble.
		return outcome
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return outcome
	case <-ctx.Done():
		return contextOutcome(ctx, false)
	}
}

// contextOutcome returns the outcome of an attempt whose context is done: cancelled, or without an
// answer at the deadline. The missing answer is attributed to the connection if that was reused,
// otherwise to the server.
func contextOutcome(ctx context.Context, reused bool) shard.Outcome {
	switch {
	case ctx.Err() == context.Canceled:
		return shard.Cancelled
	case reused:
		return shard.SilentConnection
	}
	return shard.NoAnswer
}

// closeIdleConns closes all idle connections, which include the silent ones.
func (s *simServer) closeIdleConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleConns, s.silentConns = 0, 0
}

// reachable reports whether a new connection to the server succeeds. If fromOthers is set, it is
// opened by a daemon that an unreachable fault doesn't affect.
func (s *simServer) reachable(fromOthers bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f := s.activeFault(now)
	if f.Dead || now.Before(s.deadUntil) {
		return false
	}
	return fromOthers || !f.Unreachable
}

// probeResult returns the result of a health probe. The simulated health endpoint reports healthy
// whenever the server can be reached, whatever its fault.
func (s *simServer) probeResult() shard.ProbeResult {
	s.mu.Lock()
	f := s.activeFault(time.Now())
	s.mu.Unlock()
	reached := s.reachable(false)
	return shard.ProbeResult{Reached: reached, Healthy: reached, Draining: f.Draining}
}
