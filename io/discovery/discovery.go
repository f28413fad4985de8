// Package discovery keeps the active configuration and the list of registered
// backend servers up to date in a daemon. It reads them from the platform's store
// or receives them from peers that have read them, and publishes immutable
// snapshots.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/refresh"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// Options are the dependencies of a Watcher. Every function must be set.
type Options struct {
	Store   *platform.Store
	Members *zone.Table
	Log     *logrus.Entry
	// DrainDelay is the maximum time until a server that starts to drain must no
	// longer receive new requests.
	DrainDelay time.Duration
	// ConfigDelay is the maximum time until an accepted configuration must be in force.
	ConfigDelay time.Duration
	// OnConfig is called after each change of the active configuration.
	OnConfig func(c *catalog.Catalog)
	// OnRoster is called after each change of the list of servers, with the new and
	// the previous list.
	OnRoster func(now time.Time, r, before *roster.Roster)
	// Count increments the named counter.
	Count func(name string)
}

// Watcher holds the current configuration and server list. Its methods are safe for
// concurrent use, except that FollowServers must run only once. Catalog and Roster
// are meant for the request path and take no lock.
type Watcher struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	roster  atomic.Pointer[roster.Roster]

	mu sync.Mutex
	// configValue is the active configuration as encoded in the store.
	configValue []byte
	rows        rowSet
	// configConfirmedAt and serversConfirmedAt are the times of the last known read
	// from the store that confirmed the current configuration and list, by this
	// daemon or by a peer.
	configConfirmedAt, serversConfirmedAt time.Time
	// configReadAt and serversReadAt are the times of this daemon's own last reads
	// from the store. Only the ages of these are sent to peers: an age that is
	// relayed loses the transit time of each message and would never grow.
	configReadAt, serversReadAt time.Time
	// listRevision is the revision of the list, which is the version of the store at which
	// the list was read.
	listRevision uint64
	// readFromStore reports whether this daemon itself read the current list.
	readFromStore bool
	// feedFrom is the version of the store after which the next call of the
	// configuration feed asks for changes.
	feedFrom uint64
	// peerVersion is the newest configuration version that a peer announced, and
	// peerVersionAt is the time of the first announcement.
	peerVersion   ident.Version
	peerVersionAt time.Time
	// reportedRows holds the keys of the unreadable rows that were already logged.
	reportedRows map[string]bool

	calls                        *refresh.Limiter
	listSchedule, configSchedule refresh.Schedule
}

// New returns a Watcher with an empty configuration and no servers.
func New(o Options) *Watcher {
	w := &Watcher{
		options: o, rows: newRowSet(), reportedRows: map[string]bool{}, calls: refresh.NewLimiter(rand.Float64),
		listSchedule:   schedule(o.DrainDelay, secondReaderDelay),
		configSchedule: schedule(o.ConfigDelay, secondFollowerDelay),
	}
	empty, err := catalog.New(0, nil, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	w.catalog.Store(empty)
	w.roster.Store(roster.New(0, nil))
	return w
}

// Catalog returns the active configuration. Its version is 0 until a
// configuration is known.
func (w *Watcher) Catalog() *catalog.Catalog { return w.catalog.Load() }

// Roster returns the current list of registered servers.
func (w *Watcher) Roster() *roster.Roster { return w.roster.Load() }

// applyConfig decodes a configuration and activates it if its version is newer than
// that of the active one. The store confirmed the value at the time at.
func (w *Watcher) applyConfig(value []byte, at time.Time, source string) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		w.options.Count("config.unreadable")
		w.options.Log.WithError(err).WithField("source", source).Warn("could not decode the configuration")
		return
	}
	w.mu.Lock()
	before := w.catalog.Load()
	if at.After(w.configConfirmedAt) && c.Version >= before.Version {
		w.configConfirmedAt = at
	}
	if c.Version <= before.Version {
		w.mu.Unlock()
		return
	}
	w.configValue = value
	w.catalog.Store(c)
	w.mu.Unlock()
	w.options.Log.WithFields(logrus.Fields{
		"version": c.Version, "before": before.Version, "routes": len(c.Routes), "source": source,
	}).Info(event.ConfigApplied)
	w.options.OnConfig(c)
}

// applyServers updates the list to the revision of the changes, which the store confirmed
// at the time at. It returns false, and changes nothing, if the list is older than the base
// of the changes. Changes that are older than the list only confirm it.
func (w *Watcher) applyServers(now time.Time, c *news.Changes, at time.Time, source string) bool {
	w.mu.Lock()
	if c.BaseRevision > w.listRevision {
		w.mu.Unlock()
		return false
	}
	w.serversConfirmedAt = later(w.serversConfirmedAt, at)
	if c.Revision < w.listRevision {
		w.mu.Unlock()
		return true
	}
	w.listRevision, w.readFromStore = c.Revision, source == sourceStore
	decodeErrors := w.rows.apply(c)
	before := w.roster.Load()
	next := roster.New(c.Revision, w.rows.list())
	if next.Equal(before) && before.Revision > 0 {
		w.mu.Unlock()
		w.reportUnreadable(decodeErrors)
		return true
	}
	w.roster.Store(next)
	w.mu.Unlock()
	w.reportUnreadable(decodeErrors)
	next.Diff(before, func(s *roster.Server, change roster.Change) {
		w.options.Log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "change": change, "stamp": c.Revision, "source": source,
		}).Info(event.ServerChanged)
	})
	w.options.OnRoster(now, next, before)
	return true
}

// sourceStore is the value of the log field "source" for data read from the store.
// For data from a peer the value contains the peer's VM.
const sourceStore = "store"

// maxReportedRows limits the number of unreadable rows that are remembered as
// reported.
const maxReportedRows = 1000

// reportUnreadable counts and logs each unreadable row. A row that is remembered as
// reported is skipped.
func (w *Watcher) reportUnreadable(decodeErrors map[string]error) {
	for key, err := range decodeErrors {
		w.mu.Lock()
		known := w.reportedRows[key]
		if len(w.reportedRows) < maxReportedRows {
			w.reportedRows[key] = true
		}
		w.mu.Unlock()
		if known {
			continue
		}
		w.options.Count("servers.unreadable")
		w.options.Log.WithError(err).WithField("server", key).Warn("row names no server")
	}
}

// Ages returns the times since the last known reads, by any daemon, that confirmed
// the configuration and the list, or one hour if there was none.
func (w *Watcher) Ages(now time.Time) (config, servers time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return age(now, w.configConfirmedAt), age(now, w.serversConfirmedAt)
}

// age returns the time from at to now, at least 0. For the zero time it returns one
// hour, so that data that was never confirmed counts as old.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return time.Hour
	}
	return max(0, now.Sub(at))
}

// storeAges returns the times since this daemon itself last read the configuration
// and the list from the store.
func (w *Watcher) storeAges(now time.Time) (config, servers time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return age(now, w.configReadAt), age(now, w.serversReadAt)
}

// SetVersions sets the versions of the configuration and the server list in a
// message, and the times since this daemon read them from the store.
func (w *Watcher) SetVersions(now time.Time, m *news.Message) {
	config, servers := w.storeAges(now)
	m.Version = w.Catalog().Version
	m.VersionAgeMillis = uint32(config.Milliseconds())
	m.Revision = w.Roster().Revision
	m.RevisionAgeMillis = uint32(servers.Milliseconds())
}

// StateRequestFor compares the versions in a message with the local ones. It returns
// the request to send to the sender if that has newer data, or nil. A daemon of
// another zone is asked only if the local zone has no newer data within
// crossZoneConfigDelay for the configuration, or within the maximum list age of the
// reader at crossZoneReaderRank for the list.
func (w *Watcher) StateRequestFor(now time.Time, m *news.Message) *news.StateRequest {
	sameZone := m.From.Zone == w.options.Members.Self().Zone
	w.mu.Lock()
	defer w.mu.Unlock()
	version, revision := w.catalog.Load().Version, w.roster.Load().Revision
	if m.Version == version {
		w.configConfirmedAt = later(w.configConfirmedAt, now.Add(-millis(m.VersionAgeMillis)))
	}
	if m.Revision == revision && revision > 0 {
		w.serversConfirmedAt = later(w.serversConfirmedAt, now.Add(-millis(m.RevisionAgeMillis)))
	}
	if m.Version <= version && m.Revision <= w.listRevision {
		return nil
	}
	if m.Version > w.peerVersion {
		w.peerVersion, w.peerVersionAt = m.Version, now
	}
	late := m.Version > version && now.Sub(w.peerVersionAt) > crossZoneConfigDelay
	if !sameZone && !late && age(now, w.serversConfirmedAt) < w.listSchedule.MaxAge(crossZoneReaderRank) {
		return nil
	}
	return &news.StateRequest{Version: version, Revision: w.listRevision, Members: w.listRevision == 0}
}

// crossZoneConfigDelay is the time after the first announcement of a configuration
// version until a daemon that still lacks it asks a daemon of another zone.
const crossZoneConfigDelay = 300 * time.Millisecond

// crossZoneReaderRank is the rank of a reader within its zone. Once the list is older
// than this reader's maximum list age, daemons of other zones are asked for the list.
const crossZoneReaderRank = 2

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func millis(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// StateFor returns the data that the requesting peer lacks.
func (w *Watcher) StateFor(r *news.StateRequest) *news.State {
	config, servers := w.storeAges(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &news.State{
		Version: w.catalog.Load().Version, VersionAgeMillis: uint32(config.Milliseconds()), FeedFrom: w.feedFrom,
		RevisionAgeMillis: uint32(servers.Milliseconds()),
	}
	if s.Version > r.Version {
		s.Config = w.configValue
	}
	if w.listRevision > r.Revision {
		s.Changes = w.rows.since(r.Revision, w.listRevision)
	}
	return s
}

// Changes returns the changes of the list after the revision base, to be sent in a
// datagram. It returns nil if there are none, if they don't fit a datagram, or if
// another daemon read the list.
func (w *Watcher) Changes(base uint64) *news.Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.readFromStore {
		return nil
	}
	c := w.rows.since(base, w.listRevision)
	if len(c.Servers)+len(c.Removed) == 0 || !fitsDatagram(c) {
		return nil
	}
	return c
}

// maxDatagramChanges limits the number of servers in the changes of one datagram, and
// maxDatagramChangeBytes the size of their rows and keys.
const (
	maxDatagramChanges     = 12
	maxDatagramChangeBytes = 4 << 10
)

// ApplyState updates the configuration and the list from a peer's state.
func (w *Watcher) ApplyState(now time.Time, s *news.State, from ident.VMID) {
	source := "peer " + string(from)
	if len(s.Config) > 0 {
		w.applyConfig(s.Config, now.Add(-millis(s.VersionAgeMillis)), source)
	}
	w.mu.Lock()
	if s.Version == w.catalog.Load().Version {
		w.feedFrom = max(w.feedFrom, s.FeedFrom)
	}
	w.mu.Unlock()
	if s.Changes != nil {
		w.ApplyChanges(now, s.Changes, s.RevisionAgeMillis, from)
	}
}

// ApplyChanges updates the list with changes received from a peer. The peer read
// them from the store ageMillis milliseconds ago. Changes whose base is newer than
// the local list are counted and dropped.
func (w *Watcher) ApplyChanges(now time.Time, c *news.Changes, ageMillis uint32, from ident.VMID) {
	if !w.applyServers(now, c, now.Add(-millis(ageMillis)), "peer "+string(from)) {
		w.options.Count("servers.gap")
	}
}

// callTimeout limits the duration of one call of the store.
const callTimeout = 700 * time.Millisecond

// ReadServers reads the list of servers from the store and applies it.
func (w *Watcher) ReadServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, revision, err := w.options.Store.Rows(ctx, platform.TableServers)
	if err != nil {
		return fmt.Errorf("discovery: servers: %w", err)
	}
	w.mu.Lock()
	c := w.rows.difference(rows, revision)
	w.mu.Unlock()
	now := time.Now()
	w.applyServers(now, c, now, sourceStore)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serversReadAt = now
	return nil
}

// ReadConfig reads the configuration from the store and applies it.
func (w *Watcher) ReadConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	rows, version, err := w.options.Store.Rows(ctx, platform.TableConfig)
	if err != nil {
		return fmt.Errorf("discovery: configuration: %w", err)
	}
	w.applyConfigRows(rows, version, started)
	return nil
}

// applyConfigRows applies the configuration contained in rows of the store, if any,
// and records that the store was read at a version by a call that was started at the
// given time.
func (w *Watcher) applyConfigRows(rows []platform.Row, version uint64, started time.Time) {
	now := time.Now()
	for _, r := range rows {
		if r.Key == platform.KeyConfig && !r.Deleted {
			w.options.Log.WithFields(logrus.Fields{
				"rowVersion": r.Version, "revision": version, "tookMillis": now.Sub(started).Milliseconds(),
			}).Info(event.ConfigRead)
			w.applyConfig(r.Value, now, sourceStore)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configConfirmedAt, w.configReadAt = later(w.configConfirmedAt, now), now
	w.feedFrom = max(w.feedFrom, version)
}

// configCallTimeout limits the duration of a call for changes of the configuration, beyond
// the time for which the store may hold it open.
const configCallTimeout = 1200 * time.Millisecond

// pollConfig makes one call for changes of the configuration, which the store may hold
// open for the time wait until there is a change, and applies the result. It reads the
// whole configuration if no version to start from is known or if the store no longer has
// the changes since that version.
func (w *Watcher) pollConfig(ctx context.Context, wait time.Duration) error {
	w.mu.Lock()
	from := w.feedFrom
	w.mu.Unlock()
	if from == 0 {
		return w.ReadConfig(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, wait+configCallTimeout)
	defer cancel()
	started := time.Now()
	rows, version, err := w.options.Store.Feed(waiting, platform.TableConfig, from, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		w.options.Log.WithField("version", from).Warn("the store no longer has the changes since this version, reading the configuration again")
		return w.ReadConfig(ctx)
	}
	if err != nil {
		return fmt.Errorf("discovery: feed: %w", err)
	}
	w.applyConfigRows(rows, version, started)
	return nil
}
