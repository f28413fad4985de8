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

// simServer is a backend server without sockets.
type simServer struct {
	id    ident.ServerID
	zone  int
	slots int

	mu     sync.Mutex
	random *rand.Rand
	busy   int
	faults []Fault
	start  time.Time
	// conns counts idle connections, silent those among them that swallow
	// everything.
	conns, silent int
	deadUntil     time.Time
	silenced      map[int]bool
}

// now returns the fault in force.
func (s *simServer) now(t time.Time) Fault {
	var out Fault
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
		if f.Silent && !s.silenced[i] {
			s.silenced[i] = true
			s.silent = s.conns
		}
		out = f
	}
	return out
}

// sick reports whether the server is to be ejected now, or was a moment ago.
func (s *simServer) sick(t time.Time, grace time.Duration) bool {
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

// crash kills the server for a while.
func (s *simServer) crash(t time.Time, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadUntil = t.Add(down)
	s.conns, s.silent = 0, 0
}

// work is one request as the simulated server sees it.
type work struct {
	median time.Duration
	spread float64
	// failPart is the part of work that fails anywhere.
	failPart float64
	poison   bool
	ran      *bool
}

// maxIdle bounds the idle connections to one server.
const maxIdle = 64

// crashTime is how long a crashed server stays dead.
const crashTime = 3 * time.Second

// dialTimeout is how long a connection into nothing is waited for.
const dialTimeout = 500 * time.Millisecond

// connect opens or reuses a connection. Swallow says that it is silent.
func (s *simServer) connect(d *Deployment, careful bool) (reused, swallow bool, delay time.Duration) {
	if s.conns == 0 || careful {
		return false, false, d.ConnectTime
	}
	s.conns--
	if s.silent > 0 {
		s.silent--
		return true, true, 0
	}
	return true, false, 0
}

// serve runs one attempt.
func (s *simServer) serve(ctx context.Context, d *Deployment, a *admit.Attempt, w work) (*backend.Answer, shard.End) {
	s.mu.Lock()
	now := time.Now()
	f := s.now(now)
	dead := f.Dead || now.Before(s.deadUntil)
	if dead {
		s.conns = 0
		s.mu.Unlock()
		return nil, shard.DialFailed
	}
	if f.Unreachable {
		s.mu.Unlock()
		return nil, pause(ctx, dialTimeout, shard.DialFailed)
	}
	reused, swallow, delay := s.connect(d, !a.Ticket.Idempotent)
	s.mu.Unlock()
	if s.zone != 0 {
		delay += d.ZoneDelay
	}
	if end := pause(ctx, delay, shard.Good); end != shard.Good {
		return nil, end
	}
	a.Reused.Store(reused)
	a.Sent.Store(true)
	if swallow {
		<-ctx.Done()
		return nil, ended(ctx, reused)
	}
	return s.run(ctx, w, f, reused)
}

func (s *simServer) run(ctx context.Context, w work, f Fault, reused bool) (*backend.Answer, shard.End) {
	s.mu.Lock()
	if f.Draining {
		s.conns++
		s.mu.Unlock()
		return nil, shard.Drain
	}
	if s.busy >= s.slots || f.Shed {
		s.conns++
		s.mu.Unlock()
		return nil, shard.Shed
	}
	s.busy++
	*w.ran = true
	took := time.Duration(float64(w.median) * math.Exp(w.spread*s.random.NormFloat64()))
	fails := s.random.Float64() < max(f.FailFraction, w.failPart)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.busy--
		s.mu.Unlock()
	}()
	if w.poison {
		s.crash(time.Now(), crashTime)
		return nil, shard.Broken
	}
	if f.SlowFactor > 0 {
		took = time.Duration(float64(took) * f.SlowFactor)
	}
	if f.Hang {
		<-ctx.Done()
		return nil, ended(ctx, reused)
	}
	begun := time.Now()
	if end := pause(ctx, took, shard.Good); end != shard.Good {
		if end == shard.NoAnswer && reused {
			end = shard.SilentConnection
		}
		return nil, end
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadUntil.After(begun) {
		return nil, shard.Broken
	}
	s.conns = min(s.conns+1, maxIdle)
	if fails {
		answer := &backend.Answer{Response: &fasthttp.Response{}}
		answer.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return answer, shard.ServerError
	}
	return &backend.Answer{Response: &fasthttp.Response{}}, shard.Good
}

// pause waits and returns the end, or how the context cut the wait short.
func pause(ctx context.Context, d time.Duration, end shard.End) shard.End {
	if d <= 0 {
		// A timer that has expired before it is waited for crashes the race
		// detector of Go 1.26 inside a bubble of testing/synctest.
		return end
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return end
	case <-ctx.Done():
		return ended(ctx, false)
	}
}

func ended(ctx context.Context, reused bool) shard.End {
	switch {
	case ctx.Err() == context.Canceled:
		return shard.Cancelled
	case reused:
		return shard.SilentConnection
	}
	return shard.NoAnswer
}

// giveUp closes the idle connections, and with them the silent ones.
func (s *simServer) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns, s.silent = 0, 0
}

// reachable reports whether a new connection works, for this daemon or for
// others.
func (s *simServer) reachable(others bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f := s.now(now)
	if f.Dead || now.Before(s.deadUntil) {
		return false
	}
	return others || !f.Unreachable
}

// report is the server's health report: green unless it can't be reached.
func (s *simServer) report() shard.ProbeResult {
	s.mu.Lock()
	f := s.now(time.Now())
	s.mu.Unlock()
	reached := s.reachable(false)
	return shard.ProbeResult{Reached: reached, Healthy: reached, Draining: f.Draining}
}
