package discovery

import (
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
}

// row is the row of one server. If the value can be decoded, valid is true and
// server holds the result.
type row struct {
	value  []byte
	server roster.Server
	valid  bool
	// revision is the revision of the list at which the last change was seen.
	revision uint64
}

func newRowSet() rowSet {
	return rowSet{rows: map[string]row{}, removed: map[string]uint64{}}
}

// sameServer reports whether a new value decodes to the same server as before, or
// can't be decoded, as before. The encoded value changes with every report that a
// server sends, so the bytes can't be compared.
func (r *row) sameServer(value []byte, key string) bool {
	server, err := platform.DecodeServer(key, value)
	if err != nil {
		return !r.valid
	}
	return r.valid && server == r.server
}

// difference returns the changes from the current rows to those that were read
// from the store at a revision.
func (s *rowSet) difference(read []platform.Row, revision uint64) *news.Changes {
	c := &news.Changes{BaseRevision: 0, Revision: revision, Servers: map[string][]byte{}}
	listed := make(map[string]bool, len(read))
	for _, r := range read {
		listed[r.Key] = true
		old, known := s.rows[r.Key]
		if !known || !old.sameServer(r.Value, r.Key) {
			c.Servers[r.Key] = r.Value
		}
	}
	for key := range s.rows {
		if !listed[key] {
			c.Removed = append(c.Removed, key)
		}
	}
	return c
}

// apply applies changes and returns the decoding errors of rows that can't be
// decoded, by key.
func (s *rowSet) apply(c *news.Changes) map[string]error {
	decodeErrors := map[string]error{}
	for key, value := range c.Servers {
		r := row{value: value, revision: c.Revision}
		server, err := platform.DecodeServer(key, value)
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
		if _, had := s.rows[key]; had {
			delete(s.rows, key)
			s.removed[key] = c.Revision
		}
	}
	return decodeErrors
}

// since returns the changes after the revision base. revision is the current one.
func (s *rowSet) since(base, revision uint64) *news.Changes {
	c := &news.Changes{BaseRevision: base, Revision: revision, Servers: map[string][]byte{}}
	for key, r := range s.rows {
		if r.revision > base {
			c.Servers[key] = r.value
		}
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
