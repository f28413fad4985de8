// Package fleet runs a small deployment inside one process on loopback, for tests
// and the demonstration: the platform's store, backend servers and daemons.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/core/store"
	"bilberrymux/io/daemon"
	"bilberrymux/io/netfault"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// ServiceSpec describes one service and its servers in each region.
type ServiceSpec struct {
	Name ident.ServiceID
	// Config is the service's configuration. Start fills in its servers.
	Config config.Service
	// ServersPerRegion is the number of servers in each region.
	ServersPerRegion int
	// Slots is the number of requests that a server runs at the same time.
	Slots int
	// WorkMedian and WorkSpread are the parameters of the service time's distribution, as in
	// backendserver.Options.
	WorkMedian time.Duration
	WorkSpread float64
}

// Options configure a deployment.
type Options struct {
	Regions []ident.RegionID
	// Daemons is the number of daemons that Start starts, assigned to the regions in turn.
	Daemons  int
	Services []ServiceSpec
	// Routes are the configuration's routes by name.
	Routes map[string]config.Route
	// Seed seeds the random numbers of the store and the servers.
	Seed uint64
	Log  *logrus.Logger
	// Adjust changes the settings of each daemon before it starts; may be nil.
	Adjust func(*settings.Settings)
	// Rules inject faults into the daemons' connections to servers and to each other; may be nil.
	Rules *netfault.Rules
}

// Fleet is a running deployment. It is not safe for concurrent use.
type Fleet struct {
	options Options
	Table   *table.Table
	Daemons []*daemon.Daemon
	Servers map[ident.ServiceID]map[ident.ServerID]*backendserver.Server
	// Settings holds the settings of each daemon, at the daemon's index in Daemons.
	Settings []settings.Settings
	// namesByAddress holds the names of servers and VMs by address, for the fault rules.
	namesByAddress map[string]string
	nextVM         int
	ctx            context.Context
	cancel         context.CancelFunc
}

// adminKey authenticates operators at the daemons' admin interface.
const adminKey = "stand-in-operators-key"

// Start starts a deployment. If a part does not start, it stops the others and returns the error.
// The caller must call Stop on the fleet.
func Start(o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		options: o, Table: table.New(o.Seed), namesByAddress: map[string]string{},
		Servers: map[ident.ServiceID]map[ident.ServerID]*backendserver.Server{},
		ctx:     ctx, cancel: cancel,
	}
	patch, err := f.startServers()
	if err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.submitConfig(patch); err != nil {
		f.Stop()
		return nil, err
	}
	for range o.Daemons {
		if _, err := f.StartDaemon(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// startServers starts all backend servers and returns the configuration with the services, their
// servers and the routes.
func (f *Fleet) startServers() (map[string]any, error) {
	services := map[string]config.Service{}
	for i, spec := range f.options.Services {
		s := spec.Config
		s.Servers = map[ident.ServerID]config.Server{}
		f.Servers[spec.Name] = map[ident.ServerID]*backendserver.Server{}
		for r, region := range f.options.Regions {
			for n := range spec.ServersPerRegion {
				id := ident.ServerID(fmt.Sprintf("%s-%s-%d", spec.Name, region, n+1))
				seed := f.options.Seed + uint64(i*10_000+r*1000+n)
				srv := backendserver.New(backendserver.Options{
					Name: string(id), Slots: spec.Slots, WorkMedian: spec.WorkMedian,
					WorkSpread: spec.WorkSpread, Seed: seed,
				})
				if err := srv.Listen("127.0.0.1:0"); err != nil {
					return nil, err
				}
				f.Servers[spec.Name][id] = srv
				f.namesByAddress[srv.Address()] = string(id)
				s.Servers[id] = config.Server{
					Address: srv.Address(), Region: region,
					Zone: ident.ZoneID(fmt.Sprintf("%s-%d", region, n%2+1)), Slots: spec.Slots,
				}
			}
		}
		services[string(spec.Name)] = s
	}
	return map[string]any{"services": services, "routes": f.options.Routes}, nil
}

// submitConfig submits the first configuration version to the store, as an operator does.
func (f *Fleet) submitConfig(patch map[string]any) error {
	body, err := json.Marshal(patch)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	submitter := versions.New(f.Table.Store(), nil)
	_, err = submitter.Submit(f.ctx, versions.Submission{ID: "first", Author: "fleet", Patch: body})
	return err
}

// The range of the daemons' listening ports. It lies below the kernel's ephemeral port range, so
// that no outgoing connection takes a daemon's port while the daemon restarts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// loopbackHost is a loopback IP address derived from the process id, so that fleets in concurrent
// processes do not use the same addresses.
var loopbackHost = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)

// portsUsed is the number of ports that unusedAddress has returned.
var portsUsed atomic.Int64

// unusedAddress returns an address that no daemon of this process has used. It returns an error
// when the port range is used up.
func unusedAddress() (string, error) {
	port := firstPort + portsUsed.Add(1)
	if port > lastPort {
		return "", fmt.Errorf("fleet: all ports from %d to %d are used", firstPort+1, lastPort)
	}
	return fmt.Sprintf("%s:%d", loopbackHost, port), nil
}

// StartDaemon starts a daemon on a new VM, in the next region in turn, with all earlier daemons as
// its seed peers.
func (f *Fleet) StartDaemon() (*daemon.Daemon, error) {
	region := f.options.Regions[f.nextVM%len(f.options.Regions)]
	s := settings.Default()
	s.VM = ident.VMID(fmt.Sprintf("vm-%02d", f.nextVM+1))
	s.Region = region
	s.Zone = ident.ZoneID(fmt.Sprintf("%s-%d", region, f.nextVM/len(f.options.Regions)%2+1))
	s.PlatformAddress, s.AdminKeyFile = "127.0.0.1:1", "unused"
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.AdminAddress} {
		free, err := unusedAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	for _, other := range f.Settings {
		s.SeedPeers = append(s.SeedPeers, other.PeerAddress)
	}
	if f.options.Adjust != nil {
		f.options.Adjust(&s)
	}
	f.nextVM++
	return f.StartDaemonWith(s)
}

// StartDaemonWith starts a daemon with the given settings. With the settings of an earlier daemon
// it simulates a restart of the process on the same VM.
func (f *Fleet) StartDaemonWith(s settings.Settings) (*daemon.Daemon, error) {
	f.namesByAddress[s.PeerAddress] = string(s.VM)
	names := make(map[string]string, len(f.namesByAddress))
	for address, name := range f.namesByAddress {
		names[address] = name
	}
	d, err := daemon.New(daemon.Options{
		Settings: s, AdminKey: adminKey, Log: f.options.Log, Store: f.Table.Store(),
		Rules: f.options.Rules, NameOf: func(address string) string { return names[address] },
	})
	if err != nil {
		return nil, err
	}
	f.Table.SetVM(store.VM{ID: s.VM}, true)
	if err := d.Start(f.ctx); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	f.Settings = append(f.Settings, s)
	return d, nil
}

// Entries returns the addresses at which the daemons accept callers' requests.
func (f *Fleet) Entries() []string {
	out := make([]string, len(f.Settings))
	for i, s := range f.Settings {
		out[i] = s.CallerAddress
	}
	return out
}

// WaitReady waits until every daemon has a configuration version and counts all daemons as live.
// It returns an error if that takes longer than limit.
func (f *Fleet) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for !f.ready() {
		if time.Now().After(deadline) {
			return fmt.Errorf("fleet: not all daemons are ready after %v", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, d := range f.Daemons {
		if d.ConfigVersion() == 0 || d.Members().LiveCount() != len(f.Daemons) {
			return false
		}
	}
	return true
}

// Stop kills all daemons and stops all servers without a graceful shutdown.
func (f *Fleet) Stop() {
	var wg conc.WaitGroup
	for _, d := range f.Daemons {
		wg.Go(d.Kill)
	}
	wg.Wait()
	for _, servers := range f.Servers {
		for _, s := range servers {
			s.Stop()
		}
	}
	f.cancel()
}

// Runs returns how many times each request ran on all servers together, keyed by test id and by
// idempotency key.
func (f *Fleet) Runs() (ids, keys map[string]int) {
	ids, keys = map[string]int{}, map[string]int{}
	for _, servers := range f.Servers {
		for _, s := range servers {
			for id, n := range s.Runs() {
				ids[id] += n
			}
			for key, n := range s.KeyRuns() {
				keys[key] += n
			}
		}
	}
	return ids, keys
}
