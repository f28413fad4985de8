// Package edge implements the daemon that runs on the users' platform. It serves callers,
// forwards each request to a backend server, and exchanges evidence about the servers with the
// other daemons of its availability zone.
package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	"bilberrymux/core/bytebudget"
	"bilberrymux/core/event"
	"bilberrymux/core/holdoff"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/ratelimit"
	"bilberrymux/core/refresh"
	"bilberrymux/core/settings"
	"bilberrymux/core/shutdown"
	"bilberrymux/core/zone"
	"bilberrymux/io/backend"
	"bilberrymux/io/discovery"
	"bilberrymux/io/listener"
	"bilberrymux/io/meter"
	"bilberrymux/io/netfault"
	"bilberrymux/io/news"
	"bilberrymux/io/periodic"
	"bilberrymux/platform"
)

// Options are the dependencies of an Edge.
type Options struct {
	Settings *settings.Edge
	Log      *logrus.Logger
	// Rules are the network rules for the connections of this process. A nil value has no
	// rules.
	Rules *netfault.Rules
	// LogDropped returns the number of log lines that were dropped; it may be
	// nil.
	LogDropped func() int64
}

// Edge is a daemon. It is safe for concurrent use.
type Edge struct {
	options  Options
	settings *settings.Edge
	log      *logrus.Entry
	metrics  *meter.Set

	members    *zone.Table
	watcher    *discovery.Watcher
	tracker    *belief.Tracker
	budget     *budget.Budget
	limits     *ratelimit.Limits
	holdoffs   *holdoff.Holdoffs
	quarantine *poison.Quarantine
	backend    *backend.Client
	// answerBuffers bounds the bytes of answers that are buffered at the same time.
	answerBuffers *bytebudget.Budget
	// requestBodies bounds the bytes of the bodies of all requests.
	requestBodies *bytebudget.Budget
	store         *platform.Store
	transport     *news.Transport
	callerServer  *callerServer
	infoServer    *infoServer

	// routeCounters holds the number of requests of each route as an *atomic.Uint64 by the
	// route's name. Routes with several services distribute their requests by this number.
	routeCounters sync.Map
	// invalidLoggedAt holds the time.Time of the last log line about an invalid statement of a server by its
	// ident.ServerID. The servers that are not listed any more are removed.
	invalidLoggedAt sync.Map
	// callers is the parent of the contexts of all requests of callers. endCallers ends them before the process
	// does.
	callers    context.Context
	endCallers context.CancelCauseFunc
	// gossipNow triggers a message to the zone before the end of the gossip period.
	gossipNow chan struct{}
	// crashes holds the crashes of servers that this daemon found lately.
	crashes        recentLog[news.Crash]
	quarantineNews *quarantineNews
	// sharedRevisions holds the revisions of the server list before and after its last change,
	// and the time of that change. Gossip messages contain the changes between the two. Only
	// the gossip goroutine uses it.
	sharedRevisions struct {
		previous, newest ident.StoreVersion
		changedAt        time.Time
	}
	// division computes this daemon's parts of the reserve of further attempts. reservesUpdatedAt is the
	// time of its last computation, and nextReserve the place of the last service for which it was
	// computed. Only the gossip goroutine uses them.
	division          *budget.Division
	reservesUpdatedAt time.Time
	nextReserve       int
	// fetches holds the fetches of state from peers that are in progress, replies the large replies to such
	// fetches, and catchUp the peers that were sent data since they are behind.
	fetches  *refresh.Fetches
	replies  *refresh.Replies
	catchUp  *refresh.CatchUp
	stopping atomic.Bool
	// gate rejects the requests that may outlast a planned stop.
	gate     shutdown.Gate
	inFlight atomic.Int64
	requests atomic.Int64

	// background runs the loops and servers that end when the daemon stops, tasks the single
	// exchanges with servers and peers that events start.
	background conc.WaitGroup
	tasks      conc.WaitGroup
	cancel     context.CancelFunc
	closers    []func() error
	failed     chan error
}

// linkMbpsPerCore is the bandwidth in Mbit/s that a daemon with one full core can use.
const linkMbpsPerCore = 250

// memoryLimitShare is the share of the VM's memory that is set as the soft memory limit of the
// Go runtime. The garbage collector runs more often as the heap approaches the limit.
const memoryLimitShare = 0.6

// answerBufferShare is the share of the VM's memory that the buffers of answers may hold.
const answerBufferShare = 0.1

// requestBodyShare is the share of the VM's memory that the bodies of requests may hold.
const requestBodyShare = 0.45

// Timeouts of opening a connection.
const (
	serverDialTimeout = 300 * time.Millisecond
	peerDialTimeout   = fetchTimeout
	storeDialTimeout  = time.Second
)

// idleCheckPeriod is the time between two checks for connections that were idle for too long.
const idleCheckPeriod = time.Second

// New returns a daemon that is not started yet, and sets the memory limit of the process.
func New(o Options) *Edge {
	s := o.Settings
	e := &Edge{
		options: o, settings: s, metrics: meter.New(),
		log:        o.Log.WithField("vm", s.VM),
		quarantine: poison.New(), quarantineNews: newQuarantineNews(time.Now()), limits: ratelimit.New(), holdoffs: holdoff.New(), fetches: refresh.NewFetches(rand.Float64), replies: refresh.NewReplies(s.LinkMbps), catchUp: refresh.NewCatchUp(), gossipNow: make(chan struct{}, 1), failed: make(chan error, 4),
	}
	e.callers, e.endCallers = context.WithCancelCause(context.Background())
	e.requestBodies = bytebudget.New(int64(requestBodyShare * float64(s.MemoryMB) * (1 << 20)))
	e.answerBuffers = bytebudget.New(int64(answerBufferShare * float64(s.MemoryMB) * (1 << 20)))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	e.members = zone.New(zone.Member{
		VM: s.VM, Incarnation: ident.Incarnation(string(s.VM) + "~" + uuid.NewString()[:8]), Zone: s.Zone,
		PeerAddress: e.PeerAddress(), CallerAddress: s.CallerAddress,
		Capacity: min(s.CPUShare, s.LinkMbps/linkMbpsPerCore),
	})
	e.tracker = belief.New(belief.Options{Seed: xxhash.Sum64String(string(s.VM)), Zone: s.Zone, Regions: s.Zones, FloorShare: s.Bounds.FloorShare, OnChange: e.beliefChanged, OnSlow: e.slownessChanged})
	now := time.Now()
	e.budget = budget.New(now, budgetOptions(s))
	e.division = budget.NewDivision(now, divisionOptions(s))
	e.backend = backend.New(backend.ClientOptions{
		Dial: e.dialer(serverDialTimeout), Buffers: e.answerBuffers, OnOpen: func() { e.count("connections.opened") },
		OnClose: func(reason backend.CloseReason) { e.countBy("connections.closed", "end", string(reason)) },
	})
	e.store = platform.NewStore(s.Store, e.dialer(storeDialTimeout), func(call, result string, took time.Duration) {
		labels := []meter.Label{{Key: "call", Value: call}, {Key: "result", Value: result}}
		e.metrics.Count(meter.Name("store.calls", labels...))
		e.metrics.Observe(meter.Name("store.callMicros", labels...), took)
	})
	e.watcher = discovery.New(discovery.Options{
		Store: e.store, Members: e.members, Log: e.log, DrainDelay: s.Bounds.Drain.Duration(),
		ConfigDelay: s.Bounds.Config.Duration(),
		OnConfig:    e.configChanged, OnRoster: e.rosterChanged, Count: e.count,
	})
	e.callerServer = newCallerServer(e)
	e.infoServer = newInfoServer(e)
	return e
}

// dialer returns a function that opens connections under the network rules of this process.
func (e *Edge) dialer(timeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	return (&netfault.Dialer{Self: string(e.settings.VM), Rules: e.options.Rules, Timeout: timeout}).Dial
}

// PeerAddress returns the address at which this daemon listens for other daemons.
func (e *Edge) PeerAddress() string {
	return net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPorts[0]))
}

// Start opens the listeners and begins to read the configuration and the servers in the
// background. It returns an error if a listener can't be opened, and does not wait until the
// daemon is ready for callers. The background work ends with the context.
func (e *Edge) Start(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	peers, err := listener.Listen(e.PeerAddress(), e.log)
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	datagrams, err := net.ListenPacket("udp", e.PeerAddress())
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	e.closers = append(e.closers, peers.Close, datagrams.Close, e.store.Close)
	e.transport = news.New(news.Options{
		Datagrams: datagrams, Dial: e.dialer(peerDialTimeout), OnMessage: e.handleMessage, StateFor: e.stateForPeer, Count: e.count,
	})
	e.background.Go(e.transport.Receive)
	e.background.Go(func() { e.reportListenerEnd("peers", e.transport.Serve(ctx, peers)) })
	if err := e.listen(); err != nil {
		return err
	}
	e.background.Go(func() { e.join(ctx) })
	e.background.Go(func() { e.gossip(ctx) })
	e.background.Go(func() { periodic.Every(ctx, idleCheckPeriod, e.backend.Expire) })
	e.log.WithFields(logrus.Fields{
		"incarnation": e.members.Self().Incarnation, "zone": e.settings.Zone, "callers": e.settings.CallerAddress,
	}).Info(event.Started)
	return nil
}

// reportListenerEnd logs the error of a listener that ended although the daemon is not
// stopping, and sends it to the channel of Failed.
func (e *Edge) reportListenerEnd(name string, err error) {
	if err == nil || e.stopping.Load() || errors.Is(err, net.ErrClosed) {
		return
	}
	e.log.WithError(err).WithField("listener", name).Error("listener failed")
	select {
	case e.failed <- fmt.Errorf("edge: %s: %w", name, err):
	default:
	}
}

// Failed returns the channel that receives the error of a listener that failed.
func (e *Edge) Failed() <-chan error { return e.failed }

// count increments the counter with the given name.
func (e *Edge) count(name string) {
	e.metrics.Count(name)
}

// countBy increments the counter with the given name and label.
func (e *Edge) countBy(name, key, value string) {
	e.metrics.Count(meter.Name(name, meter.Label{Key: key, Value: value}))
}

// ready reports whether callers can be served: the daemon is not stopping and knows a
// configuration, a list of servers and the quarantined requests.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.quarantineNews.isSettled(time.Now()) && e.watcher.Catalog().Version > 0 && !e.watcher.Roster().Revision.IsZero()
}

// nextRequestNumber returns the number of the next request of a route. The first number is 1.
func (e *Edge) nextRequestNumber(route string) uint64 {
	n, ok := e.routeCounters.Load(route)
	if !ok {
		n, _ = e.routeCounters.LoadOrStore(route, new(atomic.Uint64))
	}
	return n.(*atomic.Uint64).Add(1)
}
