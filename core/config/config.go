// Package config implements the configuration shared by all daemons of a fleet: the services
// with their backend servers and capacity floors, the routes with their ranks, and the
// organisations. A Config is one immutable, numbered version. Applying a Patch to it returns
// the next version.
package config

import (
	"cmp"
	"time"

	"bilberrymux/core/cowmap"
	"bilberrymux/core/ident"
)

// Server configures a backend server of a service.
type Server struct {
	// Address is the IP address and port of the server, without a host name.
	Address string         `json:"address"`
	Region  ident.RegionID `json:"region"`
	Zone    ident.ZoneID   `json:"zone"`
	// Slots is the maximum number of concurrent requests on the server.
	Slots int `json:"slots"`
	// Leaving marks the server as draining: it gets no new requests, and its slots no longer
	// count towards the capacity of the service.
	Leaving bool `json:"leaving,omitempty"`
}

// Detector selects and configures the detector of failing backend servers.
type Detector struct {
	Name string `json:"name,omitempty"`
	// FalseAlarmRate is the accepted number of false alarms per request to a healthy server. It
	// is above 0 and below 0.1.
	FalseAlarmRate float64 `json:"falseAlarmRate,omitempty"`
	// SlowFactor is the multiple of the median latency of the server's peers above which the
	// server counts as slow.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// Shares holds the fraction of a service's slots that is guaranteed to each rank. The sum is at
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

// Admission selects and configures the admission queue of a service.
type Admission struct {
	Name   string `json:"name,omitempty"`
	Shares Shares `json:"shares"`
	// QueueLimit is the maximum number of queued requests per rank and shard.
	QueueLimit int `json:"queueLimit,omitempty"`
}

// Retry selects and configures the policy for retries and hedged requests.
type Retry struct {
	Name string `json:"name,omitempty"`
	// ExtraFraction is the maximum number of extra attempts per request, as an average over the
	// requests of the service.
	ExtraFraction float64 `json:"extraFraction,omitempty"`
	// MaxAttempts is the maximum number of attempts per request, including the first.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// HedgeQuantile is the latency quantile after which a hedge is sent for an urgent request
	// that has no response yet. Zero disables hedging.
	HedgeQuantile float64 `json:"hedgeQuantile,omitempty"`
}

// Service configures a service: its backend servers and the plug-ins that handle its requests.
type Service struct {
	// FloorSlots is the minimum capacity, in slots. Ejections never reduce the capacity of the
	// service below it.
	FloorSlots int                       `json:"floorSlots"`
	Servers    map[ident.ServerID]Server `json:"servers"`
	Detector   Detector                  `json:"detector"`
	// Picker is the name of the plug-in that selects a server for each request.
	Picker    string    `json:"picker,omitempty"`
	Admission Admission `json:"admission"`
	Retry     Retry     `json:"retry"`
}

// Capacity returns the total number of slots of all servers that are not draining.
func (s *Service) Capacity() int {
	total := 0
	for _, srv := range s.Servers {
		if !srv.Leaving {
			total += srv.Slots
		}
	}
	return total
}

// Route maps requests under a path prefix to a service.
type Route struct {
	// Methods lists the HTTP methods that the route serves. An empty list means all methods.
	Methods []string `json:"methods,omitempty"`
	// Prefix is a path prefix that starts with a slash. It matches whole path segments only.
	Prefix  string          `json:"prefix"`
	Service ident.ServiceID `json:"service"`
	Rank    ident.Rank      `json:"rank"`
	// Idempotent reports whether a request may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// KeyRequired makes the proxy refuse requests without an idempotency key. It is only valid
	// on a route that is not idempotent.
	KeyRequired bool `json:"keyRequired,omitempty"`
	// TimeoutMillis is the timeout, in milliseconds, of a request that doesn't specify one.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Timeout returns the timeout of a request that doesn't specify one.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Organisation configures an organisation or app whose callers send requests.
type Organisation struct {
	// Weight is the organisation's relative share of a rank's slots when it competes with other
	// organisations.
	Weight int `json:"weight"`
}

// Config is one immutable version of the shared configuration. It is safe for
// concurrent use.
type Config struct {
	Version       ident.Version
	Services      cowmap.Map[*Service]
	Routes        cowmap.Map[*Route]
	Organisations cowmap.Map[*Organisation]
	// index maps a prefix without trailing slashes to its routes, one element per method.
	index cowmap.Map[[]methodRoute]
}

// Empty returns the initial configuration, which has version 0 and no entries.
func Empty() *Config {
	return &Config{}
}

// Service returns the service with the given name, or nil if there is none.
func (c *Config) Service(id ident.ServiceID) *Service {
	s, _ := c.Services.Get(string(id))
	return s
}

// Weight returns the weight of an organisation. The weight of an unknown organisation is 1.
func (c *Config) Weight(id ident.OrganisationID) int {
	o, ok := c.Organisations.Get(string(id))
	if !ok {
		return 1
	}
	return o.Weight
}

// Defaults for settings that a service or route leaves out.
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
	defaultTimeoutMillis  = 5000 // 5 s
)

// defaultShares holds the guaranteed shares of a service that specifies none.
var defaultShares = Shares{Urgent: 0.5, Normal: 0.3, Background: 0.1}

// fillDefaults sets each zero setting that has a default to that default. Therefore, a service can't
// set these settings to zero.
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
