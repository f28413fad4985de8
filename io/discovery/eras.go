package discovery

import (
	"cmp"
	"maps"
	"time"

	"bilberrymux/core/ident"
)

// unlistedGrace is the time for which a server is used whose row the store has lost. Servers write their rows again
// within that time of the store's return.
const unlistedGrace = 2 * time.Second

// statement orders what a server said of itself in its row. Unlike store versions, it holds across eras.
type statement struct {
	startMillis int64
	// sequence counts the writes of the server since its start.
	sequence int64
}

// after reports whether s was made after the other statement.
func (s statement) after(other statement) bool {
	return cmp.Or(cmp.Compare(s.startMillis, other.startMillis), cmp.Compare(s.sequence, other.sequence)) > 0
}

// pastRows holds what a set of rows knows of earlier eras, while the store, which came back from an older copy, may not
// have got it again.
type pastRows struct {
	// unlisted holds the rows that the copy lacks, by key, and unlistedUntil is the time until which they are used.
	unlisted      map[string]row
	unlistedUntil time.Time
	// copied holds the statements of the copy that are outdated, by key.
	copied map[string]statement
}

func newPastRows() pastRows {
	return pastRows{unlisted: map[string]row{}, copied: map[string]statement{}}
}

// enterEra prepares the set for the first list of a new era, whose rows are given. Rows that the list lacks, or holds of an
// earlier run of the server, are kept for unlistedGrace. A store that named no era before has not lost anything.
func (s *rowSet) enterEra(now time.Time, listed map[string]row, era ident.Era) {
	before := s.revision.Era
	s.exactAt = nil
	if before == 0 || era == 0 {
		return
	}
	maps.Copy(s.rows, s.past.unlisted)
	s.past = newPastRows()
	s.past.unlistedUntil = now.Add(unlistedGrace)
	for key, r := range s.rows {
		copied, isListed := listed[key]
		isOlderRun := copied.valid && copied.statement.startMillis < r.statement.startMillis
		if r.valid && (!isListed || isOlderRun) {
			s.past.unlisted[key] = r
			delete(s.rows, key)
		}
	}
}

// isOutdated reports whether a row says less than what is known of its server. If that was learned in an earlier era, the
// row is of the copy, until another one is read.
func (s *rowSet) isOutdated(key string, r *row) bool {
	if !r.valid {
		return false
	}
	if unlisted, ok := s.past.unlisted[key]; ok && r.statement.startMillis < unlisted.statement.startMillis {
		return true
	}
	if r.server.Draining {
		return false
	}
	if old, known := s.rows[key]; known {
		return old.drainsSince(r.statement)
	}
	if old, isUnlisted := s.past.unlisted[key]; isUnlisted {
		return old.drainsSince(r.statement)
	}
	if copied, isKnown := s.past.copied[key]; isKnown {
		return r.statement == copied
	}
	if !s.knewGone(key, r.statement) {
		return false
	}
	s.past.copied[key] = r.statement
	return true
}

// drainsSince reports whether the run of the server that made a statement has begun to drain after it.
func (r *row) drainsSince(s statement) bool {
	return r.valid && r.server.Draining && r.statement.startMillis == s.startMillis && !s.after(r.statement)
}

// knewGone reports whether the set learned in an earlier era that the run of the server with a key that made a statement
// has left.
func (s *rowSet) knewGone(key string, made statement) bool {
	left, hasLeft := s.removed[key]
	return hasLeft && left.revision.Era < s.revision.Era && made.startMillis <= left.last.startMillis
}

// expire removes the rows that are still missing in the store unlistedGrace after its return. It reports whether there
// were any.
func (s *rowSet) expire(now time.Time) bool {
	if len(s.past.unlisted) == 0 || now.Before(s.past.unlistedUntil) {
		return false
	}
	for key, r := range s.past.unlisted {
		last := r.statement
		if !r.server.Draining {
			// This run was not about to leave and may write again at any time, but no earlier one.
			last = statement{startMillis: last.startMillis - 1}
		}
		s.removed[key] = removal{r.revision, last}
	}
	clear(s.past.unlisted)
	return true
}
