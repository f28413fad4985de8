package discovery

import (
	"maps"
	"slices"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// rowSet holds the rows of all servers and the revision at which each last changed,
// so that a peer can be sent only the changes that it lacks. It is not safe for
// concurrent use.
type rowSet struct {
	rows map[string]row
	// removed holds the removed rows by key.
	removed map[string]removal
	// revision is the version of the store at which the rows were read, or zero if they never were.
	revision ident.StoreVersion
	// exactAt holds, in ascending order, the revisions from which on all changes are known: those at
	// which the set itself was up to date. Rows that were added and removed between two of them are not
	// known, nor are removals before the first one. All are of one era.
	exactAt []ident.StoreVersion
	// past holds what is known of earlier eras.
	past pastRows
}

// row is the row of one server. If the value can be decoded, valid is true, and
// server and statement hold the result.
type row struct {
	value     []byte
	server    roster.Server
	statement statement
	valid     bool
	// revision is the revision of the set at which the last change was seen.
	revision ident.StoreVersion
}

// decodeRow decodes the row of the server with a key.
func decodeRow(key string, value []byte, revision ident.StoreVersion) (row, error) {
	server, sequence, err := platform.DecodeServer(key, value)
	if err != nil {
		// The text of an unreadable row is of no use to peers, and may be large.
		return row{revision: revision}, err
	}
	return row{value: value, server: server, statement: statement{server.StartMillis, sequence}, valid: true, revision: revision}, nil
}

// same reports whether two rows are of the same server in the same state, or if neither could be
// decoded. The encoded value changes with every report that a server sends, so the bytes can't be compared.
func (r *row) same(other *row) bool { return r.valid == other.valid && r.server == other.server }

// removal is the removal of a row.
type removal struct {
	// revision is the revision at which the row was first missing.
	revision ident.StoreVersion
	// last is the last statement of the server that was known.
	last statement
}

func newRowSet() rowSet {
	return rowSet{rows: map[string]row{}, removed: map[string]removal{}, past: newPastRows()}
}

// wholeList returns all rows of the store as of a revision.
func wholeList(rows []platform.Row, revision ident.StoreVersion) *news.Changes {
	c := &news.Changes{Revision: revision.Number, Era: revision.Era, Servers: make(map[string][]byte, len(rows))}
	for _, r := range rows {
		c.Servers[r.Key] = r.Value
	}
	return c
}

// accepts reports whether the set is up to date after it applies the changes. Changes with an older base
// must contain all rows that changed since then, and the set must know those: what the changes do not contain is as it
// was at their base.
func (s *rowSet) accepts(c *news.Changes) bool {
	base := c.Base()
	if c.Whole() || base == s.revision {
		return true
	}
	if !s.isExactAt(base) {
		return false
	}
	contains := func(key string) bool {
		_, changed := c.Servers[key]
		return changed || slices.Contains(c.Removed, key)
	}
	for key, r := range s.rows {
		if r.revision.After(base) && !contains(key) {
			return false
		}
	}
	for key, r := range s.removed {
		if r.revision.After(base) && !contains(key) {
			return false
		}
	}
	return true
}

// apply applies changes that the set accepts, at the time now. It returns the decoding errors of rows that can't be
// decoded, by key.
func (s *rowSet) apply(now time.Time, c *news.Changes) map[string]error {
	revision := c.Version()
	rows, decodeErrors := decodeRows(c, revision)
	if revision.Era != s.revision.Era {
		s.enterEra(now, rows, revision.Era)
	}
	if revision.After(s.revision) {
		s.exactAt = append(s.exactAt, revision)
	}
	s.revision = revision
	for key, r := range rows {
		s.set(key, r)
	}
	for _, key := range c.Removed {
		s.remove(key)
	}
	if c.Whole() {
		s.removeUnlisted(rows)
	}
	s.forgetHistory()
	return decodeErrors
}

// decodeRows decodes the rows of changes, and returns the errors of those that can't be decoded, by key.
func decodeRows(c *news.Changes, revision ident.StoreVersion) (rows map[string]row, decodeErrors map[string]error) {
	rows, decodeErrors = make(map[string]row, len(c.Servers)), map[string]error{}
	for key, value := range c.Servers {
		r, err := decodeRow(key, value, revision)
		if err != nil {
			decodeErrors[key] = err
		}
		rows[key] = r
	}
	return rows, decodeErrors
}

// set updates the row with a key, unless a later statement of its server is known.
func (s *rowSet) set(key string, r row) {
	if s.isOutdated(key, &r) {
		return
	}
	delete(s.past.unlisted, key)
	if old, known := s.rows[key]; known && old.same(&r) {
		// Peers get the value that the store holds.
		old.value = r.value
		if !r.server.Draining || r.statement.after(old.statement) {
			old.statement = r.statement
		}
		s.rows[key] = old
		return
	}
	s.rows[key] = r
	delete(s.removed, key)
}

// remove removes a row, if there is one, as of the current revision.
func (s *rowSet) remove(key string) {
	delete(s.past.unlisted, key)
	if old, had := s.rows[key]; had {
		delete(s.rows, key)
		s.removed[key] = removal{s.revision, old.statement}
	}
}

// removeUnlisted removes the rows that a whole list does not hold.
func (s *rowSet) removeUnlisted(listed map[string]row) {
	for key := range s.rows {
		if _, ok := listed[key]; !ok {
			s.remove(key)
		}
	}
}

// maxHistory is the number of revisions, and of removals, that are kept. If there are more rows, as many
// removals are kept.
const maxHistory = 1000

// forgetHistory drops the older half of the history when there is too much. Peers with older lists then get
// the whole list.
func (s *rowSet) forgetHistory() {
	if len(s.exactAt) <= maxHistory && len(s.removed) <= max(maxHistory, len(s.rows)) {
		return
	}
	s.exactAt = slices.Clone(s.exactAt[len(s.exactAt)/2:])
	maps.DeleteFunc(s.removed, func(_ string, r removal) bool { return !r.revision.After(s.exactAt[0]) })
}

// isExactAt reports whether the set knows all changes since a revision.
func (s *rowSet) isExactAt(revision ident.StoreVersion) bool {
	_, exact := slices.BinarySearchFunc(s.exactAt, revision, ident.StoreVersion.Compare)
	return exact
}

// since returns the changes after the revision base. It returns the whole list if changes after base may be
// unknown.
func (s *rowSet) since(base ident.StoreVersion) *news.Changes {
	if !s.isExactAt(base) {
		base = ident.StoreVersion{}
	}
	c := &news.Changes{BaseRevision: base.Number, Revision: s.revision.Number, Era: s.revision.Era, Servers: map[string][]byte{}}
	for key, r := range s.rows {
		if r.revision.After(base) {
			c.Servers[key] = r.value
		}
	}
	if c.Whole() {
		return c
	}
	for key, r := range s.removed {
		if r.revision.After(base) {
			c.Removed = append(c.Removed, key)
		}
	}
	return c
}

// fitsDatagram reports whether the changes are small enough for the datagrams between daemons.
func fitsDatagram(c *news.Changes) bool {
	size := 0
	for key, value := range c.Servers {
		size += len(key) + len(value)
	}
	for _, key := range c.Removed {
		size += len(key)
	}
	return len(c.Servers)+len(c.Removed) <= maxDatagramChanges && size <= maxDatagramChangeBytes
}

// list returns the servers of all rows that can be decoded, and of those that the store may have lost.
func (s *rowSet) list() []roster.Server {
	out := make([]roster.Server, 0, len(s.rows)+len(s.past.unlisted))
	for _, r := range s.rows {
		if r.valid {
			out = append(out, r.server)
		}
	}
	for _, r := range s.past.unlisted {
		out = append(out, r.server)
	}
	return out
}
