// Package experiment runs the production dispatch code against simulated backend servers and callers
// in virtual time. A script, a JSON file, defines the deployment, the load and the faults; a policy
// selects the plug-ins for detection, picking, admission and retries.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
)

// Deployment describes the size and the timing of a team's service.
type Deployment struct {
	Regions          []ident.RegionID
	ServersPerRegion int
	Slots            int
	FloorSlots       int
	FalseAlarmRate   float64
	// WorkMedian and WorkSpread are the parameters of the log-normal service time: its median and
	// the standard deviation of its logarithm.
	WorkMedian time.Duration
	WorkSpread float64
	// ConnectTime is the time that it takes to open a connection.
	ConnectTime time.Duration
	// ZoneDelay is the additional latency to a server in another availability zone.
	ZoneDelay time.Duration
	// Deadlines are the timeouts that callers set, by rank.
	Deadlines [ident.RankCount]time.Duration
	Shares    config.Shares
}

// deployments holds the current sizes of the two teams' services, by name.
var deployments = map[string]Deployment{
	"kalinis": {
		Regions: []ident.RegionID{"first", "second"}, ServersPerRegion: 4, Slots: 2, FloorSlots: 10,
		FalseAlarmRate: 1e-6, WorkMedian: 40 * time.Millisecond, WorkSpread: 0.4,
		ConnectTime: time.Millisecond, ZoneDelay: time.Millisecond,
		Deadlines: [ident.RankCount]time.Duration{time.Second, 2 * time.Second, 5 * time.Second},
		Shares:    config.Shares{Urgent: 0.5, Normal: 0.3, Background: 0.1},
	},
	"kirjapiiri": {
		Regions: []ident.RegionID{"north", "south"}, ServersPerRegion: 4, Slots: 4, FloorSlots: 24,
		FalseAlarmRate: 1e-9, WorkMedian: 60 * time.Millisecond, WorkSpread: 0.5,
		ConnectTime: time.Millisecond, ZoneDelay: 1500 * time.Microsecond,
		Deadlines: [ident.RankCount]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second},
		Shares:    config.Shares{Urgent: 0.4, Normal: 0.3, Background: 0.15},
	},
}

// Script defines one experiment.
type Script struct {
	Name       string `json:"name"`
	About      string `json:"about"`
	Deployment string `json:"deployment"`
	Seconds    int    `json:"seconds"`
	// Load is the offered load as a fraction of the capacity.
	Load float64 `json:"load"`
	// Mix is the fraction of the requests that each rank sends, in the order of the ranks.
	Mix [ident.RankCount]float64 `json:"mix"`
	// IdempotentFraction is the fraction of requests that are idempotent.
	IdempotentFraction float64 `json:"idempotentPart"`
	// ErrorFraction is the fraction of requests that fail at healthy servers.
	ErrorFraction float64 `json:"errorPart,omitempty"`
	// WorkFactor multiplies the service time, by rank. 0 means 1.
	WorkFactor [ident.RankCount]float64 `json:"workFactor,omitempty"`
	// ActualSlots is the number of requests that a server really runs at once. 0 means as many as
	// configured; another value simulates a wrong configuration.
	ActualSlots int `json:"slotsTruth,omitempty"`
	// MaxResends is how many times a caller resends, after 1 ms, a request that was refused as not
	// run.
	MaxResends int `json:"resend,omitempty"`
	// Dispatchers is the number of daemons that dispatch for each shard.
	Dispatchers int     `json:"dispatchers,omitempty"`
	Faults      []Fault `json:"faults,omitempty"`
	Floods      []Flood `json:"floods,omitempty"`
	// StoreOutages lists when the platform's store is unavailable, as pairs of start and end in
	// seconds.
	StoreOutages [][2]float64 `json:"storeDown,omitempty"`
	// FloorChanges set new floors during the run.
	FloorChanges []FloorChange `json:"floorChanges,omitempty"`
}

// Fault is a fault of one server during an interval. A server has at most one active fault: where
// several overlap, the last one in the script applies.
type Fault struct {
	// Server is a region and a number from 1, such as first-1, or "*" for all servers.
	Server string `json:"server"`
	// From and Until are in seconds from the start of the run.
	From  float64 `json:"from"`
	Until float64 `json:"until"`
	// FailFraction is the fraction of requests that fail.
	FailFraction float64 `json:"failPart,omitempty"`
	// SlowFactor multiplies the service time. 0 means no change.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Hang makes the server accept requests and never answer.
	Hang bool `json:"hang,omitempty"`
	// Dead makes the server refuse connections from all daemons. Unreachable makes connections from
	// the dispatching daemons time out, while the path check of other daemons succeeds.
	Dead        bool `json:"dead,omitempty"`
	Unreachable bool `json:"unreachable,omitempty"`
	// Silent makes the connections that are idle when the fault starts lose all data without being
	// closed.
	Silent bool `json:"silent,omitempty"`
	// Shed makes the server shed all requests.
	Shed     bool `json:"shed,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// FlapSeconds, if positive, switches the fault off and on again in periods of this length.
	FlapSeconds float64 `json:"flapSeconds,omitempty"`
	// Poison sends, once a second, a request that crashes the server that runs it. It applies to
	// the whole service.
	Poison bool `json:"poison,omitempty"`
	// Benign marks a fault that must not lead to an ejection.
	Benign bool `json:"sound,omitempty"`
}

// Flood multiplies the load of one rank during an interval.
type Flood struct {
	Rank ident.Rank `json:"rank"`
	// From and Until are in seconds from the start of the run.
	From   float64 `json:"from"`
	Until  float64 `json:"until"`
	Factor float64 `json:"factor"`
	// Organisation, if set, is the only organisation that sends the additional requests.
	Organisation ident.OrganisationID `json:"organisation,omitempty"`
}

// FloorChange sets the floor, in slots, at a time in seconds from the start of the run.
type FloorChange struct {
	At         float64 `json:"at"`
	FloorSlots int     `json:"floorSlots"`
}

// Default values of a script.
const (
	defaultSeconds = 60
	defaultLoad    = 0.5
)

var defaultMix = [ident.RankCount]float64{0.4, 0.35, 0.25}

// Load reads a script from a JSON file. It returns an error for unknown fields, an unknown
// deployment, and a duration, load or number of dispatchers that is not positive.
func Load(path string) (*Script, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	s := &Script{Seconds: defaultSeconds, Load: defaultLoad, Mix: defaultMix, IdempotentFraction: 0.8, Dispatchers: 1}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	if _, ok := deployments[s.Deployment]; !ok {
		return nil, fmt.Errorf("experiment: %s: unknown deployment %q", path, s.Deployment)
	}
	if s.Seconds < 1 || s.Load <= 0 || s.Dispatchers < 1 {
		return nil, fmt.Errorf("experiment: %s: seconds, load and dispatchers must be positive", path)
	}
	for i, f := range s.WorkFactor {
		if f == 0 {
			s.WorkFactor[i] = 1
		}
	}
	return s, nil
}

// Policy is a named selection of plug-ins.
type Policy struct {
	Name    string
	Service config.Service
}

// Policies returns the policies that scripts are run with: bilberrymux's own, round robin with
// timeouts only, and outlier detection by consecutive errors.
func Policies() []Policy {
	return []Policy{
		{"bilberrymux", config.Service{
			Detector: config.Detector{Name: "cusum", SlowFactor: 3}, Picker: "twoChoices",
			Admission: config.Admission{Name: "rankShares", QueueLimit: 1000},
			Retry:     config.Retry{Name: "budget", ExtraFraction: 0.1, MaxAttempts: 3, HedgeQuantile: 0.95},
		}},
		{"roundRobin", config.Service{
			Detector: config.Detector{Name: "none", SlowFactor: 3}, Picker: "roundRobin",
			Admission: config.Admission{Name: "fifo", QueueLimit: 1000},
			Retry:     config.Retry{Name: "none", ExtraFraction: 0.1, MaxAttempts: 1},
		}},
		{"outlier", config.Service{
			Detector: config.Detector{Name: "consecutive", SlowFactor: 3}, Picker: "twoChoices",
			Admission: config.Admission{Name: "fifo", QueueLimit: 1000},
			Retry:     config.Retry{Name: "budget", ExtraFraction: 0.1, MaxAttempts: 3},
		}},
	}
}

// at returns the time a number of seconds after start.
func at(start time.Time, seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}
