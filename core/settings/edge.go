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

// Seconds is a duration in a settings file, in seconds with fractions.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Edge holds the settings of an edge daemon, which the platform writes to a JSON file. Addresses
// are IP addresses with a port.
type Edge struct {
	// VM, Zone and Region identify the VM of the daemon and its location.
	VM     ident.VMID     `json:"vm"`
	Zone   ident.ZoneID   `json:"zone"`
	Region ident.RegionID `json:"region"`
	// Zones maps each availability zone to its region.
	Zones map[ident.ZoneID]ident.RegionID `json:"zones"`
	// IP is the IP address of this VM, without a port.
	IP string `json:"ip"`
	// CallerAddress is the listen address for requests of callers.
	CallerAddress string `json:"callerAddress"`
	// ReadyAddress is the listen address for the platform's readiness checks.
	ReadyAddress string `json:"readyAddress"`
	// LocateAddress is the listen address for locate requests, by which callers get the
	// addresses of daemons.
	LocateAddress string `json:"locateAddress"`
	// PeerPorts holds the first and the last port of the range that daemons may use among
	// themselves.
	PeerPorts []int `json:"peerPorts"`
	// Seeds are addresses of other daemons to contact at the start. Only their IP addresses
	// are used, without the ports. Some of these daemons may no longer exist.
	Seeds []string `json:"seeds"`
	// MetricsPort is the port that serves counters and histograms to operators.
	MetricsPort int `json:"metricsPort"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int `json:"memoryMb"`
	// CPUShare is the CPU capacity of the VM in cores.
	CPUShare float64 `json:"cpuShare"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// Bootstrap reports whether the whole fleet starts for the first time. Then no earlier
	// process can have used up budgets, and the daemon may start with tokens in them.
	Bootstrap bool `json:"bootstrap"`
	// Bounds holds the guarantees that the daemon must keep.
	Bounds Bounds `json:"bounds"`
	// LogLevel is error, warn, info or debug. The default is info.
	LogLevel string `json:"logLevel"`
}

// Bounds holds the service guarantees that the operators give to their users.
type Bounds struct {
	// Grace is the time between the signal to stop and the forced termination of the process.
	Grace Seconds `json:"grace"`
	// Drain is the maximum time until a draining server gets no new requests.
	Drain Seconds `json:"drain"`
	// Config is the maximum time until a new version of the configuration is in effect.
	Config Seconds `json:"config"`
	// LocateLifetime is the maximum time for which callers may cache a locate response.
	LocateLifetime Seconds `json:"locateLifetime"`
	// ExtraAttemptRatio, ExtraAttemptReserve and ExtraAttemptWindow limit the extra attempts,
	// which are those beyond the first of each request, that arrive at the servers of a
	// service. In any window of length ExtraAttemptWindow, all daemons together may send
	// ExtraAttemptRatio times the number of the service's requests, plus ExtraAttemptReserve.
	ExtraAttemptRatio   float64 `json:"furtherRatio"`
	ExtraAttemptReserve float64 `json:"furtherReserve"`
	ExtraAttemptWindow  Seconds `json:"furtherWindow"`
	// FloorShare is the share, from 0 to 1, of a service's healthy servers that must stay in
	// use.
	FloorShare float64 `json:"floorShare"`
}

// LoadEdge reads and validates a settings file. Unknown fields are errors.
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

// Check returns an error that lists every invalid field, or nil.
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
		add("ip", "must be an IP address, is %q", s.IP)
	}
	addresses := []struct{ field, value string }{
		{"callerAddress", s.CallerAddress},
		{"readyAddress", s.ReadyAddress},
		{"locateAddress", s.LocateAddress},
		{"store", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "must be an IP address and port, is %q", a.value)
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

// checkBounds validates the numbers and reports each invalid one through add.
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
