// Package gridfleet runs a small deployment of the users' platform inside one
// process on loopback, for tests: the row store, simulated backend servers that
// write their rows to it, and daemons.
package gridfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/edge"
	"bilberrymux/io/netfault"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// Route is a route in the platform's configuration format. Timeout and Target are in seconds.
type Route struct {
	Name     string            `json:"name"`
	Host     string            `json:"host"`
	Prefix   string            `json:"prefix"`
	Kind     string            `json:"kind"`
	Timeout  float64           `json:"timeout_s"`
	Target   float64           `json:"target_latency_s"`
	Priority int               `json:"priority"`
	Attempts int               `json:"attempts"`
	Service  string            `json:"service,omitempty"`
	Backends []WeightedService `json:"backends,omitempty"`
}

// WeightedService is a service that receives a share of a route's requests in proportion to
// its weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Options configure a deployment.
type Options struct {
	// Zones are the availability zones. Each zone is in a region of the same name.
	Zones []ident.ZoneID
	// DaemonsPerZone is the number of daemons that Start starts in each zone.
	DaemonsPerZone int
	// Log receives the daemons' log lines as JSON; nil discards them.
	Log io.Writer
	// Rules inject faults into the daemons' connections; may be nil.
	Rules *netfault.Rules
	// Adjust changes the settings of each daemon before it starts; may be nil.
	Adjust func(s *settings.Edge)
	// Grace is the maximum duration of a daemon's planned stop. Zero means three seconds.
	Grace time.Duration
}

// Fleet is a running deployment. Its methods are safe for concurrent use.
type Fleet struct {
	options Options
	Store   *rowstore.Server
	// Address is the store's address.
	Address   string
	stopStore func()
	addresses *addressBlock

	mu       sync.Mutex
	version  uint64
	servers  map[string]*ServerRow
	stop     chan struct{}
	stopOnce sync.Once
	Daemons  []*Daemon
}

// Daemon is a daemon that was started, with its settings.
type Daemon struct {
	Edge     *edge.Edge
	Settings *settings.Edge
}

// ServerRow is the row that a backend server writes to the store. Warmup is in seconds,
// StartMillis is the start time in Unix milliseconds by the server's clock.
type ServerRow struct {
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Version     string  `json:"version"`
	Capacity    int     `json:"capacity"`
	State       string  `json:"state"`
	Warmup      float64 `json:"warmup_left_s"`
	Sequence    int64   `json:"sequence"`
	StartMillis int64   `json:"born"`
	server      *gridserver.Server
}

// The ports that every daemon listens on. Daemons differ in their IP addresses.
const (
	portCallers = 18641
	portReady   = 18640
	portLocate  = 18644
	portPeers   = 17620
	portMetrics = 19464
)

// serverCapacity is the number of concurrent requests that each server reports as its capacity.
const serverCapacity = 4

// reportInterval is the time between two writes of a server's row.
const reportInterval = 300 * time.Millisecond

// Start starts the store and the daemons. It returns an error if one of them does not start,
// after stopping the others. The caller must call Stop on the fleet.
func Start(o Options) (*Fleet, error) {
	addresses, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	store, address, stop, err := rowstore.Start(rowstore.Options{Seed: 1})
	if err != nil {
		return nil, fmt.Errorf("gridfleet: %w", errors.Join(err, addresses.reservation.Close()))
	}
	f := &Fleet{
		options: o, Store: store, Address: address, stopStore: stop, addresses: addresses,
		servers: map[string]*ServerRow{}, stop: make(chan struct{}),
	}
	go f.runReports()
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

// addressBlock is a block of loopback addresses that one deployment uses.
type addressBlock struct {
	second, third int
	// reservation keeps other deployments on this machine from using the block.
	reservation net.Listener
}

// portReservation is the port that a deployment listens on to reserve its addresses.
const portReservation = 18600

// zonesPerBlock is the number of values of the third byte that belong to one block.
const zonesPerBlock = 10

// reserveAddresses reserves a block that no other deployment on this machine uses.
func reserveAddresses() (*addressBlock, error) {
	for n := range 250 * 25 {
		// Processes that start at the same time begin at different blocks.
		n += os.Getpid()
		b := &addressBlock{second: 1 + n%250, third: n / 250 % 25 * zonesPerBlock}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", b.second, b.third, portReservation))
		if err == nil {
			b.reservation = l
			return b, nil
		}
	}
	return nil, fmt.Errorf("gridfleet: no free addresses")
}

// daemonIP returns the address of the n-th daemon of a zone.
func (b *addressBlock) daemonIP(zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, b.third+zone, n+10)
}

// Settings returns the settings of the n-th daemon of the zone with the given index.
func (f *Fleet) Settings(zone, n int) *settings.Edge {
	ip := f.addresses.daemonIP(zone, n)
	addressAt := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
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
		IP: ip, CallerAddress: addressAt(portCallers), ReadyAddress: addressAt(portReady), LocateAddress: addressAt(portLocate),
		PeerPorts: []int{portPeers, portPeers}, Seeds: []string{f.addresses.daemonIP(0, 0) + ":1", f.addresses.daemonIP(0, 1) + ":1"},
		MetricsPort: portMetrics, Store: f.Address, MemoryMB: 256, CPUShare: 0.5, LinkMbps: 1000, LogLevel: "info",
		Bounds: settings.Bounds{
			Grace: settings.Seconds(grace.Seconds()), Drain: 2, Config: 2, LocateLifetime: 5,
			ExtraAttemptRatio: 0.2, ExtraAttemptReserve: 56, ExtraAttemptWindow: 10, FloorShare: 0.7,
		},
	}
}

// StartDaemon starts the n-th daemon of the zone with the given index. If that daemon ran
// before, the new process is another incarnation at the same address.
func (f *Fleet) StartDaemon(zone, n int) (*Daemon, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if f.options.Log != nil {
		log.SetOutput(f.options.Log)
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	s := f.Settings(zone, n)
	if f.options.Adjust != nil {
		f.options.Adjust(s)
	}
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

// Configure writes the routes and services to the store as the next configuration version and
// returns that version. Versions increase in steps of three.
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

// AddServer starts a server of a service in the zone with the given index and begins to write
// its row to the store. Each request to the server takes serviceTime.
func (f *Fleet) AddServer(id, service string, zone int, serviceTime time.Duration) (*gridserver.Server, error) {
	return f.AddProxiedServer(id, service, zone, serviceTime, func(address string) (string, error) { return address, nil })
}

// AddProxiedServer starts a server like AddServer, but writes to its row the address that proxy
// returns for the server's own address. Daemons connect to that address.
func (f *Fleet) AddProxiedServer(id, service string, zone int, serviceTime time.Duration, proxy func(address string) (string, error)) (*gridserver.Server, error) {
	s := gridserver.New(id, serviceTime)
	serverAddress, err := s.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address, err := proxy(serverAddress)
	if err != nil {
		return nil, err
	}
	row := &ServerRow{
		Service: service, Address: address, Zone: string(f.options.Zones[zone]), Version: "v1", Capacity: serverCapacity,
		State: "ready", StartMillis: time.Now().UnixMilli(), server: s,
	}
	f.mu.Lock()
	f.servers[id] = row
	f.writeRow(id, row)
	f.mu.Unlock()
	return s, nil
}

// AddRow begins to write a row of another server, which names the address of the server with the id of, as when an
// address is used again before the row of its earlier server has lapsed.
func (f *Fleet) AddRow(id, of string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := *f.servers[of]
	row.Sequence, row.StartMillis = 0, time.Now().UnixMilli()
	f.servers[id] = &row
	f.writeRow(id, &row)
}

// SetStart makes a server's row name another start time, though the server goes on.
func (f *Fleet) SetStart(id string, started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].StartMillis = started.UnixMilli()
	f.writeRow(id, f.servers[id])
}

// Drain sets the state in a server's row to draining.
func (f *Fleet) Drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].State = "draining"
	f.writeRow(id, f.servers[id])
}

// Stall sets the state in a server's row to draining and then stops writing the row, as of a server that can't reach the
// store any more.
func (f *Fleet) Stall(id string) {
	f.Drain(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
}

// Remove deletes a server's row from the store, as happens when a server has shut down. The
// server itself keeps running.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.servers, id)
	f.Store.Delete("servers", id)
}

// RestartServer stops a server abruptly and starts it again after the time down, with the same id
// and address. Its row then reports the start time that the caller passes, which may come from a
// clock that is off, and its sequence numbers start again.
func (f *Fleet) RestartServer(id string, down time.Duration, started time.Time) error {
	f.mu.Lock()
	row := f.servers[id]
	f.mu.Unlock()
	row.server.Stop()
	time.Sleep(down)
	if err := row.server.Restart(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row.StartMillis, row.Sequence = started.UnixMilli(), 0
	f.writeRow(id, row)
	return nil
}

// ChangeServerID makes the server with the given id answer as newID, as happens when a new server
// reuses the address of an old one. The row in the store keeps the old id.
func (f *Fleet) ChangeServerID(id, newID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].server.SetID(newID)
}

// writeRow writes a server's row with the next sequence number. The caller holds f.mu.
func (f *Fleet) writeRow(id string, row *ServerRow) {
	row.Sequence++
	body, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	f.Store.Put("servers", id, body)
}

// runReports rewrites the rows of all servers every reportInterval until the fleet stops.
func (f *Fleet) runReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for id, row := range f.servers {
			f.writeRow(id, row)
		}
		f.mu.Unlock()
	}
}

// Stop kills all daemons and stops all servers and the store, without a graceful shutdown.
func (f *Fleet) Stop() {
	f.stopOnce.Do(func() { close(f.stop) })
	f.mu.Lock()
	daemons, servers := f.Daemons, f.servers
	f.mu.Unlock()
	for _, d := range daemons {
		d.Edge.Kill()
	}
	for _, row := range servers {
		row.server.Stop()
	}
	f.stopStore()
	f.addresses.reservation.Close()
}
