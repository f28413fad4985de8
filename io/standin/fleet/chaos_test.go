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
	"bilberrymux/io/netfault"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// chaosOptions returns the options of a fleet with two daemons in each of two regions and a service
// with servers in both, a slot floor and hedging.
func chaosOptions() fleet.Options {
	o := options(4)
	o.Regions = []ident.RegionID{"north", "south"}
	o.Services[0].WorkMedian = 10 * time.Millisecond
	o.Services[0].Slots = 3
	o.Services[0].Config = config.Service{FloorSlots: 12, Retry: config.Retry{HedgeQuantile: 0.9}}
	return o
}

// serverFaults are the faults from which injectFaults picks one for one server at a time.
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
	{RepeatResponses: true},
	{RepeatResponses: true, FailFraction: 0.5, FlapMillis: 100},
	{NoAttemptIDs: true},
}

// injectFaults injects random faults into servers, daemons and the store until the context ends.
// The sequence of faults depends on the seed.
func injectFaults(ctx context.Context, t *testing.T, f *fleet.Fleet, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 11))
	killed := 0
	// First all servers shed all requests for 500 ms, so that some requests are refused whichever
	// faults follow.
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

// countFloorViolations counts the samples, taken every 5 ms, in which ejections leave fewer than the
// floor of 12 of 18 slots. A server that is ejected or on trial at any of the daemons counts as
// ejected.
func countFloorViolations(ctx context.Context, daemons []*daemon.Daemon) int {
	violations := 0
	for ctx.Err() == nil {
		ejectedSlots := map[ident.ServerID]int{}
		for _, d := range daemons {
			d.Shards().Each(func(_ ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
				for _, s := range dispatcher.Shard.View().Servers {
					if s.State == pool.Ejected || s.State == pool.Trial {
						ejectedSlots[s.ID] = s.Slots
					}
				}
			})
		}
		remaining := 18
		for _, slots := range ejectedSlots {
			remaining -= slots
		}
		if remaining < 12 {
			violations++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return violations
}

// TestGuaranteesUnderRandomFaults injects random faults into servers, daemons and the store under
// load and compares the callers' responses with what the servers ran. No key may run twice, no
// request that was refused as not run may have run, no response may be wrong, and ejections must
// respect the floor.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runChaos(t, seed) })
	}
}

func runChaos(t *testing.T, seed uint64) {
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
	permitKeys := load.New(load.Options{Entries: f.Entries(), Seed: seed, Streams: []load.Stream{
		stream("read", ident.Urgent, "GET", 60, false),
		stream("order", ident.Urgent, "POST", 40, true),
		stream("unkeyed", ident.Urgent, "POST", 20, false),
	}})
	plainKeys := load.New(load.Options{Entries: f.Entries(), Seed: seed + 100, PlainKeys: true, Streams: []load.Stream{
		stream("plain", ident.Urgent, "POST", 40, true),
	}})
	done := make(chan struct{}, 2)
	for _, l := range []*load.Load{permitKeys, plainKeys} {
		go func() {
			l.Run(ctx)
			done <- struct{}{}
		}()
	}
	watched := slices.Clone(f.Daemons[2:4])
	go injectFaults(ctx, t, f, seed)
	if n := countFloorViolations(ctx, watched); n > 0 {
		t.Errorf("capacity was below the floor in %d samples, want 0", n)
	}
	<-done
	<-done
	time.Sleep(200 * time.Millisecond)
	ids, keys := f.Runs()
	for key, n := range keys {
		if n > 1 {
			t.Errorf("key %s ran %d times, want at most once", key, n)
		}
	}
	refused := 0
	for _, l := range []*load.Load{permitKeys, plainKeys} {
		ledger := l.Ledger()
		refused += len(ledger.NotRun)
		for _, id := range ledger.NotRun {
			if ids[id] > 0 {
				t.Errorf("request %s was refused as not run, but it ran", id)
			}
		}
		for _, wrong := range ledger.WrongAnswers {
			t.Errorf("wrong response: %s", wrong)
		}
	}
	if len(ids) == 0 || refused == 0 {
		t.Fatalf("%d requests ran and %d were refused as not run, want both above 0 for the checks to mean something", len(ids), refused)
	}
}

// TestFailoverToOtherRegion stops all servers of one region. Urgent requests must fail over to the
// other region; background requests must not, since traffic between the regions is paid for.
func TestFailoverToOtherRegion(t *testing.T) {
	f := start(t, chaosOptions())
	for id, s := range f.Servers["orders"] {
		if id[:len("orders-north")] == "orders-north" {
			s.Stop()
		}
	}
	north := f.Entries()[0]
	waitFor(t, "urgent requests are served by the other region", func() bool {
		resp := send(t, north, call{"GET", "/orders", "", nil})
		return resp.StatusCode() == 200
	})
	resp := send(t, north, call{"GET", "/orders", "", map[string]string{"Priority": "u=7"}})
	if r := decodeRefusal(t, resp); r.Kind != refusal.ServersUnreachable && r.Kind != refusal.NoServer {
		t.Fatalf("background request: got status %d, refusal %+v, want %s or %s", resp.StatusCode(), r,
			refusal.ServersUnreachable, refusal.NoServer)
	}
	if f.Daemons[0].Counter("link.bytes.request.urgent") == 0 {
		t.Fatal("counter link.bytes.request.urgent is 0, want the bytes sent to the other region")
	}
}

// TestPoisonIsQuarantined sends a request that crashes every server that runs it. It must be
// quarantined on all daemons after two crashes, and other requests must still be served.
func TestPoisonIsQuarantined(t *testing.T) {
	f := start(t, options(2))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{CrashOn: "poison", CrashMillis: 500})
	}
	countCrashes := func() int {
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
	waitFor(t, "the request is quarantined", func() bool {
		resp := send(t, f.Entries()[0], call{"POST", "/orders", "poison", map[string]string{backendserver.TestIDHeader: "poison"}})
		return string(resp.Header.Peek("Bilberrymux-Refusal")) == string(refusal.Poison)
	})
	if n := countCrashes(); n != 2 {
		t.Fatalf("the request crashed %d servers, want 2", n)
	}
	waitFor(t, "the request is quarantined on the other daemon", func() bool {
		resp := send(t, f.Entries()[1], call{"POST", "/orders", "poison", nil})
		return string(resp.Header.Peek("Bilberrymux-Refusal")) == string(refusal.Poison)
	})
	resp := send(t, f.Entries()[0], call{"POST", "/orders", "sound", nil})
	if resp.StatusCode() != 200 {
		t.Fatalf("another request: got status %d, body %s, want status 200", resp.StatusCode(), resp.Body())
	}
}

// TestRegionPartitionHeals drops all messages between the regions in both directions. Each region
// must keep serving and declare no daemon dead. After the partition, a new configuration version
// must reach all daemons.
func TestRegionPartitionHeals(t *testing.T) {
	o := chaosOptions()
	o.Rules = &netfault.Rules{}
	f := start(t, o)
	var rules []netfault.Rule
	for i := range f.Settings {
		for j := range f.Settings {
			if f.Settings[i].Region != f.Settings[j].Region {
				rules = append(rules, netfault.Rule{From: string(f.Settings[i].VM), To: string(f.Settings[j].VM), Drop: true})
			}
		}
	}
	failovers := func() int64 {
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
				t.Fatalf("daemon %s during the partition: got status %d, body %s, want status 200", address, resp.StatusCode(), resp.Body())
			}
		}
	}
	if n := failovers(); n != 0 {
		t.Fatalf("got %d owner changes and daemons declared down during the partition, want 0", n)
	}
	o.Rules.Set(nil)
	_, err := f.Daemons[0].Versions().Submit(context.Background(), versions.Submission{
		ID: "after", Base: 1, Patch: json.RawMessage(`{"organisations":{"club":{"weight":2}}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all daemons have the new version and count all daemons as live", func() bool {
		for _, d := range f.Daemons {
			if d.ConfigVersion() != 2 || d.Members().LiveCount() != 4 {
				return false
			}
		}
		return true
	})
}

// TestResponseTooLargeForKey sends a keyed request whose response is too large to store. Every send
// must be refused as ResponseTooLarge with an unknown outcome, and the request must run only once.
func TestResponseTooLargeForKey(t *testing.T) {
	f := start(t, options(2))
	key := fetchPermit(t, f) + ".large"
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders", "x", map[string]string{
			front.KeyHeader: key, backendserver.ResponseSizeHeader: fmt.Sprint(9 << 20),
		}})
		if r := decodeRefusal(t, resp); r.Kind != refusal.ResponseTooLarge || r.Outcome != refusal.Unknown {
			t.Fatalf("daemon %s: got refusal %+v, want %s with outcome %s", address, r, refusal.ResponseTooLarge, refusal.Unknown)
		}
	}
	if _, keys := f.Runs(); keys[key] != 1 {
		t.Fatalf("the key ran %d times, want once", keys[key])
	}
}

// TestIdleTrafficIsCounted checks that the counters of an idle fleet include the traffic between the
// daemons.
func TestIdleTrafficIsCounted(t *testing.T) {
	f := start(t, options(3))
	waitFor(t, "idle traffic is counted", func() bool {
		for _, d := range f.Daemons {
			sent, received := d.Traffic()
			if sent == 0 || received == 0 || d.Counter("gossip.messages") == 0 {
				return false
			}
		}
		return true
	})
}

// TestHedgedResponsesAreNotSwapped sends many hedged requests concurrently and checks that no late
// attempt carries another caller's request. Run with -race, it also detects a request that is
// released while an attempt still reads it.
func TestHedgedResponsesAreNotSwapped(t *testing.T) {
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
		t.Fatalf("got %d hedges, want more than 0; wrong answers: %v, want none", hedges, l.Ledger().WrongAnswers)
	}
	ids, _ := f.Runs()
	for id, n := range ids {
		if n > 2 {
			t.Fatalf("request %s ran %d times, want at most 2 with one hedge", id, n)
		}
	}
}
