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

// idleShard is how long a shard that this daemon does not own is kept after its
// last request.
const idleShard = time.Minute

// ShardOptions are the dependencies of Shards.
type ShardOptions struct {
	Self    member.Entry
	Members *member.Table
	Config  func() *config.Config
	Permits *permits.Manager
	Poison  *poison.Quarantine
	Backend *backend.Client
	// ServerReached asks other daemons about a server.
	ServerReached func(ctx context.Context, address string) bool
	// Changed is told of every change of a server's state.
	Changed func(shard.Event)
	// Quarantined is told of every fingerprint found here.
	Quarantined func(poison.Entry)
	Count       func(name string)
}

// held is one shard that this daemon dispatches for.
type held struct {
	dispatcher *dispatch.Dispatcher
	owned      atomic.Bool
	version    *config.Service
	lastUsed   atomic.Int64
}

// Shards are the shards that this daemon dispatches for: those that it owns,
// and those whose owner it could not reach lately. They are safe for concurrent
// use; a lookup takes no lock.
type Shards struct {
	options ShardOptions
	current atomic.Pointer[map[ident.ShardID]*held]
	tasks   *conc.WaitGroup

	mu         sync.Mutex
	assignment *member.Assignment
	services   *config.Config
}

// NewShards returns shards that Reconcile fills. Tasks runs short background
// work, and is waited for by its owner.
func NewShards(o ShardOptions, tasks *conc.WaitGroup) *Shards {
	s := &Shards{options: o, tasks: tasks, assignment: member.NewAssignment(o.Self.Region)}
	s.current.Store(&map[ident.ShardID]*held{})
	return s
}

// Reconcile brings the shards in line with the configuration in force and the
// membership.
func (s *Shards) Reconcile(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.options.Config()
	view := s.options.Members.View()
	if c != s.services {
		s.assignment.SetShards(view, shardsOf(c, s.options.Self.Region))
		s.services = c
	}
	s.assignment.SetView(view)
	owned := map[ident.ShardID]bool{}
	for _, id := range s.assignment.Owned(s.options.Self.VM) {
		owned[id] = true
	}
	s.replace(now, c, owned)
	s.wantPermits(c, owned)
}

// shardsOf lists the shards that a region has under a configuration.
func shardsOf(c *config.Config, region ident.RegionID) []ident.ShardID {
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

// replace publishes the set of shards: the owned ones, and others in use.
func (s *Shards) replace(now time.Time, c *config.Config, owned map[ident.ShardID]bool) {
	old := *s.current.Load()
	next := make(map[ident.ShardID]*held, len(owned))
	for id := range owned {
		h := old[id]
		if h == nil {
			h = s.open(id)
		}
		next[id] = h
	}
	for id, h := range old {
		if next[id] == nil && now.Sub(time.Unix(0, h.lastUsed.Load())) < idleShard {
			next[id] = h
		}
	}
	for id, h := range next {
		h.owned.Store(owned[id])
		s.update(now, h, c.Service(id.Service))
	}
	s.current.Store(&next)
}

// update brings one shard to its service in the configuration. A service that
// is gone leaves a shard without servers.
func (s *Shards) update(now time.Time, h *held, service *config.Service) {
	if service == nil {
		service = &config.Service{}
		if h.version != nil {
			gone := *h.version
			gone.Servers = nil
			service = &gone
		}
	}
	if service == h.version {
		return
	}
	if err := h.dispatcher.Shard.Update(now, service); err != nil {
		s.options.Count("shard.badService")
		return
	}
	h.version = service
}

// wantPermits asks for the ejection permits that go with the owned shards.
func (s *Shards) wantPermits(c *config.Config, owned map[ident.ShardID]bool) {
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

// open makes the machinery of one shard.
func (s *Shards) open(id ident.ShardID) *held {
	d := &dispatch.Dispatcher{Poison: s.options.Poison}
	d.OnExtraAttempt = func(reason string) { s.options.Count("extra." + reason) }
	d.Shard = shard.New(shard.Options{
		ID: id, Zone: s.options.Self.Zone, Seed: uint64(time.Now().UnixNano()),
		Permits: s.options.Permits.Pool(id.Service), Poison: s.options.Poison,
		StateChanged: s.options.Changed, Quarantined: s.options.Quarantined, Count: s.options.Count,
		SuspectConnections: func(address string) {
			s.tasks.Go(func() { s.options.Backend.Invalidate(address) })
		},
		CheckPath: func(server ident.ServerID, address string) {
			s.tasks.Go(func() { s.checkPath(d.Shard, server, address) })
		},
	})
	d.CheckAlive = func(server ident.ServerID, address string) {
		s.tasks.Go(func() { s.checkAlive(d.Shard, server, address) })
	}
	h := &held{dispatcher: d}
	h.lastUsed.Store(time.Now().UnixNano())
	return h
}

// checkTimeout bounds the checks of one server.
const checkTimeout = 2 * time.Second

func (s *Shards) checkPath(sh *shard.Shard, server ident.ServerID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	sh.RecordPathCheck(time.Now(), server, s.options.ServerReached(ctx, address))
}

func (s *Shards) checkAlive(sh *shard.Shard, server ident.ServerID, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if !s.options.Backend.Reachable(ctx, address) {
		sh.ServerDied(time.Now(), server)
	}
}

// Dispatcher returns the dispatcher of a shard, and opens one where this
// daemon has none.
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
	h := s.open(id)
	s.update(now, h, s.options.Config().Service(id.Service))
	next := make(map[ident.ShardID]*held, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[id] = h
	s.current.Store(&next)
	s.options.Count("shard.openedAsSubstitute")
	return h.dispatcher
}

// Each calls f for every shard that this daemon dispatches for, in the order of
// their names.
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

// Tick drives the time of every shard.
func (s *Shards) Tick(now time.Time) {
	for _, h := range *s.current.Load() {
		h.dispatcher.Shard.Tick(now)
	}
}
