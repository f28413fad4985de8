package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/pool"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/loop"
	"bilberrymux/io/permits"
	"bilberrymux/io/standin/table"
)

// serviceID is the service of every experiment.
const serviceID = ident.ServiceID("service")

// soundGrace is how long after a fault an ejection still counts as earned.
const soundGrace = 2 * time.Second

// run is one experiment under way.
type run struct {
	script  *Script
	policy  Policy
	deploy  Deployment
	service atomic.Pointer[config.Service]
	table   *table.Table
	start   time.Time
	ctx     context.Context
	tasks   conc.WaitGroup

	servers map[ident.ServerID]*simServer
	units   []*unit

	mu     sync.Mutex
	random *rand.Rand
	result Result
	found  map[int]bool
}

// unit is one daemon that dispatches for one region.
type unit struct {
	region     ident.RegionID
	dispatcher *dispatch.Dispatcher
	permits    *permits.Manager
	out        map[ident.ServerID]bool
}

// Run runs a script with a policy and a seed in virtual time.
func Run(t *testing.T, s *Script, p Policy, seed uint64) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(*testing.T) {
		r := newRun(s, p, seed)
		result = r.run()
	})
	return result
}

func newRun(s *Script, p Policy, seed uint64) *run {
	r := &run{
		script: s, policy: p, deploy: deployments[s.Deployment], table: table.New(seed), start: time.Now(),
		servers: map[ident.ServerID]*simServer{}, random: rand.New(rand.NewPCG(seed, 7)), found: map[int]bool{},
	}
	r.result = newResult(s, p, seed)
	r.makeService()
	for i, region := range r.deploy.Regions {
		for n := range s.Dispatchers {
			r.units = append(r.units, r.newUnit(region, ident.VMID(fmt.Sprintf("vm-%d-%d", i, n)), seed+uint64(10*i+n)))
		}
	}
	r.result.FloorSlots = r.service.Load().FloorSlots
	r.result.Capacity = r.service.Load().Capacity()
	r.result.LowestHealthy = r.service.Load().Capacity()
	return r
}

func (r *run) makeService() {
	s := r.policy.Service
	s.FloorSlots = r.deploy.FloorSlots
	if s.Detector.FalseAlarmRate == 0 {
		s.Detector.FalseAlarmRate = r.deploy.FalseAlarmRate
	}
	s.Admission.Shares = r.deploy.Shares
	s.Servers = map[ident.ServerID]config.Server{}
	for _, region := range r.deploy.Regions {
		for n := range r.deploy.ServersPerRegion {
			id := ident.ServerID(fmt.Sprintf("%s-%d", region, n+1))
			s.Servers[id] = config.Server{Address: string(id), Region: region, Zone: "z", Slots: r.deploy.Slots}
			slots := r.deploy.Slots
			if r.script.SlotsTruth > 0 {
				slots = r.script.SlotsTruth
			}
			r.servers[id] = &simServer{
				id: id, zone: n % 2, slots: slots, faults: faultsOf(r.script, id), start: r.start,
				random: rand.New(rand.NewPCG(r.result.Seed, uint64(len(r.servers)))), silenced: map[int]bool{},
			}
		}
	}
	r.service.Store(&s)
}

func faultsOf(s *Script, id ident.ServerID) []Fault {
	var out []Fault
	for _, f := range s.Faults {
		if f.Server == string(id) || f.Server == "*" {
			out = append(out, f)
		}
	}
	return out
}

func (r *run) newUnit(region ident.RegionID, vm ident.VMID, seed uint64) *unit {
	u := &unit{region: region, out: map[ident.ServerID]bool{}}
	u.permits = permits.New(permits.Options{
		Self: ident.Incarnation(vm), VM: vm, Store: r.table.Store(),
		Gone: func(ident.VMID) bool { return false },
	})
	list := poison.New()
	d := &dispatch.Dispatcher{Poison: list}
	d.OnExtraAttempt = func(string) { r.add(func(x *Result) { x.Extra++ }) }
	d.Shard = shard.New(shard.Options{
		ID: ident.ShardID{Service: serviceID, Region: region}, Seed: seed,
		Permits: u.permits.Pool(serviceID), Poison: list,
		StateChanged: func(e shard.Event) { r.changed(u, e) },
		Count:        r.counted,
		SuspectConnections: func(address string) {
			r.tasks.Go(func() { r.servers[ident.ServerID(address)].giveUp() })
		},
		CheckPath: func(id ident.ServerID, _ string) {
			r.tasks.Go(func() { d.Shard.RecordPathCheck(time.Now(), id, r.servers[id].reachable(true)) })
		},
	})
	d.CheckAlive = func(id ident.ServerID, _ string) {
		r.tasks.Go(func() {
			if !r.servers[id].reachable(false) {
				d.Shard.ServerDied(time.Now(), id)
			}
		})
	}
	u.dispatcher = d
	return u
}

func (r *run) add(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.result)
}

func (r *run) counted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Counters[name]++
}

// changed notes ejections against faults and floors.
func (r *run) changed(u *unit, e shard.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.out[e.Server] = e.To == pool.Ejected || e.To == pool.Trial
	if e.To == pool.Draining || e.From == pool.Draining {
		return
	}
	r.result.Events = append(r.result.Events, EventView{
		At: e.Time.Sub(r.start).Seconds(), Server: e.Server, From: e.From, To: e.To, Reason: e.Reason,
	})
	r.checkFloor()
	if e.From != pool.Active || e.To != pool.Ejected {
		return
	}
	r.result.Ejections++
	if !r.servers[e.Server].sick(e.Time, soundGrace) {
		r.result.FalseEjections++
		return
	}
	r.detected(e)
}

// detected notes the time from the last fault of a server to its ejection.
func (r *run) detected(e shard.Event) {
	for i, f := range r.script.Faults {
		from := at(r.start, f.From)
		if f.Server != string(e.Server) || f.Sound || r.found[i] || e.Time.Before(from) || e.Time.After(at(r.start, f.Until)) {
			continue
		}
		r.found[i] = true
		r.result.Detections = append(r.result.Detections, Detection{
			Server: e.Server, Millis: e.Time.Sub(from).Milliseconds(), Requests: r.result.SickRequests[e.Server],
		})
	}
}

// checkFloor compares the capacity that is not ejected by anyone with the floor.
func (r *run) checkFloor() {
	healthy := 0
	for id, srv := range r.service.Load().Servers {
		out := false
		for _, u := range r.units {
			out = out || u.out[id]
		}
		if !out {
			healthy += srv.Slots
		}
	}
	r.result.LowestHealthy = min(r.result.LowestHealthy, healthy)
	if healthy < r.service.Load().FloorSlots {
		r.result.FloorBreaks++
	}
}

// permitLead is how long the permits are held before the load begins.
const permitLead = 100 * time.Millisecond

// run runs the script and returns what it found.
func (r *run) run() *Result {
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx = ctx
	for _, u := range r.units {
		if err := u.dispatcher.Shard.Update(time.Now(), r.service.Load()); err != nil {
			panic(err)
		}
		u.permits.Start(ctx, &r.tasks)
		u.permits.SetOwnedSlots(serviceID, r.service.Load(), r.ownedSlots())
	}
	time.Sleep(permitLead)
	r.start = time.Now()
	for _, s := range r.servers {
		s.start = r.start
	}
	r.schedule()
	r.tasks.Go(func() { r.tick(ctx) })
	r.tasks.Go(func() { r.probe(ctx) })
	var load conc.WaitGroup
	for _, region := range r.deploy.Regions {
		for i := range ident.Ranks {
			load.Go(func() { r.arrivals(region, i, &load) })
		}
	}
	load.Go(func() { r.poisonArrivals(&load) })
	load.Wait()
	cancel()
	r.tasks.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &r.result
}

func (r *run) ownedSlots() int {
	return r.deploy.ServersPerRegion * r.deploy.Slots / r.script.Dispatchers
}

// schedule sets the timers of what changes by the clock.
func (r *run) schedule() {
	for _, down := range r.script.StoreDown {
		time.AfterFunc(at(r.start, down[0]).Sub(r.start), func() { r.table.SetFaults(table.Faults{Down: true}) })
		time.AfterFunc(at(r.start, down[1]).Sub(r.start), func() { r.table.SetFaults(table.Faults{}) })
	}
	for _, c := range r.script.FloorChanges {
		time.AfterFunc(at(r.start, c.At).Sub(r.start), func() { r.changeFloor(c.FloorSlots) })
	}
}

// changeFloor puts a new floor in force at all daemons.
func (r *run) changeFloor(slots int) {
	next := *r.service.Load()
	next.FloorSlots = slots
	for _, u := range r.units {
		u.permits.SetOwnedSlots(serviceID, &next, r.ownedSlots())
		if err := u.dispatcher.Shard.Update(time.Now(), &next); err != nil {
			panic(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service.Store(&next)
	r.result.FloorSlots = slots
	r.checkFloor()
}

func (r *run) tick(ctx context.Context) {
	loop.Every(ctx, shard.TickPeriod, func(now time.Time) {
		for _, u := range r.units {
			u.dispatcher.Shard.Tick(now)
		}
	})
}

// probeTime is how long a health probe takes, probePeriod how often it is sent.
const (
	probeTime   = 25 * time.Millisecond
	probePeriod = time.Second
)

func (r *run) probe(ctx context.Context) {
	loop.Every(ctx, probePeriod, func(time.Time) {
		time.Sleep(probeTime)
		for _, u := range r.units {
			for id, srv := range r.service.Load().Servers {
				if srv.Region == u.region {
					u.dispatcher.Shard.RecordProbe(time.Now(), id, r.servers[id].report())
				}
			}
		}
	})
}

// rate returns the arrivals a second of a rank in one region at a time.
func (r *run) rate(rank int, now time.Time) float64 {
	mean := r.deploy.WorkMedian.Seconds() * meanFactor(r.deploy.WorkSpread)
	perRank := 0.0
	for i, part := range r.script.Mix {
		perRank += part * r.script.WorkFactor[i]
	}
	capacity := float64(r.deploy.ServersPerRegion*r.deploy.Slots) / (mean * perRank)
	rate := r.script.Load * capacity * r.script.Mix[rank]
	for _, f := range r.script.Floods {
		if f.Rank == ident.Ranks[rank] && !now.Before(at(r.start, f.From)) && now.Before(at(r.start, f.Until)) {
			rate *= f.Factor
		}
	}
	return rate
}

// send runs one attempt at a simulated server.
func (r *run) send(ctx context.Context, a *admit.Attempt, w work) (*backend.Answer, shard.End) {
	s := r.servers[a.Server.ID]
	if s.sick(time.Now(), 0) {
		r.add(func(x *Result) { x.SickRequests[s.id]++ })
	}
	return s.serve(ctx, &r.deploy, a, w)
}
