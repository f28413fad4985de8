package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"bilberrymux/core/ident"
	"bilberrymux/core/kernel"
)

// Problem is one fault of a configuration or patch.
type Problem struct {
	// Path names the bad field, as services.history.floorSlots.
	Path string `json:"path"`
	Text string `json:"text"`
}

// InvalidError lists every fault that a check found.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Path+": "+p.Text)
	}
	return "config: " + strings.Join(lines, "; ")
}

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{c.problems}
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func (c *checker) name(path, name string) {
	if !nameForm.MatchString(name) {
		c.add(path, "name must be 1 to 100 letters, digits, dots, dashes or underscores")
	}
}

// Bounds of the configuration's numbers.
const (
	maxSlots         = 10_000
	maxFalseAlarm    = 0.1
	minSlowFactor    = 1.2
	maxSlowFactor    = 100
	maxQueueLimit    = 1_000_000
	maxAttempts      = 10
	maxExtraFraction = 1.0
	maxTimeoutMillis = 3_600_000
	maxWeight        = 1000
	shareTolerance   = 1e-9
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

func (c *checker) plugin(path string, slot kernel.PluginKind, name string) {
	if !kernel.IsRegistered(slot, name) {
		c.add(path, "unknown %s %q, known are %s", slot, name, strings.Join(kernel.Names(slot), ", "))
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
	if d.FalseAlarmRate <= 0 || d.FalseAlarmRate >= maxFalseAlarm {
		c.add(path+".falseAlarmRate", "must be above 0 and below %g", maxFalseAlarm)
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
