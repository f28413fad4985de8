// Package shard manages the backend servers of one service in one region. It admits requests,
// assigns them to servers, evaluates the outcomes of attempts, and ejects and restores servers.
// A Shard is driven by method calls that carry the current time; it performs no I/O and starts
// no goroutines.
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

// Event is a state change of a server, reported to operators.
type Event struct {
	Time   time.Time      `json:"time"`
	Shard  ident.ShardID  `json:"-"`
	Server ident.ServerID `json:"server"`
	From   pool.State     `json:"from"`
	To     pool.State     `json:"to"`
	Reason string         `json:"reason"`
}

// Options are the dependencies of a shard. The functions may be called with the shard's lock held
// and must not call back into the shard.
type Options struct {
	ID ident.ShardID
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Seed seeds the random number generator of the picker.
	Seed uint64
	// Permits limits the capacity of the service that may be ejected, in slots.
	Permits *escrow.PermitPool
	// Poison is the daemon's quarantine of poison requests.
	Poison *poison.Quarantine
	// StateChanged is called for each state change of a server.
	StateChanged func(Event)
	// Count increments the counter with the given name.
	Count func(name string)
	// Quarantined is called for each request fingerprint that this shard quarantines.
	Quarantined func(poison.Entry)
	// CheckPath asks other daemons whether they can reach a server that this daemon can't reach.
	// The result is passed to RecordPathCheck. If CheckPath is nil, an unreachable server is
	// ejected without asking.
	CheckPath func(server ident.ServerID, address string)
	// SuspectConnections is called when the open connections to an address may have silently
	// failed, so that further attempts use new connections.
	SuspectConnections func(address string)
}

// latencyClasses is the number of latency classes with separate latency quantiles. Higher classes
// share quantiles, modulo latencyClasses.
const latencyClasses = 16

// defaultHedgeQuantile is the upper latency quantile to track if the service configures none above
// 0.5.
const defaultHedgeQuantile = 0.95

// Shard holds the servers, the queue and the load of one service in one region. It is safe for
// concurrent use.
type Shard struct {
	options Options

	mu       sync.Mutex
	service  *config.Service
	members  []*member
	pool     []*pool.Server
	memberOf map[*pool.Server]*member
	queue    *admit.Queue
	picker   *pool.Picker
	// pickRequest is reused so that a pick does not allocate.
	pickRequest pool.PickRequest
	// lastFreed is the server whose slot the last successful attempt released. It is nil if the last
	// attempt did not succeed.
	lastFreed *pool.Server
	retry     *retry.Policy
	load      admit.Load
	latencies [latencyClasses]*detect.Quantiles
	random    *rand.PCG
	shed      detect.Rate
}

// member is a server of the shard with its health evidence and concurrency limit.
type member struct {
	pool.Server
	detector        *detect.Detector
	settings        config.Detector
	baseline        detect.Baseline
	failures        detect.Rate
	slows           detect.Rate
	sheds           detect.Rate
	attempts        []*admit.Attempt
	brokenExchanges []brokenExchange

	// cause is the reason for the last ejection. It is empty once the server has been restored.
	cause detect.Cause
	// flaps counts the ejections since the server was last stable; see flapResetTime.
	flaps int
	// trialAt is when an ejected server may enter a trial.
	trialAt time.Time
	// trialSuccesses counts the successful attempts of the current trial.
	trialSuccesses int
	// hedgeLosses counts the late attempts on reused connections whose hedge answered first, since the
	// last successful attempt or report of silent connections.
	hedgeLosses      int
	consecutiveSheds int
	// rampStart is when the weight started to ramp up, or zero if it is not ramping up.
	rampStart time.Time
	// coldUntil is the end of the cold start, during which slow answers are expected.
	coldUntil time.Time
	// avoidUntil is the end of the period with reduced work after a path check found that other
	// daemons reach the server.
	avoidUntil time.Time
	// pathCheckPending reports whether a CheckPath call has not been answered yet.
	pathCheckPending bool
	// holdsDrainPermits reports whether the server uses permits because it is draining.
	holdsDrainPermits bool
	// holdsEjectionPermits reports whether the server uses permits because it is ejected.
	holdsEjectionPermits bool
	// leaving is set by the configuration; selfDraining is announced by the server itself.
	leaving, selfDraining bool
	// probeFailed reports whether the last health probe failed.
	probeFailed bool
	limiter     limiter
}

// New returns a shard without servers. Update must be called before any other method.
func New(o Options) *Shard {
	if o.StateChanged == nil {
		o.StateChanged = func(Event) {}
	}
	if o.Count == nil {
		o.Count = func(string) {}
	}
	if o.Quarantined == nil {
		o.Quarantined = func(poison.Entry) {}
	}
	return &Shard{
		options:  o,
		memberOf: map[*pool.Server]*member{},
		random:   rand.NewPCG(o.Seed, o.Seed),
	}
}

// Update applies a new version of the service's configuration. Servers that remain keep their
// evidence. If the service names an unknown plug-in, Update returns an error and changes nothing.
func (s *Shard) Update(now time.Time, service *config.Service) error {
	plugins, err := resolvePlugins(service)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPlugins(plugins, service)
	old := map[ident.ServerID]*member{}
	for _, m := range s.members {
		old[m.ID] = m
	}
	s.members, s.pool = nil, nil
	for _, id := range serverIDs(service, s.options.ID.Region) {
		m := old[id]
		delete(old, id)
		s.addMember(now, m, id, service, plugins)
	}
	for _, m := range old {
		s.removeMember(m)
	}
	s.service = service
	s.enforceFloor(now)
	s.recomputeLoad()
	s.dispatchQueued(now)
	return nil
}

// serverIDs returns the sorted IDs of the service's servers in the region.
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

// plugins holds the implementations selected by a service's configuration.
type plugins struct {
	newDetector func(detect.Options) *detect.Detector
	picker      *pool.Picker
	policy      *admit.Policy
	retry       *retry.Policy
}

// resolvePlugins looks up the plug-ins named in the configuration. It returns an error if one of
// them is not registered.
func resolvePlugins(service *config.Service) (*plugins, error) {
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

// applyPlugins replaces the plug-ins whose settings differ from the current configuration.
func (s *Shard) applyPlugins(p *plugins, next *config.Service) {
	if s.service == nil {
		s.queue = admit.New(p.policy, next.Admission.QueueLimit)
		s.picker, s.retry = p.picker, p.retry
		for i := range s.latencies {
			s.latencies[i] = detect.NewQuantiles(hedgeQuantile(next))
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

// hedgeQuantile returns the upper latency quantile to track. Urgent requests are hedged once they
// exceed it.
func hedgeQuantile(service *config.Service) float64 {
	if q := service.Retry.HedgeQuantile; q > 0.5 {
		return q
	}
	return defaultHedgeQuantile
}

// addMember appends a server to the shard. m is its existing member, or nil for a new server. A
// server whose address changed is treated as new.
func (s *Shard) addMember(now time.Time, m *member, id ident.ServerID, next *config.Service, p *plugins) {
	srv := next.Servers[id]
	if m != nil && m.Address != srv.Address {
		s.removeMember(m)
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
	s.reconcileDrain(now, m)
}

// newMember returns the member for a new server, with no evidence.
func (s *Shard) newMember(now time.Time, id ident.ServerID, srv config.Server) *member {
	m := &member{Server: pool.Server{
		ID: id, Address: srv.Address, Zone: srv.Zone,
		State: pool.Active, Since: now, Weight: pool.FullWeight,
	}}
	if s.service != nil {
		// A server added to a running service is assumed to have just started.
		m.coldUntil = now.Add(coldStartTime)
		m.rampStart = now
		m.Weight = minWeight
	}
	s.memberOf[&m.Server] = m
	return m
}

// removeMember removes a server that is no longer configured under its address. Its attempts run to
// their end.
func (s *Shard) removeMember(m *member) {
	s.returnPermits(m)
	s.lastFreed = nil
	delete(s.memberOf, &m.Server)
}

// returnPermits returns the permits that the server uses, if any.
func (s *Shard) returnPermits(m *member) {
	if m.holdsEjectionPermits || m.holdsDrainPermits {
		s.options.Permits.Release(m.Slots)
	}
	m.holdsEjectionPermits, m.holdsDrainPermits = false, false
}

// resize sets the number of slots of a server, adjusts the permits that it uses, and resets its
// concurrency limit.
func (s *Shard) resize(m *member, slots int) {
	if m.holdsEjectionPermits || m.holdsDrainPermits {
		s.options.Permits.Release(m.Slots)
		s.options.Permits.ForceAcquire(slots)
	}
	m.Slots, m.Limit = slots, slots
	m.limiter = limiter{}
}
