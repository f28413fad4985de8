// Package config holds the shared configuration: which backend servers serve
// which services, the routes with their ranks, the capacity floors and the
// organisations. A Config is one immutable version. Changes are patches
// against a numbered version.
package config

import (
	"cmp"
	"time"

	"bilberrymux/core/cowmap"
	"bilberrymux/core/ident"
)

// Server is one backend server of a service.
type Server struct {
	// Address is an IP address and port.
	Address string         `json:"address"`
	Region  ident.RegionID `json:"region"`
	Zone    ident.ZoneID   `json:"zone"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Leaving stops new work to the server.
	Leaving bool `json:"leaving,omitempty"`
}

// Detector selects and tunes the detection of failing servers.
type Detector struct {
	Name string `json:"name,omitempty"`
	// FalseAlarmRate is the accepted number of false alarms per request to a
	// sound server, above 0 and below 0.1.
	FalseAlarmRate float64 `json:"falseAlarmRate,omitempty"`
	// SlowFactor is how many times the peers' median latency counts as slow.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// Shares are the guaranteed parts of the slots, by rank. They add up to at
// most 1.
type Shares struct {
	Urgent     float64 `json:"urgent"`
	Normal     float64 `json:"normal"`
	Background float64 `json:"background"`
}

// ByIndex returns the shares in the order of ident.Ranks.
func (s Shares) ByIndex() [ident.RankCount]float64 {
	return [ident.RankCount]float64{s.Urgent, s.Normal, s.Background}
}

// Admission selects and tunes the queue of a service.
type Admission struct {
	Name   string `json:"name,omitempty"`
	Shares Shares `json:"shares"`
	// QueueLimit bounds the requests that wait in one rank of one shard.
	QueueLimit int `json:"queueLimit,omitempty"`
}

// Retry selects and tunes retries and hedges.
type Retry struct {
	Name string `json:"name,omitempty"`
	// ExtraFraction is the bound on extra attempts per request.
	ExtraFraction float64 `json:"extraFraction,omitempty"`
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// HedgeQuantile is the latency quantile after which an urgent request is
	// sent a second time. Zero turns hedging off.
	HedgeQuantile float64 `json:"hedgeQuantile,omitempty"`
}

// Service is one service.
type Service struct {
	// FloorSlots is the capacity, in slots, below which ejections never push
	// the service.
	FloorSlots int                       `json:"floorSlots"`
	Servers    map[ident.ServerID]Server `json:"servers"`
	Detector   Detector                  `json:"detector"`
	Picker     string                    `json:"picker,omitempty"`
	Admission  Admission                 `json:"admission"`
	Retry      Retry                     `json:"retry"`
}

// Capacity returns the sum of the slots of the servers that are not leaving.
func (s *Service) Capacity() int {
	total := 0
	for _, srv := range s.Servers {
		if !srv.Leaving {
			total += srv.Slots
		}
	}
	return total
}

// Route sends the requests under a path prefix to a service.
type Route struct {
	// Methods lists HTTP methods. An empty list stands for every method.
	Methods []string `json:"methods,omitempty"`
	// Prefix is a path that starts with a slash and matches whole segments.
	Prefix  string          `json:"prefix"`
	Service ident.ServiceID `json:"service"`
	Rank    ident.Rank      `json:"rank"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// KeyRequired refuses requests without an idempotency key on a route that
	// is not idempotent.
	KeyRequired bool `json:"keyRequired,omitempty"`
	// TimeoutMillis is the deadline of a request that names none.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Timeout returns the deadline of a request that names none.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Organisation is a caller organisation or app.
type Organisation struct {
	// Weight is its part of a rank's slots against other organisations.
	Weight int `json:"weight"`
}

// Config is one immutable version of the shared configuration. It is safe for
// concurrent use.
type Config struct {
	Version       ident.Version
	Services      cowmap.Map[*Service]
	Routes        cowmap.Map[*Route]
	Organisations cowmap.Map[*Organisation]
	// index maps a prefix to its routes by method.
	index cowmap.Map[[]methodRoute]
}

// Empty returns version 0, which has no entries.
func Empty() *Config {
	return &Config{}
}

// Service returns the service of that name, or nil.
func (c *Config) Service(id ident.ServiceID) *Service {
	s, _ := c.Services.Get(string(id))
	return s
}

// Weight returns the weight of an organisation. An unknown one has weight 1.
func (c *Config) Weight(id ident.OrganisationID) int {
	o, ok := c.Organisations.Get(string(id))
	if !ok {
		return 1
	}
	return o.Weight
}

// Defaults that fill what a service leaves out.
const (
	defaultDetector       = "cusum"
	defaultPicker         = "twoChoices"
	defaultAdmission      = "rankShares"
	defaultRetry          = "budget"
	defaultFalseAlarmRate = 1e-7
	defaultSlowFactor     = 3.0
	defaultQueueLimit     = 1000
	defaultExtraFraction  = 0.1
	defaultMaxAttempts    = 3
	defaultTimeoutMillis  = 5000
)

// defaultShares are the guaranteed shares of a service that names none.
var defaultShares = Shares{Urgent: 0.5, Normal: 0.3, Background: 0.1}

func (s *Service) fillDefaults() {
	s.Detector.Name = cmp.Or(s.Detector.Name, defaultDetector)
	s.Detector.FalseAlarmRate = cmp.Or(s.Detector.FalseAlarmRate, defaultFalseAlarmRate)
	s.Detector.SlowFactor = cmp.Or(s.Detector.SlowFactor, defaultSlowFactor)
	s.Picker = cmp.Or(s.Picker, defaultPicker)
	s.Admission.Name = cmp.Or(s.Admission.Name, defaultAdmission)
	s.Admission.Shares = cmp.Or(s.Admission.Shares, defaultShares)
	s.Admission.QueueLimit = cmp.Or(s.Admission.QueueLimit, defaultQueueLimit)
	s.Retry.Name = cmp.Or(s.Retry.Name, defaultRetry)
	s.Retry.ExtraFraction = cmp.Or(s.Retry.ExtraFraction, defaultExtraFraction)
	s.Retry.MaxAttempts = cmp.Or(s.Retry.MaxAttempts, defaultMaxAttempts)
}
