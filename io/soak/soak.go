package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/chaosproxy"
	"bilberrymux/io/standin/gridfleet"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/platform"
)

// Options configures one soak run.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon's executable.
	Binary string
	// Folder is the directory for the daemons' settings files and logs.
	Folder         string
	DaemonsPerZone int
	Callers        int
	// AheadCallers is the number of further callers that open a connection for each request long
	// before they send it.
	AheadCallers int
	// FaultDuration is the length of the phase in which faults are injected, QuietDuration that
	// of the fault-free phase after it, and FaultInterval the mean time between the starts of two
	// faults.
	FaultDuration, QuietDuration, FaultInterval time.Duration
	// Faults lists the names of the faults to inject. If it is empty, all faults are injected.
	Faults []string
	Bounds Bounds
}

// Event is a fault, or a detail of one, in the timeline. Its times are in seconds since the start
// of the run.
type Event struct {
	At          float64 `json:"at"`
	Until       float64 `json:"until"`
	Description string  `json:"what"`
}

// Report is the result of a run: its requests, the injected faults and the broken promises.
type Report struct {
	Seed       uint64      `json:"seed"`
	Requests   int         `json:"sends"`
	Served     int         `json:"served"`
	Faults     []Event     `json:"faults"`
	Violations []Violation `json:"violations"`
	start      time.Time
	history    *History
}

// services holds the service of the idempotent requests and that of the non-idempotent ones, which must
// not be executed more than once.
var services = [2]string{"reader", "orders"}

// hostsPerService is the number of hosts of each service. Callers of different hosts are directed to
// different daemons.
const hostsPerService = 4

// hostOf returns the n-th host of a service.
func hostOf(service string, n int) string {
	return fmt.Sprintf("%s-%d.example", service, n)
}

// serversPerService is the number of backend servers of each service at the start of a run.
const serversPerService = 4

// serviceTime is how long a backend server takes for one request.
const serviceTime = 20 * time.Millisecond

// testbed is the deployment of one run: the stand-ins for the store and the backend servers, the
// daemons, and the proxies that inject network faults between them.
type testbed struct {
	options          Options
	fleet            *gridfleet.Fleet
	daemons          []*process
	daemonsByAddress map[string]*process
	start            time.Time

	impairments *impairmentLog

	mu               sync.Mutex
	proxies          []*chaosproxy.Proxy
	servers          map[string]*backendServer
	drains           []Drain
	acceptedVersions []AcceptedVersion
	observedVersions []ObservedVersion
	events           []Event
	faultError       error
}

// backendServer is a backend server and the proxy through which daemons reach it.
type backendServer struct {
	*gridserver.Server
	id      string
	service string
	proxy   *chaosproxy.Proxy
}

// Run starts a deployment, injects faults that are drawn from the seed, and checks the promises
// against the recorded history. It returns a report also when a fault could not be injected; the
// error says which.
func Run(o Options) (*Report, error) {
	tb := &testbed{
		options: o, daemonsByAddress: map[string]*process{}, servers: map[string]*backendServer{}, impairments: newImpairmentLog(), start: time.Now(),
	}
	defer tb.close()
	if err := tb.startAll(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	callers := make([]*caller, o.Callers+o.AheadCallers)
	for n := range callers {
		callers[n] = newCaller(tb, n, o.Seed)
		callers[n].connectsAhead = n >= o.Callers
		wg.Go(func() { callers[n].run(ctx) })
	}
	wg.Go(func() { tb.watchVersions(ctx) })
	err := tb.injectFaults()
	faultsEnded := time.Now()
	time.Sleep(o.QuietDuration)
	cancel()
	wg.Wait()
	return tb.report(callers, faultsEnded), errors.Join(err, tb.faultError)
}

// startAll starts the stand-ins and the daemons, and waits up to about 10 s until the first daemon
// is ready.
func (tb *testbed) startAll() error {
	var err error
	tb.fleet, err = gridfleet.Start(gridfleet.Options{Zones: []ident.ZoneID{"north", "south"}})
	if err != nil {
		return err
	}
	tb.configure()
	for s, service := range services {
		for n := range serversPerService {
			if err := tb.addServer(fmt.Sprintf("%s-%d", service, n+1), service, (s+n)%2); err != nil {
				return err
			}
		}
	}
	for zone := range 2 {
		for n := range tb.options.DaemonsPerZone {
			s := tb.fleet.Settings(zone, n)
			storeProxy, err := tb.newProxy(tb.fleet.Address)
			if err != nil {
				return err
			}
			s.Store = storeProxy.Address()
			p := &process{name: string(s.VM), binary: tb.options.Binary, folder: tb.options.Folder, settings: s, storeProxy: storeProxy, impairments: tb.impairments}
			tb.daemons = append(tb.daemons, p)
			tb.daemonsByAddress[s.CallerAddress] = p
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	for range 200 {
		if resp, err := http.Get("http://" + tb.daemons[0].settings.ReadyAddress + platform.PathReady); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("soak: no daemon became ready")
}

// newProxy starts a proxy to an address that can inject network faults.
func (tb *testbed) newProxy(address string) (*chaosproxy.Proxy, error) {
	p, err := chaosproxy.New(address)
	if err != nil {
		return nil, err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.proxies = append(tb.proxies, p)
	return p, nil
}

// configure stores a new version of the configuration, with idempotent and non-idempotent
// routes, and records when the store accepted it.
func (tb *testbed) configure() {
	var routes []gridfleet.Route
	for i, kind := range []string{"safe", "unsafe"} {
		for n := range hostsPerService {
			routes = append(routes, gridfleet.Route{
				Name: fmt.Sprintf("%s-%d", kind, n), Host: hostOf(services[i], n), Prefix: "/x/", Kind: kind,
				Timeout: 1.5, Target: 0.5, Priority: i, Attempts: 2, Service: services[i],
			})
		}
	}
	version := tb.fleet.Configure(routes, services[:]...)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.acceptedVersions = append(tb.acceptedVersions, AcceptedVersion{version, time.Now()})
}

// addServer starts a backend server behind a proxy of its own.
func (tb *testbed) addServer(id, service string, zone int) error {
	b := &backendServer{id: id, service: service}
	s, err := tb.fleet.AddProxiedServer(id, service, zone, serviceTime, func(address string) (string, error) {
		var err error
		if b.proxy, err = tb.newProxy(address); err != nil {
			return "", err
		}
		return b.proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	b.Server = s
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.servers[id] = b
	return nil
}

// versionPollInterval is the pause between two polls of the daemons' versions, and the timeout of
// one metrics request.
const versionPollInterval = 200 * time.Millisecond

// watchVersions polls the configuration version of each daemon until ctx is done. It drops a
// version if the daemon restarted while it was read.
func (tb *testbed) watchVersions(ctx context.Context) {
	client := http.Client{Timeout: versionPollInterval}
	for ctx.Err() == nil {
		for _, p := range tb.daemons {
			incarnation := p.incarnation()
			address := fmt.Sprintf("http://%s:%d/metrics", p.settings.IP, p.settings.MetricsPort)
			resp, err := client.Get(address)
			if err != nil {
				continue
			}
			if v, ok := parseConfigVersion(resp.Body); ok && p.incarnation() == incarnation {
				tb.mu.Lock()
				tb.observedVersions = append(tb.observedVersions, ObservedVersion{p.name, incarnation, v, time.Now()})
				tb.mu.Unlock()
			}
			resp.Body.Close()
		}
		time.Sleep(versionPollInterval)
	}
}

// parseConfigVersion returns the configuration version from a daemon's metrics page. It returns
// false if the metric is missing or malformed.
func parseConfigVersion(r io.Reader) (uint64, bool) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "bilberrymux_config_version "); found {
			v, err := strconv.ParseFloat(text, 64)
			return uint64(v), err == nil
		}
	}
	return 0, false
}

// report collects the history from the callers, the backend servers and the testbed, and checks
// the promises against it.
func (tb *testbed) report(callers []*caller, faultsEnded time.Time) *Report {
	h := &History{FaultsEnded: faultsEnded, Impairments: tb.impairments.snapshot(), Starts: map[string][]time.Time{}}
	r := &Report{Seed: tb.options.Seed, start: tb.start, history: h}
	for _, c := range callers {
		h.Requests = append(h.Requests, c.requests...)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for id, s := range tb.servers {
		for _, run := range s.Log() {
			h.Executions = append(h.Executions, Execution{run.ID, id, run.At})
		}
		for _, arrival := range s.ArrivalLog() {
			h.Arrivals = append(h.Arrivals, Arrival{arrival.ID, s.service, id, arrival.At})
		}
		for _, said := range s.Statements() {
			h.Statements = append(h.Statements, Statement{said.ID, id, said.At, said.Leaving, said.Pause})
		}
	}
	for _, p := range tb.daemons {
		h.Starts[p.name] = p.startTimes()
	}
	h.Drains, h.AcceptedVersions, h.ObservedVersions = tb.drains, tb.acceptedVersions, tb.observedVersions
	for _, request := range h.Requests {
		if request.Status == http.StatusOK {
			r.Served++
		}
	}
	r.Requests, r.Faults, r.Violations = len(h.Requests), tb.events, Check(h, tb.options.Bounds)
	return r
}

// close kills the daemons that this run started, and stops the stand-ins and the proxies. It
// resumes a paused daemon before it kills it.
func (tb *testbed) close() {
	for _, p := range tb.daemons {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
	if tb.fleet != nil {
		tb.fleet.Stop()
	}
	for _, p := range tb.proxies {
		p.Close()
	}
}

// CreateFolder creates a temporary directory for the files of one run and returns its path.
func CreateFolder(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return dir, nil
}

// faultRand returns the random number generator for the faults. It uses stream 77 of the
// seed; the callers use the streams from 0, one each.
func (o *Options) faultRand() *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, 77))
}
