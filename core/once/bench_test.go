package once_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"bilberrymux/core/once"
)

// BenchmarkRecords measures the heap memory in bytes per record, with answers of 500 bytes.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var table *once.Table
			for b.Loop() {
				table = once.NewTable(once.DefaultRetention(), math.MaxInt64)
				for i := range n {
					k := once.Key{Scope: "org", Text: once.NewKeyPermit("vm-1~3f2c9a1e-77", start) + fmt.Sprint(".order-", i)}
					r, _ := table.Begin(start, &k, 1)
					table.End(&k, r, once.Outcome{Answer: make([]byte, 500)})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
			runtime.KeepAlive(table)
		})
	}
}
