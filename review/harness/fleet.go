//go:build review

// Command harness plays the cases of the review: it starts daemons as processes beside
// stand-ins of the store, of backend servers and of clients, and checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// Bounds of the deployment in seconds, as the site file of the cases sets them.
const (
	stableWindow = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	memoryMB     = 284
)

// Ports that every daemon listens on, at an IP address of its own.
const (
	portCallers = 28641
	portReady   = 28640
	portControl = 28649
	portLocate  = 28644
	portPeers   = 27620
	portMetrics = 29464
)

// fleet is the deployment of one case.
type fleet struct {
	dir     string
	binary  string
	prefix  string
	store   *rowstore.Server
	address string
	// zone is the zone of the servers and of the clients.
	zone string
	// seeds are the control addresses in the settings of the daemons.
	seeds   []string
	daemons []*daemon
	version int
	started time.Time

	mu      sync.Mutex
	rows    map[string]*serverRow
	all     map[string]*gridserver.Server
	record  *os.File
	stopped chan struct{}
}

// serverRow is the entry of a backend server in the store.
type serverRow struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	Warmup   float64 `json:"warmup_left_s"`
	Sequence int64   `json:"sequence"`
	Born     int64   `json:"born"`
}

// newFleet starts the store. The record of the case goes to the file at recordPath.
func newFleet(binary, recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, address, _, err := rowstore.Start(rowstore.Options{Seed: 1, ReadsPerSecond: 2000, WritesPerSecond: 400})
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, binary: binary, store: store, address: address, zone: "gasparillo", started: time.Now(),
		rows: map[string]*serverRow{}, all: map[string]*gridserver.Server{}, record: record, stopped: make(chan struct{}),
	}
	if f.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	go f.heartbeats()
	return f, nil
}

// maxDaemons is the greatest number of daemons of a case.
const maxDaemons = 44

// freePrefix returns the first three bytes of a loopback network whose addresses are free at the
// daemons' ports.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for n := 1; n <= maxDaemons; n++ {
			for _, port := range []int{portCallers, portReady, portLocate, portPeers, portMetrics} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, n, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// log writes one line to the record, with the seconds since the start.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%9.3f "+format+"\n", append([]any{time.Since(f.started).Seconds()}, args...)...)
}

// seconds returns a time as seconds since the start.
func (f *fleet) seconds(t time.Time) float64 { return t.Sub(f.started).Seconds() }

// route is a route of the manifest.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  float64 `json:"timeout_s"`
	Target   float64 `json:"target_latency_s"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
}

// configure writes a manifest with the routes.
func (f *fleet) configure(routes []route) {
	f.version += 3
	var services []map[string]any
	for _, r := range routes {
		services = append(services, map[string]any{"name": r.Service, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op", "config", body)
	f.log("operator: manifest %08x confirmed", f.version)
}

// addServer starts a backend server and writes its entry.
func (f *fleet) addServer(id, service string, work time.Duration) error {
	s := gridserver.New(id, work)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.all[id] = s
	f.mu.Unlock()
	f.register(id, service, address)
	return nil
}

// register writes the entry of a server that has started.
func (f *fleet) register(id, service, address string) {
	f.mu.Lock()
	f.rows[id] = &serverRow{Service: service, Address: address, Zone: f.zone, Version: "v1", Capacity: 3, State: "ready", Born: time.Now().UnixMilli()}
	f.write(id)
	f.mu.Unlock()
	f.log("server %s: started and registered", id)
}

// write writes the entry of a server with its next sequence number. The caller holds the lock.
func (f *fleet) write(id string) {
	f.rows[id].Sequence++
	body, err := json.Marshal(f.rows[id])
	if err != nil {
		panic(err)
	}
	f.store.Put("servers", id, body)
}

// heartbeats rewrites the entries of all servers.
func (f *fleet) heartbeats() {
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(heartbeat):
		}
		f.mu.Lock()
		for id := range f.rows {
			f.write(id)
		}
		f.mu.Unlock()
	}
}

// daemon is one process of the system and its restarts.
type daemon struct {
	fleet *fleet
	name  string
	zone  string
	ip    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disturbed holds the spans, from a signal to the next start, in which the daemon was not in
	// touch; the span after the last entry is open while the daemon is down.
	disturbed [][2]time.Time
}

// regions names the region of each zone.
var regions = map[ident.ZoneID]ident.RegionID{
	"stjames": "north-trinidad", "curepe": "north-trinidad", "marabella": "south-trinidad", "gasparillo": "south-trinidad",
}

// addDaemon starts the n-th daemon, from 1, of a zone.
func (f *fleet) addDaemon(zone string, n int) (*daemon, error) {
	d := &daemon{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s%d", f.prefix, len(f.daemons)+1)}
	f.daemons = append(f.daemons, d)
	return d, d.start(true)
}

// at returns the daemon's address at a port.
func (d *daemon) at(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// start starts the process with the command of the deploy file.
func (d *daemon) start(bootstrap bool) error {
	f := d.fleet
	s := settings.Edge{
		VM: ident.VMID(d.name), Zone: ident.ZoneID(d.zone), Region: regions[ident.ZoneID(d.zone)], Zones: regions,
		IP: d.ip, CallerAddress: d.at(portCallers), ReadyAddress: d.at(portReady), LocateAddress: d.at(portLocate),
		PeerPorts: []int{portPeers, portPeers + 15}, Seeds: f.seeds,
		MetricsPort: portMetrics, Store: f.address, MemoryMB: memoryMB, CPUShare: 0.32, LinkMbps: 1000, Bootstrap: bootstrap, LogLevel: "info",
		Bounds: settings.Bounds{
			Grace: 6, Drain: 2, Config: 2, LocateLifetime: 5, ExtraAttemptRatio: 0.2, ExtraAttemptReserve: 62, ExtraAttemptWindow: 10, FloorShare: 0.7,
		},
	}
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, d.name+".json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYMUX_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	if n := len(d.disturbed); n > 0 {
		d.disturbed[n-1][1] = time.Now()
	}
	d.mu.Unlock()
	f.log("daemon %s: started", d.name)
	go func() {
		err := cmd.Wait()
		out.Close()
		f.log("daemon %s: ended: %v", d.name, err)
		close(exited)
	}()
	return nil
}

// end returns a channel that is closed when the current process has ended.
func (d *daemon) end() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// pid returns the id of the current process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// signal sends a signal to the process. With disturb, the daemon counts as disturbed until
// it is started again.
func (d *daemon) signal(s syscall.Signal, disturb bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if disturb {
		d.disturbed = append(d.disturbed, [2]time.Time{time.Now()})
	}
	d.fleet.log("daemon %s: signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// restartDelay is the time after which the platform starts a process again that was killed.
const restartDelay = 500 * time.Millisecond

// controlAddresses returns the control addresses of the first n daemons.
func (f *fleet) controlAddresses(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d:%d", f.prefix, i+1, portControl))
	}
	return out
}

// inTouch reports whether the daemon has been without disturbance for the stable window at t.
func (d *daemon) inTouch(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, span := range d.disturbed {
		if t.After(span[0]) && (span[1].IsZero() || t.Sub(span[1]) < stableWindow) {
			return false
		}
	}
	return true
}

// ready reports whether the daemon answers its readiness check with 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.at(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all daemons are ready.
func (f *fleet) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range f.daemons {
			all = all && d.ready()
		}
		if all {
			return nil
		}
	}
	return errors.New("the daemons were not ready within 10 s")
}

// close ends the processes that this run started and removes the temporary folder.
func (f *fleet) close() {
	close(f.stopped)
	for _, d := range f.daemons {
		_ = d.cmd.Process.Kill()
		<-d.end()
	}
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
