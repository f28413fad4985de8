package shard_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/shard"
)

// newBenchShard returns a shard with the given number of servers of 4 slots each.
func newBenchShard(b *testing.B, servers int) *shard.Shard {
	b.Helper()
	s := &config.Service{
		Servers:   map[ident.ServerID]config.Server{},
		Detector:  config.Detector{Name: "cusum", FalseAlarmRate: 1e-9, SlowFactor: 3},
		Picker:    "twoChoices",
		Admission: config.Admission{Name: "rankShares", QueueLimit: 1000, Shares: config.Shares{Urgent: 0.5, Normal: 0.3, Background: 0.1}},
		Retry:     config.Retry{Name: "budget", ExtraFraction: 0.1, MaxAttempts: 3},
	}
	for i := range servers {
		id := ident.ServerID(fmt.Sprintf("s%04d", i))
		s.Servers[id] = config.Server{Address: string(id), Region: "r", Slots: 4}
	}
	sh := shard.New(shard.Options{ID: ident.ShardID{Service: "a", Region: "r"}, Permits: escrow.NewPermitPool(), Poison: poison.New()})
	if err := sh.Update(time.Now(), s); err != nil {
		b.Fatal(err)
	}
	return sh
}

// BenchmarkDecide measures the decisions for one request: admission, choice of a server, and recording
// the outcome. Run it with -cpu 1,3,6.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{16, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			sh := newBenchShard(b, servers)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				now := time.Now()
				ready := make(chan admit.Reply, 1)
				tried := make([]ident.ServerID, 0, 4)
				t := &admit.Ticket{}
				for pb.Next() {
					now = now.Add(time.Microsecond)
					*t = admit.Ticket{
						Rank: ident.Urgent, Weight: 1, Deadline: now.Add(time.Second), Idempotent: true,
						Ready: ready, Tried: tried,
					}
					a, _ := sh.Acquire(now, t)
					if a == nil {
						if reply := <-ready; reply.Attempt != nil {
							a = reply.Attempt
						} else {
							continue
						}
					}
					sh.Finish(now.Add(time.Millisecond), a, shard.Good)
				}
			})
		})
	}
}

// BenchmarkTick measures one tick of a shard.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{16, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			sh := newBenchShard(b, servers)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(shard.TickPeriod)
				sh.Tick(now)
			}
		})
	}
}
