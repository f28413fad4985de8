package router

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/poison"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/permits"
)

// idleShardTTL is the time after its last request for which a shard is kept that this daemon does not
// own.
const idleShardTTL = time.Minute

// ShardOptions are the dependencies of Shards.
type ShardOptions struct {
	Self    member.Entry
	Members *member.Table
	Config  func() *config.Config
	Permits *permits.Manager
	Poison  *poison.Quarantine
	Backend *backend.Client
	// ServerReachable asks other daemons whether they can reach a server.
	ServerReachable func(ctx context.Context, address string) bool
	// StateChanged is called on every state change of a server.
	StateChanged func(shard.Event)
	// Quarantined is called for every request fingerprint that this daemon quarantines.
	Quarantined func(poison.Entry)
	// Count adds one to the counter of the given name.
	Count func(name string)
}

// heldShard is a shard for which this daemon dispatches requests.
type heldShard struct {
	dispatcher *dispatch.Dispatcher
	owned      atomic.Bool
	// service is the service that was last applied to the shard, or nil.
	service *config.Service
	// lastUsed is the time of the last request in Unix nanoseconds.
	lastUsed atomic.Int64
}

// Shards holds the shards for which this daemon dispatches requests: those that it owns, and those
// whose owner it recently could not reach. It is safe for concurrent use, and looking up a known shard
// takes no lock.
type Shards struct {
	options ShardOptions
	current atomic.Pointer[map[ident.ShardID]*heldShard]
	tasks   *conc.WaitGroup

	// mu guards the following fields and serializes changes of current.
	mu         sync.Mutex
	assignment *member.Assignment
	// assignedConfig is the configuration whose shards assignment holds.
	assignedConfig *config.Config
}

// NewShards returns an empty set of shards, which Reconcile fills. The wait group runs short background
// checks of servers; the caller must wait for it on shutdown.
func NewShards(o ShardOptions, tasks *conc.WaitGroup) *Shards {
	s := &Shards{options: o, tasks: tasks, assignment: member.NewAssignment(o.Self.Region)}
	s.current.Store(&map[ident.ShardID]*heldShard{})
	return s
}

// Reconcile updates the set of owned shards, their services and the requested ejection permits to the
// configuration in force and the current membership.
func (s *Shards) Reconcile(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.options.Config()
	view := s.options.Members.View()
	if c != s.assignedConfig {
		s.assignment.SetShards(view, regionShards(c, s.options.Self.Region))
		s.assignedConfig = c
	}
	s.assignment.SetView(view)
	owned := map[ident.ShardID]bool{}
	for _, id := range s.assignment.Owned(s.options.Self.VM) {
		owned[id] = true
	}
	s.publish(now, c, owned)
	s.requestPermits(c, owned)
}

// regionShards returns a shard for each service that has servers in the region.
func regionShards(c *config.Config, region ident.RegionID) []ident.ShardID {
	var out []ident.ShardID
	for name, service := range c.Services.All() {
		for _, srv := range service.Servers {
			if srv.Region == region {
				out = append(out, ident.ShardID{Service: ident.ServiceID(name), Region: region})
				break
			}
		}
	}
	return out
}

// publish replaces the set of shards by the owned ones and those used within idleShardTTL. The caller
// must hold mu.
func (s *Shards) publish(now time.Time, c *config.Config, owned map[ident.ShardID]bool) {
	old := *s.current.Load()
	next := make(map[ident.ShardID]*heldShard, len(owned))
	for id := range owned {
		h := old[id]
		if h == nil {
			h = s.newShard(id)
		}
		next[id] = h
	}
	for id, h := range old {
		if next[id] == nil && now.Sub(time.Unix(0, h.lastUsed.Load())) < idleShardTTL {
			next[id] = h
		}
	}
	for id, h := range next {
		h.owned.Store(owned[id])
		s.applyService(now, h, c.Service(id.Service))
	}
	s.current.Store(&next)
}

// applyService updates a shard to its service in the configuration. If the service has been removed,
// the shard keeps its last settings and has no servers. An invalid service is counted and the shard
// stays as it is.
func (s *Shards) applyService(now time.Time, h *heldShard, service *config.Service) {
	if service == nil {
		service = &config.Service{}
		if h.service != nil {
			removed := *h.service
			removed.Servers = nil
			service = &removed
		}
	}
	if service == h.service {
		return
	}
	if err := h.dispatcher.Shard.Update(now, service); err != nil {
		s.options.Count("shard.badService")
		return
	}
	h.service = service
}

// requestPermits requests ejection permits for the slots of the owned shards. A service of which this
// daemon only has shards of other owners is requested with zero slots.
func (s *Shards) requestPermits(c *config.Config, owned map[ident.ShardID]bool) {
	slots := map[ident.ServiceID]int{}
	for id := range *s.current.Load() {
		slots[id.Service] += 0
	}
	for id := range owned {
		for _, srv := range c.Service(id.Service).Servers {
			if srv.Region == id.Region && !srv.Leaving {
				slots[id.Service] += srv.Slots
			}
		}
	}
	for service, n := range slots {
		s.options.Permits.SetOwnedSlots(service, c.Service(service), n)
	}
}

// newShard returns a shard with its dispatcher and callbacks, but without servers.
func (s *Shards) newShard(id ident.ShardID) *heldShard {
	d := &dispatch.Dispatcher{Poison: s.options.Poison}
	d.OnExtraAttempt = func(reason string) { s.options.Count("extra." + reason) }
	d.Shard = shard.New(shard.Options{
		ID: id, Zone: s.options.Self.Zone, Seed: uint64(time.Now().UnixNano()),
		Permits: s.options.Permits.Pool(id.Service), Poison: s.options.Poison,
		StateChanged: s.options.StateChanged, Quarantined: s.options.Quarantined, Count: s.options.Count,
		SuspectConnections: func(address string) {
			s.tasks.Go(func() { s.options.Backend.Invalidate(address) })
		},
		CheckPath: func(server ident.ServerID, address string) {
			s.tasks.Go(func() { s.checkPath(d.Shard, server, address) })
		},
	})
	d.CheckReachable = func(server ident.ServerID, address string) {
		s.tasks.Go(func() { s.checkReachable(d.Shard, server, address) })
	}
	h := &heldShard{dispatcher: d}
	h.lastUsed.Store(time.Now().UnixNano())
	return h
}

// serverCheckTimeout is the time limit of one reachability check of a server.
const serverCheckTimeout = 2 * time.Second

// checkPath asks other daemons whether they can reach a server and records the result in the shard.
func (s *Shards) checkPath(sh *shard.Shard, server ident.ServerID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), serverCheckTimeout)
	defer cancel()
	sh.RecordPathCheck(time.Now(), server, s.options.ServerReachable(ctx, address))
}

// checkReachable reports a server to the shard as unreachable if this daemon can't connect to it.
func (s *Shards) checkReachable(sh *shard.Shard, server ident.ServerID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), serverCheckTimeout)
	defer cancel()
	if !s.options.Backend.Reachable(ctx, address) {
		sh.RecordUnreachable(time.Now(), server)
	}
}

// Dispatcher returns the dispatcher of a shard. If this daemon does not hold the shard, it creates one
// as a substitute for the owner.
func (s *Shards) Dispatcher(id ident.ShardID) *dispatch.Dispatcher {
	now := time.Now()
	if h := (*s.current.Load())[id]; h != nil {
		h.lastUsed.Store(now.UnixNano())
		return h.dispatcher
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.current.Load()
	if h := old[id]; h != nil {
		return h.dispatcher
	}
	h := s.newShard(id)
	s.applyService(now, h, s.options.Config().Service(id.Service))
	next := make(map[ident.ShardID]*heldShard, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[id] = h
	s.current.Store(&next)
	s.options.Count("shard.openedAsSubstitute")
	return h.dispatcher
}

// Each calls f for every shard for which this daemon dispatches requests, sorted by the shard's name.
func (s *Shards) Each(f func(id ident.ShardID, owned bool, d *dispatch.Dispatcher)) {
	shards := *s.current.Load()
	ids := make([]ident.ShardID, 0, len(shards))
	for id := range shards {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ident.ShardID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	for _, id := range ids {
		f(id, shards[id].owned.Load(), shards[id].dispatcher)
	}
}

// Tick runs the periodic work of every shard at the given time.
func (s *Shards) Tick(now time.Time) {
	for _, h := range *s.current.Load() {
		h.dispatcher.Shard.Tick(now)
	}
}
