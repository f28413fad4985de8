package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bilberrymux/io/standin/chaosproxy"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// fault is a kind of fault. inject injects it into the deployment and returns when it has ended; d is
// the drawn duration.
type fault struct {
	name   string
	inject func(tb *testbed, r *rand.Rand, d time.Duration) error
}

var faults = []fault{
	{"server fails", func(tb *testbed, r *rand.Rand, d time.Duration) error { return failServer(tb, r, d, serverFaults) }},
	{"service slow", slowService},
	{"service sheds", shedService},
	{"server pauses", pauseServer},
	{"server restarted", restartServer},
	{"server replaced", replaceServer},
	{"address used again", reuseAddress},
	{"path to server harmed", impairServerPath},
	{"path to store harmed", impairStorePath},
	{"daemon stopped", func(tb *testbed, r *rand.Rand, _ time.Duration) error { return tb.randomDaemon(r).stop() }},
	{"daemon killed", func(tb *testbed, r *rand.Rand, d time.Duration) error { return tb.randomDaemon(r).kill(d / 4) }},
	{"daemon paused", func(tb *testbed, r *rand.Rand, d time.Duration) error {
		tb.randomDaemon(r).pause(d)
		return nil
	}},
	{"settings read again", func(tb *testbed, r *rand.Rand, _ time.Duration) error {
		tb.randomDaemon(r).reloadSettings()
		return nil
	}},
	{"store harmed", impairStore},
	{"store forgets", func(tb *testbed, _ *rand.Rand, _ time.Duration) error {
		tb.fleet.Store.DropHistory()
		return nil
	}},
	{"new version", func(tb *testbed, _ *rand.Rand, _ time.Duration) error {
		tb.configure()
		return nil
	}},
	{"refusals copied", copyRefusals},
	{"server contradicts itself", func(tb *testbed, r *rand.Rand, d time.Duration) error {
		return failServer(tb, r, d, gridserver.ContradictoryRefusals())
	}},
	{"malformed heads", func(tb *testbed, r *rand.Rand, d time.Duration) error {
		return failServer(tb, r, d, gridserver.MalformedHeads())
	}},
}

// FaultNames returns the names of all kinds of faults.
func FaultNames() []string {
	var out []string
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// selectedFaults returns the kinds of faults that a run injects. It returns an error for an unknown
// name.
func (o *Options) selectedFaults() ([]fault, error) {
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

// The timing of faults.
const (
	// DefaultFaultInterval is the mean time between the starts of two faults. Faults of
	// different kinds may overlap.
	DefaultFaultInterval = 500 * time.Millisecond
	// maxFaultDuration is the upper limit of the drawn duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
)

// injectFaults injects faults that are drawn from the seed, and returns when the last one has ended.
// Faults of the same kind never overlap: if one of that kind is still active, the draw is skipped.
func (tb *testbed) injectFaults() error {
	candidates, err := tb.options.selectedFaults()
	if err != nil {
		return err
	}
	r := tb.options.faultRand()
	var wg sync.WaitGroup
	active := map[string]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(tb.options.FaultDuration); time.Now().Before(end); {
		f := candidates[r.IntN(len(candidates))]
		d := time.Duration(r.Float64() * float64(maxFaultDuration))
		faultRandom := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(tb.options.FaultInterval)))
		mu.Lock()
		if active[f.name] {
			mu.Unlock()
			continue
		}
		active[f.name] = true
		mu.Unlock()
		wg.Go(func() {
			ended := tb.beginEvent(f.name)
			if err := f.inject(tb, faultRandom, d); err != nil {
				tb.setFaultError(fmt.Errorf("soak: %s: %w", f.name, err))
			}
			ended()
			mu.Lock()
			active[f.name] = false
			mu.Unlock()
		})
	}
	wg.Wait()
	return nil
}

// beginEvent adds an event to the timeline and returns a function that records its end.
func (tb *testbed) beginEvent(description string) (ended func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.events = append(tb.events, Event{At: time.Since(tb.start).Seconds(), Description: description})
	n := len(tb.events) - 1
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.events[n].Until = time.Since(tb.start).Seconds()
	}
}

// addDetail adds an event without duration to the timeline, with details of a fault such as the
// server and the mode.
func (tb *testbed) addDetail(format string, args ...any) {
	tb.beginEvent(fmt.Sprintf(format, args...))()
}

// setFaultError records that a fault could not be injected. Only the last error is kept.
func (tb *testbed) setFaultError(err error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faultError = err
}

func (tb *testbed) randomDaemon(r *rand.Rand) *process {
	return tb.daemons[r.IntN(len(tb.daemons))]
}

// randomInitialServer returns a random one of the backend servers that exist for the whole run.
func (tb *testbed) randomInitialServer(r *rand.Rand) *backendServer {
	id := fmt.Sprintf("%s-%d", services[r.IntN(len(services))], 1+r.IntN(serversPerService))
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.servers[id]
}

// randomService returns the servers of a random service that exist for the whole run.
func (tb *testbed) randomService(r *rand.Rand) []*backendServer {
	service := services[r.IntN(len(services))]
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []*backendServer
	for n := range serversPerService {
		out = append(out, tb.servers[fmt.Sprintf("%s-%d", service, n+1)])
	}
	return out
}

// serverFaults are the faults that a backend server injects into its requests. gridserver.Crash is
// missing, since a crashed server must be started again; restartServer does that.
var serverFaults = []gridserver.Fault{
	gridserver.ResetBeforeRun, gridserver.ResetAfterRun, gridserver.Error, gridserver.Shed, gridserver.Hang,
	gridserver.ExtraResponse, gridserver.TruncatedBody, gridserver.UnframedBody, gridserver.Unsigned,
	gridserver.TruncatedHead, gridserver.RepeatedRefusal, gridserver.AnonymousRefusal, gridserver.UnmarkedRefusal,
	gridserver.EndlessHead, gridserver.EndlessBody,
}

// failServer makes a backend server fail its requests in one of the given ways for the duration d.
func failServer(tb *testbed, r *rand.Rand, d time.Duration, ways []gridserver.Fault) error {
	s := tb.randomInitialServer(r)
	f := ways[r.IntN(len(ways))]
	tb.addDetail("%s %s", s.id, f)
	s.SetFault(f)
	time.Sleep(d)
	s.SetFault(gridserver.Healthy)
	return nil
}

// earlierServers is the number of rows that name the address of each server whose refusals are copied.
const earlierServers = 3

// copyRefusals makes the servers of a service refuse each request once, or all requests for earlier servers whose
// rows name their addresses, for the duration d. Before its response to a request that it refused on the same
// connection a server writes the refusal once more.
func copyRefusals(tb *testbed, r *rand.Rand, d time.Duration) error {
	servers := tb.randomService(r)
	status := []int{http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}[r.IntN(3)]
	once := r.IntN(2) == 0
	copies := 0
	for _, s := range servers {
		copies -= s.Copies()
		s.SetMisdirectedStatus(status)
		s.SetCopiesRefusals(true)
		if once {
			s.SetFault(gridserver.ShedOnce)
			continue
		}
		for n := range earlierServers {
			tb.fleet.AddRow(fmt.Sprintf("%s-earlier-%d", s.id, n), s.id)
		}
	}
	time.Sleep(d)
	for _, s := range servers {
		copies += s.Copies()
		s.SetFault(gridserver.Healthy)
		s.SetCopiesRefusals(false)
		s.SetMisdirectedStatus(http.StatusMisdirectedRequest)
		for n := range earlierServers {
			tb.fleet.Remove(fmt.Sprintf("%s-earlier-%d", s.id, n))
		}
	}
	tb.addDetail("%s, each request once %v, requests for earlier servers by %d, %d copies", servers[0].service, once, status, copies)
	return nil
}

// maxSlowServiceTime is the upper limit of the service time of a slow service.
const maxSlowServiceTime = 1200 * time.Millisecond

// slowService makes all initial servers of a service take longer for each request for the duration d.
func slowService(tb *testbed, r *rand.Rand, d time.Duration) error {
	slow := time.Duration(r.Float64() * float64(maxSlowServiceTime))
	servers := tb.randomService(r)
	tb.addDetail("%s takes %v", servers[0].service, slow.Round(time.Millisecond))
	for _, s := range servers {
		s.SetServiceTime(slow)
	}
	time.Sleep(d)
	for _, s := range servers {
		s.SetServiceTime(serviceTime)
	}
	return nil
}

// shedFactor makes a service shed for so long that the budgets for further attempts run dry.
const shedFactor = 6

// shedService makes all initial servers of a service shed their requests for shedFactor times the
// duration d.
func shedService(tb *testbed, r *rand.Rand, d time.Duration) error {
	servers := tb.randomService(r)
	tb.addDetail("%s", servers[0].service)
	for _, s := range servers {
		s.SetFault(gridserver.Shed)
	}
	time.Sleep(shedFactor * d)
	for _, s := range servers {
		s.SetFault(gridserver.Healthy)
	}
	return nil
}

// pauseServer makes a backend server reject its requests for the duration d, and ask for no further ones for
// the time that is left.
func pauseServer(tb *testbed, r *rand.Rand, d time.Duration) error {
	s := tb.randomInitialServer(r)
	tb.addDetail("%s for %v", s.id, d.Round(time.Millisecond))
	for end := time.Now().Add(d); ; time.Sleep(pauseUpdateInterval) {
		left := time.Until(end)
		s.SetPause(max(0, left))
		if left <= 0 {
			return nil
		}
	}
}

// pauseUpdateInterval is the interval at which a server that pauses updates the time that is left.
const pauseUpdateInterval = 20 * time.Millisecond

// maxClockStep is the upper limit, in either direction, of the step of a server's clock while it
// restarts.
const maxClockStep = time.Hour

// restartServer stops a backend server without draining and starts it again under the same ID, with
// a clock that may have stepped forwards or backwards.
func restartServer(tb *testbed, r *rand.Rand, d time.Duration) error {
	s := tb.randomInitialServer(r)
	step := time.Duration((2*r.Float64() - 1) * float64(maxClockStep))
	tb.addDetail("%s, its clock steps by %v", s.id, step.Round(time.Second))
	defer tb.impairments.begin(s.id)()
	return tb.fleet.RestartServer(s.id, d/2, time.Now().Add(step))
}

// reuseAddress makes a server with another ID answer at the address of a backend server, as when an
// address is assigned again.
func reuseAddress(tb *testbed, r *rand.Rand, d time.Duration) error {
	s := tb.randomInitialServer(r)
	tb.addDetail("%s", s.id)
	tb.fleet.ChangeServerID(s.id, "stranger")
	time.Sleep(d / 2)
	tb.fleet.ChangeServerID(s.id, s.id)
	return nil
}

var pathModes = []chaosproxy.Mode{chaosproxy.Delay, chaosproxy.Reset, chaosproxy.Blackhole, chaosproxy.DropReplies}

// impairServerPath injects a network fault between all daemons and one backend server.
func impairServerPath(tb *testbed, r *rand.Rand, d time.Duration) error {
	s := tb.randomInitialServer(r)
	defer tb.impairments.begin(s.id)()
	tb.impairPath(s.id, s.proxy, r, d)
	return nil
}

// impairStorePath injects a network fault between one daemon and the store. It records no
// impairment, so the checks apply to that daemon as to the others.
func impairStorePath(tb *testbed, r *rand.Rand, d time.Duration) error {
	p := tb.randomDaemon(r)
	tb.impairPath("store of "+p.name, p.storeProxy, r, d)
	return nil
}

// impairPath sets a random fault mode on a proxy for the duration d.
func (tb *testbed) impairPath(target string, p *chaosproxy.Proxy, r *rand.Rand, d time.Duration) {
	mode := pathModes[r.IntN(len(pathModes))]
	tb.addDetail("%s %s", target, mode)
	p.SetMode(mode)
	time.Sleep(d)
	p.SetMode(chaosproxy.Pass)
}

// impairStore makes the store fail, respond late or lose replies for the duration d.
func impairStore(tb *testbed, r *rand.Rand, d time.Duration) error {
	storeFaults := []rowstore.Faults{
		{Down: rowstore.Refuse},
		{Down: rowstore.TooManyRequests},
		{Down: rowstore.Hang},
		{Down: rowstore.Reset},
		{DelayMillis: 300},
		{LoseReply: 0.5},
		{LoseReply: 0.5, LateMillis: 400},
	}
	f := storeFaults[r.IntN(len(storeFaults))]
	tb.addDetail("store %+v", f)
	defer tb.impairments.begin(storeName)()
	tb.fleet.Store.SetFaults(f)
	time.Sleep(d)
	tb.fleet.Store.SetFaults(rowstore.Faults{})
	return nil
}

// maxReportDelay is the maximum time from a server's word that it leaves to its report to the store.
const maxReportDelay = 4 * time.Second

// replaceServer starts a new backend server. After the duration d the server says that it leaves, and later it
// reports so to the store. It keeps
// serving for twice the drain delay, so that requests which it still gets are recorded.
func replaceServer(tb *testbed, r *rand.Rand, d time.Duration) error {
	service := r.IntN(len(services))
	tb.mu.Lock()
	id := fmt.Sprintf("%s-%d", services[service], len(tb.servers)+1)
	tb.mu.Unlock()
	if err := tb.addServer(id, services[service], r.IntN(2)); err != nil {
		return err
	}
	time.Sleep(d)
	// The server's own word comes before its report to the store.
	tb.mu.Lock()
	server := tb.servers[id]
	tb.mu.Unlock()
	server.SetLeaving(true)
	time.Sleep(time.Duration(r.Float64() * float64(maxReportDelay)))
	tb.fleet.Drain(id)
	tb.mu.Lock()
	tb.drains = append(tb.drains, Drain{Server: id, At: time.Now()})
	tb.mu.Unlock()
	tb.addDetail("%s leaves", id)
	time.Sleep(2 * tb.options.Bounds.DrainDelay)
	tb.fleet.Remove(id)
	return nil
}
