package admit

import (
	"bilberrymux/core/ident"
)

// line is the tickets of one organisation inside one rank, the oldest first.
type line struct {
	organisation ident.OrganisationID
	first, last  *Ticket
	size         int
	// credit is how many tickets the line may still send in its turn.
	credit int
}

func (ln *line) push(t *Ticket) {
	t.line, t.prev, t.next = ln, ln.last, nil
	if ln.last == nil {
		ln.first = t
	} else {
		ln.last.next = t
	}
	ln.last = t
	ln.size++
}

func (ln *line) remove(t *Ticket) {
	if t.prev == nil {
		ln.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		ln.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.line, t.prev, t.next = nil, nil, nil
	ln.size--
}

// rankQueue serves its lines by weighted round robin: in its turn, a line sends
// as many tickets as its organisation's weight.
type rankQueue struct {
	lines []*line
	byOrg map[ident.OrganisationID]*line
	turn  int
	size  int
}

func (r *rankQueue) push(t *Ticket) {
	ln := r.byOrg[t.Organisation]
	if ln == nil {
		if r.byOrg == nil {
			r.byOrg = map[ident.OrganisationID]*line{}
		}
		ln = &line{organisation: t.Organisation, credit: t.Weight}
		r.byOrg[t.Organisation] = ln
		r.lines = append(r.lines, ln)
	}
	ln.push(t)
	r.size++
}

// head returns the ticket whose turn it is without removing it.
func (r *rankQueue) head() *Ticket {
	if len(r.lines) == 0 {
		return nil
	}
	return r.lines[r.turn%len(r.lines)].first
}

// remove takes out a ticket. Taking the head of the line whose turn it is uses
// up credit, and a line without credit passes the turn on.
func (r *rankQueue) remove(t *Ticket) {
	ln := t.line
	at := r.turn % len(r.lines)
	served := r.lines[at] == ln && ln.first == t
	ln.remove(t)
	r.size--
	if ln.size == 0 {
		r.dropLine(ln, at)
		return
	}
	if !served {
		return
	}
	ln.credit--
	if ln.credit <= 0 {
		ln.credit = ln.first.Weight
		r.turn = (at + 1) % len(r.lines)
	}
}

func (r *rankQueue) dropLine(ln *line, at int) {
	delete(r.byOrg, ln.organisation)
	for i, other := range r.lines {
		if other != ln {
			continue
		}
		r.lines = append(r.lines[:i], r.lines[i+1:]...)
		if i < at {
			at--
		}
		break
	}
	r.turn = at
	if len(r.lines) > 0 {
		r.turn = at % len(r.lines)
	}
}

// evict removes and returns the newest ticket of the longest line when that
// line is longer, by weight, than the newcomer's own. Otherwise it returns nil.
func (r *rankQueue) evict(newcomer *Ticket) *Ticket {
	var longest *line
	for _, ln := range r.lines {
		if longest == nil || ln.perWeight() > longest.perWeight() {
			longest = ln
		}
	}
	if longest == nil {
		return nil
	}
	own := 1.0 / float64(newcomer.Weight)
	if ln := r.byOrg[newcomer.Organisation]; ln != nil {
		own = float64(ln.size+1) / float64(newcomer.Weight)
	}
	if longest.perWeight() <= own {
		return nil
	}
	t := longest.last
	r.remove(t)
	return t
}

func (ln *line) perWeight() float64 {
	return float64(ln.size) / float64(ln.first.Weight)
}
