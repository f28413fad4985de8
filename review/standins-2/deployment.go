//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"
)

// deployment is a small installation with its stand-ins.
type deployment struct {
	rec     *record
	folder  string
	store   *store
	runs    *runs
	daemons []*daemon
	servers []*server
	// inStep makes the servers write their entries at about the same times.
	inStep  bool
	version int
}

// grace is the time between SIGTERM and SIGKILL.
const grace = 6 * time.Second

// subnet returns the begin of the loopback addresses of this process.
func subnet() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 1+pid/250%250, 1+pid%250)
}

// newDeployment starts the store and makes, but does not start, the given number of daemons for each zone.
func newDeployment(rec *record, zones map[string]string, order []string, perZone int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, runs: &runs{rec: rec}}
	storeAddress := freeAddress()
	if d.store, err = startStore(storeAddress); err != nil {
		return nil, err
	}
	var ips []string
	for n := range len(order) * perZone {
		ips = append(ips, subnet()+fmt.Sprint(n+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for n := range min(3, len(ips)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[n], p.peer+1))
	}
	for n, ip := range ips {
		zone := order[n/perZone]
		x := &daemon{vm: fmt.Sprintf("edge-%s-%d", zone, n%perZone+1), zone: zone, ip: ip, folder: folder, ports: p}
		x.settings = map[string]any{
			"vm": x.vm, "zone": zone, "region": zones[zone], "zones": zones, "ip": ip,
			"callerAddress": x.address(p.front), "readyAddress": x.address(p.ready), "locateAddress": x.address(p.locate),
			"peerPorts": []int{p.peer, p.peer}, "seeds": seeds, "metricsPort": p.metrics, "store": storeAddress,
			"memoryMb": 284, "cpuShare": 0.32, "linkMbps": 1000.0,
			"bounds": map[string]any{
				"grace": 6, "drain": 2, "config": 2, "locateLifetime": 5,
				"furtherRatio": 0.2, "furtherReserve": 62, "furtherWindow": 10, "floorShare": 0.7,
			},
		}
		d.daemons = append(d.daemons, x)
	}
	return d, nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// route is one route of the manifest.
type route struct {
	name, host, prefix, kind, service string
	timeout, target                   float64
	attempts                          int
}

// putManifest writes the next version of the manifest.
func (d *deployment) putManifest(routes []route) {
	d.version++
	d.writeManifest(routes)
}

// writeManifest writes the newest version of the manifest once more.
func (d *deployment) writeManifest(routes []route) {
	var list, services []map[string]any
	known := map[string]bool{}
	for n, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "kind": r.kind, "timeout_s": r.timeout,
			"target_latency_s": r.target, "priority": n, "service": r.service, "attempts": r.attempts,
		})
		if !known[r.service] {
			services = append(services, map[string]any{"name": r.service, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false})
		}
		known[r.service] = true
	}
	value, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", d.version), "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	ok := d.store.put("op", "config", value)
	d.rec.add(time.Now(), "operator writes version %08x, confirmed %v, store version %d", d.version, ok, d.store.newest())
}

// workSpread is the usual spread of the work of requests.
const workSpread = 0.1

// addServer makes and starts a server.
func (d *deployment) addServer(id, service, zone string, capacity int, work time.Duration) (*server, error) {
	s := &server{id: id, service: service, zone: zone, address: freeAddress(), capacity: capacity, work: work, store: d.store, runs: d.runs, inStep: d.inStep, spread: workSpread}
	d.servers = append(d.servers, s)
	return s, s.start()
}

// serviceOf returns the service of a server.
func (d *deployment) serviceOf(id string) string {
	for _, s := range d.servers {
		if s.id == id {
			return s.service
		}
	}
	return ""
}

// startDaemons starts all daemons and waits until they are ready.
func (d *deployment) startDaemons() error {
	for _, x := range d.daemons {
		if err := x.start(true); err != nil {
			return err
		}
	}
	for _, x := range d.daemons {
		if err := x.awaitReady(8 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// directories returns the addresses at which the clients of a zone ask, nearest first.
func (d *deployment) directories(zone string) []string {
	var near, far []string
	for _, x := range d.daemons {
		if x.zone == zone {
			near = append(near, x.address(x.ports.locate))
		} else {
			far = append(far, x.address(x.ports.locate))
		}
	}
	return append(near, far...)[:min(3, len(near)+len(far))]
}

// close ends all that was started. The logs of the daemons are kept if KEEP names a folder.
func (d *deployment) close() {
	for _, x := range d.daemons {
		x.kill()
	}
	for _, s := range d.servers {
		s.end()
	}
	if d.store != nil {
		_ = d.store.server.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
}
