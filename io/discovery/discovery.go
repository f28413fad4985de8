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
	// configValue is the active configuration as encoded in the store, and configChangedAt the time since
	// which it is active.
	configValue     []byte
	configChangedAt time.Time
	rows            rowSet
	// rosterChangedAt is the time of the last change of the list.
	rosterChangedAt time.Time
	// configConfirmedAt and serversConfirmedAt are the times of the last known read
	// from the store that confirmed the current configuration and list, by this
	// daemon or by a peer.
	configConfirmedAt, serversConfirmedAt time.Time
	// configReadAt and serversReadAt are the times of this daemon's own last reads
	// from the store. Only the ages of these are sent to peers: an age that is
	// relayed loses the transit time of each message and would never grow.
	configReadAt, serversReadAt time.Time
	// readFromStore and configFromStore report whether this daemon itself read the current list and the
	// current configuration.
	readFromStore, configFromStore bool
	// feedFrom is the version of the store after which the next call of the
	// configuration feed asks for changes.
	feedFrom ident.StoreVersion
	// peerVersion is the newest configuration version that a peer announced, and
	// peerVersionAt is the time of the first announcement.
	peerVersion   ident.Version
	peerVersionAt time.Time
	// reportedRows holds the keys of the unreadable rows that were already logged.
	reportedRows map[string]bool

	packer                       *news.Packer
	listCalls, configCalls       *callGroup
	calls                        *refresh.Limiter
	listSchedule, configSchedule refresh.Schedule
}

// New returns a Watcher with an empty configuration and no servers.
func New(o Options) *Watcher {
	w := &Watcher{
		options: o, rows: newRowSet(), reportedRows: map[string]bool{}, packer: news.NewPacker(),
		listCalls: newCallGroup(o.Store.CloseIdle), configCalls: newCallGroup(o.Store.CloseIdle), calls: refresh.NewLimiter(rand.Float64),
		listSchedule:   schedule(o.DrainDelay, secondReaderDelay),
		configSchedule: schedule(o.ConfigDelay, secondFollowerDelay),
	}
	empty, err := catalog.New(0, nil, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	w.catalog.Store(empty)
	w.roster.Store(roster.New(ident.StoreVersion{}, nil))
	return w
}

// Catalog returns the active configuration. Its version is 0 until a
// configuration is known.
func (w *Watcher) Catalog() *catalog.Catalog { return w.catalog.Load() }

// Roster returns the current list of registered servers.
func (w *Watcher) Roster() *roster.Roster { return w.roster.Load() }

// applyServers updates the list to the revision of the changes, which the store confirmed
// at the time at. It returns false, and changes nothing, if the list can't be brought up to date by
// them, or if they are of an earlier era than the list. Changes that are not newer than the list only confirm it.
func (w *Watcher) applyServers(now time.Time, c *news.Changes, at time.Time, source string) bool {
	revision := c.Version()
	w.mu.Lock()
	known := w.rows.revision
	isNewer := revision.After(known)
	if revision.Era < known.Era || c.Base().After(known) || (isNewer && !w.rows.accepts(c)) {
		w.mu.Unlock()
		return false
	}
	w.serversConfirmedAt = later(w.serversConfirmedAt, at)
	if !isNewer {
		w.readFromStore = w.readFromStore || (source == sourceStore && revision == known)
		w.mu.Unlock()
		return true
	}
	w.readFromStore = source == sourceStore
	decodeErrors := w.rows.apply(now, c)
	hasLost := known.Era > 0 && revision.Era > known.Era
	unlisted, outdated := len(w.rows.past.unlisted), len(w.rows.past.copied)
	before, next := w.replaceRoster(now)
	w.mu.Unlock()
	w.announce(now, before, next, source)
	if hasLost {
		w.options.Count("servers.eras")
		w.options.Log.WithFields(logrus.Fields{
			"era": revision.Era, "stamp": revision.Number, "eraBefore": known.Era, "stampBefore": known.Number,
			"unlisted": unlisted, "outdated": outdated, "source": source,
		}).Warn(event.StoreEra)
	}
	w.reportUnreadable(decodeErrors)
	return true
}

// replaceRoster replaces the snapshot of the servers by one of the rows, if they differ, and returns the snapshots before
// and after. The caller holds the lock.
func (w *Watcher) replaceRoster(now time.Time) (before, after *roster.Roster) {
	before = w.roster.Load()
	after = roster.New(w.rows.revision, w.rows.list())
	if after.Equal(before) && after.Revision.Era == before.Revision.Era && !before.Revision.IsZero() {
		return before, before
	}
	w.roster.Store(after)
	w.rosterChangedAt = now
	return before, after
}

// announce logs and reports the changes from one snapshot of the servers to another one.
func (w *Watcher) announce(now time.Time, before, after *roster.Roster, source string) {
	if before == after {
		return
	}
	after.Diff(before, func(s *roster.Server, change roster.Change) {
		w.options.Log.WithFields(logrus.Fields{
			"server": s.ID, "service": s.Service, "change": change,
			"stamp": after.Revision.Number, "era": after.Revision.Era, "source": source,
		}).Info(event.ServerChanged)
	})
	w.options.OnRoster(now, after, before)
}

// expireRows removes the servers whose rows the store lost, and which have not written them again.
func (w *Watcher) expireRows(now time.Time) {
	w.mu.Lock()
	if !w.rows.expire(now) {
		w.mu.Unlock()
		return
	}
	before, after := w.replaceRoster(now)
	w.mu.Unlock()
	w.announce(now, before, after, sourceExpiry)
}

// Unlisted returns the number of servers that are used although the store lost their rows.
func (w *Watcher) Unlisted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rows.past.unlisted)
}

// sourceStore is the value of the log field "source" for data read from the store.
// For data from a peer the value contains the peer's VM.
const sourceStore = "store"

// sourceExpiry is the value of the log field "source" for servers whose rows the store has lost.
const sourceExpiry = "expiry"

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

// errPastEra is returned for an answer of the store that is of an earlier era than what is known.
var errPastEra = errors.New("discovery: the answer is of an earlier era of the store")

// ReadServers reads the list of servers from the store and applies it.
func (w *Watcher) ReadServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listPatience+lateCallTimeout)
	defer cancel()
	started := time.Now()
	rows, revision, err := w.options.Store.Rows(ctx, platform.TableServers)
	if err != nil {
		return fmt.Errorf("discovery: servers: %w", err)
	}
	// The store may have read the rows at any time since the call.
	if !w.applyServers(time.Now(), wholeList(rows, revision), started, sourceStore) {
		w.options.Count("store.pastEra")
		return fmt.Errorf("discovery: servers: %w: version %v", errPastEra, revision)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serversReadAt = later(w.serversReadAt, started)
	return nil
}
