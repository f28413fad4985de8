// Package settings holds the settings of one daemon process, read from a JSON
// file and overridden by flags.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"bilberrymux/core/ident"
)

// Settings holds the settings of one process. Addresses are IP addresses with a port.
type Settings struct {
	VM     ident.VMID     `json:"vm" long:"vm" description:"name of this VM"`
	Region ident.RegionID `json:"region" long:"region" description:"region of this VM"`
	Zone   ident.ZoneID   `json:"zone" long:"zone" description:"availability zone of this VM"`

	CallerAddress string `json:"callerAddress" long:"caller-address" description:"where callers are served"`
	PeerAddress   string `json:"peerAddress" long:"peer-address" description:"where other daemons are served"`
	AdminAddress  string `json:"adminAddress" long:"admin-address" description:"where operators are served"`

	PlatformAddress string `json:"platformAddress" long:"platform-address" description:"the platform's table service, object store and VM list"`
	// SeedPeers are peer addresses of other daemons, contacted at the start while the store
	// is unreachable. Addresses of daemons that no longer exist are harmless.
	SeedPeers    []string `json:"seedPeers,omitempty" long:"seed-peer" description:"peer address of another daemon, asked at the start while the store is away; repeat for more"`
	AdminKeyFile string   `json:"adminKeyFile" long:"admin-key-file" description:"file with the operators' key"`

	LogLevel  string `json:"logLevel" long:"log-level" description:"error, warn, info or debug"`
	LogFormat string `json:"logFormat" long:"log-format" description:"text or json"`

	MaxBodyBytes     int `json:"maxBodyBytes" long:"max-body-bytes" description:"limit of a request body"`
	StopSeconds      int `json:"stopSeconds" long:"stop-seconds" description:"bound on a planned stop"`
	LocateTTLSeconds int `json:"locateTtlSeconds" long:"locate-ttl-seconds" description:"how long callers keep a locate answer"`
	// LinkBytesPerSecond limits the traffic that this daemon sends to other regions.
	LinkBytesPerSecond int `json:"linkBytesPerSecond" long:"link-bytes-per-second" description:"budget for other regions"`
	KeyMemorySeconds   int `json:"keyMemorySeconds" long:"key-memory-seconds" description:"how long idempotency keys are remembered"`
	AnswerDays         int `json:"answerDays" long:"answer-days" description:"how long kept answers stay in the table"`
	KeyDays            int `json:"keyDays" long:"key-days" description:"how long claim rows stay in the table"`

	// TestLinks is the address of a stand-in platform whose link rules apply to this process.
	// It is for tests only.
	TestLinks string `json:"testLinks,omitempty" long:"test-links" description:"take link rules from this stand-in (tests only)"`
}

// Default returns the default values of the settings that a file may omit.
func Default() Settings {
	return Settings{
		LogLevel: "info", LogFormat: "text",
		MaxBodyBytes: 4 << 20, StopSeconds: 30, LocateTTLSeconds: 10,
		LinkBytesPerSecond: 3 << 20, KeyMemorySeconds: 24 * 3600, AnswerDays: 1, KeyDays: 30,
	}
}

// Load reads a settings file and applies it to the defaults. Unknown fields are errors. It does
// not validate the values.
func Load(path string) (Settings, error) {
	s := Default()
	body, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// namePattern matches valid names of VMs, regions and zones.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,60}$`)

// Check returns an error that lists every invalid field, or nil.
func (s *Settings) Check() error {
	var problems []string
	add := func(field, format string, args ...any) {
		problems = append(problems, field+": "+fmt.Sprintf(format, args...))
	}
	names := []struct{ field, value string }{
		{"vm", string(s.VM)}, {"region", string(s.Region)}, {"zone", string(s.Zone)},
	}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			add(n.field, "must be 1 to 60 letters, digits, dashes or underscores, is %q", n.value)
		}
	}
	addresses := []struct{ field, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"adminAddress", s.AdminAddress},
		{"platformAddress", s.PlatformAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, "must be an IP address and port, is %q", a.value)
		}
	}
	for i, a := range s.SeedPeers {
		if _, err := netip.ParseAddrPort(a); err != nil {
			add(fmt.Sprintf("seedPeers[%d]", i), "must be an IP address and port, is %q", a)
		}
	}
	if s.AdminKeyFile == "" {
		add("adminKeyFile", "is missing")
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		add("logFormat", "must be text or json, is %q", s.LogFormat)
	}
	switch s.LogLevel {
	case "error", "warn", "info", "debug":
	default:
		add("logLevel", "must be error, warn, info or debug, is %q", s.LogLevel)
	}
	s.checkNumbers(add)
	if len(problems) > 0 {
		return fmt.Errorf("settings: %s", strings.Join(problems, "; "))
	}
	return nil
}

// checkNumbers validates the numbers and reports each invalid one through add.
func (s *Settings) checkNumbers(add func(field, format string, args ...any)) {
	numbers := []struct {
		field            string
		value, low, high int
	}{
		{"maxBodyBytes", s.MaxBodyBytes, 1, 12 << 20},
		{"stopSeconds", s.StopSeconds, 1, 3600},
		{"locateTtlSeconds", s.LocateTTLSeconds, 1, 3600},
		{"linkBytesPerSecond", s.LinkBytesPerSecond, 0, 1 << 40},
		{"keyMemorySeconds", s.KeyMemorySeconds, 60, 30 * 24 * 3600},
		{"answerDays", s.AnswerDays, 1, 365},
		{"keyDays", s.KeyDays, 1, 3650},
	}
	for _, n := range numbers {
		if n.value < n.low || n.value > n.high {
			add(n.field, "must be %d to %d, is %d", n.low, n.high, n.value)
		}
	}
	if s.AnswerDays > s.KeyDays {
		add("answerDays", "must not be above keyDays")
	}
	if time.Duration(s.KeyMemorySeconds)*time.Second > time.Duration(s.KeyDays)*24*time.Hour {
		add("keyMemorySeconds", "must not be above keyDays")
	}
}

// ReadKey reads the operators' key from a file and trims white space from its ends. It returns an
// error if the key is shorter than minKeyLength.
func ReadKey(path string) (string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("settings: admin key: %w", err)
	}
	key := strings.TrimSpace(string(body))
	if len(key) < minKeyLength {
		return "", fmt.Errorf("settings: admin key: must have at least %d bytes", minKeyLength)
	}
	return key, nil
}

// minKeyLength is the minimum length of the operators' key in bytes.
const minKeyLength = 16
