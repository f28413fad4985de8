// Package daemon creates and connects the components of a bilberrymux process and runs its
// background tasks.
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

	"bilberrymux/core/bytebudget"
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
	"bilberrymux/io/netfault"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
	"bilberrymux/io/permits"
	"bilberrymux/io/platform"
	"bilberrymux/io/router"
	"bilberrymux/io/versions"
)

// Options holds the settings and dependencies of a daemon.
type Options struct {
	Settings settings.Settings
	AdminKey string
	Log      *logrus.Logger
	// Store gives access to the platform. If nil, the daemon connects to the address in the settings.
	Store *store.Store
	// Listen opens a listener on an address. If nil, the daemon listens on TCP.
	Listen func(address string) (net.Listener, error)
	// Rules are the simulated network faults for the outgoing connections of this process; nil means
	// none.
	Rules *netfault.Rules
	// NameOf maps an address to the name by which the rules refer to the process there.
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

	// background holds the loops and listeners; tasks holds the health probes and the checks that
	// shards start.
	background    conc.WaitGroup
	tasks         conc.WaitGroup
	cancel        context.CancelFunc
	listeners     []net.Listener
	reconcile     chan struct{}
	stopRequested chan struct{}
	stopping      atomic.Bool
	failed        chan error
}

// memoryLimit is the soft memory limit of the Go runtime in bytes. The garbage collector runs more
// often as memory use approaches it. It lies below the 128 MB that a daemon may use at the target
// fleet size.
const memoryLimit = 96 << 20

// LimitMemory sets the soft memory limit of the Go runtime to memoryLimit for the whole process.
func LimitMemory() {
	debug.SetMemoryLimit(memoryLimit)
}

// newIncarnation returns a unique ID for one run of the process: the VM's ID, a tilde and the first
// 13 characters of a random UUID. incarnationEnded reads the VM's ID from it.
func newIncarnation(vm ident.VMID) ident.Incarnation {
	return ident.Incarnation(string(vm) + "~" + uuid.NewString()[:13])
}

// New returns a daemon that is not yet running; Start runs it. It returns an error if the settings
// are invalid.
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
		options:       o,
		settings:      s,
		log:           o.Log.WithFields(logrus.Fields{"vm": s.VM}),
		metrics:       meter.New(),
		started:       time.Now(),
		reconcile:     make(chan struct{}, 1),
		stopRequested: make(chan struct{}, 1),
		failed:        make(chan error, 8),
		traffic:       &peer.Traffic{},
		platform:      &platformView{},
		events:        newEventLog(),
		poison:        poison.New(),
	}
	d.buildComponents(member.Entry{
		VM: s.VM, Incarnation: newIncarnation(s.VM), CallerAddress: s.CallerAddress,
		PeerAddress: s.PeerAddress, Region: s.Region, Zone: s.Zone,
		State: member.Live, Started: d.started.UnixMicro(),
	})
	return d, nil
}

// Timeouts for opening connections.
const (
	serverDialTimeout   = 500 * time.Millisecond
	peerDialTimeout     = 500 * time.Millisecond
	platformDialTimeout = 2 * time.Second
)

// dialer returns a dial function that applies the given timeout and the fault rules of the options.
func (d *Daemon) dialer(timeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &netfault.Dialer{
		Self: string(d.settings.VM), Rules: d.options.Rules, Timeout: timeout, NameOf: d.options.NameOf,
	}
	return dialer.Dial
}

// answerBufferBytes is the number of bytes that the buffers of answers may hold.
const answerBufferBytes = 32 << 20

// buildComponents creates the components of the daemon and connects them to each other.
func (d *Daemon) buildComponents(self member.Entry) {
	d.store = d.options.Store
	if d.store == nil {
		d.store = platform.New(d.settings.PlatformAddress, d.dialer(platformDialTimeout))
	}
	d.store = instrumentStore(d.store, d.add)
	d.members = member.New(self, func(*member.Entry) { d.triggerReconcile() })
	d.backend = backend.New(backend.ClientOptions{
		Dial: d.dialer(serverDialTimeout), Buffers: bytebudget.New(answerBufferBytes), OnOpen: func() { d.count("connections.opened") },
		OnClose: func(reason backend.CloseReason) {
			d.count(meter.Name("connections.closed", meter.Label{Key: "end", Value: string(reason)}))
		},
	})
	d.peers = peer.NewClient(d.dialer(peerDialTimeout), d.traffic)
	d.versions = versions.New(d.store, d.configApplied)
	d.gossip = gossip.New(gossip.Options{
		Members: d.members, Versions: d.versions, Poison: d.poison, Client: d.peers, Count: d.add,
	})
	d.permits = permits.New(permits.Options{
		Self: self.Incarnation, VM: self.VM, Store: d.store, VMRemoved: d.platform.removed, Count: d.count,
	})
	d.shards = router.NewShards(router.ShardOptions{
		Self: self, Members: d.members, Config: d.versions.Current, Permits: d.permits, Poison: d.poison,
		Backend: d.backend, ServerReachable: d.gossip.ReachableFromPeers, StateChanged: d.serverChanged,
		Quarantined: d.requestQuarantined, Count: d.count,
	}, &d.tasks)
	d.once = once.New(once.Options{
		Self: self.Incarnation, Store: d.store, Retention: d.retention(), IncarnationEnded: d.incarnationEnded, Count: d.count,
		Daemons: func() int { return d.members.View().LiveCount() },
	})
	d.router = router.New(router.Options{
		Members: d.members, Config: d.versions.Current, Shards: d.shards, Once: d.once,
		Client: d.peers, Backend: d.backend, Count: d.add,
		Link: link.New(float64(d.settings.LinkBytesPerSecond), d.started),
	})
	d.front = front.New(front.Options{
		Config: d.versions.Current, Router: d.router, Locate: d.locate,
		MaxBodyBytes: d.settings.MaxBodyBytes, Count: d.count, Observe: d.observeLatency,
	})
	d.admin = admin.New(d.adminOptions())
}

// retention returns how long the records of executed requests are kept, from the settings.
func (d *Daemon) retention() coreonce.Retention {
	const day = 24 * time.Hour
	return coreonce.Retention{
		Records: time.Duration(d.settings.KeyMemorySeconds) * time.Second,
		Answers: time.Duration(d.settings.AnswerDays) * day,
		Keys:    time.Duration(d.settings.KeyDays) * day,
	}
}

// count increments the named counter.
func (d *Daemon) count(name string) {
	d.add(name, 1)
}

// add adds n to the named counter.
func (d *Daemon) add(name string, n int64) {
	d.metrics.Add(name, n)
}

// observeLatency adds a request's latency to the histogram of its rank.
func (d *Daemon) observeLatency(rank ident.Rank, took time.Duration) {
	d.metrics.Observe("latencyMicros."+string(rank), took)
}

// serverChanged records a state change of a backend server in the event log and logs it.
func (d *Daemon) serverChanged(e shard.Event) {
	d.events.add(e)
	d.log.WithFields(logrus.Fields{
		"service": e.Shard.Service, "region": e.Shard.Region, "server": e.Server,
		"from": e.From, "to": e.To, "reason": e.Reason,
	}).Info("backend server changed its state")
}

// requestQuarantined logs a request that this daemon quarantined, or whose quarantine an answer lifted, and broadcasts it to
// the fleet.
func (d *Daemon) requestQuarantined(e poison.Entry) {
	d.log.WithFields(logrus.Fields{
		"service": e.Service, "fingerprint": fmt.Sprintf("%016x", uint64(e.Fingerprint)), "servers": e.Servers, "released": e.Released,
	}).Warn("request quarantined")
	d.gossip.BroadcastPoison(e)
}

// configApplied is called whenever a new configuration version takes effect on this daemon. It
// broadcasts the version's records and triggers a reconciliation of the shards.
func (d *Daemon) configApplied(c *config.Config, records []versions.Record) {
	d.log.WithField("version", c.Version).Info("configuration in force")
	d.metrics.Set("configVersion", int64(c.Version))
	d.gossip.BroadcastConfig(records)
	d.triggerReconcile()
}

// triggerReconcile requests a reconciliation of the shards without blocking. Requests that arrive
// while one is pending are merged with it.
func (d *Daemon) triggerReconcile() {
	select {
	case d.reconcile <- struct{}{}:
	default:
	}
}

// Incarnation returns the ID of this run of the process.
func (d *Daemon) Incarnation() ident.Incarnation {
	return d.members.Self().Incarnation
}

// ConfigVersion returns the configuration version in force on this daemon, or 0 if there is none
// yet.
func (d *Daemon) ConfigVersion() ident.Version {
	return d.versions.Current().Version
}

// Traffic returns the number of bytes sent to and received from other daemons.
func (d *Daemon) Traffic() (sent, received int64) {
	return d.traffic.Sent.Load(), d.traffic.Received.Load()
}

// Counter returns the value of the named counter.
func (d *Daemon) Counter(name string) int64 {
	return d.metrics.Counter(name)
}

// Versions returns this daemon's replica of the shared configuration.
func (d *Daemon) Versions() *versions.Replica {
	return d.versions
}

// Members returns this daemon's current view of the fleet's members.
func (d *Daemon) Members() *member.View {
	return d.members.View()
}

// Shards returns the shards that the daemon dispatches for.
func (d *Daemon) Shards() *router.Shards {
	return d.shards
}
