// Package fleet runs a whole small deployment inside one process: the platform,
// backend servers and daemons, all on loopback. Tests and the demonstration use
// it.
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
	"bilberrymux/io/netseam"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// ServiceSpec describes one service and its servers in each region.
type ServiceSpec struct {
	Name ident.ServiceID
	// Config is the service without servers.
	Config config.Service
	// ServersPerRegion, Slots and WorkMedian describe its servers.
	ServersPerRegion int
	Slots            int
	WorkMedian       time.Duration
	WorkSpread       float64
}

// Options describe a deployment.
type Options struct {
	Regions  []ident.RegionID
	Daemons  int
	Services []ServiceSpec
	Routes   map[string]config.Route
	Seed     uint64
	Log      *logrus.Logger
	// Adjust changes the settings of each daemon; it may be nil.
	Adjust func(*settings.Settings)
	// Rules apply to the connections between daemons and servers; may be nil.
	Rules *netseam.Rules
}

// Fleet is a running deployment.
type Fleet struct {
	options Options
	Table   *table.Table
	Daemons []*daemon.Daemon
	Servers map[ident.ServiceID]map[ident.ServerID]*backendserver.Server
	// Settings are those of each daemon.
	Settings []settings.Settings
	names    map[string]string
	next     int
	ctx      context.Context
	cancel   context.CancelFunc
}

// adminKey is the operators' key of the stand-in deployment.
const adminKey = "stand-in-operators-key"

// Start brings up a deployment. The caller must Stop it.
func Start(o Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		options: o, Table: table.New(o.Seed), names: map[string]string{},
		Servers: map[ident.ServiceID]map[ident.ServerID]*backendserver.Server{},
		ctx:     ctx, cancel: cancel,
	}
	patch, err := f.startServers()
	if err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.accept(patch); err != nil {
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

// startServers starts every server and returns the configuration that names
// them.
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
				f.names[srv.Address()] = string(id)
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

// accept puts the first version into the store, as an operator would.
func (f *Fleet) accept(patch map[string]any) error {
	body, err := json.Marshal(patch)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	keeper := versions.New(f.Table.Store(), nil)
	_, err = keeper.Submit(f.ctx, versions.Submission{ID: "first", Author: "fleet", Patch: body})
	return err
}

// The ports that daemons listen on lie below those that the kernel gives to
// outgoing connections, so that a daemon can come back to its address.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// host is a loopback address of this process's own, so that the fleets of
// processes beside each other never meet.
var host = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)

// nextPort counts the ports that were handed out.
var nextPort atomic.Int64

// freeAddress returns an address that no daemon of this process has had.
func freeAddress() (string, error) {
	port := firstPort + nextPort.Add(1)
	if port > lastPort {
		return "", fmt.Errorf("fleet: no ports left")
	}
	return fmt.Sprintf("%s:%d", host, port), nil
}

// StartDaemon adds a daemon on a new VM, in the regions by turns.
func (f *Fleet) StartDaemon() (*daemon.Daemon, error) {
	region := f.options.Regions[f.next%len(f.options.Regions)]
	s := settings.Default()
	s.VM = ident.VMID(fmt.Sprintf("vm-%02d", f.next+1))
	s.Region = region
	s.Zone = ident.ZoneID(fmt.Sprintf("%s-%d", region, f.next/len(f.options.Regions)%2+1))
	s.PlatformAddress, s.AdminKeyFile = "127.0.0.1:1", "unused"
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.AdminAddress} {
		free, err := freeAddress()
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
	f.next++
	return f.StartWith(s)
}

// StartWith starts a daemon with the given settings, as on a VM whose process
// starts again.
func (f *Fleet) StartWith(s settings.Settings) (*daemon.Daemon, error) {
	f.names[s.PeerAddress] = string(s.VM)
	names := make(map[string]string, len(f.names))
	for address, name := range f.names {
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

// Entries returns the callers' addresses of all daemons.
func (f *Fleet) Entries() []string {
	out := make([]string, len(f.Settings))
	for i, s := range f.Settings {
		out[i] = s.CallerAddress
	}
	return out
}

// WaitReady waits until every daemon sees all others and the same version.
func (f *Fleet) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for !f.ready() {
		if time.Now().After(deadline) {
			return fmt.Errorf("fleet: not ready after %v", limit)
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

// Stop ends everything at once.
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

// Runs adds up what all servers ran, by test id and by idempotency key.
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
