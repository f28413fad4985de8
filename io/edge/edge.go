// Package edge is the daemon on the users' platform: it answers callers, brings
// each request to a backend server, and shares with the other daemons of its
// availability zone what it learns about servers.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bilberrymux/core/belief"
	"bilberrymux/core/budget"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/settings"
	"bilberrymux/core/zone"
	"bilberrymux/io/backend"
	"bilberrymux/io/discovery"
	"bilberrymux/io/loop"
	"bilberrymux/io/meter"
	"bilberrymux/io/netseam"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// Options are the dependencies of an Edge.
type Options struct {
	Settings *settings.Edge
	Log      *logrus.Logger
	// Rules apply to the connections of this process; nil has none.
	Rules *netseam.Rules
	// LogDropped returns the number of log lines that were dropped; it may be
	// nil.
	LogDropped func() int64
}

// Edge is one daemon. It is safe for concurrent use.
type Edge struct {
	options  Options
	settings *settings.Edge
	log      *logrus.Entry
	metrics  *meter.Set

	members *zone.Table
	keeper  *discovery.Watcher
	book    *belief.Tracker
	budget  *budget.Budget
	poison  *poison.Quarantine
	backend *backend.Client
	store   *platform.Store
	post    *news.Transport
	front   *front
	service *service

	// turns counts the requests of each route, for its parts.
	turns sync.Map
	// urgentNews asks for a datagram before the next period.
	urgentNews chan struct{}
	crashes    crashLog
	// told is the last change of the list that peers are told of; only the
	// goroutine that sends news uses it.
	told struct {
		before, newest uint64
		at             time.Time
	}
	fetching atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	requests atomic.Int64

	background conc.WaitGroup
	tasks      conc.WaitGroup
	cancel     context.CancelFunc
	closers    []func() error
	failed     chan error
}

// linkPerCore is the bandwidth in Mbit/s that a daemon with a whole core can use.
const linkPerCore = 250

// memoryShare is the part of the VM's memory from which the garbage collector
// works harder.
const memoryShare = 0.6

// The timeouts of dialling.
const (
	serverDialTimeout = 300 * time.Millisecond
	peerDialTimeout   = 500 * time.Millisecond
	storeDialTimeout  = time.Second
)

// expirePeriod is how often connections that were idle for too long are closed.
const expirePeriod = time.Second

// New returns a daemon that Start brings up.
func New(o Options) *Edge {
	s := o.Settings
	e := &Edge{
		options: o, settings: s, metrics: meter.New(),
		log:    o.Log.WithField("vm", s.VM),
		poison: poison.New(), urgentNews: make(chan struct{}, 1), failed: make(chan error, 4),
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	e.members = zone.New(zone.Member{
		VM: s.VM, Incarnation: ident.Incarnation(string(s.VM) + "~" + uuid.NewString()[:8]), Zone: s.Zone,
		PeerAddress: e.peerAddress(), CallerAddress: s.CallerAddress,
		Capacity: min(s.CPUShare, s.LinkMbps/linkPerCore),
	})
	e.book = belief.New(belief.Options{Seed: xxhash.Sum64String(string(s.VM)), Zone: s.Zone, Regions: s.Zones, FloorShare: s.Bounds.FloorShare, OnChange: e.beliefChanged})
	e.budget = budget.New(budgetOptions(s, leastOwners))
	e.backend = backend.New(e.dialer(serverDialTimeout), func(end backend.CloseReason) {
		e.countBy("connections.closed", "end", string(end))
	})
	e.store = platform.NewStore(s.Store, e.dialer(storeDialTimeout), func(call, result string) {
		e.metrics.Count(meter.Name("store.calls", meter.Label{Key: "call", Value: call}, meter.Label{Key: "result", Value: result}))
	})
	e.keeper = discovery.New(discovery.Options{
		Store: e.store, Zone: e.members, Log: e.log, DrainDelay: s.Bounds.Drain.Duration(),
		OnConfig: e.configured, OnRoster: e.listed, Count: e.count,
	})
	e.front = newFront(e)
	e.service = newService(e)
	return e
}

func (e *Edge) dialer(timeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	return (&netseam.Dialer{Self: string(e.settings.VM), Rules: e.options.Rules, Timeout: timeout}).Dial
}

func (e *Edge) peerAddress() string {
	return net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPorts[0]))
}

// Start opens the listeners and begins to learn. The daemon is ready once it
// knows a configuration.
func (e *Edge) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	peers, err := net.Listen("tcp", e.peerAddress())
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	datagrams, err := net.ListenPacket("udp", e.peerAddress())
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	e.closers = append(e.closers, peers.Close, datagrams.Close, e.store.Close)
	e.post = news.New(news.Options{
		Datagrams: datagrams, Dial: e.dialer(peerDialTimeout), OnMessage: e.heard, StateFor: e.answerPeer, Count: e.count,
	})
	e.background.Go(e.post.Receive)
	e.background.Go(func() { e.serving("peers", e.post.Serve(ctx, peers)) })
	if err := e.listen(); err != nil {
		return err
	}
	e.background.Go(func() { e.join(ctx) })
	e.background.Go(func() { e.gossip(ctx) })
	e.background.Go(func() { loop.Every(ctx, expirePeriod, e.backend.Expire) })
	e.log.WithFields(logrus.Fields{
		"incarnation": e.members.Self().Incarnation, "zone": e.settings.Zone, "callers": e.settings.CallerAddress,
	}).Info(event.Started)
	return nil
}

// serving reports a listener that ended while the daemon did not stop.
func (e *Edge) serving(name string, err error) {
	if err == nil || e.stopping.Load() || errors.Is(err, net.ErrClosed) {
		return
	}
	e.log.WithError(err).WithField("listener", name).Error("listener failed")
	select {
	case e.failed <- fmt.Errorf("edge: %s: %w", name, err):
	default:
	}
}

// Failed returns the channel on which a listener's failure is reported.
func (e *Edge) Failed() <-chan error { return e.failed }

// count adds one to a counter.
func (e *Edge) count(name string) {
	e.metrics.Count(name)
}

// countBy adds one to the counter of a name and a label.
func (e *Edge) countBy(name, key, value string) {
	e.metrics.Count(meter.Name(name, meter.Label{Key: key, Value: value}))
}

// ready reports whether callers can be served.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.keeper.Catalog().Version > 0 && e.keeper.Roster().Revision > 0
}

// turn numbers the requests of a route.
func (e *Edge) turn(route string) uint64 {
	n, ok := e.turns.Load(route)
	if !ok {
		n, _ = e.turns.LoadOrStore(route, new(atomic.Uint64))
	}
	return n.(*atomic.Uint64).Add(1)
}

// The share of the budget of further attempts that one daemon may use.
const (
	// ratioPart leaves room for requests that are counted elsewhere.
	ratioPart = 0.9
	// burstPart and flowPart are the parts of the reserve that may be spent at
	// once, and over a window.
	burstPart = 0.5
	flowPart  = 0.45
)

// budgetOptions returns this daemon's part of the budget. The daemons that the
// callers of a host are sent to, so many in each zone, share the reserve.
func budgetOptions(s *settings.Edge, owners int) budget.Options {
	reserve := s.Bounds.FurtherReserve / float64(owners*len(s.Zones))
	o := budget.Options{
		Ratio:     s.Bounds.FurtherRatio * ratioPart,
		PerSecond: flowPart * reserve / float64(s.Bounds.FurtherWindow),
		Burst:     max(1, burstPart*reserve),
	}
	if s.Bootstrap {
		o.Initial = bootstrapStart
	}
	return o
}

// bootstrapStart is what each daemon may spend at the first start of the whole
// system, before requests earned anything.
const bootstrapStart = 2

// owners returns the number of daemons of this zone that the callers of one host
// are sent to.
func (e *Edge) owners() int {
	return max(leastOwners, len(e.members.Live())/ownersPart)
}
