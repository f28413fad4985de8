package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
)

// Problem describes one invalid field of a configuration or patch.
type Problem struct {
	// Path is the dotted path of the invalid field, for example
	// services.history.floorSlots.
	Path string `json:"path"`
	// Text explains what is wrong with the field.
	Text string `json:"text"`
}

// InvalidError is returned for an invalid configuration or patch. It lists every problem found,
// not only the first.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems on one line, separated by semicolons.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Text)
	}
	return "config: " + strings.Join(lines, "; ")
}

// checker validates configuration entries and collects the problems found.
type checker struct {
	problems []Problem
}

// add records a problem with the field at path.
func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// err returns an *InvalidError with the collected problems, or nil if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{c.problems}
}

// namePattern matches valid names of entries and servers.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, "name must be 1 to 100 letters, digits, dots, dashes or underscores")
	}
}

// Limits for numeric settings.
const (
	maxSlots          = 10_000    // concurrent requests per server
	maxFalseAlarmRate = 0.1       // false alarms per request, exclusive
	minSlowFactor     = 1.2       // multiple of the peers' median latency
	maxSlowFactor     = 100       // multiple of the peers' median latency
	maxQueueLimit     = 1_000_000 // queued requests per rank and shard
	maxAttempts       = 10        // attempts per request, including the first
	maxExtraFraction  = 1.0       // extra attempts per request
	maxTimeoutMillis  = 3_600_000 // one hour
	maxWeight         = 1000      // relative weight of an organisation
	// shareTolerance allows for floating-point rounding in the sum of the shares.
	shareTolerance = 1e-9
)

func (c *checker) service(path string, s *Service) {
	for id, srv := range s.Servers {
		c.server(path+".servers."+string(id), string(id), &srv)
	}
	if s.FloorSlots < 0 {
		c.add(path+".floorSlots", "must not be negative")
	}
	if s.FloorSlots > s.Capacity() {
		c.add(path+".floorSlots", "is %d, above the capacity of %d slots", s.FloorSlots, s.Capacity())
	}
	c.plugin(path+".detector.name", kernel.DetectorKind, s.Detector.Name)
	c.plugin(path+".picker", kernel.PickerKind, s.Picker)
	c.plugin(path+".admission.name", kernel.AdmissionKind, s.Admission.Name)
	c.plugin(path+".retry.name", kernel.RetryKind, s.Retry.Name)
	c.detector(path+".detector", &s.Detector)
	c.admission(path+".admission", &s.Admission)
	c.retry(path+".retry", &s.Retry)
}

func (c *checker) plugin(path string, kind kernel.PluginKind, name string) {
	if !kernel.IsRegistered(kind, name) {
		c.add(path, "unknown %s %q, known are %s", kind, name, strings.Join(kernel.Names(kind), ", "))
	}
}

func (c *checker) server(path, name string, s *Server) {
	c.name(path, name)
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		c.add(path+".address", "must be an IP address and port, is %q", s.Address)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		c.add(path+".slots", "must be 1 to %d, is %d", maxSlots, s.Slots)
	}
	if s.Region == "" {
		c.add(path+".region", "is missing")
	}
	if s.Zone == "" {
		c.add(path+".zone", "is missing")
	}
}

func (c *checker) detector(path string, d *Detector) {
	if d.FalseAlarmRate <= 0 || d.FalseAlarmRate >= maxFalseAlarmRate {
		c.add(path+".falseAlarmRate", "must be above 0 and below %g", maxFalseAlarmRate)
	}
	if d.SlowFactor < minSlowFactor || d.SlowFactor > maxSlowFactor {
		c.add(path+".slowFactor", "must be %g to %d", minSlowFactor, maxSlowFactor)
	}
}

func (c *checker) admission(path string, a *Admission) {
	sum := 0.0
	for i, share := range a.Shares.ByIndex() {
		if share < 0 || share > 1 {
			c.add(fmt.Sprintf("%s.shares.%s", path, ident.Ranks[i]), "must be 0 to 1")
		}
		sum += share
	}
	if sum > 1+shareTolerance {
		c.add(path+".shares", "add up to %g, above 1", sum)
	}
	if a.QueueLimit < 1 || a.QueueLimit > maxQueueLimit {
		c.add(path+".queueLimit", "must be 1 to %d", maxQueueLimit)
	}
}

func (c *checker) retry(path string, r *Retry) {
	if r.ExtraFraction < 0 || r.ExtraFraction > maxExtraFraction {
		c.add(path+".extraFraction", "must be 0 to %g", maxExtraFraction)
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > maxAttempts {
		c.add(path+".maxAttempts", "must be 1 to %d", maxAttempts)
	}
	if r.HedgeQuantile < 0 || r.HedgeQuantile >= 1 {
		c.add(path+".hedgeQuantile", "must be 0 or above and below 1")
	}
}

func (c *checker) route(path string, r *Route, next *Config) {
	if !strings.HasPrefix(r.Prefix, "/") {
		c.add(path+".prefix", "must start with a slash")
	}
	if !r.Rank.Valid() {
		c.add(path+".rank", "must be urgent, normal or background, is %q", r.Rank)
	}
	if next.Service(r.Service) == nil {
		c.add(path+".service", "unknown service %q", r.Service)
	}
	if r.TimeoutMillis < 1 || r.TimeoutMillis > maxTimeoutMillis {
		c.add(path+".timeoutMillis", "must be 1 to %d", maxTimeoutMillis)
	}
	if r.KeyRequired && r.Idempotent {
		c.add(path+".keyRequired", "makes no sense on an idempotent route")
	}
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.Contains(m, " ") {
			c.add(path+".methods", "%q is no method", m)
		}
	}
}

func (c *checker) organisation(path string, o *Organisation) {
	if o.Weight < 1 || o.Weight > maxWeight {
		c.add(path+".weight", "must be 1 to %d", maxWeight)
	}
}
