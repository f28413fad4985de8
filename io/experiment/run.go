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
	"bilberrymux/io/periodic"
	"bilberrymux/io/permits"
	"bilberrymux/io/standin/table"
)

// serviceID names the only service of an experiment.
const serviceID = ident.ServiceID("service")

// ejectionGrace is how long after the end of a fault an ejection still counts as correct.
const ejectionGrace = 2 * time.Second

// run is the state of one experiment while it runs.
type run struct {
	script     *Script
	policy     Policy
	deployment Deployment
	service    atomic.Pointer[config.Service]
	table      *table.Table
	start      time.Time
	ctx        context.Context
	tasks      conc.WaitGroup

	servers map[ident.ServerID]*simServer
	daemons []*simDaemon

	mu             sync.Mutex
	random         *rand.Rand
	result         Result
	detectedFaults map[int]bool
}

// simDaemon is a daemon that dispatches requests for the service's shard in one region.
type simDaemon struct {
	region     ident.RegionID
	dispatcher *dispatch.Dispatcher
	permits    *permits.Manager
	ejected    map[ident.ServerID]bool
}

// Run runs a script with a policy and a seed in virtual time. The result is not complete until
// Finalise is called.
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
		script: s, policy: p, deployment: deployments[s.Deployment], table: table.New(seed), start: time.Now(),
		servers: map[ident.ServerID]*simServer{}, random: rand.New(rand.NewPCG(seed, 7)), detectedFaults: map[int]bool{},
	}
	r.result = newResult(s, p, seed)
	r.setUpService()
	for i, region := range r.deployment.Regions {
		for n := range s.Dispatchers {
			r.daemons = append(r.daemons, r.newSimDaemon(region, ident.VMID(fmt.Sprintf("vm-%d-%d", i, n)), seed+uint64(10*i+n)))
		}
	}
	r.result.FloorSlots = r.service.Load().FloorSlots
	r.result.CapacitySlots = r.service.Load().Capacity()
	r.result.LowestHealthySlots = r.service.Load().Capacity()
	return r
}

// setUpService builds the service's configuration from the policy and the deployment, and its
// simulated servers.
func (r *run) setUpService() {
	s := r.policy.Service
	s.FloorSlots = r.deployment.FloorSlots
	if s.Detector.FalseAlarmRate == 0 {
		s.Detector.FalseAlarmRate = r.deployment.FalseAlarmRate
	}
	s.Admission.Shares = r.deployment.Shares
	s.Servers = map[ident.ServerID]config.Server{}
	for _, region := range r.deployment.Regions {
		for n := range r.deployment.ServersPerRegion {
			id := ident.ServerID(fmt.Sprintf("%s-%d", region, n+1))
			s.Servers[id] = config.Server{Address: string(id), Region: region, Zone: "z", Slots: r.deployment.Slots}
			slots := r.deployment.Slots
			if r.script.ActualSlots > 0 {
				slots = r.script.ActualSlots
			}
			r.servers[id] = &simServer{
				id: id, zone: n % 2, slots: slots, faults: faultsOf(r.script, id), start: r.start,
				random: rand.New(rand.NewPCG(r.result.Seed, uint64(len(r.servers)))), silenceApplied: map[int]bool{},
			}
		}
	}
	r.service.Store(&s)
}

// faultsOf returns the script's faults that apply to a server. The server name "*" matches all.
func faultsOf(s *Script, id ident.ServerID) []Fault {
	var out []Fault
	for _, f := range s.Faults {
		if f.Server == string(id) || f.Server == "*" {
			out = append(out, f)
		}
	}
	return out
}

func (r *run) newSimDaemon(region ident.RegionID, vm ident.VMID, seed uint64) *simDaemon {
	daemon := &simDaemon{region: region, ejected: map[ident.ServerID]bool{}}
	daemon.permits = permits.New(permits.Options{
		Self: ident.Incarnation(vm), VM: vm, Store: r.table.Store(),
		VMRemoved: func(ident.VMID) bool { return false },
	})
	list := poison.New()
	d := &dispatch.Dispatcher{Poison: list}
	d.OnExtraAttempt = func(string) { r.updateResult(func(x *Result) { x.ExtraAttempts++ }) }
	d.Shard = shard.New(shard.Options{
		ID: ident.ShardID{Service: serviceID, Region: region}, Seed: seed,
		Permits: daemon.permits.Pool(serviceID), Poison: list,
		StateChanged: func(e shard.Event) { r.recordStateChange(daemon, e) },
		Count:        r.incrementCounter,
		SuspectConnections: func(address string) {
			r.tasks.Go(func() { r.servers[ident.ServerID(address)].closeIdleConns() })
		},
		CheckPath: func(id ident.ServerID, _ string) {
			r.tasks.Go(func() { d.Shard.RecordPathCheck(time.Now(), id, r.servers[id].reachable(true)) })
		},
	})
	d.CheckReachable = func(id ident.ServerID, _ string) {
		r.tasks.Go(func() {
			if !r.servers[id].reachable(false) {
				d.Shard.RecordUnreachable(time.Now(), id)
			}
		})
	}
	daemon.dispatcher = d
	return daemon
}

// updateResult calls f with the result while it holds r.mu.
func (r *run) updateResult(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.result)
}

// incrementCounter adds 1 to a named counter of the shards.
func (r *run) incrementCounter(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Counters[name]++
}

// recordStateChange records a change of a server's state at a daemon, checks the floor, and counts
// an ejection as a detection or as a false ejection. Changes to and from draining are not recorded.
func (r *run) recordStateChange(daemon *simDaemon, e shard.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemon.ejected[e.Server] = e.To == pool.Ejected || e.To == pool.Trial
	if e.To == pool.Draining || e.From == pool.Draining {
		return
	}
	r.result.Events = append(r.result.Events, StateChange{
		At: e.Time.Sub(r.start).Seconds(), Server: e.Server, From: e.From, To: e.To, Reason: e.Reason,
	})
	r.checkFloor()
	if e.From != pool.Active || e.To != pool.Ejected {
		return
	}
	r.result.Ejections++
	if !r.servers[e.Server].faulty(e.Time, ejectionGrace) {
		r.result.FalseEjections++
		return
	}
	r.recordDetection(e)
}

// recordDetection records the time from the start of each active fault of a server to its ejection.
// Each fault is detected at most once. The caller must hold r.mu.
func (r *run) recordDetection(e shard.Event) {
	for i, f := range r.script.Faults {
		from := at(r.start, f.From)
		if f.Server != string(e.Server) || f.Benign || r.detectedFaults[i] || e.Time.Before(from) || e.Time.After(at(r.start, f.Until)) {
			continue
		}
		r.detectedFaults[i] = true
		r.result.Detections = append(r.result.Detections, Detection{
			Server: e.Server, Millis: e.Time.Sub(from).Milliseconds(), Attempts: r.result.FaultyAttempts[e.Server],
		})
	}
}

// checkFloor compares the capacity of the servers that no daemon has ejected with the floor. The
// caller must hold r.mu.
func (r *run) checkFloor() {
	healthy := 0
	for id, srv := range r.service.Load().Servers {
		ejected := false
		for _, daemon := range r.daemons {
			ejected = ejected || daemon.ejected[id]
		}
		if !ejected {
			healthy += srv.Slots
		}
	}
	r.result.LowestHealthySlots = min(r.result.LowestHealthySlots, healthy)
	if healthy < r.service.Load().FloorSlots {
		r.result.FloorViolations++
	}
}

// permitLeadTime is the time between the start of the permit managers and the start of the load. It
// lets them acquire their permits first.
const permitLeadTime = 100 * time.Millisecond

// run runs the script and returns the measurements.
func (r *run) run() *Result {
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx = ctx
	for _, daemon := range r.daemons {
		if err := daemon.dispatcher.Shard.Update(time.Now(), r.service.Load()); err != nil {
			panic(err)
		}
		daemon.permits.Start(ctx, &r.tasks)
		daemon.permits.SetOwnedSlots(serviceID, r.service.Load(), r.ownedSlots())
	}
	time.Sleep(permitLeadTime)
	r.start = time.Now()
	for _, s := range r.servers {
		s.start = r.start
	}
	r.scheduleChanges()
	r.tasks.Go(func() { r.tickShards(ctx) })
	r.tasks.Go(func() { r.probeServers(ctx) })
	var load conc.WaitGroup
	for _, region := range r.deployment.Regions {
		for i := range ident.Ranks {
			load.Go(func() { r.generateArrivals(region, i, &load) })
		}
	}
	load.Go(func() { r.generatePoisonArrivals(&load) })
	load.Wait()
	cancel()
	r.tasks.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &r.result
}

// ownedSlots returns the number of slots that each daemon owns.
func (r *run) ownedSlots() int {
	return r.deployment.ServersPerRegion * r.deployment.Slots / r.script.Dispatchers
}

// scheduleChanges sets timers for the store outages and the floor changes of the script.
func (r *run) scheduleChanges() {
	for _, down := range r.script.StoreOutages {
		time.AfterFunc(at(r.start, down[0]).Sub(r.start), func() { r.table.SetFaults(table.Faults{Down: true}) })
		time.AfterFunc(at(r.start, down[1]).Sub(r.start), func() { r.table.SetFaults(table.Faults{}) })
	}
	for _, c := range r.script.FloorChanges {
		time.AfterFunc(at(r.start, c.At).Sub(r.start), func() { r.changeFloor(c.FloorSlots) })
	}
}

// changeFloor applies a new floor, in slots, at all daemons.
func (r *run) changeFloor(slots int) {
	next := *r.service.Load()
	next.FloorSlots = slots
	for _, daemon := range r.daemons {
		daemon.permits.SetOwnedSlots(serviceID, &next, r.ownedSlots())
		if err := daemon.dispatcher.Shard.Update(time.Now(), &next); err != nil {
			panic(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service.Store(&next)
	r.result.FloorSlots = slots
	r.checkFloor()
}

// tickShards runs the periodic work of all shards until ctx ends.
func (r *run) tickShards(ctx context.Context) {
	periodic.Every(ctx, shard.TickPeriod, func(now time.Time) {
		for _, daemon := range r.daemons {
			daemon.dispatcher.Shard.Tick(now)
		}
	})
}

// probeDuration is the duration of a health probe, probePeriod the interval between probes.
const (
	probeDuration = 25 * time.Millisecond
	probePeriod   = time.Second
)

// probeServers sends health probes to the servers of each daemon's region until ctx ends.
func (r *run) probeServers(ctx context.Context) {
	periodic.Every(ctx, probePeriod, func(time.Time) {
		time.Sleep(probeDuration)
		for _, daemon := range r.daemons {
			for id, srv := range r.service.Load().Servers {
				if srv.Region == daemon.region {
					daemon.dispatcher.Shard.RecordProbe(time.Now(), id, r.servers[id].probeResult())
				}
			}
		}
	})
}

// arrivalRate returns the arrival rate of a rank in one region at a time, in requests per second.
// The rate follows from the load as a fraction of the region's capacity, the mix of the ranks and
// the active floods.
func (r *run) arrivalRate(rank int, now time.Time) float64 {
	mean := r.deployment.WorkMedian.Seconds() * logNormalMean(r.deployment.WorkSpread)
	meanWorkFactor := 0.0
	for i, fraction := range r.script.Mix {
		meanWorkFactor += fraction * r.script.WorkFactor[i]
	}
	capacity := float64(r.deployment.ServersPerRegion*r.deployment.Slots) / (mean * meanWorkFactor)
	rate := r.script.Load * capacity * r.script.Mix[rank]
	for _, f := range r.script.Floods {
		if f.Rank == ident.Ranks[rank] && !now.Before(at(r.start, f.From)) && now.Before(at(r.start, f.Until)) {
			rate *= f.Factor
		}
	}
	return rate
}

// send sends one attempt to its simulated server and counts it if the server is faulty.
func (r *run) send(ctx context.Context, a *admit.Attempt, req simRequest) (*backend.Answer, shard.Outcome) {
	s := r.servers[a.Server.ID]
	if s.faulty(time.Now(), 0) {
		r.updateResult(func(x *Result) { x.FaultyAttempts[s.id]++ })
	}
	return s.serve(ctx, &r.deployment, a, req)
}
