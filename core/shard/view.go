package shard

import (
	"time"

	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
)

// ServerView is the state of one server as shown to operators.
type ServerView struct {
	ID      ident.ServerID `json:"id"`
	Address string         `json:"address"`
	State   pool.State     `json:"state"`
	Since   time.Time      `json:"since"`
	Cause   detect.Cause   `json:"cause,omitempty"`
	// Slots is the configured number of slots, Limit the current concurrency limit, and Busy the
	// number of slots in use by this daemon.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	Busy  int `json:"busy"`
	// Weight is in units of 1/pool.FullWeight.
	Weight int `json:"weight"`
	// Suspicion is the evidence as a fraction of the alarm threshold, 0 to 1.
	Suspicion float64 `json:"suspicion"`
	// FailureRate, SlowRate and ShedRate are moving averages, as fractions of the attempts.
	FailureRate float64 `json:"failureRate"`
	SlowRate    float64 `json:"slowRate"`
	ShedRate    float64 `json:"shedRate"`
	// Flaps is the number of ejections since the server was last stable.
	Flaps       int  `json:"flaps"`
	ProbeFailed bool `json:"probeFailed"`
}

// View is the state of one shard as shown to operators.
type View struct {
	Service ident.ServiceID `json:"service"`
	Region  ident.RegionID  `json:"region"`
	// Owned reports whether this daemon owns the shard, rather than substituting for the owner.
	Owned    bool                 `json:"owned"`
	Capacity int                  `json:"capacity"`
	Busy     [ident.RankCount]int `json:"busy"`
	Waiting  [ident.RankCount]int `json:"waiting"`
	// HoldMS is the mean time that an attempt holds its slot, in milliseconds, by rank.
	HoldMS  [ident.RankCount]int64 `json:"holdMillis"`
	Permits PermitView             `json:"permits"`
	Servers []ServerView           `json:"servers"`
}

// PermitView is the daemon's use of the service's ejection permits, in slots.
type PermitView struct {
	Used    int `json:"used"`
	Allowed int `json:"allowed"`
}

// View returns a snapshot of the shard's state. Owned is left for the caller to set.
func (s *Shard) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{
		Service: s.options.ID.Service, Region: s.options.ID.Region,
		Capacity: s.load.Capacity, Busy: s.load.Busy, Waiting: s.queue.Waiting(),
	}
	for i, h := range s.load.MeanHoldTime {
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

// Load returns the total slot limit of the active servers, the number of those slots in use, and
// the number of queued requests.
func (s *Shard) Load() (capacity, busy, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.queue.Waiting()
	b := s.load.Busy
	return s.load.Capacity, b[0] + b[1] + b[2], w[0] + w[1] + w[2]
}
