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

// Options describe one run.
type Options struct {
	Seed uint64
	// Binary is the daemon's program.
	Binary string
	// Folder takes settings and logs.
	Folder         string
	DaemonsPerZone int
	Callers        int
	// FaultDuration is the time with faults, QuietDuration that without any after it, FaultInterval the mean
	// time between two faults.
	FaultDuration, QuietDuration, FaultInterval time.Duration
	// Faults names those that come; none means all.
	Faults []string
	Bounds Bounds
}

// Event is one fault, for the timeline, in seconds since the start.
type Event struct {
	At          float64 `json:"at"`
	Until       float64 `json:"until"`
	Description string  `json:"what"`
}

// Report is the end of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Requests   int         `json:"sends"`
	Served     int         `json:"served"`
	Faults     []Event     `json:"faults"`
	Violations []Violation `json:"violations"`
	start      time.Time
	history    *History
}

// hosts are the host of idempotent requests and that of those which run once.
var hosts = [2]string{"read.example", "order.example"}

var services = [2]string{"reader", "orders"}

// serversPerService is the number of servers at the start.
const serversPerService = 4

// work is the time of one request at a server.
const work = 20 * time.Millisecond

// world is a deployment under harm.
type world struct {
	options   Options
	fleet     *gridfleet.Fleet
	daemons   []*process
	byAddress map[string]*process
	start     time.Time

	harms *harmLog

	mu         sync.Mutex
	proxies    []*chaosproxy.Proxy
	servers    map[string]*backendServer
	leaves     []Drain
	configured []AcceptedVersion
	seen       []ObservedVersion
	events     []Event
	failed     error
}

// backendServer is one server and the way to it.
type backendServer struct {
	*gridserver.Server
	id    string
	proxy *chaosproxy.Proxy
}

// Run harms a deployment as the seed says and checks what was seen.
func Run(o Options) (*Report, error) {
	w := &world{
		options: o, byAddress: map[string]*process{}, servers: map[string]*backendServer{}, harms: newHarmLog(), start: time.Now(),
	}
	defer w.close()
	if err := w.bringUp(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	callers := make([]*caller, o.Callers)
	for n := range callers {
		callers[n] = newCaller(w, n, o.Seed)
		wg.Go(func() { callers[n].run(ctx) })
	}
	wg.Go(func() { w.watchVersions(ctx) })
	err := w.harm()
	healed := time.Now()
	time.Sleep(o.QuietDuration)
	cancel()
	wg.Wait()
	return w.report(callers, healed), errors.Join(err, w.failed)
}

// bringUp starts the stand-ins and the daemons, and waits until one is ready.
func (w *world) bringUp() error {
	var err error
	w.fleet, err = gridfleet.Start(gridfleet.Options{Zones: []ident.ZoneID{"north", "south"}})
	if err != nil {
		return err
	}
	w.configure()
	for s, service := range services {
		for n := range serversPerService {
			if err := w.addServer(fmt.Sprintf("%s-%d", service, n+1), service, (s+n)%2); err != nil {
				return err
			}
		}
	}
	for zone := range 2 {
		for n := range w.options.DaemonsPerZone {
			s := w.fleet.Settings(zone, n)
			way, err := w.way(w.fleet.Address)
			if err != nil {
				return err
			}
			s.Store = way.Address()
			p := &process{name: string(s.VM), binary: w.options.Binary, folder: w.options.Folder, settings: s, store: way, harms: w.harms}
			w.daemons = append(w.daemons, p)
			w.byAddress[s.CallerAddress] = p
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	for range 200 {
		if resp, err := http.Get("http://" + w.daemons[0].settings.ReadyAddress + platform.PathReady); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("soak: no daemon became ready")
}

// way returns a new way to an address, which can be harmed.
func (w *world) way(address string) (*chaosproxy.Proxy, error) {
	p, err := chaosproxy.New(address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxies = append(w.proxies, p)
	return p, nil
}

func (w *world) configure() {
	var routes []gridfleet.Route
	for i, kind := range []string{"safe", "unsafe"} {
		routes = append(routes, gridfleet.Route{
			Name: kind, Host: hosts[i], Prefix: "/x/", Kind: kind, Timeout: 1.5, Target: 0.5, Priority: i, Attempts: 2, Service: services[i],
		})
	}
	version := w.fleet.Configure(routes, services[:]...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configured = append(w.configured, AcceptedVersion{version, time.Now()})
}

func (w *world) addServer(id, service string, zone int) error {
	b := &backendServer{id: id}
	s, err := w.fleet.AddServerBehind(id, service, zone, work, func(address string) (string, error) {
		var err error
		if b.proxy, err = w.way(address); err != nil {
			return "", err
		}
		return b.proxy.Address(), nil
	})
	if err != nil {
		return err
	}
	b.Server = s
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id] = b
	return nil
}

// versionPeriod is how often each daemon's version is read.
const versionPeriod = 200 * time.Millisecond

// watchVersions reads the version in force of each daemon until the context ends.
func (w *world) watchVersions(ctx context.Context) {
	client := http.Client{Timeout: versionPeriod}
	for ctx.Err() == nil {
		for _, p := range w.daemons {
			run := p.incarnation()
			address := fmt.Sprintf("http://%s:%d/metrics", p.settings.IP, p.settings.MetricsPort)
			resp, err := client.Get(address)
			if err != nil {
				continue
			}
			if v, ok := versionOf(resp.Body); ok && p.incarnation() == run {
				w.mu.Lock()
				w.seen = append(w.seen, ObservedVersion{p.name, run, v, time.Now()})
				w.mu.Unlock()
			}
			resp.Body.Close()
		}
		time.Sleep(versionPeriod)
	}
}

func versionOf(r io.Reader) (uint64, bool) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "bilberrymux_config_version "); found {
			v, err := strconv.ParseFloat(text, 64)
			return uint64(v), err == nil
		}
	}
	return 0, false
}

// report checks what callers and servers saw.
func (w *world) report(callers []*caller, healed time.Time) *Report {
	h := &History{FaultsEnded: healed, Impairments: w.harms.all()}
	r := &Report{Seed: w.options.Seed, start: w.start, history: h}
	for _, c := range callers {
		h.Requests = append(h.Requests, c.sends...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, s := range w.servers {
		for _, run := range s.Log() {
			h.Executions = append(h.Executions, Execution{run.ID, id, run.At})
		}
	}
	h.Drains, h.AcceptedVersions, h.ObservedVersions = w.leaves, w.configured, w.seen
	for _, s := range h.Requests {
		if s.Status == http.StatusOK {
			r.Served++
		}
	}
	r.Requests, r.Faults, r.Violations = len(h.Requests), w.events, Check(h, w.options.Bounds)
	return r
}

// close ends the processes that this run started, and the stand-ins.
func (w *world) close() {
	for _, p := range w.daemons {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ending()
	}
	if w.fleet != nil {
		w.fleet.Stop()
	}
	for _, p := range w.proxies {
		p.Close()
	}
}

// CreateFolder returns a new folder for the files of a seed.
func CreateFolder(seed uint64) (string, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return dir, nil
}

// random returns the random numbers of the faults of a seed.
func (o *Options) random() *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, 77))
}
