package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"bilberrymux/core/ident"
)

// Seconds is a time in a settings file, in seconds with fractions.
type Seconds float64

// Duration returns the time.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Edge are the settings of a daemon on the users' platform. Addresses are IP
// numbers with a port.
type Edge struct {
	VM     ident.VMID     `json:"vm"`
	Zone   ident.ZoneID   `json:"zone"`
	Region ident.RegionID `json:"region"`
	// Zones names the region of each availability zone.
	Zones map[ident.ZoneID]ident.RegionID `json:"zones"`
	// IP is the address of this VM without a port.
	IP string `json:"ip"`
	// CallerAddress, ReadyAddress and LocateAddress are where callers are
	// served, where the platform asks whether the daemon is ready, and where
	// callers ask for addresses.
	CallerAddress string `json:"callerAddress"`
	ReadyAddress  string `json:"readyAddress"`
	LocateAddress string `json:"locateAddress"`
	// PeerPorts are the first and the last port that are free between daemons.
	PeerPorts []int `json:"peerPorts"`
	// Seeds are addresses of other daemons at the start; only their IP numbers
	// are used, and some may be gone.
	Seeds []string `json:"seeds"`
	// MetricsPort serves counters and histograms to operators.
	MetricsPort int `json:"metricsPort"`
	// Store is where the platform's store is reached.
	Store string `json:"store"`
	// MemoryMB bounds the memory of the process.
	MemoryMB int `json:"memoryMb"`
	// CPUShare is the part of a core that the VM has.
	CPUShare float64 `json:"cpuShare"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// Bootstrap says that the whole system starts for the first time, so that no
	// earlier process can have spent what this one may.
	Bootstrap bool   `json:"bootstrap"`
	Bounds    Bounds `json:"bounds"`
	// LogLevel is error, warn, info or debug.
	LogLevel string `json:"logLevel"`
}

// Bounds are what the operators promise their users.
type Bounds struct {
	// Grace is the time between the request to stop and the end by force.
	Grace Seconds `json:"grace"`
	// Drain is the time in which a leaving server must get no more work.
	Drain Seconds `json:"drain"`
	// Config is the time in which a version must be in force.
	Config Seconds `json:"config"`
	// LocateLifetime is the longest time that a locate answer may be kept.
	LocateLifetime Seconds `json:"locateLifetime"`
	// ExtraAttemptRatio and FurtherReserve bound the arrivals at the servers of a
	// service beyond the first of each request, over all daemons in any
	// ExtraAttemptWindow: the ratio of its requests, and the reserve.
	ExtraAttemptRatio   float64 `json:"furtherRatio"`
	ExtraAttemptReserve float64 `json:"furtherReserve"`
	ExtraAttemptWindow  Seconds `json:"furtherWindow"`
	// FloorShare is the part of a service's sound servers that stay in use.
	FloorShare float64 `json:"floorShare"`
}

// LoadEdge reads and checks a settings file. Unknown fields are errors.
func LoadEdge(path string) (*Edge, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Edge{LogLevel: "info"}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Check returns an error that names every bad field, or nil.
func (s *Edge) Check() error {
	var problems []string
	add := func(field, format string, args ...any) {
		problems = append(problems, field+": "+fmt.Sprintf(format, args...))
	}
	if s.VM == "" {
		add("vm", "is missing")
	}
	if region, ok := s.Zones[s.Zone]; !ok || region != s.Region {
		add("zones", "must name region %q for zone %q", s.Region, s.Zone)
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		add("ip", "must be an IP number, is %q", s.IP)
	}
	addresses := []struct{ field, value string }{
		{"callerAddress", s.CallerAddress},
		{"readyAddress", s.ReadyAddress},
		{"locateAddress", s.LocateAddress},
		{"store", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "must be an IP number and port, is %q", a.value)
		}
	}
	if len(s.PeerPorts) != 2 || s.PeerPorts[0] < 1 || s.PeerPorts[1] < s.PeerPorts[0] {
		add("peerPorts", "must be the first and the last port, is %v", s.PeerPorts)
	}
	s.checkBounds(add)
	if len(problems) > 0 {
		return fmt.Errorf("%s", strings.Join(problems, "; "))
	}
	return nil
}

func (s *Edge) checkBounds(add func(field, format string, args ...any)) {
	numbers := []struct {
		field string
		value float64
	}{
		{"memoryMb", float64(s.MemoryMB)},
		{"cpuShare", s.CPUShare},
		{"linkMbps", s.LinkMbps},
		{"bounds.grace", float64(s.Bounds.Grace)},
		{"bounds.drain", float64(s.Bounds.Drain)},
		{"bounds.config", float64(s.Bounds.Config)},
		{"bounds.locateLifetime", float64(s.Bounds.LocateLifetime)},
		{"bounds.furtherWindow", float64(s.Bounds.ExtraAttemptWindow)},
	}
	for _, n := range numbers {
		if n.value <= 0 {
			add(n.field, "must be above 0, is %v", n.value)
		}
	}
	if s.Bounds.ExtraAttemptRatio < 0 || s.Bounds.ExtraAttemptReserve < 0 {
		add("bounds.furtherRatio", "must not be negative")
	}
}
