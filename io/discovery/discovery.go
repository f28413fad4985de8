// Package discovery keeps a daemon's view of the platform: the configuration in
// force and the registered backend servers. It reads the store, or takes over
// what peers have read, and publishes immutable snapshots.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// Options are the dependencies of a Keeper. Every function must be set.
type Options struct {
	Store *platform.Store
	Zone  *zone.Table
	Log   *logrus.Entry
	// Drain is the time in which a leaving server must get no more work.
	Drain time.Duration
	// Configured is told of each version that came into force.
	Configured func(c *catalog.Catalog)
	// Listed is told of each changed list of servers and of the one before.
	Listed func(now time.Time, r, before *roster.Roster)
	Count  func(name string)
}

// Keeper is safe for concurrent use. Catalog and Roster are for the request
// path and take no lock.
type Keeper struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	roster  atomic.Pointer[roster.Roster]

	mu sync.Mutex
	// config holds what the store said, in its own bytes.
	config []byte
	rows   rowSet
	// configAt and serversAt are when the store last confirmed them, to this
	// daemon or to a peer that said so.
	configAt, serversAt time.Time
	// configReadAt and serversReadAt are when it confirmed them to this daemon.
	// Only these are told: an age that is passed on would lose the time that each
	// message was under way, and never grow.
	configReadAt, serversReadAt time.Time
	// confirmed is the version of the store at which the list was last read.
	confirmed uint64
	// reader says that this daemon read the newest list itself.
	reader bool
	// feedFrom is the version of the store from which changes of the
	// configuration are asked for.
	feedFrom uint64
	// heardVersion is the newest version that a peer told of, and since when.
	heardVersion   ident.Version
	heardVersionAt time.Time
	rejected       map[string]bool
	pause          time.Duration
	nextRead       time.Time
	away           bool
}

// New returns a keeper without a configuration or servers.
func New(o Options) *Keeper {
	k := &Keeper{options: o, rows: newRowSet(), rejected: map[string]bool{}}
	empty, err := catalog.New(0, nil, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	k.catalog.Store(empty)
	k.roster.Store(roster.New(0, nil))
	return k
}

// Catalog returns the configuration in force; its version is 0 while none is
// known.
func (k *Keeper) Catalog() *catalog.Catalog { return k.catalog.Load() }

// Roster returns the registered servers.
func (k *Keeper) Roster() *roster.Roster { return k.roster.Load() }

// applyConfig puts a configuration in force that is newer than the present one.
func (k *Keeper) applyConfig(value []byte, at time.Time, source string) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		k.options.Count("config.unreadable")
		k.options.Log.WithError(err).WithField("source", source).Warn("configuration not taken")
		return
	}
	k.mu.Lock()
	before := k.catalog.Load()
	if at.After(k.configAt) && c.Version >= before.Version {
		k.configAt = at
	}
	if c.Version <= before.Version {
		k.mu.Unlock()
		return
	}
	k.config = value
	k.catalog.Store(c)
	k.mu.Unlock()
	k.options.Log.WithFields(logrus.Fields{
		"version": c.Version, "before": before.Version, "routes": len(c.Routes), "source": source,
	}).Info(event.ConfigApplied)
	k.options.Configured(c)
}

// applyServers takes over the changes that bring the list to a later version of
// the store. It reports false where the list is too old for them.
func (k *Keeper) applyServers(now time.Time, c *news.Changes, at time.Time, source string) bool {
	k.mu.Lock()
	if c.Base > k.confirmed {
		k.mu.Unlock()
		return false
	}
	k.serversAt = later(k.serversAt, at)
	if c.Stamp < k.confirmed {
		k.mu.Unlock()
		return true
	}
	k.confirmed, k.reader = c.Stamp, source == sourceStore
	bad := k.rows.apply(c)
	before := k.roster.Load()
	next := roster.New(c.Stamp, k.rows.list())
	if next.Equal(before) && before.Revision > 0 {
		k.mu.Unlock()
		k.reject(bad)
		return true
	}
	k.roster.Store(next)
	k.mu.Unlock()
	k.reject(bad)
	next.Diff(before, func(s *roster.Server, change roster.Change) {
		k.options.Log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "change": change, "stamp": c.Stamp, "source": source,
		}).Info(event.ServerChanged)
	})
	k.options.Listed(now, next, before)
	return true
}

// sourceStore names the store in log lines; peers are named by their VM.
const sourceStore = "store"

// maxRejected bounds the rows that are remembered as unreadable.
const maxRejected = 1000

// reject tells of each unreadable row once.
func (k *Keeper) reject(bad map[string]error) {
	for key, err := range bad {
		k.mu.Lock()
		known := k.rejected[key]
		if len(k.rejected) < maxRejected {
			k.rejected[key] = true
		}
		k.mu.Unlock()
		if known {
			continue
		}
		k.options.Count("servers.unreadable")
		k.options.Log.WithError(err).WithField("server", key).Warn("row names no server")
	}
}

// ages returns how long ago the store confirmed the configuration and the list.
func (k *Keeper) ages(now time.Time) (config, servers time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return age(now, k.configAt), age(now, k.serversAt)
}

// age returns the time since a moment; what never was is very old.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return time.Hour
	}
	return max(0, now.Sub(at))
}

// readAges returns how long ago the store confirmed the configuration and the list
// to this daemon.
func (k *Keeper) readAges(now time.Time) (config, servers time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return age(now, k.configReadAt), age(now, k.serversReadAt)
}

// Describe puts the versions of this daemon into a message.
func (k *Keeper) Describe(now time.Time, m *news.Message) {
	config, servers := k.readAges(now)
	m.Version = k.Catalog().Version
	m.VersionAgeMillis = uint32(config.Milliseconds())
	m.Stamp = k.Roster().Revision
	m.StampAgeMillis = uint32(servers.Milliseconds())
}

// Lacks compares a message with what is known here. It returns what to ask the
// sender for, or nil. Daemons of other zones are asked only where the own zone
// does not hear from the store in time.
func (k *Keeper) Lacks(now time.Time, m *news.Message) *news.StateRequest {
	own := m.From.Zone == k.options.Zone.Self().Zone
	k.mu.Lock()
	defer k.mu.Unlock()
	version, stamp := k.catalog.Load().Version, k.roster.Load().Revision
	if m.Version == version {
		k.configAt = later(k.configAt, now.Add(-millis(m.VersionAgeMillis)))
	}
	if m.Stamp == stamp && stamp > 0 {
		k.serversAt = later(k.serversAt, now.Add(-millis(m.StampAgeMillis)))
	}
	if m.Version <= version && m.Stamp <= k.confirmed {
		return nil
	}
	if m.Version > k.heardVersion {
		k.heardVersion, k.heardVersionAt = m.Version, now
	}
	late := m.Version > version && now.Sub(k.heardVersionAt) > configPatience
	if !own && !late && age(now, k.serversAt) < k.readAfter(lastReader) {
		return nil
	}
	return &news.StateRequest{Version: version, Stamp: k.confirmed, Members: k.confirmed == 0}
}

// configPatience is how long a zone may lack a version of the configuration that
// another one has before it asks there.
const configPatience = 300 * time.Millisecond

// lastReader is the rank of the reader without whose news a zone asks others.
const lastReader = 2

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func millis(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// Answer returns what a peer lacks.
func (k *Keeper) Answer(r *news.StateRequest) *news.State {
	config, servers := k.readAges(time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &news.State{
		Version: k.catalog.Load().Version, VersionAgeMillis: uint32(config.Milliseconds()), FeedFrom: k.feedFrom,
		StampAgeMillis: uint32(servers.Milliseconds()),
	}
	if s.Version > r.Version {
		s.Config = k.config
	}
	if k.confirmed > r.Stamp {
		s.Changes = k.rows.since(r.Stamp, k.confirmed)
	}
	return s
}

// Changes returns what changed in the list after a version of the store, for a
// datagram, or nil where nothing did, it is too much, or another daemon read it.
func (k *Keeper) Changes(base uint64) *news.Changes {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reader {
		return nil
	}
	c := k.rows.since(base, k.confirmed)
	if len(c.Servers)+len(c.Removed) == 0 || len(c.Servers)+len(c.Removed) > maxChanges {
		return nil
	}
	return c
}

// maxChanges bounds the servers of one datagram with changes.
const maxChanges = 12

// Take takes over the state of a peer.
func (k *Keeper) Take(now time.Time, s *news.State, from ident.VMID) {
	source := "peer " + string(from)
	if len(s.Config) > 0 {
		k.applyConfig(s.Config, now.Add(-millis(s.VersionAgeMillis)), source)
	}
	k.mu.Lock()
	if s.Version == k.catalog.Load().Version {
		k.feedFrom = max(k.feedFrom, s.FeedFrom)
	}
	k.mu.Unlock()
	if s.Changes != nil {
		k.TakeChanges(now, s.Changes, s.StampAgeMillis, from)
	}
}

// TakeChanges takes over changes that a peer sent.
func (k *Keeper) TakeChanges(now time.Time, c *news.Changes, ageMillis uint32, from ident.VMID) {
	if !k.applyServers(now, c, now.Add(-millis(ageMillis)), "peer "+string(from)) {
		k.options.Count("servers.gap")
	}
}

// callTimeout bounds one call of the store.
const callTimeout = 700 * time.Millisecond

// ReadServers reads the list from the store.
func (k *Keeper) ReadServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := k.options.Store.Rows(ctx, platform.TableServers)
	if err != nil {
		return fmt.Errorf("discovery: servers: %w", err)
	}
	k.mu.Lock()
	c := k.rows.difference(rows, version)
	k.mu.Unlock()
	now := time.Now()
	k.applyServers(now, c, now, sourceStore)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serversReadAt = now
	return nil
}

// ReadConfig reads the configuration from the store.
func (k *Keeper) ReadConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := k.options.Store.Rows(ctx, platform.TableConfig)
	if err != nil {
		return fmt.Errorf("discovery: configuration: %w", err)
	}
	k.takeConfig(rows, version)
	return nil
}

func (k *Keeper) takeConfig(rows []platform.Row, version uint64) {
	now := time.Now()
	for _, r := range rows {
		if r.Key == platform.KeyConfig && !r.Deleted {
			k.applyConfig(r.Value, now, sourceStore)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configAt, k.configReadAt = later(k.configAt, now), now
	k.feedFrom = max(k.feedFrom, version)
}

// The wait for changes of the configuration.
const (
	feedWait = 20 * time.Second
	// feedSlack is how much later than asked for the store may answer.
	feedSlack = 2 * time.Second
)

// followConfig waits for one change of the configuration.
func (k *Keeper) followConfig(ctx context.Context) error {
	k.mu.Lock()
	from := k.feedFrom
	k.mu.Unlock()
	if from == 0 {
		return k.ReadConfig(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	rows, version, err := k.options.Store.Feed(waiting, platform.TableConfig, from, feedWait)
	if errors.Is(err, platform.ErrHistoryGone) {
		k.options.Log.WithField("version", from).Warn("store forgot its history, reading again")
		return k.ReadConfig(ctx)
	}
	if err != nil {
		return fmt.Errorf("discovery: feed: %w", err)
	}
	k.takeConfig(rows, version)
	return nil
}
