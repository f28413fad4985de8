// Package pool holds the backend servers of one shard as the picker sees them,
// and the pickers. Nothing here is safe for concurrent use: the shard that owns
// the servers serialises access.
package pool

import (
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
)

// State is what a server may be given.
type State string

// The states of a server.
const (
	// Active servers take all work, thinned by their weight.
	Active State = "active"
	// Trial servers come back from an ejection and take a trickle of
	// idempotent work that is not urgent.
	Trial State = "trial"
	// Ejected servers take no work. The shard holds a permit for each.
	Ejected State = "ejected"
	// Draining servers announced that they stop and take no new work.
	Draining State = "draining"
)

// FullWeight is the weight of a server that takes its whole part.
const FullWeight = 1000

// Server is one backend server and what is known about its load.
type Server struct {
	ID      ident.ServerID
	Address string
	Zone    ident.ZoneID
	// Slots is the configured number of requests run at once.
	Slots int
	State State
	// Since is when State was entered.
	Since time.Time
	// Busy counts the attempts in flight from this daemon.
	Busy int
	// Limit is the present bound on Busy; it adapts between 1 and twice Slots.
	Limit int
	// Weight thins the work that the server is offered, in 1/FullWeight.
	Weight int
}

// Free reports whether the server has room for one more attempt.
func (s *Server) Free() bool {
	return s.Busy < s.Limit
}

// Ask describes the attempt that needs a server.
type Ask struct {
	Rank       ident.Rank
	Idempotent bool
	// Tried lists the servers that earlier attempts of the request used.
	Tried []ident.ServerID
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Freed is a server that has just got a free slot, or nil. It spares the
	// search where all others are busy.
	Freed *Server
	// Random is a random number that the picker may consume.
	Random uint64
}

// may reports whether the server may take the attempt at all.
func (a *Ask) may(s *Server) bool {
	if !s.Free() {
		return false
	}
	switch s.State {
	case Active:
	case Trial:
		if !a.Idempotent || a.Rank == ident.Urgent || s.Busy > 0 {
			return false
		}
	default:
		return false
	}
	for _, id := range a.Tried {
		if id == s.ID {
			return false
		}
	}
	return true
}

// Picker chooses a server for an attempt. It returns nil when none may take it.
type Picker struct {
	Pick func(servers []*Server, ask *Ask) *Server
}

// Pickers is the registry of pickers. Each call of a factory returns a picker
// with a state of its own.
var Pickers kernel.Registry[func() *Picker]

func init() {
	Pickers.Register(kernel.PickerKind, "twoChoices", newTwoChoices)
	Pickers.Register(kernel.PickerKind, "roundRobin", newRoundRobin)
}

// drawAttempts is how often twoChoices draws before it scans.
const drawAttempts = 4

// newTwoChoices returns the picker that draws two servers and takes the less
// loaded one (Mitzenmacher 2001). Thinning by weight happens at the draw.
func newTwoChoices() *Picker {
	return &Picker{Pick: pickTwoChoices}
}

func pickTwoChoices(servers []*Server, ask *Ask) *Server {
	n := uint64(len(servers))
	if n == 0 {
		return nil
	}
	rnd := ask.Random
	var best *Server
	for range drawAttempts {
		s := servers[(rnd>>32)%n]
		thin := int(rnd % FullWeight)
		rnd = next(rnd)
		if thin >= s.Weight || !ask.may(s) {
			continue
		}
		if best == nil {
			best = s
			continue
		}
		if s != best && lighter(s, best, ask) {
			best = s
		}
		return best
	}
	if best != nil {
		return best
	}
	if f := ask.Freed; f != nil && f.State == Active && 2*f.Weight >= FullWeight && ask.may(f) {
		return f
	}
	return scan(servers, ask, rnd)
}

// scan walks all servers from a random start. Servers with at least half of
// the full weight go first, so that a suspect is used for lack of others only.
func scan(servers []*Server, ask *Ask, rnd uint64) *Server {
	n := len(servers)
	start := int(rnd % uint64(n))
	var spare *Server
	for i := range n {
		s := servers[(start+i)%n]
		if s.State != Active || !ask.may(s) {
			continue
		}
		if 2*s.Weight >= FullWeight {
			return s
		}
		if spare == nil || s.Weight > spare.Weight {
			spare = s
		}
	}
	return spare
}

// lighter reports whether a has the smaller part of its limit in use. Between
// equals the server in the daemon's own zone is the lighter one.
func lighter(a, b *Server, ask *Ask) bool {
	loadA, loadB := a.Busy*b.Limit, b.Busy*a.Limit
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Zone == ask.Zone && b.Zone != ask.Zone
}

// next is one step of splitmix64, which needs no state of its own.
func next(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// newRoundRobin returns the picker that takes servers in turn whatever their
// weight. It is the baseline of the experiments.
func newRoundRobin() *Picker {
	turn := 0
	return &Picker{Pick: func(servers []*Server, ask *Ask) *Server {
		for range servers {
			s := servers[turn%len(servers)]
			turn++
			if ask.may(s) {
				return s
			}
		}
		return nil
	}}
}
