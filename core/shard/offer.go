package shard

import (
	"slices"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/core/refusal"
	"bilberrymux/core/retry"
)

// maxRotations bounds how many tickets one pump moves back because the free
// servers have all served them before.
const maxRotations = 4

// Offer asks for a slot. It returns an attempt, or a refusal, or neither where
// the ticket waits: a Reply on its channel ends the wait then.
func (s *Shard) Offer(now time.Time, t *admit.Ticket) (*admit.Attempt, refusal.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(t.Deadline) {
		return nil, refusal.DeadlineInQueue
	}
	if !s.usable(t) {
		return nil, refusal.NoServer
	}
	s.load.Waiting = s.queue.Waiting()
	if s.queue.MayEnter(&s.load, t.Rank) {
		if srv := s.pick(t); srv != nil {
			return s.start(now, t, srv), ""
		}
	}
	refused, evicted := s.queue.Door(now, t, &s.load)
	if evicted != nil {
		evicted.Ready <- admit.Reply{Refused: refusal.QueueFull}
	}
	return nil, refused
}

// OfferNow asks for a slot for a hedge: it never waits, and returns nil where
// none is free or anybody waits.
func (s *Shard) OfferNow(now time.Time, t *admit.Ticket) *admit.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overloaded() || !s.retry.Hedge(false) {
		return nil
	}
	s.load.Waiting = s.queue.Waiting()
	if !s.queue.MayEnter(&s.load, t.Rank) {
		return nil
	}
	srv := s.pick(t)
	if srv == nil {
		return nil
	}
	return s.start(now, t, srv)
}

// Withdraw takes a ticket out of the queue. It reports false where the ticket
// waits no longer, so that its Reply is on the way.
func (s *Shard) Withdraw(t *admit.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.Queued() {
		return false
	}
	s.queue.Remove(t)
	return true
}

// First records that a request of the service began.
func (s *Shard) First() {
	s.mu.Lock()
	policy := s.retry
	s.mu.Unlock()
	policy.RecordFirst()
}

// Retry reports whether the request may be attempted once more.
func (s *Shard) Retry(a retry.Attempt) bool {
	s.mu.Lock()
	a.Overloaded = s.overloaded()
	policy := s.retry
	s.mu.Unlock()
	return policy.Allow(a)
}

func (s *Shard) overloaded() bool {
	w := s.queue.Waiting()
	return w[0]+w[1]+w[2] > 0
}

// usable reports whether some server could ever serve the ticket.
func (s *Shard) usable(t *admit.Ticket) bool {
	for _, m := range s.members {
		if (m.State == pool.Active || m.State == pool.Trial) && !slices.Contains(t.Tried, m.ID) {
			return true
		}
	}
	return false
}

func (s *Shard) pick(t *admit.Ticket) *pool.Server {
	s.ask = pool.PickRequest{
		Rank: t.Rank, Idempotent: t.Idempotent, Tried: t.Tried,
		Zone: s.options.Zone, Random: s.random.Uint64(), Freed: s.freed,
	}
	return s.picker.Pick(s.pool, &s.ask)
}

// start gives the ticket a slot of the server.
func (s *Shard) start(now time.Time, t *admit.Ticket, srv *pool.Server) *admit.Attempt {
	a := t.NewAttempt(srv, now)
	m := s.byServer[srv]
	srv.InFlight++
	m.active = append(m.active, a)
	a.Counted = srv.State == pool.Active
	if a.Counted {
		s.load.Busy[t.Rank.Index()]++
	}
	t.Tried = append(t.Tried, srv.ID)
	return a
}

// release gives the slot of an attempt back. It returns nil where the server
// has left the configuration or the attempt ended before.
func (s *Shard) release(now time.Time, a *admit.Attempt) *member {
	if a.Ended {
		return nil
	}
	a.Ended = true
	rank := a.Ticket.Rank.Index()
	s.hold(rank, now.Sub(a.Started))
	s.freeSlot(a)
	m := s.byServer[a.Server]
	if m == nil {
		return nil
	}
	if i := slices.Index(m.active, a); i >= 0 {
		last := len(m.active) - 1
		m.active[i] = m.active[last]
		m.active[last] = nil
		m.active = m.active[:last]
	}
	return m
}

// freeSlot gives back the slot of an attempt, unless a suspicion already did.
func (s *Shard) freeSlot(a *admit.Attempt) {
	if a.Suspect {
		return
	}
	if a.Counted {
		s.load.Busy[a.Ticket.Rank.Index()]--
	}
	a.Server.InFlight--
}

// holdWeight is the weight of one sample in the mean hold time.
const holdWeight = 0.05

func (s *Shard) hold(rank int, d time.Duration) {
	h := &s.load.Hold[rank]
	if *h == 0 {
		*h = d
		return
	}
	*h += time.Duration(holdWeight * float64(d-*h))
}

// pump hands free slots to waiting tickets.
func (s *Shard) pump(now time.Time) {
	for t := s.queue.Expired(now); t != nil; t = s.queue.Expired(now) {
		s.queue.Remove(t)
		t.Ready <- admit.Reply{Refused: refusal.DeadlineInQueue}
	}
	for rotations := 0; rotations < maxRotations; {
		s.load.Waiting = s.queue.Waiting()
		t := s.queue.Peek(&s.load)
		if t == nil {
			return
		}
		srv := s.pick(t)
		if srv == nil {
			s.queue.Rotate(t)
			rotations++
			continue
		}
		s.queue.Remove(t)
		t.Ready <- admit.Reply{Attempt: s.start(now, t, srv)}
	}
}

// recount works out the load anew after servers changed their state.
func (s *Shard) recount() {
	s.load.Capacity = 0
	s.load.Busy = [ident.RankCount]int{}
	for _, m := range s.members {
		counts := m.State == pool.Active
		if counts {
			s.load.Capacity += m.Limit
		}
		for _, a := range m.active {
			a.Counted = counts
			if counts && !a.Suspect {
				s.load.Busy[a.Ticket.Rank.Index()]++
			}
		}
	}
}
