// Package gridfleet runs a small deployment of the users' platform inside one
// process, on loopback: the store, backend servers that report there, and
// daemons. Tests use it.
package gridfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/edge"
	"bilberrymux/io/netseam"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// Route is one route of the configuration, in the platform's form.
type Route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  float64 `json:"timeout_s"`
	Target   float64 `json:"target_latency_s"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Service  string  `json:"service,omitempty"`
	Backends []Part  `json:"backends,omitempty"`
}

// Part is one service of a route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Options describe a deployment.
type Options struct {
	// Zones and DaemonsPerZone place the daemons; each zone has a region of its
	// own name.
	Zones          []ident.ZoneID
	DaemonsPerZone int
	Log            io.Writer
	Rules          *netseam.Rules
	// Grace is the time of a planned stop; zero is three seconds.
	Grace time.Duration
}

// Fleet is a running deployment. It is safe for concurrent use.
type Fleet struct {
	options Options
	Store   *rowstore.Server
	Address string
	// stopStore ends the store.
	stopStore func()

	mu       sync.Mutex
	version  uint64
	servers  map[string]*Entry
	stop     chan struct{}
	stopOnce sync.Once
	Daemons  []*Daemon
}

// Daemon is one running daemon and its settings.
type Daemon struct {
	Edge     *edge.Edge
	Settings *settings.Edge
}

// Entry is the row of one server.
type Entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	Warmup   float64 `json:"warmup_left_s"`
	Sequence int64   `json:"sequence"`
	Born     int64   `json:"born"`
	server   *gridserver.Server
}

// The ports of every daemon; their IP numbers differ.
const (
	portCallers = 18641
	portReady   = 18640
	portLocate  = 18644
	portPeers   = 17620
	portMetrics = 19464
)

// slots is the capacity of each server.
const slots = 4

// heartbeat is how often servers report.
const heartbeat = 300 * time.Millisecond

// Start brings up the store and the daemons. The caller must Stop the fleet.
func Start(o Options) (*Fleet, error) {
	store, address, stop, err := rowstore.Start(rowstore.Options{Seed: 1})
	if err != nil {
		return nil, fmt.Errorf("gridfleet: %w", err)
	}
	f := &Fleet{
		options: o, Store: store, Address: address, stopStore: stop,
		servers: map[string]*Entry{}, stop: make(chan struct{}),
	}
	go f.report()
	for z := range o.Zones {
		for n := range o.DaemonsPerZone {
			if _, err := f.StartDaemon(z, n); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	return f, nil
}

// ip names a VM. The process id keeps deployments on one machine apart.
func ip(zone, n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, (pid/250)%25*10+zone, n+10)
}

// Settings returns the settings of the n-th daemon of a zone.
func (f *Fleet) Settings(zone, n int) *settings.Edge {
	own := ip(zone, n)
	at := func(port int) string { return fmt.Sprintf("%s:%d", own, port) }
	zones := map[ident.ZoneID]ident.RegionID{}
	for _, z := range f.options.Zones {
		zones[z] = ident.RegionID(z)
	}
	grace := f.options.Grace
	if grace == 0 {
		grace = 3 * time.Second
	}
	name := f.options.Zones[zone]
	return &settings.Edge{
		VM: ident.VMID(fmt.Sprintf("%s-%d", name, n+1)), Zone: name, Region: ident.RegionID(name), Zones: zones,
		IP: own, CallerAddress: at(portCallers), ReadyAddress: at(portReady), LocateAddress: at(portLocate),
		PeerPorts: []int{portPeers, portPeers}, Seeds: []string{ip(0, 0) + ":1", ip(0, 1) + ":1"},
		MetricsPort: portMetrics, Store: f.Address, MemoryMB: 256, CPUShare: 0.5, LinkMbps: 1000, LogLevel: "info",
		Bounds: settings.Bounds{
			Grace: settings.Seconds(grace.Seconds()), Drain: 2, Config: 2, LocateLifetime: 5,
			ExtraAttemptRatio: 0.2, ExtraAttemptReserve: 56, ExtraAttemptWindow: 10, FloorShare: 0.7,
		},
	}
}

// StartDaemon starts the n-th daemon of a zone, a new incarnation of it where it
// ran before.
func (f *Fleet) StartDaemon(zone, n int) (*Daemon, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if f.options.Log != nil {
		log.SetOutput(f.options.Log)
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	s := f.Settings(zone, n)
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := edge.New(edge.Options{Settings: s, Log: log, Rules: f.options.Rules})
	if err := e.Start(context.Background()); err != nil {
		return nil, err
	}
	d := &Daemon{e, s}
	f.mu.Lock()
	f.Daemons = append(f.Daemons, d)
	f.mu.Unlock()
	return d, nil
}

// Configure writes the next version of the configuration and returns it.
func (f *Fleet) Configure(routes []Route, services ...string) uint64 {
	f.mu.Lock()
	f.version += 3
	version := f.version
	f.mu.Unlock()
	type service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		Max        int    `json:"max_connections"`
	}
	var list []service
	for _, s := range services {
		list = append(list, service{s, "/healthz", 300})
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		panic(err)
	}
	f.Store.Put("op", "config", body)
	return version
}

// AddServer starts a server of a service in a zone, and its reports.
func (f *Fleet) AddServer(id, service string, zone int, work time.Duration) (*gridserver.Server, error) {
	return f.AddServerBehind(id, service, zone, work, func(address string) (string, error) { return address, nil })
}

// AddServerBehind starts a server that daemons reach by another address.
func (f *Fleet) AddServerBehind(id, service string, zone int, work time.Duration, way func(address string) (string, error)) (*gridserver.Server, error) {
	s := gridserver.New(id, work)
	own, err := s.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address, err := way(own)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Service: service, Address: address, Zone: string(f.options.Zones[zone]), Version: "v1", Capacity: slots,
		State: "ready", Born: time.Now().UnixMilli(), server: s,
	}
	f.mu.Lock()
	f.servers[id] = e
	f.write(id, e)
	f.mu.Unlock()
	return s, nil
}

// Drain lets a server report that it leaves.
func (f *Fleet) Drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].State = "draining"
	f.write(id, f.servers[id])
}

// Remove takes the row of a server away, as when it has left.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
	f.Store.Delete("servers", id)
}

// RestartServer ends a server at once and starts it again after a while, under its
// id and at its address, born at the time that its clock shows then.
func (f *Fleet) RestartServer(id string, down time.Duration, born time.Time) error {
	f.mu.Lock()
	e := f.servers[id]
	f.mu.Unlock()
	e.server.Stop()
	time.Sleep(down)
	if err := e.server.Restart(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Born, e.Sequence = born.UnixMilli(), 0
	f.write(id, e)
	return nil
}

// Rename gives the address of a server to another id, as when an address is used
// again. The row keeps the old id until the next report.
func (f *Fleet) Rename(id, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].server.Rename(to)
}

func (f *Fleet) write(id string, e *Entry) {
	e.Sequence++
	body, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	f.Store.Put("servers", id, body)
}

// report repeats the servers' reports until the fleet stops.
func (f *Fleet) report() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for id, e := range f.servers {
			f.write(id, e)
		}
		f.mu.Unlock()
	}
}

// Stop ends everything at once.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() { close(f.stop) })
	f.mu.Lock()
	daemons, servers := f.Daemons, f.servers
	f.mu.Unlock()
	for _, d := range daemons {
		d.Edge.Kill()
	}
	for _, e := range servers {
		e.server.Stop()
	}
	f.stopStore()
}
