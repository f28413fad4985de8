// Package meter holds the counters, gauges and latency histograms of a process and exports them
// in the Prometheus text exposition format.
package meter

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// latencySamples is the number of values in the uniform sample of each histogram.
const latencySamples = 1024

// Set holds the metrics of one process. It is safe for concurrent use. A metric is created when
// its name is first used.
type Set struct {
	registry metrics.Registry
	// counters and histograms cache the metrics of the registry by name, because each lookup
	// in the registry takes a single lock shared by all metrics.
	counters   sync.Map
	histograms sync.Map
}

// New returns an empty set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Count adds 1 to a counter.
func (s *Set) Count(name string) {
	s.Add(name, 1)
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) {
	s.counter(name).Inc(n)
}

// Counter returns the value of a counter.
func (s *Set) Counter(name string) int64 {
	return s.counter(name).Count()
}

// counter returns the counter with the name and creates it if necessary.
func (s *Set) counter(name string) metrics.Counter {
	c, ok := s.counters.Load(name)
	if !ok {
		c, _ = s.counters.LoadOrStore(name, metrics.GetOrRegisterCounter(name, s.registry))
	}
	return c.(metrics.Counter)
}

// Set sets the value of a gauge.
func (s *Set) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(value)
}

// Observe adds a duration to a histogram, whose unit is microseconds.
func (s *Set) Observe(name string, duration time.Duration) {
	h, ok := s.histograms.Load(name)
	if !ok {
		h, _ = s.histograms.LoadOrStore(name, s.registry.GetOrRegister(name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewUniformSample(latencySamples))
		}))
	}
	h.(metrics.Histogram).Update(duration.Microseconds())
}

// All returns the values of all metrics by name, in a form that can be encoded as JSON.
func (s *Set) All() map[string]map[string]any {
	return s.registry.GetAll()
}
