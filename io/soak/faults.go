package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	{"server restarted", serverRestarted},
	{"server replaced", serverReplaced},
	{"address used again", addressUsedAgain},
	{"path to server harmed", serverPathHarmed},
	{"path to store harmed", storePathHarmed},
	{"daemon stopped", func(w *world, r *rand.Rand, _ time.Duration) error { return w.anyDaemon(r).stop() }},
	{"daemon killed", func(w *world, r *rand.Rand, d time.Duration) error { return w.anyDaemon(r).kill(d / 4) }},
	{"daemon paused", func(w *world, r *rand.Rand, d time.Duration) error {
		w.anyDaemon(r).pause(d)
		return nil
	}},
	{"settings read again", func(w *world, r *rand.Rand, _ time.Duration) error {
		w.anyDaemon(r).readAgain()
		return nil
	}},
	{"store harmed", storeHarmed},
	{"store forgets", func(w *world, _ *rand.Rand, _ time.Duration) error {
		w.fleet.Store.DropHistory()
		return nil
	}},
	{"new version", func(w *world, _ *rand.Rand, _ time.Duration) error {
		w.configure()
		return nil
	}},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// chosen returns the faults that a run has.
func (o *Options) chosen() ([]fault, error) {
	if len(o.Faults) == 0 {
		return faults, nil
	}
	var out []fault
	for _, name := range o.Faults {
		n := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if n < 0 {
			return nil, fmt.Errorf("soak: no fault is named %q", name)
		}
		out = append(out, faults[n])
	}
	return out, nil
}

// The pace of faults.
const (
	// DefaultGap is the mean time between two faults; they overlap.
	DefaultGap = 500 * time.Millisecond
	// faultLength is the greatest length of one.
	faultLength = 2500 * time.Millisecond
)

// harm runs faults, drawn from the seed, and waits for the end of the last. No
// fault overlaps one of its own kind.
func (w *world) harm() error {
	from, err := w.options.chosen()
	if err != nil {
		return err
	}
	r := w.options.random()
	var wg sync.WaitGroup
	busy := map[string]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(w.options.Length); time.Now().Before(end); {
		f := from[r.IntN(len(from))]
		d := time.Duration(r.Float64() * float64(faultLength))
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(w.options.Gap)))
		mu.Lock()
		if busy[f.name] {
			mu.Unlock()
			continue
		}
		busy[f.name] = true
		mu.Unlock()
		wg.Go(func() {
			ended := w.note(f.name)
			if err := f.do(w, own, d); err != nil {
				w.fail(fmt.Errorf("soak: %s: %w", f.name, err))
			}
			ended()
			mu.Lock()
			busy[f.name] = false
			mu.Unlock()
		})
	}
	wg.Wait()
	return nil
}

// note adds an event to the timeline and returns what ends it.
func (w *world) note(what string) (ended func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, Event{At: time.Since(w.start).Seconds(), What: what})
	n := len(w.events) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.events[n].Until = time.Since(w.start).Seconds()
	}
}

// detail adds to what an event of the timeline says.
func (w *world) detail(format string, args ...any) {
	w.note(fmt.Sprintf(format, args...))()
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = err
}

func (w *world) anyDaemon(r *rand.Rand) *process {
	return w.daemons[r.IntN(len(w.daemons))]
}

// lasting is a server that is there from the start to the end.
func (w *world) lasting(r *rand.Rand) *backendServer {
	id := fmt.Sprintf("%s-%d", services[r.IntN(len(services))], 1+r.IntN(serversPerService))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[id]
}

// serverFaults are those of servers; a crash needs a server that starts again.
var serverFaults = []gridserver.Fault{
	gridserver.ResetAtOnce, gridserver.ResetAfter, gridserver.Error, gridserver.Shed, gridserver.Hang,
	gridserver.Extra, gridserver.Cut, gridserver.Unframed, gridserver.Unsigned,
}

func serverFails(w *world, r *rand.Rand, d time.Duration) error {
	s := w.lasting(r)
	f := serverFaults[r.IntN(len(serverFaults))]
	w.detail("%s %s", s.id, f)
	s.SetFault(f)
	time.Sleep(d)
	s.SetFault(gridserver.Healthy)
	return nil
}

// clockSteps is the greatest step of a server's clock while it restarts.
const clockSteps = time.Hour

// serverRestarted ends a server at once and starts it again under its id, with a
// clock that may have stepped either way.
func serverRestarted(w *world, r *rand.Rand, d time.Duration) error {
	s := w.lasting(r)
	step := time.Duration((2*r.Float64() - 1) * float64(clockSteps))
	w.detail("%s, its clock steps by %v", s.id, step.Round(time.Second))
	defer w.harms.begin(s.id)()
	return w.fleet.RestartServer(s.id, d/2, time.Now().Add(step))
}

// addressUsedAgain lets another server answer at the address of one.
func addressUsedAgain(w *world, r *rand.Rand, d time.Duration) error {
	s := w.lasting(r)
	w.detail("%s", s.id)
	w.fleet.Rename(s.id, "stranger")
	time.Sleep(d / 2)
	w.fleet.Rename(s.id, s.id)
	return nil
}

var pathModes = []chaosproxy.Mode{chaosproxy.Delay, chaosproxy.Reset, chaosproxy.Blackhole, chaosproxy.DropReplies}

// serverPathHarmed harms the way to one server.
func serverPathHarmed(w *world, r *rand.Rand, d time.Duration) error {
	s := w.lasting(r)
	defer w.harms.begin(s.id)()
	w.harmPath(s.id, s.proxy, r, d)
	return nil
}

// storePathHarmed harms the way of one daemon to the store.
func storePathHarmed(w *world, r *rand.Rand, d time.Duration) error {
	p := w.anyDaemon(r)
	w.harmPath("store of "+p.name, p.store, r, d)
	return nil
}

func (w *world) harmPath(what string, p *chaosproxy.Proxy, r *rand.Rand, d time.Duration) {
	m := pathModes[r.IntN(len(pathModes))]
	w.detail("%s %s", what, m)
	p.SetMode(m)
	time.Sleep(d)
	p.SetMode(chaosproxy.Pass)
}

func storeHarmed(w *world, r *rand.Rand, d time.Duration) error {
	harms := []rowstore.Faults{
		{Down: rowstore.Refuse},
		{Down: rowstore.TooManyRequests},
		{Down: rowstore.Hang},
		{Down: rowstore.Reset},
		{DelayMillis: 300},
		{LoseReplyFraction: 0.5},
		{LoseReplyFraction: 0.5, LateWriteMillis: 400},
	}
	f := harms[r.IntN(len(harms))]
	w.detail("store %+v", f)
	defer w.harms.begin(theStore)()
	w.fleet.Store.SetFaults(f)
	time.Sleep(d)
	w.fleet.Store.SetFaults(rowstore.Faults{})
	return nil
}

// serverReplaced starts a new server and lets it leave by plan after a while. It
// serves on for some time, so that work which still comes is seen.
func serverReplaced(w *world, r *rand.Rand, d time.Duration) error {
	service := r.IntN(len(services))
	w.mu.Lock()
	id := fmt.Sprintf("%s-%d", services[service], len(w.servers)+1)
	w.mu.Unlock()
	if err := w.addServer(id, services[service], r.IntN(2)); err != nil {
		return err
	}
	time.Sleep(d)
	w.fleet.Drain(id)
	w.mu.Lock()
	w.leaves = append(w.leaves, Leave{Server: id, At: time.Now()})
	w.mu.Unlock()
	w.detail("%s leaves", id)
	time.Sleep(2 * w.options.Bounds.Leave)
	w.fleet.Remove(id)
	return nil
}
