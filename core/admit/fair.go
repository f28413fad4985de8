package admit

import (
	"bilberrymux/core/ident"
)

// orgQueue is a doubly linked list of the waiting tickets of one organisation and one rank, in
// FIFO order.
type orgQueue struct {
	organisation ident.OrganisationID
	first, last  *Ticket
	size         int
	// credit is the number of tickets that may still be served in the current turn.
	credit int
}

func (oq *orgQueue) push(t *Ticket) {
	t.orgQueue, t.prev, t.next = oq, oq.last, nil
	if oq.last == nil {
		oq.first = t
	} else {
		oq.last.next = t
	}
	oq.last = t
	oq.size++
}

func (oq *orgQueue) remove(t *Ticket) {
	if t.prev == nil {
		oq.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		oq.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.orgQueue, t.prev, t.next = nil, nil, nil
	oq.size--
}

// rankQueue holds the waiting tickets of one rank. It serves organisations by weighted round robin: in
// each turn, an organisation gets as many slots as its weight.
type rankQueue struct {
	orgQueues []*orgQueue
	byOrg     map[ident.OrganisationID]*orgQueue
	current   int
	size      int
}

func (r *rankQueue) push(t *Ticket) {
	oq := r.byOrg[t.Organisation]
	if oq == nil {
		if r.byOrg == nil {
			r.byOrg = map[ident.OrganisationID]*orgQueue{}
		}
		oq = &orgQueue{organisation: t.Organisation, credit: t.Weight}
		r.byOrg[t.Organisation] = oq
		r.orgQueues = append(r.orgQueues, oq)
	}
	oq.push(t)
	r.size++
}

// head returns the ticket to serve next without removing it, or nil if the queue is empty.
func (r *rankQueue) head() *Ticket {
	if len(r.orgQueues) == 0 {
		return nil
	}
	return r.orgQueues[r.current%len(r.orgQueues)].first
}

// remove removes a ticket. Removing the head of the current organisation's queue consumes one credit.
// When the credit is used up, it is refilled and the turn passes to the next organisation.
func (r *rankQueue) remove(t *Ticket) {
	oq := t.orgQueue
	at := r.current % len(r.orgQueues)
	served := r.orgQueues[at] == oq && oq.first == t
	oq.remove(t)
	r.size--
	if oq.size == 0 {
		r.removeOrgQueue(oq, at)
		return
	}
	if !served {
		return
	}
	oq.credit--
	if oq.credit <= 0 {
		oq.credit = oq.first.Weight
		r.current = (at + 1) % len(r.orgQueues)
	}
}

// removeOrgQueue deletes an empty organisation queue. The index at is the current position in the
// round robin, which is adjusted for the deletion.
func (r *rankQueue) removeOrgQueue(oq *orgQueue, at int) {
	delete(r.byOrg, oq.organisation)
	for i, other := range r.orgQueues {
		if other != oq {
			continue
		}
		r.orgQueues = append(r.orgQueues[:i], r.orgQueues[i+1:]...)
		if i < at {
			at--
		}
		break
	}
	r.current = at
	if len(r.orgQueues) > 0 {
		r.current = at % len(r.orgQueues)
	}
}

// evict removes and returns the newest ticket of the organisation whose queue is the longest relative
// to its weight. It returns nil if that queue is no longer than the newcomer's organisation queue
// would be with the newcomer in it.
func (r *rankQueue) evict(newcomer *Ticket) *Ticket {
	var longest *orgQueue
	for _, oq := range r.orgQueues {
		if longest == nil || oq.weightedLength() > longest.weightedLength() {
			longest = oq
		}
	}
	if longest == nil {
		return nil
	}
	newcomerLength := 1.0 / float64(newcomer.Weight)
	if oq := r.byOrg[newcomer.Organisation]; oq != nil {
		newcomerLength = float64(oq.size+1) / float64(newcomer.Weight)
	}
	if longest.weightedLength() <= newcomerLength {
		return nil
	}
	t := longest.last
	r.remove(t)
	return t
}

// weightedLength returns the number of waiting tickets divided by the organisation's weight. The queue
// must not be empty.
func (oq *orgQueue) weightedLength() float64 {
	return float64(oq.size) / float64(oq.first.Weight)
}
