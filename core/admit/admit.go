// Package admit holds the queue of one shard: who waits, who is next, and who
// is refused at once. It decides by rank, by organisation inside a rank, and by
// deadline. A Queue is not safe for concurrent use; its shard serialises access.
package admit

import (
	"sync/atomic"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
	"bilberrymux/core/pool"
	"bilberrymux/core/refusal"
)

// Ticket is one request that waits for a slot.
type Ticket struct {
	Rank         ident.Rank
	Organisation ident.OrganisationID
	// Weight is the organisation's weight, 1 or more.
	Weight   int
	Deadline time.Time
	// Idempotent says that the request may run more than once.
	Idempotent  bool
	Fingerprint ident.Fingerprint
	// Kind groups requests whose latencies compare, such as those of a route.
	Kind uint8
	// Tried lists the servers that earlier attempts used.
	Tried []ident.ServerID

	// Ready receives one Reply for each time that the ticket had to wait. It
	// must have room for one.
	Ready chan Reply

	first      Attempt
	firstUsed  bool
	entered    time.Time
	queued     bool
	prev, next *Ticket
	line       *line
}

// Reply ends the wait of a ticket: with an attempt, or refused.
type Reply struct {
	Attempt *Attempt
	Refused refusal.Kind
}

// Attempt is a ticket that has a slot of a server.
type Attempt struct {
	Ticket  *Ticket
	Server  *pool.Server
	Started time.Time
	// Depth is how often the attempt has counted as slow so far.
	Depth int
	// Counted says that the slot is part of the load of the shard.
	Counted bool
	// Ended says that the slot was given back.
	Ended bool
	// Suspect says that the attempt is late on a connection that may have gone
	// silent, and no longer keeps a slot.
	Suspect bool
	// Sent is set by the sender once the attempt has a connection. Until then
	// nothing is known of the server's speed.
	Sent atomic.Bool
	// Reused is set by the sender once the attempt runs on a connection that
	// served an exchange before.
	Reused atomic.Bool
}

// NewAttempt returns the attempt in which the ticket uses a slot of the server.
// The first attempt of a ticket needs no allocation.
func (t *Ticket) NewAttempt(s *pool.Server, now time.Time) *Attempt {
	a := &t.first
	if t.firstUsed {
		a = &Attempt{}
	}
	t.firstUsed = true
	a.Ticket, a.Server, a.Started = t, s, now
	return a
}

// Queued reports whether the ticket waits in a queue.
func (t *Ticket) Queued() bool {
	return t.queued
}

// Load is the state of the slots that a policy decides on.
type Load struct {
	// Capacity is the number of slots of all usable servers.
	Capacity int
	// Busy counts the slots in use, by rank.
	Busy [ident.RankCount]int
	// Hold is the mean time that an attempt of a rank keeps its slot.
	Hold [ident.RankCount]time.Duration
	// Waiting counts the tickets in the queue, by rank.
	Waiting [ident.RankCount]int
	// Demand is the mean number of slots that a rank uses or waits for.
	Demand [ident.RankCount]float64
	// Oldest is when the ticket at the head of each rank arrived.
	Oldest [ident.RankCount]time.Time
}

func (l *Load) busy() int {
	return l.Busy[0] + l.Busy[1] + l.Busy[2]
}

// Policy decides between the ranks.
type Policy struct {
	// Next returns the index of the rank that gets the next slot among those
	// for which ready is true, or -1 for none now.
	Next func(l *Load, ready [ident.RankCount]bool) int
	// Estimate returns how long a new ticket of the rank would wait.
	Estimate func(l *Load, rank int) time.Duration
	// Bounded says that Estimate and the queue limit refuse at the door.
	Bounded bool
}

// Options tune a policy.
type Options struct {
	// Shares are the guaranteed parts of the slots, by rank index.
	Shares [ident.RankCount]float64
}

// Policies is the registry of admission policies.
var Policies kernel.Registry[func(Options) *Policy]

func init() {
	Policies.Register(kernel.AdmissionKind, "rankShares", newRankShares)
	Policies.Register(kernel.AdmissionKind, "fifo", newFIFO)
}

// Queue is the waiting room of one shard.
type Queue struct {
	policy *Policy
	limit  int
	ranks  [ident.RankCount]rankQueue
}

// New returns an empty queue that holds up to limit tickets a rank.
func New(policy *Policy, limit int) *Queue {
	return &Queue{policy: policy, limit: limit}
}

// SetPolicy replaces the policy and limit; waiting tickets stay.
func (q *Queue) SetPolicy(policy *Policy, limit int) {
	q.policy, q.limit = policy, limit
}

// Waiting returns the number of tickets that wait, by rank.
func (q *Queue) Waiting() [ident.RankCount]int {
	var n [ident.RankCount]int
	for i := range q.ranks {
		n[i] = q.ranks[i].size
	}
	return n
}

// Door decides whether a ticket may wait. It returns the empty kind for yes.
// Evicted is a ticket of another organisation that had to leave in exchange.
func (q *Queue) Door(now time.Time, t *Ticket, l *Load) (refused refusal.Kind, evicted *Ticket) {
	i := t.Rank.Index()
	if !q.policy.Bounded {
		q.push(now, t)
		return "", nil
	}
	if now.Add(q.policy.Estimate(l, i) + l.Hold[i]).After(t.Deadline) {
		return refusal.DeadlineUnmeetable, nil
	}
	if q.ranks[i].size >= q.limit {
		evicted = q.ranks[i].evict(t)
		if evicted == nil {
			return refusal.QueueFull, nil
		}
		evicted.queued = false
	}
	q.push(now, t)
	return "", evicted
}

func (q *Queue) push(now time.Time, t *Ticket) {
	t.entered, t.queued = now, true
	q.ranks[t.Rank.Index()].push(t)
}

// Peek returns the ticket that is to get the next slot, or nil. It drops none:
// expired tickets are handed out too, for the caller to refuse.
func (q *Queue) Peek(l *Load) *Ticket {
	var ready [ident.RankCount]bool
	some := false
	for i := range q.ranks {
		ready[i] = q.ranks[i].size > 0
		some = some || ready[i]
		if ready[i] {
			l.Oldest[i] = q.ranks[i].head().entered
		}
	}
	if !some {
		return nil
	}
	i := q.policy.Next(l, ready)
	if i < 0 {
		return nil
	}
	return q.ranks[i].head()
}

// MayEnter reports whether a ticket of the rank may take a free slot at once,
// past an empty queue.
func (q *Queue) MayEnter(l *Load, rank ident.Rank) bool {
	i := rank.Index()
	if q.ranks[i].size > 0 {
		return false
	}
	var ready [ident.RankCount]bool
	for j := range q.ranks {
		ready[j] = q.ranks[j].size > 0
	}
	ready[i] = true
	return q.policy.Next(l, ready) == i
}

// Remove takes a ticket out of the queue. A ticket that does not wait is left
// as it is.
func (q *Queue) Remove(t *Ticket) {
	if !t.queued {
		return
	}
	t.queued = false
	q.ranks[t.Rank.Index()].remove(t)
}

// Rotate moves a ticket behind the others of its organisation.
func (q *Queue) Rotate(t *Ticket) {
	r := &q.ranks[t.Rank.Index()]
	r.remove(t)
	r.push(t)
}

// Expired returns a waiting ticket whose deadline has passed, or nil. It looks
// at the heads of the lines only, which wait longest.
func (q *Queue) Expired(now time.Time) *Ticket {
	for i := range q.ranks {
		for _, ln := range q.ranks[i].lines {
			if ln.first != nil && !now.Before(ln.first.Deadline) {
				return ln.first
			}
		}
	}
	return nil
}
