// Package meter holds the counters, gauges and latency histograms of a process
// and writes them in the text form that Prometheus and its kin read.
package meter

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// latencySamples is the size of the sample of each histogram.
const latencySamples = 1024

// Set is the metrics of one process. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry
	// counters and histograms are kept beside the registry, whose lookup takes a
	// lock for all of them.
	counters   sync.Map
	histograms sync.Map
}

// New returns a set without metrics.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Count adds one to a counter.
func (s *Set) Count(name string) {
	s.Add(name, 1)
}

// Add adds to a counter.
func (s *Set) Add(name string, n int64) {
	s.counter(name).Inc(n)
}

// Counter returns the value of a counter.
func (s *Set) Counter(name string) int64 {
	return s.counter(name).Count()
}

func (s *Set) counter(name string) metrics.Counter {
	c, ok := s.counters.Load(name)
	if !ok {
		c, _ = s.counters.LoadOrStore(name, metrics.GetOrRegisterCounter(name, s.registry))
	}
	return c.(metrics.Counter)
}

// Set sets a gauge.
func (s *Set) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(value)
}

// Observe records a time in a histogram of microseconds.
func (s *Set) Observe(name string, took time.Duration) {
	h, ok := s.histograms.Load(name)
	if !ok {
		h, _ = s.histograms.LoadOrStore(name, s.registry.GetOrRegister(name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewUniformSample(latencySamples))
		}))
	}
	h.(metrics.Histogram).Update(took.Microseconds())
}

// All returns the values of all metrics by name, for JSON.
func (s *Set) All() map[string]map[string]any {
	return s.registry.GetAll()
}
