package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrymux/core/admit"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

var now = time.Unix(1_800_000_000, 0)

// TestGuaranteedShareUnderOverload checks that each rank gets at least its guaranteed share of the slots
// while all ranks have waiting tickets and one of them has far more than the others.
func TestGuaranteedShareUnderOverload(t *testing.T) {
	shares := [ident.RankCount]float64{0.5, 0.3, 0.1}
	newPolicy, err := admit.Policies.Get("rankShares")
	if err != nil {
		t.Fatal(err)
	}
	for overloaded := range ident.Ranks {
		t.Run(string(ident.Ranks[overloaded]), func(t *testing.T) {
			q := admit.New(newPolicy(admit.Options{Shares: shares}), 1000)
			load := &admit.Load{Capacity: 16}
			served := simulate(q, load, overloaded)
			total := served[0] + served[1] + served[2]
			for i, n := range served {
				if got := float64(n) / float64(total); got < shares[i] {
					t.Errorf("rank %s got a share of %.3f of the slots, want at least %.3f", ident.Ranks[i], got, shares[i])
				}
			}
		})
	}
}

// simulate runs 4,000 rounds with attempts of equal duration while every rank always has waiting
// tickets, and returns the number of tickets served by rank. Each round ends the oldest attempt. The
// overloaded rank has 200 waiting tickets, the others have 5.
func simulate(q *admit.Queue, load *admit.Load, overloaded int) [ident.RankCount]int {
	var served [ident.RankCount]int
	var running []int
	fill := func() {
		waiting := q.Waiting()
		for i, rank := range ident.Ranks {
			want := 5
			if i == overloaded {
				want = 200
			}
			for range want - waiting[i] {
				q.Enqueue(now, &admit.Ticket{Rank: rank, Weight: 1, Deadline: now.Add(time.Hour), Ready: make(chan admit.Reply, 1)}, load)
			}
		}
	}
	for range 4000 {
		fill()
		for {
			load.Waiting = q.Waiting()
			t := q.Peek(load)
			if t == nil {
				break
			}
			q.Remove(t)
			i := t.Rank.Index()
			load.Busy[i]++
			served[i]++
			running = append(running, i)
		}
		load.Busy[running[0]]--
		running = running[1:]
	}
	return served
}

// TestQueueAgainstModel enqueues, removes and moves tickets at random and compares the number of
// waiting tickets with a set as the reference model. It guards against tickets that are lost or
// remain in the queue after their removal.
func TestQueueAgainstModel(t *testing.T) {
	newPolicy, err := admit.Policies.Get("rankShares")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		q := admit.New(newPolicy(admit.Options{Shares: [3]float64{0.4, 0.3, 0.2}}), 10)
		load := &admit.Load{Capacity: 4}
		waiting := map[*admit.Ticket]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				ticket := drawTicket(t)
				refused, evicted := q.Enqueue(now, ticket, load)
				if evicted != nil {
					delete(waiting, evicted)
				}
				if refused == "" {
					waiting[ticket] = true
				}
			case 2:
				if head := q.Peek(load); head != nil {
					if !waiting[head] {
						t.Fatal("Peek returned a ticket that is not waiting")
					}
					q.Remove(head)
					delete(waiting, head)
				}
			case 3:
				if head := q.Peek(load); head != nil {
					q.MoveToBack(head)
				}
			}
			n := q.Waiting()
			if n[0]+n[1]+n[2] != len(waiting) {
				t.Fatalf("the queue reports %v waiting tickets by rank, want %d in total", n, len(waiting))
			}
		}
	})
}

func drawTicket(t *rapid.T) *admit.Ticket {
	return &admit.Ticket{
		Rank:         rapid.SampledFrom(ident.Ranks[:]).Draw(t, "rank"),
		Organisation: ident.OrganisationID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation"))),
		Weight:       rapid.IntRange(1, 3).Draw(t, "weight"),
		Deadline:     now.Add(time.Hour),
		Ready:        make(chan admit.Reply, 1),
	}
}

// TestAttemptReuse checks that NewAttempt returns a different attempt on each call, although the first
// attempt is embedded in the ticket.
func TestAttemptReuse(t *testing.T) {
	ticket := &admit.Ticket{}
	a, b := ticket.NewAttempt(&pool.Server{}, now), ticket.NewAttempt(&pool.Server{}, now)
	if a == b {
		t.Fatal("NewAttempt returned the same attempt twice")
	}
}
