package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"bilberrymux/core/config"
)

// liveHeapBytes returns the size of the heap, in bytes, after garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchScales lists the benchmarked sizes as multiples of the capacity target.
var benchScales = []float64{0.1, 0.3, 1}

// BenchmarkRebuild measures the time to load a whole configuration, as a daemon does at startup.
// It also reports the heap that the configuration occupies and the size of its JSON, in MiB.
func BenchmarkRebuild(b *testing.B) {
	for _, scale := range benchScales {
		b.Run(fmt.Sprintf("part=%g", scale), func(b *testing.B) {
			body := config.Synthetic(scale)
			before := liveHeapBytes()
			var c *config.Config
			for b.Loop() {
				p, err := config.ParsePatch(body)
				if err != nil {
					b.Fatal(err)
				}
				if c, err = config.Empty().Apply(p); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(liveHeapBytes()-before)/(1<<20), "MB-held")
			b.ReportMetric(float64(len(body))/(1<<20), "MB-json")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkChange measures the time to apply a patch of one entry to a large configuration.
func BenchmarkChange(b *testing.B) {
	for _, scale := range benchScales {
		p, err := config.ParsePatch(config.Synthetic(scale))
		if err != nil {
			b.Fatal(err)
		}
		base, err := config.Empty().Apply(p)
		if err != nil {
			b.Fatal(err)
		}
		for name, patch := range map[string]string{
			"organisation": `{"organisations":{"organisation-7":{"weight":4}}}`,
			"route":        `{"routes":{"route-7":{"rank":"urgent"}}}`,
			"server":       `{"services":{"service-7":{"servers":{"server-7-3":{"leaving":true}}}}}`,
		} {
			b.Run(fmt.Sprintf("%s/part=%g", name, scale), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p, err := config.ParsePatch([]byte(patch))
					if err != nil {
						b.Fatal(err)
					}
					if _, err := base.Apply(p); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkMatch measures the lookup of the route for a path.
func BenchmarkMatch(b *testing.B) {
	for _, scale := range benchScales {
		b.Run(fmt.Sprintf("part=%g", scale), func(b *testing.B) {
			p, err := config.ParsePatch(config.Synthetic(scale))
			if err != nil {
				b.Fatal(err)
			}
			c, err := config.Empty().Apply(p)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if c.Match("GET", "/app-7/section/7/item/12345") == nil {
					b.Fatal("no route matches a path under the prefix of route-7")
				}
			}
		})
	}
}
