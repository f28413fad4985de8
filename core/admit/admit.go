// Package admit implements the admission queue of one shard. The queue decides which requests wait,
// which request gets the next free slot, and which requests are refused on arrival. It schedules by
// rank, within a rank by organisation, and takes deadlines into account. A Queue is not safe for
// concurrent use; its shard serialises access.
package admit

import (
	"sync/atomic"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
	"bilberrymux/core/pool"
	"bilberrymux/core/refusal"
)

// Ticket is one request for a slot of a backend server.
type Ticket struct {
	Rank         ident.Rank
	Organisation ident.OrganisationID
	// Weight is the organisation's weight in the weighted round robin. It is at least 1.
	Weight   int
	Deadline time.Time
	// Idempotent reports whether the request may run more than once.
	Idempotent  bool
	Fingerprint ident.Fingerprint
	// LatencyClass identifies a group of requests with comparable latencies, such as those of one
	// route.
	LatencyClass uint8
	// Tried lists the servers used by earlier attempts of this request.
	Tried []ident.ServerID

	// Ready receives one Reply each time the ticket leaves the queue with a slot or a refusal. It
	// must have a buffer of at least one, so that sending a Reply never blocks the shard.
	Ready chan Reply

	first      Attempt
	firstUsed  bool
	enqueuedAt time.Time
	queued     bool
	prev, next *Ticket
	orgQueue   *orgQueue
}

// Reply is the outcome of waiting in the queue: either an attempt with a slot or a refusal.
type Reply struct {
	Attempt *Attempt
	Refused refusal.Kind
}

// Attempt is one try at running a ticket's request, for which it holds a slot of a server.
type Attempt struct {
	Ticket  *Ticket
	Server  *pool.Server
	Started time.Time
	// SlowCount is the number of times that the attempt in flight has been reported as slow so far. It
	// is also the number of doublings of the next report; see detect.Observation.
	SlowCount int
	// InLoad reports whether the slot is counted in the load of the shard.
	InLoad bool
	// SlotReleased reports whether the slot has been released.
	SlotReleased bool
	// Suspect reports whether the attempt is late on a reused connection that may have failed. A
	// suspect attempt no longer holds a slot.
	Suspect bool
	// Sent is set by the sender once the attempt has a connection. Before that, the age of the
	// attempt says nothing about the server's latency.
	Sent atomic.Bool
	// Reused is set by the sender once the attempt runs on a connection that has served an
	// exchange before.
	Reused atomic.Bool
}

// NewAttempt returns a new attempt of the ticket on the server, started at now. The first attempt is
// embedded in the ticket and needs no allocation.
func (t *Ticket) NewAttempt(s *pool.Server, now time.Time) *Attempt {
	a := &t.first
	if t.firstUsed {
		a = &Attempt{}
	}
	t.firstUsed = true
	a.Ticket, a.Server, a.Started = t, s, now
	return a
}

// Queued reports whether the ticket is waiting in a queue.
func (t *Ticket) Queued() bool {
	return t.queued
}

// Load is the slot usage and demand of a shard, the input of a Policy.
type Load struct {
	// Capacity is the sum of the concurrency limits of the active servers, in slots.
	Capacity int
	// Busy is the number of slots of active servers in use, by rank.
	Busy [ident.RankCount]int
	// MeanHoldTime is the mean time for which an attempt holds its slot, by rank. It is 0 before
	// the first measurement.
	MeanHoldTime [ident.RankCount]time.Duration
	// Waiting is the number of tickets in the queue, by rank.
	Waiting [ident.RankCount]int
	// Demand is the mean number of slots in use or waited for, by rank.
	Demand [ident.RankCount]float64
	// HeadArrival is the time at which the ticket at the head of each rank's queue was enqueued.
	HeadArrival [ident.RankCount]time.Time
}

func (l *Load) busy() int {
	return l.Busy[0] + l.Busy[1] + l.Busy[2]
}

// Policy schedules slots among the ranks.
type Policy struct {
	// Next returns the index of the rank that gets the next slot, among those for which ready is
	// true. It returns -1 if no rank may take a slot now.
	Next func(l *Load, ready [ident.RankCount]bool) int
	// Estimate returns the expected waiting time of a new ticket of the rank.
	Estimate func(l *Load, rank int) time.Duration
	// LimitsQueue reports whether tickets are refused on arrival if Estimate shows that they
	// would miss their deadline or if the queue limit is reached.
	LimitsQueue bool
}

// Options configures a policy.
type Options struct {
	// Shares are the fractions of the slots that are guaranteed to each rank, by rank index.
	Shares [ident.RankCount]float64
}

// Policies is the registry of the available admission policies.
var Policies kernel.Registry[func(Options) *Policy]

func init() {
	Policies.Register(kernel.AdmissionKind, "rankShares", newRankShares)
	Policies.Register(kernel.AdmissionKind, "fifo", newFIFO)
}

// Queue holds the waiting tickets of one shard.
type Queue struct {
	policy *Policy
	limit  int
	ranks  [ident.RankCount]rankQueue
}

// New returns an empty queue. A policy that limits the queue allows up to limit tickets per rank.
func New(policy *Policy, limit int) *Queue {
	return &Queue{policy: policy, limit: limit}
}

// SetPolicy replaces the policy and the limit. Tickets that are already waiting stay in the queue.
func (q *Queue) SetPolicy(policy *Policy, limit int) {
	q.policy, q.limit = policy, limit
}

// Waiting returns the number of waiting tickets, by rank.
func (q *Queue) Waiting() [ident.RankCount]int {
	var n [ident.RankCount]int
	for i := range q.ranks {
		n[i] = q.ranks[i].size
	}
	return n
}

// Enqueue adds a ticket to the queue or refuses it. It returns an empty refusal kind if the
// ticket was added. If the queue was full, evicted is the ticket of another organisation that was
// removed to make room; the caller must refuse it.
func (q *Queue) Enqueue(now time.Time, t *Ticket, l *Load) (refused refusal.Kind, evicted *Ticket) {
	i := t.Rank.Index()
	if !q.policy.LimitsQueue {
		q.push(now, t)
		return "", nil
	}
	if now.Add(q.policy.Estimate(l, i) + l.MeanHoldTime[i]).After(t.Deadline) {
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
	t.enqueuedAt, t.queued = now, true
	q.ranks[t.Rank.Index()].push(t)
}

// Peek returns the ticket that gets the next slot without removing it, or nil if there is none. It
// does not skip expired tickets; the caller must refuse those. It updates l.HeadArrival.
func (q *Queue) Peek(l *Load) *Ticket {
	var ready [ident.RankCount]bool
	anyReady := false
	for i := range q.ranks {
		ready[i] = q.ranks[i].size > 0
		anyReady = anyReady || ready[i]
		if ready[i] {
			l.HeadArrival[i] = q.ranks[i].head().enqueuedAt
		}
	}
	if !anyReady {
		return nil
	}
	i := q.policy.Next(l, ready)
	if i < 0 {
		return nil
	}
	return q.ranks[i].head()
}

// CanStartNow reports whether a new ticket of the rank may take a free slot without waiting. This
// requires that no ticket of the rank is waiting.
func (q *Queue) CanStartNow(l *Load, rank ident.Rank) bool {
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

// Remove removes a ticket from the queue. It does nothing if the ticket is not waiting.
func (q *Queue) Remove(t *Ticket) {
	if !t.queued {
		return
	}
	t.queued = false
	q.ranks[t.Rank.Index()].remove(t)
}

// MoveToBack moves a waiting ticket behind the other tickets of its organisation and rank.
func (q *Queue) MoveToBack(t *Ticket) {
	r := &q.ranks[t.Rank.Index()]
	r.remove(t)
	r.push(t)
}

// Expired returns a waiting ticket whose deadline has passed, or nil. It checks only the head of each
// organisation's queue, so that an expired ticket behind it is found once it becomes the head.
func (q *Queue) Expired(now time.Time) *Ticket {
	for i := range q.ranks {
		for _, oq := range q.ranks[i].orgQueues {
			if oq.first != nil && !now.Before(oq.first.Deadline) {
				return oq.first
			}
		}
	}
	return nil
}
