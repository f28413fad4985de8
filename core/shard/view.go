package shard

import (
	"time"

	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// ServerView is what an operator sees of one server.
type ServerView struct {
	ID          ident.ServerID `json:"id"`
	Address     string         `json:"address"`
	State       pool.State     `json:"state"`
	Since       time.Time      `json:"since"`
	Cause       detect.Cause   `json:"cause,omitempty"`
	Slots       int            `json:"slots"`
	Limit       int            `json:"limit"`
	Busy        int            `json:"busy"`
	Weight      int            `json:"weight"`
	Suspicion   float64        `json:"suspicion"`
	FailureRate float64        `json:"failureRate"`
	SlowRate    float64        `json:"slowRate"`
	ShedRate    float64        `json:"shedRate"`
	Flaps       int            `json:"flaps"`
	ProbeFailed bool           `json:"probeFailed"`
}

// View is what an operator sees of one shard.
type View struct {
	Service ident.ServiceID `json:"service"`
	Region  ident.RegionID  `json:"region"`
	// Owned says that this daemon is the owner, and no substitute.
	Owned    bool                   `json:"owned"`
	Capacity int                    `json:"capacity"`
	Busy     [ident.RankCount]int   `json:"busy"`
	Waiting  [ident.RankCount]int   `json:"waiting"`
	HoldMS   [ident.RankCount]int64 `json:"holdMillis"`
	Permits  PermitView             `json:"permits"`
	Servers  []ServerView           `json:"servers"`
}

// PermitView is the ejection permits of the daemon for the service, in slots.
type PermitView struct {
	Used    int `json:"used"`
	Allowed int `json:"allowed"`
}

// View returns the present state.
func (s *Shard) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{
		Service: s.options.ID.Service, Region: s.options.ID.Region,
		Capacity: s.load.Capacity, Busy: s.load.Busy, Waiting: s.queue.Waiting(),
	}
	for i, h := range s.load.Hold {
		v.HoldMS[i] = h.Milliseconds()
	}
	v.Permits.Used, v.Permits.Allowed = s.options.Permits.Usage()
	for _, m := range s.members {
		v.Servers = append(v.Servers, ServerView{
			ID: m.ID, Address: m.Address, State: m.State, Since: m.Since, Cause: m.cause,
			Slots: m.Slots, Limit: m.Limit, Busy: m.InFlight, Weight: m.Weight,
			Suspicion: m.detector.Suspicion(), FailureRate: m.failureRate(), SlowRate: m.slowRate(),
			ShedRate: m.shedRate(), Flaps: m.flaps, ProbeFailed: m.probeFailed,
		})
	}
	return v
}

// Load returns the slots of the usable servers, those in use, and the requests
// that wait.
func (s *Shard) Load() (capacity, busy, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.queue.Waiting()
	b := s.load.Busy
	return s.load.Capacity, b[0] + b[1] + b[2], w[0] + w[1] + w[2]
}
