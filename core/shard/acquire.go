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

// maxRotations is the maximum number of tickets that one call of dispatchQueued moves back in the
// queue because no free server may take them, for instance since they have all been tried.
const maxRotations = 4

// Acquire requests a slot. It returns an attempt if the request is admitted at once, a refusal if it is
// refused, and neither if it is queued; a Reply is then sent on the ticket's Ready channel.
func (s *Shard) Acquire(now time.Time, t *admit.Ticket) (*admit.Attempt, refusal.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(t.Deadline) {
		return nil, refusal.DeadlineInQueue
	}
	if !s.hasUsableServer(t) {
		return nil, refusal.NoServer
	}
	s.load.Waiting = s.queue.Waiting()
	if s.queue.CanStartNow(&s.load, t.Rank) {
		if srv := s.pick(t); srv != nil {
			return s.startAttempt(now, t, srv), ""
		}
	}
	refused, evicted := s.queue.Enqueue(now, t, &s.load)
	if evicted != nil {
		evicted.Ready <- admit.Reply{Refused: refusal.QueueFull}
	}
	return nil, refused
}

// TryAcquireHedge requests a slot for a hedge without waiting. It returns nil if no slot is free, other
// requests are queued, or the retry policy does not allow a hedge.
func (s *Shard) TryAcquireHedge(now time.Time, t *admit.Ticket) *admit.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overloaded() || !s.retry.AllowHedge(false) {
		return nil
	}
	s.load.Waiting = s.queue.Waiting()
	if !s.queue.CanStartNow(&s.load, t.Rank) {
		return nil
	}
	srv := s.pick(t)
	if srv == nil {
		return nil
	}
	return s.startAttempt(now, t, srv)
}

// Withdraw removes a ticket from the queue. It returns false if the ticket is no longer queued; its
// Reply has then been sent.
func (s *Shard) Withdraw(t *admit.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.Queued() {
		return false
	}
	s.queue.Remove(t)
	return true
}

// RecordRequest reports the start of a new request to the retry policy.
func (s *Shard) RecordRequest() {
	s.mu.Lock()
	policy := s.retry
	s.mu.Unlock()
	policy.RecordFirst()
}

// AllowRetry reports whether the retry policy allows a further attempt.
func (s *Shard) AllowRetry(a retry.Attempt) bool {
	s.mu.Lock()
	a.Overloaded = s.overloaded()
	policy := s.retry
	s.mu.Unlock()
	return policy.AllowRetry(a)
}

// overloaded reports whether requests are queued.
func (s *Shard) overloaded() bool {
	w := s.queue.Waiting()
	return w[0]+w[1]+w[2] > 0
}

// hasUsableServer reports whether there is an active server, or one on trial, that the ticket has not
// tried yet.
func (s *Shard) hasUsableServer(t *admit.Ticket) bool {
	for _, m := range s.members {
		if (m.State == pool.Active || m.State == pool.Trial) && !slices.Contains(t.Tried, m.ID) {
			return true
		}
	}
	return false
}

// pick returns a server with a free slot for the ticket, or nil.
func (s *Shard) pick(t *admit.Ticket) *pool.Server {
	s.pickRequest = pool.PickRequest{
		Rank: t.Rank, Idempotent: t.Idempotent, Tried: t.Tried,
		Zone: s.options.Zone, Random: s.random.Uint64(), Freed: s.lastFreed,
	}
	return s.picker.Pick(s.pool, &s.pickRequest)
}

// startAttempt assigns a slot of the server to the ticket.
func (s *Shard) startAttempt(now time.Time, t *admit.Ticket, srv *pool.Server) *admit.Attempt {
	a := t.NewAttempt(srv, now)
	m := s.memberOf[srv]
	srv.InFlight++
	m.attempts = append(m.attempts, a)
	a.InLoad = srv.State == pool.Active
	if a.InLoad {
		s.load.Busy[t.Rank.Index()]++
	}
	t.Tried = append(t.Tried, srv.ID)
	return a
}

// release ends an attempt and frees its slot. It returns nil if the attempt had already ended or its
// server is no longer configured.
func (s *Shard) release(now time.Time, a *admit.Attempt) *member {
	if a.SlotReleased {
		return nil
	}
	a.SlotReleased = true
	rank := a.Ticket.Rank.Index()
	s.recordHoldTime(rank, now.Sub(a.Started))
	s.freeSlot(a)
	m := s.memberOf[a.Server]
	if m == nil {
		return nil
	}
	if i := slices.Index(m.attempts, a); i >= 0 {
		last := len(m.attempts) - 1
		m.attempts[i] = m.attempts[last]
		m.attempts[last] = nil
		m.attempts = m.attempts[:last]
	}
	return m
}

// freeSlot frees the slot of an attempt, unless releaseSuspectSlot has already freed it.
func (s *Shard) freeSlot(a *admit.Attempt) {
	if a.Suspect {
		return
	}
	if a.InLoad {
		s.load.Busy[a.Ticket.Rank.Index()]--
	}
	a.Server.InFlight--
}

// holdSmoothing is the weight of one sample in the exponential moving average of the hold time.
const holdSmoothing = 0.05

// recordHoldTime updates the moving average of the time that attempts of a rank hold their slot.
func (s *Shard) recordHoldTime(rank int, d time.Duration) {
	h := &s.load.MeanHoldTime[rank]
	if *h == 0 {
		*h = d
		return
	}
	*h += time.Duration(holdSmoothing * float64(d-*h))
}

// dispatchQueued refuses queued tickets whose deadline has passed and assigns free slots to the
// others.
func (s *Shard) dispatchQueued(now time.Time) {
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
			s.queue.MoveToBack(t)
			rotations++
			continue
		}
		s.queue.Remove(t)
		t.Ready <- admit.Reply{Attempt: s.startAttempt(now, t, srv)}
	}
}

// recomputeLoad recomputes the capacity and the slots in use after a change of servers or their
// states.
func (s *Shard) recomputeLoad() {
	s.load.Capacity = 0
	s.load.Busy = [ident.RankCount]int{}
	for _, m := range s.members {
		counted := m.State == pool.Active
		if counted {
			s.load.Capacity += m.Limit
		}
		for _, a := range m.attempts {
			a.InLoad = counted
			if counted && !a.Suspect {
				s.load.Busy[a.Ticket.Rank.Index()]++
			}
		}
	}
}
