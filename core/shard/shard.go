// Package shard decides for the backend servers of one service in one region:
// who gets a slot, what an outcome says about a server, who is ejected and how
// it comes back. A Shard is given events and times; it does no I/O and starts
// nothing.
package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/detect"
	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/pool"
	"bilberrymux/core/retry"
)

// Event is a change of state that is worth a line in a log.
type Event struct {
	Time   time.Time      `json:"time"`
	Shard  ident.ShardID  `json:"-"`
	Server ident.ServerID `json:"server"`
	From   pool.State     `json:"from"`
	To     pool.State     `json:"to"`
	Reason string         `json:"reason"`
}

// Options are the dependencies of a shard. Every function may be called with
// the shard's lock held and must not call back into the shard.
type Options struct {
	ID ident.ShardID
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Seed starts the random numbers of the picker.
	Seed uint64
	// Permits bounds the ejections of the service.
	Permits *escrow.PermitPool
	// Poison is the quarantine of the daemon.
	Poison *poison.Quarantine
	// Changed is told of each change of a server's state.
	Changed func(Event)
	// Count adds one to the counter of that name.
	Count func(name string)
	// Quarantined is told of each fingerprint that this shard quarantines.
	Quarantined func(poison.Entry)
	// CheckPath asks other daemons whether they reach a server that this one
	// does not. The answer comes back through PathChecked. A nil CheckPath
	// takes the server for dead.
	CheckPath func(server ident.ServerID, address string)
	// SuspectConnections is told that the open connections to an address may
	// have gone silent, so that fresh ones are used.
	SuspectConnections func(address string)
}

// kindCount is the number of kinds of work whose latencies are told apart.
const kindCount = 16

// hedgeQuantileDefault is followed where a service names no quantile.
const hedgeQuantileDefault = 0.95

// Shard is safe for concurrent use.
type Shard struct {
	options Options

	mu       sync.Mutex
	service  *config.Service
	members  []*member
	pool     []*pool.Server
	byServer map[*pool.Server]*member
	queue    *admit.Queue
	picker   *pool.Picker
	// ask is reused, so that a pick allocates nothing.
	ask pool.PickRequest
	// freed is the server whose slot was given back last, or nil.
	freed  *pool.Server
	retry  *retry.Policy
	load   admit.Load
	kinds  [kindCount]*detect.Quantiles
	random *rand.PCG
	shed   detect.Rate
}

// member is a server with the evidence about it.
type member struct {
	pool.Server
	detector *detect.Detector
	settings config.Detector
	base     detect.Baseline
	failures detect.Rate
	slows    detect.Rate
	sheds    detect.Rate
	active   []*admit.Attempt
	broken   []brokenExchange

	cause     detect.Cause
	flaps     int
	retryAt   time.Time
	trialGood int
	// outruns counts the attempts on reused connections in a row that a hedge
	// outran.
	outruns int
	// shedRun counts sheds in a row.
	shedRun    int
	rampFrom   time.Time
	coldUntil  time.Time
	avoidUntil time.Time
	checking   bool
	// forced says that permits were used for a drain.
	forced bool
	// held says that permits were used for an ejection.
	held bool
	// leaving is the configuration's word, drains the server's own.
	leaving, drains bool
	probeFailed     bool
	limit           limiter
}

// New returns a shard without servers. Update gives it its service.
func New(o Options) *Shard {
	if o.Changed == nil {
		o.Changed = func(Event) {}
	}
	if o.Count == nil {
		o.Count = func(string) {}
	}
	if o.Quarantined == nil {
		o.Quarantined = func(poison.Entry) {}
	}
	return &Shard{
		options:  o,
		byServer: map[*pool.Server]*member{},
		random:   rand.NewPCG(o.Seed, o.Seed),
	}
}

// Update brings the shard to a version of its service. Servers that stay keep
// their evidence. It returns an error, and changes nothing, where the service
// names an unknown plug-in.
func (s *Shard) Update(now time.Time, service *config.Service) error {
	plugins, err := choose(service)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.install(plugins, service)
	old := map[ident.ServerID]*member{}
	for _, m := range s.members {
		old[m.ID] = m
	}
	s.members, s.pool = nil, nil
	for _, id := range serverIDs(service, s.options.ID.Region) {
		m := old[id]
		delete(old, id)
		s.add(now, m, id, service, plugins)
	}
	for _, m := range old {
		s.drop(m)
	}
	s.service = service
	s.settleFloor(now)
	s.recount()
	s.pump(now)
	return nil
}

// serverIDs returns the servers of a region, sorted.
func serverIDs(service *config.Service, region ident.RegionID) []ident.ServerID {
	var ids []ident.ServerID
	for id, srv := range service.Servers {
		if srv.Region == region {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// plugins is what a service's configuration selects.
type plugins struct {
	newDetector func(detect.Options) *detect.Detector
	picker      *pool.Picker
	policy      *admit.Policy
	retry       *retry.Policy
}

func choose(service *config.Service) (*plugins, error) {
	newDetector, err := detect.Detectors.Get(service.Detector.Name)
	if err != nil {
		return nil, fmt.Errorf("shard: %w", err)
	}
	newPicker, err := pool.Pickers.Get(service.Picker)
	if err != nil {
		return nil, fmt.Errorf("shard: %w", err)
	}
	newPolicy, err := admit.Policies.Get(service.Admission.Name)
	if err != nil {
		return nil, fmt.Errorf("shard: %w", err)
	}
	newRetry, err := retry.Policies.Get(service.Retry.Name)
	if err != nil {
		return nil, fmt.Errorf("shard: %w", err)
	}
	return &plugins{
		newDetector: newDetector,
		picker:      newPicker(),
		policy:      newPolicy(admit.Options{Shares: service.Admission.Shares.ByIndex()}),
		retry: newRetry(retry.Options{
			ExtraFraction: service.Retry.ExtraFraction,
			MaxAttempts:   service.Retry.MaxAttempts,
		}),
	}, nil
}

// install replaces the plug-ins whose settings changed.
func (s *Shard) install(p *plugins, next *config.Service) {
	if s.service == nil {
		s.queue = admit.New(p.policy, next.Admission.QueueLimit)
		s.picker, s.retry = p.picker, p.retry
		for i := range s.kinds {
			s.kinds[i] = detect.NewQuantiles(hedgeQuantile(next))
		}
		return
	}
	if s.service.Admission != next.Admission {
		s.queue.SetPolicy(p.policy, next.Admission.QueueLimit)
	}
	if s.service.Picker != next.Picker {
		s.picker = p.picker
	}
	if s.service.Retry != next.Retry {
		s.retry = p.retry
	}
}

func hedgeQuantile(service *config.Service) float64 {
	if q := service.Retry.HedgeQuantile; q > 0.5 {
		return q
	}
	return hedgeQuantileDefault
}

// add appends a server that stayed (m) or is new (m is nil).
func (s *Shard) add(now time.Time, m *member, id ident.ServerID, next *config.Service, p *plugins) {
	srv := next.Servers[id]
	if m != nil && m.Address != srv.Address {
		s.drop(m)
		m = nil
	}
	if m == nil {
		m = s.newMember(now, id, srv)
	}
	if m.detector == nil || m.settings != next.Detector {
		m.settings = next.Detector
		m.detector = p.newDetector(detect.Options{FalseAlarmRate: next.Detector.FalseAlarmRate})
	}
	if m.Slots != srv.Slots {
		s.resize(m, srv.Slots)
	}
	m.leaving = srv.Leaving
	s.members = append(s.members, m)
	s.pool = append(s.pool, &m.Server)
	s.settleDrain(now, m)
}

func (s *Shard) newMember(now time.Time, id ident.ServerID, srv config.Server) *member {
	m := &member{Server: pool.Server{
		ID: id, Address: srv.Address, Zone: srv.Zone,
		State: pool.Active, Since: now, Weight: pool.FullWeight,
	}}
	if s.service != nil {
		// A server that joins a running service has just started.
		m.coldUntil = now.Add(coldTime)
		m.rampFrom = now
		m.Weight = leastWeight
	}
	s.byServer[&m.Server] = m
	return m
}

// drop forgets a server that the configuration lost. Its attempts end normally.
func (s *Shard) drop(m *member) {
	s.giveBack(m)
	s.freed = nil
	delete(s.byServer, &m.Server)
}

// giveBack returns the permits that a server uses.
func (s *Shard) giveBack(m *member) {
	if m.held || m.forced {
		s.options.Permits.Release(m.Slots)
	}
	m.held, m.forced = false, false
}

// resize changes the slots of a server, and the permits that it uses with them.
func (s *Shard) resize(m *member, slots int) {
	if m.held || m.forced {
		s.options.Permits.Release(m.Slots)
		s.options.Permits.ForceAcquire(slots)
	}
	m.Slots, m.Limit = slots, slots
	m.limit = limiter{}
}
