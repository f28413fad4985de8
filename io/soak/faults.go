package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrymux/io/standin/chaosproxy"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// fault is one way to harm the deployment for a while.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand, d time.Duration) error
}

var faults = []fault{
	{"server fails", serverFails},
	{"path harmed", pathHarmed},
	{"daemon stopped", func(w *world, r *rand.Rand, _ time.Duration) error { return w.anyDaemon(r).stop() }},
	{"daemon killed", func(w *world, r *rand.Rand, d time.Duration) error { return w.anyDaemon(r).kill(d / 4) }},
	{"daemon paused", func(w *world, r *rand.Rand, d time.Duration) error {
		w.anyDaemon(r).pause(d)
		return nil
	}},
	{"store harmed", storeHarmed},
	{"store forgets", func(w *world, _ *rand.Rand, _ time.Duration) error {
		w.fleet.Store.Forget()
		return nil
	}},
	{"new version", func(w *world, _ *rand.Rand, _ time.Duration) error {
		w.configure()
		return nil
	}},
	{"server replaced", serverReplaced},
}

// The pace of faults.
const (
	// faultGap is the mean time between two faults; they overlap.
	faultGap = 500 * time.Millisecond
	// faultLength is the greatest length of one.
	faultLength = 2500 * time.Millisecond
)

// harm runs faults, drawn from the seed, and waits for the end of the last.
func (w *world) harm() {
	r := w.options.random()
	var wg sync.WaitGroup
	busy := map[string]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(w.options.Length); time.Now().Before(end); {
		f := faults[r.IntN(len(faults))]
		d := time.Duration(r.Float64() * float64(faultLength))
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(faultGap)))
		mu.Lock()
		if busy[f.name] {
			mu.Unlock()
			continue
		}
		busy[f.name] = true
		mu.Unlock()
		w.note(f.name)
		wg.Go(func() {
			if err := f.do(w, own, d); err != nil {
				w.fail(fmt.Errorf("soak: %s: %w", f.name, err))
			}
			mu.Lock()
			busy[f.name] = false
			mu.Unlock()
		})
	}
	wg.Wait()
	w.note("all faults ended")
}

func (w *world) note(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, Event{time.Since(w.start).Seconds(), what})
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = err
}

func (w *world) anyDaemon(r *rand.Rand) *process {
	return w.daemons[r.IntN(len(w.daemons))]
}

// serverFaults are those of servers; a crash needs a server that starts again.
var serverFaults = []gridserver.Fault{
	gridserver.ResetAtOnce, gridserver.ResetAfter, gridserver.Error, gridserver.Shed, gridserver.Hang,
	gridserver.Extra, gridserver.Cut, gridserver.Unframed, gridserver.Unsigned,
}

func serverFails(w *world, r *rand.Rand, d time.Duration) error {
	id := fmt.Sprintf("%s-%d", services[r.IntN(len(services))], 1+r.IntN(serversPerService))
	w.mu.Lock()
	s := w.servers[id]
	w.mu.Unlock()
	f := serverFaults[r.IntN(len(serverFaults))]
	w.note(id + " " + string(f))
	s.SetFault(f)
	time.Sleep(d)
	s.SetFault(gridserver.Healthy)
	return nil
}

var pathModes = []chaosproxy.Mode{chaosproxy.Delay, chaosproxy.Reset, chaosproxy.Silence, chaosproxy.OneWay}

// pathHarmed harms the way to the store or to one server.
func pathHarmed(w *world, r *rand.Rand, d time.Duration) error {
	w.mu.Lock()
	p := w.proxies[r.IntN(len(w.proxies))]
	w.mu.Unlock()
	m := pathModes[r.IntN(len(pathModes))]
	w.note("path " + string(m))
	p.SetMode(m)
	time.Sleep(d)
	p.SetMode(chaosproxy.Pass)
	return nil
}

func storeHarmed(w *world, r *rand.Rand, d time.Duration) error {
	harms := []rowstore.Faults{
		{Down: rowstore.Refuse},
		{Down: rowstore.TooMany},
		{Down: rowstore.Silence},
		{Down: rowstore.Reset},
		{DelayMillis: 300},
		{LoseReply: 0.5},
		{LoseReply: 0.5, LateMillis: 400},
	}
	w.fleet.Store.SetFaults(harms[r.IntN(len(harms))])
	time.Sleep(d)
	w.fleet.Store.SetFaults(rowstore.Faults{})
	return nil
}

// serverReplaced starts a new server and lets an added one leave by plan. The
// report of leaving counts for the check only while nothing else is harmed, so it
// is excused here unless the run is calm.
func serverReplaced(w *world, r *rand.Rand, d time.Duration) error {
	service := r.IntN(len(services))
	w.mu.Lock()
	id := fmt.Sprintf("%s-%d", services[service], len(w.servers)+1)
	w.mu.Unlock()
	if err := w.addServer(id, services[service], r.IntN(2)); err != nil {
		return err
	}
	time.Sleep(d)
	before := w.faultsSoFar()
	w.fleet.Drain(id)
	at := time.Now()
	time.Sleep(2 * leaveBound)
	w.mu.Lock()
	w.leaves = append(w.leaves, Leave{Server: id, At: at, Excused: len(w.events) != before})
	w.mu.Unlock()
	w.fleet.Remove(id)
	return nil
}

func (w *world) faultsSoFar() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.events)
}
