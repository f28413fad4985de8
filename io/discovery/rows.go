package discovery

import (
	"bilberrymux/core/roster"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// rowSet holds the rows of the servers and when each last changed, so that a
// peer can be told just what it lacks. It is not safe for concurrent use.
type rowSet struct {
	rows map[string]row
	// removed holds the versions at which rows were found missing.
	removed map[string]uint64
}

// row is one server's row, decoded where it can be read.
type row struct {
	value  []byte
	server roster.Server
	valid  bool
	// changed is the version at which a difference was seen last.
	changed uint64
}

func newRowSet() rowSet {
	return rowSet{rows: map[string]row{}, removed: map[string]uint64{}}
}

// same reports whether a new value says nothing new about the server. Rows change
// with each report of a server.
func (r *row) same(value []byte, key string) bool {
	server, err := platform.DecodeServer(key, value)
	if err != nil {
		return !r.valid
	}
	return r.valid && server == r.server
}

// difference returns the changes from the present rows to those that were read
// from the store at a version.
func (s *rowSet) difference(read []platform.Row, version uint64) *news.Changes {
	c := &news.Changes{Base: 0, Stamp: version, Servers: map[string][]byte{}}
	listed := make(map[string]bool, len(read))
	for _, r := range read {
		listed[r.Key] = true
		old, known := s.rows[r.Key]
		if !known || !old.same(r.Value, r.Key) {
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

// apply takes over changes and returns the rows that can't be read.
func (s *rowSet) apply(c *news.Changes) map[string]error {
	bad := map[string]error{}
	for key, value := range c.Servers {
		r := row{value: value, changed: c.Stamp}
		server, err := platform.DecodeServer(key, value)
		if err != nil {
			bad[key] = err
		}
		r.server, r.valid = server, err == nil
		s.rows[key] = r
		delete(s.removed, key)
	}
	for _, key := range c.Removed {
		if _, had := s.rows[key]; had {
			delete(s.rows, key)
			s.removed[key] = c.Stamp
		}
	}
	return bad
}

// since returns the changes after a version.
func (s *rowSet) since(base, stamp uint64) *news.Changes {
	c := &news.Changes{Base: base, Stamp: stamp, Servers: map[string][]byte{}}
	for key, r := range s.rows {
		if r.changed > base {
			c.Servers[key] = r.value
		}
	}
	for key, changed := range s.removed {
		if changed > base {
			c.Removed = append(c.Removed, key)
		}
	}
	return c
}

// list returns the servers of all rows that can be read.
func (s *rowSet) list() []roster.Server {
	out := make([]roster.Server, 0, len(s.rows))
	for _, r := range s.rows {
		if r.valid {
			out = append(out, r.server)
		}
	}
	return out
}
