package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/core/refusal"
	"bilberrymux/io/daemon"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/front"
	"bilberrymux/io/netseam"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// chaosOptions are two regions with a service of which one region has no
// servers, so that requests cross.
func chaosOptions() fleet.Options {
	o := options(4)
	o.Regions = []ident.RegionID{"north", "south"}
	o.Services[0].WorkMedian = 10 * time.Millisecond
	o.Services[0].Slots = 3
	o.Services[0].Config = config.Service{FloorSlots: 12, Retry: config.Retry{HedgeQuantile: 0.9}}
	return o
}

// serverFaults are drawn for one server at a time.
var serverFaults = []backendserver.Faults{
	{FailFraction: 1},
	{FailFraction: 0.5},
	{SlowFactor: 8},
	{Hang: true},
	{Silent: true},
	{ShedAll: true},
	{Draining: true},
	{TruncateFraction: 0.5},
	{FailFraction: 1, FlapMillis: 300},
	{UnhealthyProbe: true},
	{CrashOn: "x", CrashMillis: 300},
}

// trouble draws faults of servers, daemons and the store until the context
// ends.
func trouble(ctx context.Context, t *testing.T, f *fleet.Fleet, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 11))
	killed := 0
	// Whatever is drawn, some requests find no server that takes them.
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{ShedAll: true})
	}
	time.Sleep(500 * time.Millisecond)
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{})
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(150+r.IntN(250)) * time.Millisecond)
		id := ident.ServerID(fmt.Sprintf("orders-%s-%d", []string{"north", "south"}[r.IntN(2)], 1+r.IntN(3)))
		server := f.Servers["orders"][id]
		switch r.IntN(8) {
		case 0, 1, 2, 3:
			server.SetFaults(serverFaults[r.IntN(len(serverFaults))])
		case 4:
			server.SetFaults(backendserver.Faults{})
		case 5:
			server.Kill(200 * time.Millisecond)
		case 6:
			f.Table.SetFaults(table.Faults{Down: r.IntN(2) == 0, LoseReplyFraction: 0.3, StaleReadFraction: 0.3})
		case 7:
			if killed < 2 && r.IntN(3) == 0 {
				f.Daemons[killed].Kill()
				killed++
				if _, err := f.StartDaemon(); err != nil {
					t.Error(err)
				}
			}
		}
	}
	f.Table.SetFaults(table.Faults{})
}

// floorWatch counts the moments in which ejections push the capacity below the
// floor. The sets of several daemons are joined.
func floorWatch(ctx context.Context, daemons []*daemon.Daemon) int {
	broken := 0
	for ctx.Err() == nil {
		out := map[ident.ServerID]int{}
		for _, d := range daemons {
			d.Shards().Each(func(_ ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
				for _, s := range dispatcher.Shard.View().Servers {
					if s.State == pool.Ejected || s.State == pool.Trial {
						out[s.ID] = s.Slots
					}
				}
			})
		}
		healthy := 18
		for _, slots := range out {
			healthy -= slots
		}
		if healthy < 12 {
			broken++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return broken
}

// TestPromisesUnderChaos holds what callers were told against what servers ran,
// while servers, daemons and the store fail at random.
func TestPromisesUnderChaos(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { chaos(t, seed) })
	}
}

func chaos(t *testing.T, seed uint64) {
	f := start(t, chaosOptions())
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	stream := func(name string, rank ident.Rank, method string, rate float64, keyed bool) load.Stream {
		s := load.Stream{Name: name, Rank: rank, Method: method, Path: "/orders", Rate: rate, DeadlineMillis: 1500, Keyed: keyed, MaxResends: 3}
		if method == "POST" {
			s.Body = name
		}
		return s
	}
	permits := load.New(load.Options{Entries: f.Entries(), Seed: seed, Streams: []load.Stream{
		stream("read", ident.Urgent, "GET", 60, false),
		stream("order", ident.Urgent, "POST", 40, true),
		stream("unkeyed", ident.Urgent, "POST", 20, false),
	}})
	plain := load.New(load.Options{Entries: f.Entries(), Seed: seed + 100, PlainKeys: true, Streams: []load.Stream{
		stream("plain", ident.Urgent, "POST", 40, true),
	}})
	done := make(chan struct{}, 2)
	for _, l := range []*load.Load{permits, plain} {
		go func() {
			l.Run(ctx)
			done <- struct{}{}
		}()
	}
	watched := slices.Clone(f.Daemons[2:4])
	go trouble(ctx, t, f, seed)
	if n := floorWatch(ctx, watched); n > 0 {
		t.Errorf("the floor was broken at %d moments", n)
	}
	<-done
	<-done
	time.Sleep(200 * time.Millisecond)
	ids, keys := f.Runs()
	for key, n := range keys {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	refused := 0
	for _, l := range []*load.Load{permits, plain} {
		ledger := l.Ledger()
		refused += len(ledger.NotRun)
		for _, id := range ledger.NotRun {
			if ids[id] > 0 {
				t.Errorf("%s ran though its caller was told that it did not", id)
			}
		}
		for _, wrong := range ledger.WrongAnswers {
			t.Error(wrong)
		}
	}
	if len(ids) == 0 || refused == 0 {
		t.Fatalf("%d requests ran, %d were refused as not run: the run proves nothing", len(ids), refused)
	}
}

// TestOtherRegionServes takes all servers of one region away: urgent work goes
// to the other region, background work does not cross the paid link.
func TestOtherRegionServes(t *testing.T) {
	f := start(t, chaosOptions())
	for id, s := range f.Servers["orders"] {
		if id[:len("orders-north")] == "orders-north" {
			s.Stop()
		}
	}
	north := f.Entries()[0]
	until(t, "urgent work is answered by the other region", func() bool {
		resp := send(t, north, call{"GET", "/orders", "", nil})
		return resp.StatusCode() == 200
	})
	resp := send(t, north, call{"GET", "/orders", "", map[string]string{"Priority": "u=7"}})
	if r := refusalOf(t, resp); r.Kind != refusal.ServersUnreachable && r.Kind != refusal.NoServer {
		t.Fatalf("background work: %d %+v", resp.StatusCode(), r)
	}
	if f.Daemons[0].Counter("link.bytes.request.urgent") == 0 {
		t.Fatal("the bytes over the link were not counted")
	}
}

// TestPoisonIsQuarantined sends a request that kills each server which runs it.
func TestPoisonIsQuarantined(t *testing.T) {
	f := start(t, options(2))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{CrashOn: "poison", CrashMillis: 500})
	}
	kills := func() int {
		n := 0
		for _, s := range f.Servers["orders"] {
			for id := range s.Runs() {
				if id == "poison" {
					n += s.Runs()[id]
				}
			}
		}
		return n
	}
	until(t, "the request is quarantined", func() bool {
		resp := send(t, f.Entries()[0], call{"POST", "/orders", "poison", map[string]string{backendserver.TestIDHeader: "poison"}})
		return string(resp.Header.Peek("Bilberrymux-Refusal")) == string(refusal.Poison)
	})
	if n := kills(); n != 2 {
		t.Fatalf("%d servers were killed, want 2", n)
	}
	until(t, "the other daemon knows", func() bool {
		resp := send(t, f.Entries()[1], call{"POST", "/orders", "poison", nil})
		return string(resp.Header.Peek("Bilberrymux-Refusal")) == string(refusal.Poison)
	})
	resp := send(t, f.Entries()[0], call{"POST", "/orders", "sound", nil})
	if resp.StatusCode() != 200 {
		t.Fatalf("a sound neighbour: %d %s", resp.StatusCode(), resp.Body())
	}
}

// TestRegionsPartAndMeet cuts both directions between the regions: each goes on
// by itself and takes nobody for dead, and afterwards they agree again.
func TestRegionsPartAndMeet(t *testing.T) {
	o := chaosOptions()
	o.Rules = &netseam.Rules{}
	f := start(t, o)
	var rules []netseam.Rule
	for i := range f.Settings {
		for j := range f.Settings {
			if f.Settings[i].Region != f.Settings[j].Region {
				rules = append(rules, netseam.Rule{From: string(f.Settings[i].VM), To: string(f.Settings[j].VM), Lose: true})
			}
		}
	}
	moves := func() int64 {
		n := int64(0)
		for _, d := range f.Daemons {
			n += d.Counter("member.down") + d.Counter("shard.openedAsSubstitute")
		}
		return n
	}
	o.Rules.Set(rules)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, address := range f.Entries() {
			if resp := send(t, address, call{"GET", "/orders", "", nil}); resp.StatusCode() != 200 {
				t.Fatalf("%s during the split: %d %s", address, resp.StatusCode(), resp.Body())
			}
		}
	}
	if n := moves(); n != 0 {
		t.Fatalf("%d owners moved or daemons were called down by a split between regions", n)
	}
	o.Rules.Set(nil)
	_, err := f.Daemons[0].Versions().Submit(context.Background(), versions.Submission{
		ID: "after", Base: 1, Patch: json.RawMessage(`{"organisations":{"club":{"weight":2}}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the regions agree again", func() bool {
		for _, d := range f.Daemons {
			if d.ConfigVersion() != 2 || d.Members().LiveCount() != 4 {
				return false
			}
		}
		return true
	})
}

// TestAnswerTooLargeForAKey gives a request with a key an answer that is too
// large to keep: its caller is told so, and it never runs again.
func TestAnswerTooLargeForAKey(t *testing.T) {
	f := start(t, options(2))
	key := permit(t, f) + ".large"
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders", "x", map[string]string{
			front.KeyHeader: key, backendserver.ResponseSizeHeader: fmt.Sprint(9 << 20),
		}})
		if r := refusalOf(t, resp); r.Kind != refusal.ResponseTooLarge || r.Outcome != refusal.Unknown {
			t.Fatalf("%s: %+v", address, r)
		}
	}
	if _, keys := f.Runs(); keys[key] != 1 {
		t.Fatalf("the key ran %d times", keys[key])
	}
}

// TestIdleTrafficIsCounted lets a fleet idle: what the daemons say to each other
// must show in their counters.
func TestIdleTrafficIsCounted(t *testing.T) {
	f := start(t, options(3))
	until(t, "idle traffic is counted", func() bool {
		for _, d := range f.Daemons {
			sent, received := d.Traffic()
			if sent == 0 || received == 0 || d.Counter("gossip.messages") == 0 {
				return false
			}
		}
		return true
	})
}

// TestHedgedRequestsNeverMix sends many hedged requests at once; a late attempt
// must never carry another caller's request. Run with -race it also finds a
// request that is given up while an attempt reads it.
func TestHedgedRequestsNeverMix(t *testing.T) {
	o := options(2)
	o.Services[0].WorkMedian, o.Services[0].WorkSpread = time.Millisecond, 1
	o.Services[0].Config.Retry = config.Retry{HedgeQuantile: 0.55, ExtraFraction: 1}
	f := start(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	l := load.New(load.Options{Entries: f.Entries(), Seed: 1, Streams: []load.Stream{
		{Name: "one", Rank: ident.Urgent, Method: "GET", Path: "/orders/one", Rate: 300, DeadlineMillis: 5000},
		{Name: "two", Rank: ident.Urgent, Method: "GET", Path: "/orders/two", Rate: 300, DeadlineMillis: 5000},
	}})
	l.Run(ctx)
	hedges := int64(0)
	for _, d := range f.Daemons {
		hedges += d.Counter("extra.hedge")
	}
	if hedges == 0 || len(l.Ledger().WrongAnswers) > 0 {
		t.Fatalf("%d hedges, wrong answers: %v", hedges, l.Ledger().WrongAnswers)
	}
	ids, _ := f.Runs()
	for id, n := range ids {
		if n > 2 {
			t.Fatalf("%s ran %d times, a hedge allows two", id, n)
		}
	}
}
