// Package roster holds snapshots of the registered backend servers and compares them.
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
	// Address is an IP address with a port.
	Address string
	Zone    ident.ZoneID
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining reports whether the server announced its shutdown. It accepts no new
	// requests.
	Draining bool
	// StartMillis is the start time of the server in Unix milliseconds. A later start
	// under the same ID counts as another server, because it keeps no state of the
	// earlier one.
	StartMillis int64
	// Cold reports whether the server is still warming up after its start and responds slowly.
	Cold bool
}

// Key identifies one run of a server.
type Key struct {
	ID          ident.ServerID
	StartMillis int64
}

// Key returns the key of this run of the server.
func (s *Server) Key() Key {
	return Key{s.ID, s.StartMillis}
}

// Roster is an immutable snapshot of the registered servers. It is safe for concurrent use.
type Roster struct {
	// Revision is the version of the store at which the servers were read. It is zero if they never were.
	Revision  ident.StoreVersion
	servers   []Server
	byService map[ident.ServiceID][]*Server
}

// New returns a snapshot of the servers at a version of the store.
func New(revision ident.StoreVersion, servers []Server) *Roster {
	r := &Roster{Revision: revision, servers: slices.Clone(servers), byService: map[ident.ServiceID][]*Server{}}
	slices.SortFunc(r.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i := range r.servers {
		s := &r.servers[i]
		r.byService[s.Service] = append(r.byService[s.Service], s)
	}
	return r
}

// ForService returns the servers of a service, sorted by ID. Callers must not modify the
// slice or the servers.
func (r *Roster) ForService(service ident.ServiceID) []*Server {
	return r.byService[service]
}

// Find returns the server with an ID, or nil. Callers must not modify it.
func (r *Roster) Find(id ident.ServerID) *Server {
	i, found := slices.BinarySearchFunc(r.servers, id, func(s Server, id ident.ServerID) int { return cmp.Compare(s.ID, id) })
	if !found {
		return nil
	}
	return &r.servers[i]
}

// Servers returns all servers, sorted by ID. Callers must not modify the slice.
func (r *Roster) Servers() []Server {
	return r.servers
}

// Equal reports whether both snapshots hold the same servers with the same attributes.
func (r *Roster) Equal(other *Roster) bool {
	return slices.Equal(r.servers, other.servers)
}

// Change is the kind of a difference of one server between two snapshots.
type Change string

// The kinds of changes. Draining and Resumed mean that the server started or stopped
// draining. The values are written to the log.
const (
	Added    Change = "listed"
	Draining Change = "draining"
	Resumed  Change = "resumed"
	Removed  Change = "gone"
)

// Diff calls report for each server that was added, was removed, or started or stopped
// draining since the old snapshot. Removed servers are reported last.
func (r *Roster) Diff(old *Roster, report func(s *Server, c Change)) {
	oldServers := make(map[Key]*Server, len(old.servers))
	for i := range old.servers {
		oldServers[old.servers[i].Key()] = &old.servers[i]
	}
	for i := range r.servers {
		s := &r.servers[i]
		previous := oldServers[s.Key()]
		delete(oldServers, s.Key())
		switch {
		case previous == nil:
			report(s, Added)
		case s.Draining && !previous.Draining:
			report(s, Draining)
		case !s.Draining && previous.Draining:
			report(s, Resumed)
		}
	}
	for i := range old.servers {
		if _, removed := oldServers[old.servers[i].Key()]; removed {
			report(&old.servers[i], Removed)
		}
	}
}
