package member_test

import (
	"fmt"
	"runtime"
	"testing"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
)

// benchSizes are the numbers of daemons to measure, up to the target of 6,900.
var benchSizes = []int{690, 2300, 6900}

// newTable returns a table of n live daemons.
func newTable(n int) *member.Table {
	t := member.New(regionalEntry(0, member.Live, 0), nil)
	entries := make([]member.Entry, 0, n)
	for i := 1; i < n; i++ {
		entries = append(entries, regionalEntry(i, member.Live, 0))
	}
	t.Merge(now, entries)
	return t
}

// regionalEntry returns the entry of daemon i, which belongs to one of four regions and one of
// twelve zones.
func regionalEntry(i int, state member.State, seq uint64) member.Entry {
	e := entry(i, 1, seq, state)
	e.Region = ident.RegionID(fmt.Sprint("region-", i%4))
	e.Zone = ident.ZoneID(fmt.Sprint("zone-", i%12))
	e.CallerAddress, e.PeerAddress = "10.1.2.3:7001", "10.1.2.3:7002"
	return e
}

// BenchmarkMemberChange measures merging one changed entry.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			t := newTable(n)
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				t.Merge(now, []member.Entry{regionalEntry(5, member.Live, seq)})
			}
		})
	}
}

// BenchmarkMemberMemory measures the heap memory of a table in bytes per daemon.
func BenchmarkMemberMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var t *member.Table
			for b.Loop() {
				t = newTable(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/daemon")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkOwners measures looking up the first three owners of a shard among a quarter of the
// daemons.
func BenchmarkOwners(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			v := newTable(n).View()
			b.ReportAllocs()
			for b.Loop() {
				v.Owners("region-1", "service-77/region-1", 3)
			}
		})
	}
}

// BenchmarkAssignment measures updating the owners of all shards of a region with 4,200 services
// when one daemon leaves or joins.
func BenchmarkAssignment(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			t := newTable(n)
			var shards []ident.ShardID
			for i := range 4200 {
				shards = append(shards, ident.ShardID{Service: ident.ServiceID(fmt.Sprint("service-", i)), Region: "region-1"})
			}
			a := member.NewAssignment("region-1")
			a.SetShards(t.View(), shards)
			a.SetView(t.View())
			seq := uint64(0)
			for b.Loop() {
				seq++
				state := member.Live
				if seq%2 == 1 {
					state = member.Down
				}
				t.Merge(now, []member.Entry{regionalEntry(5, state, seq)})
				a.SetView(t.View())
			}
		})
	}
}
