package discovery

import (
	"maps"
	"slices"

	"bilberrymux/core/roster"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// rowSet holds the rows of all servers and the revision at which each last changed,
// so that a peer can be sent only the changes that it lacks. It is not safe for
// concurrent use.
type rowSet struct {
	rows map[string]row
	// removed maps the keys of removed rows to the revisions at which they were first
	// missing.
	removed map[string]uint64
	// revision is the version of the store at which the rows were read, or 0 if they never were.
	revision uint64
	// exactAt holds, in ascending order, the revisions from which on all changes are known: those at
	// which the set itself was up to date. Rows that were added and removed between two of them are not
	// known, nor are removals before the first one.
	exactAt []uint64
}

// row is the row of one server. If the value can be decoded, valid is true and
// server holds the result.
type row struct {
	value  []byte
	server roster.Server
	valid  bool
	// revision is the revision of the set at which the last change was seen.
	revision uint64
}

func newRowSet() rowSet {
	return rowSet{rows: map[string]row{}, removed: map[string]uint64{}}
}

// sameServer reports whether a new value decodes to the same server as before, or
// can't be decoded, as before. The encoded value changes with every report that a
// server sends, so the bytes can't be compared.
func (r *row) sameServer(value []byte, key string) bool {
	server, _, err := platform.DecodeServer(key, value)
	if err != nil {
		return !r.valid
	}
	return r.valid && server == r.server
}

// wholeList returns all rows of the store as of a revision.
func wholeList(rows []platform.Row, revision uint64) *news.Changes {
	c := &news.Changes{Revision: revision, Servers: make(map[string][]byte, len(rows))}
	for _, r := range rows {
		c.Servers[r.Key] = r.Value
	}
	return c
}

// accepts reports whether the set is up to date after it applies the changes. Changes with an older base
// must contain all rows that changed since then, as far as the set knows: what they do not contain is as it
// was at their base.
func (s *rowSet) accepts(c *news.Changes) bool {
	if c.Whole() || c.BaseRevision == s.revision {
		return true
	}
	if c.BaseRevision > s.revision {
		return false
	}
	contains := func(key string) bool {
		_, changed := c.Servers[key]
		return changed || slices.Contains(c.Removed, key)
	}
	for key, r := range s.rows {
		if r.revision > c.BaseRevision && !contains(key) {
			return false
		}
	}
	for key, removedAt := range s.removed {
		if removedAt > c.BaseRevision && !contains(key) {
			return false
		}
	}
	return true
}

// apply applies changes that the set accepts. It returns the decoding errors of rows that can't be decoded,
// by key.
func (s *rowSet) apply(c *news.Changes) map[string]error {
	if c.Revision > s.revision {
		s.exactAt = append(s.exactAt, c.Revision)
	}
	s.revision = c.Revision
	decodeErrors := map[string]error{}
	for key, value := range c.Servers {
		old, known := s.rows[key]
		if known && old.sameServer(value, key) {
			continue
		}
		r := row{value: value, revision: c.Revision}
		server, _, err := platform.DecodeServer(key, value)
		if err != nil {
			decodeErrors[key] = err
			// The text of an unreadable row is of no use to peers, and may be large.
			r.value = nil
		}
		r.server, r.valid = server, err == nil
		s.rows[key] = r
		delete(s.removed, key)
	}
	for _, key := range c.Removed {
		s.remove(key)
	}
	if c.Whole() {
		for key := range s.rows {
			if _, listed := c.Servers[key]; !listed {
				s.remove(key)
			}
		}
	}
	s.forgetHistory()
	return decodeErrors
}

// remove removes a row, if there is one, as of the current revision.
func (s *rowSet) remove(key string) {
	if _, had := s.rows[key]; had {
		delete(s.rows, key)
		s.removed[key] = s.revision
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
	maps.DeleteFunc(s.removed, func(_ string, removedAt uint64) bool { return removedAt <= s.exactAt[0] })
}

// since returns the changes after the revision base. It returns the whole list if changes after base may be
// unknown.
func (s *rowSet) since(base uint64) *news.Changes {
	if _, exact := slices.BinarySearch(s.exactAt, base); !exact {
		base = 0
	}
	c := &news.Changes{BaseRevision: base, Revision: s.revision, Servers: map[string][]byte{}}
	for key, r := range s.rows {
		if r.revision > base {
			c.Servers[key] = r.value
		}
	}
	if c.Whole() {
		return c
	}
	for key, removedAt := range s.removed {
		if removedAt > base {
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

// list returns the servers of all rows that can be decoded.
func (s *rowSet) list() []roster.Server {
	out := make([]roster.Server, 0, len(s.rows))
	for _, r := range s.rows {
		if r.valid {
			out = append(out, r.server)
		}
	}
	return out
}
