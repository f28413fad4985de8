package rowstore

import (
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"
)

// headerEra is the header of all answers that holds the era of the store.
const headerEra = "Store-Era"

// firstEra is the era of a new store.
const firstEra = 1

// Copy is the content of a store at a moment.
type Copy struct {
	rows    map[rowKey]Row
	version uint64
}

// Copy returns a copy of the content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.rows), s.version}
}

// Restore replaces the content by that of an earlier copy and begins a new era. What was written since the copy is
// lost, and its versions are given out again. Calls that wait for changes are answered as if they had begun in the
// new era; SetFaults can break them off before.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.Version > c.version })
	s.droppedVersion = min(s.droppedVersion, c.version)
	s.wake()
}

// Era returns the era of the store. The first one is 1.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// setEra writes an era to the header of an answer.
func setEra(ctx *fasthttp.RequestCtx, era uint64) {
	ctx.Response.Header.Set(headerEra, strconv.FormatUint(era, 10))
}

// wake wakes the calls that wait for changes. The caller must hold the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Count returns the number of rows of a table.
func (s *Server) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.table == table {
			n++
		}
	}
	return n
}
