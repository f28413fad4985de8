// Package daemon puts the parts of one bilberrymux process together.
package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/link"
	"bilberrymux/core/member"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/poison"
	"bilberrymux/core/settings"
	"bilberrymux/core/shard"
	"bilberrymux/core/store"
	"bilberrymux/io/admin"
	"bilberrymux/io/backend"
	"bilberrymux/io/front"
	"bilberrymux/io/gossip"
	"bilberrymux/io/meter"
	"bilberrymux/io/netseam"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
	"bilberrymux/io/permits"
	"bilberrymux/io/platform"
	"bilberrymux/io/router"
	"bilberrymux/io/versions"
)

// Options are the dependencies of a daemon.
type Options struct {
	Settings settings.Settings
	AdminKey string
	Log      *logrus.Logger
	// Store is the platform; nil reaches the one that the settings name.
	Store *store.Store
	// Listen opens an address; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	// Rules apply to the connections of this process; nil has none.
	Rules *netseam.Rules
	// NameOf names the process at an address in the rules.
	NameOf func(address string) string
}

// Daemon is one bilberrymux process. It is safe for concurrent use.
type Daemon struct {
	options  Options
	settings settings.Settings
	log      *logrus.Entry
	metrics  *meter.Set
	started  time.Time

	store    *store.Store
	members  *member.Table
	versions *versions.Replica
	poison   *poison.Quarantine
	gossip   *gossip.Gossip
	permits  *permits.Manager
	shards   *router.Shards
	router   *router.Router
	once     *once.Runner
	front    *front.Front
	admin    *admin.Admin
	backend  *backend.Client
	peers    *peer.Client
	traffic  *peer.Traffic
	platform *platformView
	events   *eventLog

	background conc.WaitGroup
	tasks      conc.WaitGroup
	cancel     context.CancelFunc
	listeners  []net.Listener
	reconcile  chan struct{}
	stopAsked  chan struct{}
	stopping   atomic.Bool
	failed     chan error
}

// memoryLimit is the heap in bytes from which the garbage collector works harder,
// below the 128 MB that a daemon may take at the target's size.
const memoryLimit = 96 << 20

// LimitMemory sets the memory limit of the process to that of a daemon.
func LimitMemory() {
	debug.SetMemoryLimit(memoryLimit)
}

// newIncarnation names one run of a process. The VM's name is part of it.
func newIncarnation(vm ident.VMID) ident.Incarnation {
	return ident.Incarnation(string(vm) + "~" + uuid.NewString()[:13])
}

// New returns a daemon that Start brings up.
func New(o Options) (*Daemon, error) {
	s := o.Settings
	if err := s.Check(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = logrus.New()
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	d := &Daemon{
		options:   o,
		settings:  s,
		log:       o.Log.WithFields(logrus.Fields{"vm": s.VM}),
		metrics:   meter.New(),
		started:   time.Now(),
		reconcile: make(chan struct{}, 1),
		stopAsked: make(chan struct{}, 1),
		failed:    make(chan error, 8),
		traffic:   &peer.Traffic{},
		platform:  &platformView{},
		events:    newEventLog(),
		poison:    poison.New(),
	}
	d.wire(member.Entry{
		VM: s.VM, Incarnation: newIncarnation(s.VM), CallerAddress: s.CallerAddress,
		PeerAddress: s.PeerAddress, Region: s.Region, Zone: s.Zone,
		State: member.Live, Started: d.started.UnixMicro(),
	})
	return d, nil
}

// The timeouts of dialling.
const (
	serverDialTimeout   = 500 * time.Millisecond
	peerDialTimeout     = 500 * time.Millisecond
	platformDialTimeout = 2 * time.Second
)

// dialer returns how this process opens connections.
func (d *Daemon) dialer(timeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &netseam.Dialer{
		Self: string(d.settings.VM), Rules: d.options.Rules, Timeout: timeout, NameOf: d.options.NameOf,
	}
	return dialer.Dial
}

// wire makes the parts and tells them of each other.
func (d *Daemon) wire(self member.Entry) {
	d.store = d.options.Store
	if d.store == nil {
		d.store = platform.New(d.settings.PlatformAddress, d.dialer(platformDialTimeout))
	}
	d.store = countedStore(d.store, d.add)
	d.members = member.New(self, func(*member.Entry) { d.pokeReconcile() })
	d.backend = backend.New(d.dialer(serverDialTimeout), func(end backend.CloseReason) {
		d.count(meter.Name("connections.closed", meter.Label{Key: "end", Value: string(end)}))
	})
	d.peers = peer.NewClient(d.dialer(peerDialTimeout), d.traffic)
	d.versions = versions.New(d.store, d.applied)
	d.gossip = gossip.New(gossip.Options{
		Members: d.members, Versions: d.versions, Poison: d.poison, Client: d.peers, Count: d.add,
	})
	d.permits = permits.New(permits.Options{
		Self: self.Incarnation, VM: self.VM, Store: d.store, Gone: d.platform.gone, Count: d.count,
	})
	d.shards = router.NewShards(router.ShardOptions{
		Self: self, Members: d.members, Config: d.versions.Current, Permits: d.permits, Poison: d.poison,
		Backend: d.backend, ServerReachable: d.gossip.ReachableFromPeers, StateChanged: d.serverChanged,
		Quarantined: d.quarantined, Count: d.count,
	}, &d.tasks)
	d.once = once.New(once.Options{
		Self: self.Incarnation, Store: d.store, Retention: d.windows(), Gone: d.incarnationGone, Count: d.count,
		Daemons: func() int { return d.members.View().LiveCount() },
	})
	d.router = router.New(router.Options{
		Members: d.members, Config: d.versions.Current, Shards: d.shards, Once: d.once,
		Client: d.peers, Backend: d.backend, Count: d.add,
		Link: link.New(float64(d.settings.LinkBytesPerSecond), d.started),
	})
	d.front = front.New(front.Options{
		Config: d.versions.Current, Router: d.router, Locate: d.locate,
		MaxBodyBytes: d.settings.MaxBodyBytes, Count: d.count, Observe: d.observe,
	})
	d.admin = admin.New(d.adminOptions())
}

func (d *Daemon) windows() coreonce.Retention {
	const day = 24 * time.Hour
	return coreonce.Retention{
		Records: time.Duration(d.settings.KeyMemorySeconds) * time.Second,
		Answers: time.Duration(d.settings.AnswerDays) * day,
		Keys:    time.Duration(d.settings.KeyDays) * day,
	}
}

// count adds one to a counter.
func (d *Daemon) count(name string) {
	d.add(name, 1)
}

// add adds to a counter.
func (d *Daemon) add(name string, n int64) {
	d.metrics.Add(name, n)
}

func (d *Daemon) observe(rank ident.Rank, took time.Duration) {
	d.metrics.Observe("latencyMicros."+string(rank), took)
}

// serverChanged records a change of a server's state.
func (d *Daemon) serverChanged(e shard.Event) {
	d.events.add(e)
	d.log.WithFields(logrus.Fields{
		"service": e.Shard.Service, "region": e.Shard.Region, "server": e.Server,
		"from": e.From, "to": e.To, "reason": e.Reason,
	}).Info("backend server changed its state")
}

func (d *Daemon) quarantined(e poison.Entry) {
	d.log.WithFields(logrus.Fields{
		"service": e.Service, "fingerprint": fmt.Sprintf("%016x", uint64(e.Fingerprint)), "servers": e.Servers,
	}).Warn("request quarantined")
	d.gossip.BroadcastPoison(e)
}

// applied is told of each version that came into force here.
func (d *Daemon) applied(c *config.Config, records []versions.Record) {
	d.log.WithField("version", c.Version).Info("configuration in force")
	d.metrics.Set("configVersion", int64(c.Version))
	d.gossip.BroadcastConfig(records)
	d.pokeReconcile()
}

func (d *Daemon) pokeReconcile() {
	select {
	case d.reconcile <- struct{}{}:
	default:
	}
}

// Incarnation names this run of the process.
func (d *Daemon) Incarnation() ident.Incarnation {
	return d.members.Self().Incarnation
}

// ConfigVersion returns the version in force.
func (d *Daemon) ConfigVersion() ident.Version {
	return d.versions.Current().Version
}

// Traffic returns the bytes exchanged with other daemons.
func (d *Daemon) Traffic() (sent, received int64) {
	return d.traffic.Sent.Load(), d.traffic.Received.Load()
}

// Counter returns the value of a counter.
func (d *Daemon) Counter(name string) int64 {
	return d.metrics.Counter(name)
}

// Versions returns this daemon's replica of the shared configuration.
func (d *Daemon) Versions() *versions.Replica {
	return d.versions
}

// Members returns the daemon's view of the fleet.
func (d *Daemon) Members() *member.View {
	return d.members.View()
}

// Shards returns the shards that the daemon dispatches for.
func (d *Daemon) Shards() *router.Shards {
	return d.shards
}
