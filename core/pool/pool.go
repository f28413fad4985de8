// Package pool defines the state of the backend servers of a shard and the
// load-balancing policies (pickers) that choose among them. Servers and pickers are
// not safe for concurrent use: the shard that owns them serialises access.
package pool

import (
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
)

// State determines which requests a server may be sent.
type State string

// Values of State.
const (
	// Active servers receive requests of every kind, in proportion to their weight.
	Active State = "active"
	// Trial servers are being tested after an ejection. They receive one request at
	// a time, which must be idempotent and not of rank urgent.
	Trial State = "trial"
	// Ejected servers receive no requests. The shard holds permits for the slots of
	// each of them.
	Ejected State = "ejected"
	// Draining servers are about to stop and receive no new requests.
	Draining State = "draining"
)

// FullWeight is the weight of a server that receives its full share of the requests.
const FullWeight = 1000

// Server is a backend server with its state and its load from this daemon.
type Server struct {
	ID      ident.ServerID
	Address string
	Zone    ident.ZoneID
	// Slots is the configured number of requests that the server runs concurrently.
	Slots int
	State State
	// Since is the time at which the server entered its current State.
	Since time.Time
	// InFlight is the number of attempts in flight from this daemon, except those
	// whose connection is suspected to be silent.
	InFlight int
	// Limit is the current concurrency limit on InFlight. It adapts between 1 and
	// twice Slots.
	Limit int
	// Weight is the share of requests that the server is offered, in units of
	// 1/FullWeight.
	Weight int
}

// HasCapacity reports whether one more attempt stays within Limit.
func (s *Server) HasCapacity() bool {
	return s.InFlight < s.Limit
}

// PickRequest describes an attempt for which a server is to be picked.
type PickRequest struct {
	Rank       ident.Rank
	Idempotent bool
	// Tried lists the servers of earlier attempts of the same request, which are not
	// picked again.
	Tried []ident.ServerID
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Freed is a server on which a slot has just become free, or nil. It avoids a
	// scan of all servers when the others are at their limits.
	Freed *Server
	// Random is a random number from which the picker derives its choices.
	Random uint64
}

// eligible reports whether the state, load and history of the server allow the
// attempt. It ignores the weight.
func (r *PickRequest) eligible(s *Server) bool {
	if !s.HasCapacity() {
		return false
	}
	switch s.State {
	case Active:
	case Trial:
		if !r.Idempotent || r.Rank == ident.Urgent || s.InFlight > 0 {
			return false
		}
	default:
		return false
	}
	for _, id := range r.Tried {
		if id == s.ID {
			return false
		}
	}
	return true
}

// Picker chooses servers for attempts.
type Picker struct {
	// Pick returns the server for an attempt, or nil when no server is eligible.
	Pick func(servers []*Server, request *PickRequest) *Server
}

// Pickers is the registry of picker factories. Each call of a factory returns a
// picker with separate state.
var Pickers kernel.Registry[func() *Picker]

func init() {
	Pickers.Register(kernel.PickerKind, "twoChoices", newTwoChoices)
	Pickers.Register(kernel.PickerKind, "roundRobin", newRoundRobin)
}

// maxDraws is the number of random draws of twoChoices before it falls back to a scan.
const maxDraws = 4

// newTwoChoices returns a picker that draws two eligible servers at random and picks
// the less loaded one (Mitzenmacher 2001). A drawn server is rejected with a
// probability that grows as its weight falls.
func newTwoChoices() *Picker {
	return &Picker{Pick: pickTwoChoices}
}

func pickTwoChoices(servers []*Server, request *PickRequest) *Server {
	n := uint64(len(servers))
	if n == 0 {
		return nil
	}
	rnd := request.Random
	var best *Server
	for range maxDraws {
		s := servers[(rnd>>32)%n]
		threshold := int(rnd % FullWeight)
		rnd = splitmix64(rnd)
		if threshold >= s.Weight || !request.eligible(s) {
			continue
		}
		if best == nil {
			best = s
			continue
		}
		if s != best && lessLoaded(s, best, request) {
			best = s
		}
		return best
	}
	if best != nil {
		return best
	}
	if freed := request.Freed; freed != nil && freed.State == Active && 2*freed.Weight >= FullWeight && request.eligible(freed) {
		return freed
	}
	return scan(servers, request, rnd)
}

// scan searches all servers from a random start. It returns the first eligible
// active server with at least half of FullWeight. If there is none, it returns the
// eligible active server with the highest weight, so that a suspect server is used
// only if no other is available.
func scan(servers []*Server, request *PickRequest, rnd uint64) *Server {
	n := len(servers)
	start := int(rnd % uint64(n))
	var fallback *Server
	for i := range n {
		s := servers[(start+i)%n]
		if s.State != Active || !request.eligible(s) {
			continue
		}
		if 2*s.Weight >= FullWeight {
			return s
		}
		if fallback == nil || s.Weight > fallback.Weight {
			fallback = s
		}
	}
	return fallback
}

// lessLoaded reports whether a uses a smaller fraction of its limit than b. At equal
// load it prefers the server in the daemon's own availability zone.
func lessLoaded(a, b *Server, request *PickRequest) bool {
	loadA, loadB := a.InFlight*b.Limit, b.InFlight*a.Limit
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Zone == request.Zone && b.Zone != request.Zone
}

// splitmix64 returns the next number of a SplitMix64 generator. The number itself is
// the only state.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// newRoundRobin returns a picker that takes eligible servers in turn and ignores
// their weights. It is the baseline of the experiments.
func newRoundRobin() *Picker {
	nextIndex := 0
	return &Picker{Pick: func(servers []*Server, request *PickRequest) *Server {
		for range servers {
			s := servers[nextIndex%len(servers)]
			nextIndex++
			if request.eligible(s) {
				return s
			}
		}
		return nil
	}}
}
