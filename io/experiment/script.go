// Package experiment drives the real decision code with simulated servers and
// callers in virtual time. A script from a data file sets the deployment, the
// load and the faults; a policy says which plug-ins decide.
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

// Deployment is the size of one service of a team.
type Deployment struct {
	Regions          []ident.RegionID
	ServersPerRegion int
	Slots            int
	FloorSlots       int
	FalseAlarmRate   float64
	// WorkMedian and WorkSpread describe the time of work.
	WorkMedian time.Duration
	WorkSpread float64
	// ConnectTime is the time to open a connection.
	ConnectTime time.Duration
	// ZoneDelay is the time to a server of another zone.
	ZoneDelay time.Duration
	// Deadlines are the times that callers give, by rank.
	Deadlines [ident.RankCount]time.Duration
	Shares    config.Shares
}

// deployments are the two teams at the sizes of today.
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

// Script is one experiment.
type Script struct {
	Name       string `json:"name"`
	About      string `json:"about"`
	Deployment string `json:"deployment"`
	Seconds    int    `json:"seconds"`
	// Load is the offered load as a part of the capacity.
	Load float64 `json:"load"`
	// Mix is the part of each rank in the load, in the order of the ranks.
	Mix [ident.RankCount]float64 `json:"mix"`
	// IdempotentFraction is the part of requests that may be repeated.
	IdempotentFraction float64 `json:"idempotentPart"`
	// ErrorFraction is the part of work that fails at sound servers.
	ErrorFraction float64 `json:"errorPart,omitempty"`
	// WorkFactor multiplies the time of work, by rank.
	WorkFactor [ident.RankCount]float64 `json:"workFactor,omitempty"`
	// ActualSlots is what the servers really run at once, where the configured
	// slots are wrong.
	ActualSlots int `json:"slotsTruth,omitempty"`
	// MaxResends makes callers send refused requests again at once.
	MaxResends int `json:"resend,omitempty"`
	// Dispatchers is the number of daemons that dispatch for each shard.
	Dispatchers int     `json:"dispatchers,omitempty"`
	Faults      []Fault `json:"faults,omitempty"`
	Floods      []Flood `json:"floods,omitempty"`
	// StoreOutages is when the platform's store is away, as pairs of seconds.
	StoreOutages [][2]float64 `json:"storeDown,omitempty"`
	// FloorChanges raise or lower the floor while the script runs.
	FloorChanges []FloorChange `json:"floorChanges,omitempty"`
}

// Fault is what is wrong with one server for a while.
type Fault struct {
	// Server is a region and a number from 1, as first-1.
	Server string  `json:"server"`
	From   float64 `json:"from"`
	Until  float64 `json:"until"`
	// FailFraction is the part of work that fails.
	FailFraction float64 `json:"failPart,omitempty"`
	// SlowFactor multiplies the time of work.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	Hang       bool    `json:"hang,omitempty"`
	// Dead refuses connections; Unreachable loses them for this daemon only.
	Dead        bool `json:"dead,omitempty"`
	Unreachable bool `json:"unreachable,omitempty"`
	// Silent makes the connections that are open at the start go silent.
	Silent bool `json:"silent,omitempty"`
	// Shed sheds everything.
	Shed     bool `json:"shed,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// FlapSeconds switches the fault on and off.
	FlapSeconds float64 `json:"flapSeconds,omitempty"`
	// Poison sends, once a second, a request that kills the server that runs
	// it. It applies to the whole service.
	Poison bool `json:"poison,omitempty"`
	// Benign says that the fault is no reason to eject the server.
	Benign bool `json:"sound,omitempty"`
}

// Flood multiplies the load of one rank for a while.
type Flood struct {
	Rank   ident.Rank `json:"rank"`
	From   float64    `json:"from"`
	Until  float64    `json:"until"`
	Factor float64    `json:"factor"`
	// Organisation confines the flood to one organisation.
	Organisation ident.OrganisationID `json:"organisation,omitempty"`
}

// FloorChange sets the floor in slots.
type FloorChange struct {
	At         float64 `json:"at"`
	FloorSlots int     `json:"floorSlots"`
}

// Defaults of a script.
const (
	defaultSeconds = 60
	defaultLoad    = 0.5
)

var defaultMix = [ident.RankCount]float64{0.4, 0.35, 0.25}

// Load reads a script. Unknown fields and senseless values are errors.
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

// Policy is a named choice of plug-ins.
type Policy struct {
	Name    string
	Service config.Service
}

// Policies are the choices that a script is run with: the policy of the
// product, round robin with plain timeouts, and the usual outlier rule.
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

func at(start time.Time, seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}
