package member_test

import (
	"fmt"
	"runtime"
	"testing"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
)

// benchSizes are numbers of daemons up to the target.
var benchSizes = []int{690, 2300, 6900}

func benchTable(n int) *member.Table {
	t := member.New(regional(0, member.Live, 0), nil)
	entries := make([]member.Entry, 0, n)
	for i := 1; i < n; i++ {
		entries = append(entries, regional(i, member.Live, 0))
	}
	t.Merge(now, entries)
	return t
}

// regional is an entry of one of four regions.
func regional(i int, state member.State, seq uint64) member.Entry {
	e := entry(i, 1, seq, state)
	e.Region = ident.RegionID(fmt.Sprint("region-", i%4))
	e.Zone = ident.ZoneID(fmt.Sprint("zone-", i%12))
	e.CallerAddress, e.PeerAddress = "10.1.2.3:7001", "10.1.2.3:7002"
	return e
}

// BenchmarkMemberChange merges one change of one daemon.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			t := benchTable(n)
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				t.Merge(now, []member.Entry{regional(5, member.Live, seq)})
			}
		})
	}
}

// BenchmarkMemberMemory reports the memory of a view.
func BenchmarkMemberMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var t *member.Table
			for b.Loop() {
				t = benchTable(n)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/daemon")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkOwners looks up the owner of a shard among a quarter of the daemons.
func BenchmarkOwners(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			v := benchTable(n).View()
			b.ReportAllocs()
			for b.Loop() {
				v.Owners("region-1", "service-77/region-1", 3)
			}
		})
	}
}

// BenchmarkAssignment follows one daemon's coming and going over all shards of
// a region: 4,200 services.
func BenchmarkAssignment(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			t := benchTable(n)
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
				t.Merge(now, []member.Entry{regional(5, state, seq)})
				a.SetView(t.View())
			}
		})
	}
}
