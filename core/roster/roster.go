// Package roster holds the backend servers that are registered at one moment.
package roster

import (
	"cmp"
	"slices"

	"bilberrymux/core/ident"
)

// Server is one registered backend server.
type Server struct {
	ID      ident.ServerID
	Service ident.ServiceID
	// Address is an IP number with a port.
	Address string
	Zone    ident.ZoneID
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining servers announced that they stop and take no new work.
	Draining bool
	// StartMillis is the Unix millisecond of the server's start. A later start under
	// the same id is another server, which remembers nothing.
	StartMillis int64
	// Cold says that the server started lately and is slow.
	Cold bool
}

// Key names one start of one server.
type Key struct {
	ID          ident.ServerID
	StartMillis int64
}

// Key returns the name of this start of the server.
func (s *Server) Key() Key {
	return Key{s.ID, s.StartMillis}
}

// Roster is one immutable list. It is safe for concurrent use.
type Roster struct {
	// Revision orders the lists: a later state of the store has a greater one.
	Revision  uint64
	servers   []Server
	byService map[ident.ServiceID][]*Server
}

// New returns the list of the servers at a stamp.
func New(stamp uint64, servers []Server) *Roster {
	r := &Roster{Revision: stamp, servers: slices.Clone(servers), byService: map[ident.ServiceID][]*Server{}}
	slices.SortFunc(r.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i := range r.servers {
		s := &r.servers[i]
		r.byService[s.Service] = append(r.byService[s.Service], s)
	}
	return r
}

// ForService returns the servers of a service, sorted by id. Callers must not modify it.
func (r *Roster) ForService(service ident.ServiceID) []*Server {
	return r.byService[service]
}

// Servers returns all servers, sorted by id. Callers must not modify it.
func (r *Roster) Servers() []Server {
	return r.servers
}

// Equal reports whether both lists name the same servers in the same states.
func (r *Roster) Equal(o *Roster) bool {
	return slices.Equal(r.servers, o.servers)
}

// Change is one difference between two lists.
type Change string

// The changes of a server between two lists.
const (
	Added    Change = "listed"
	Draining Change = "draining"
	Resumed  Change = "resumed"
	Removed  Change = "gone"
)

// Diff tells each server whose presence or draining differs from the older
// list.
func (r *Roster) Diff(old *Roster, tell func(s *Server, c Change)) {
	before := make(map[Key]*Server, len(old.servers))
	for i := range old.servers {
		before[old.servers[i].Key()] = &old.servers[i]
	}
	for i := range r.servers {
		s := &r.servers[i]
		was := before[s.Key()]
		delete(before, s.Key())
		switch {
		case was == nil:
			tell(s, Added)
		case s.Draining && !was.Draining:
			tell(s, Draining)
		case !s.Draining && was.Draining:
			tell(s, Resumed)
		}
	}
	for i := range old.servers {
		if _, gone := before[old.servers[i].Key()]; gone {
			tell(&old.servers[i], Removed)
		}
	}
}
