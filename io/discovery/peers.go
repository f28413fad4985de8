package discovery

import (
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/news"
)

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
	if m.Version <= version && m.Revision <= w.rows.revision {
		return nil
	}
	if m.Version > w.peerVersion {
		w.peerVersion, w.peerVersionAt = m.Version, now
	}
	late := m.Version > version && now.Sub(w.peerVersionAt) > crossZoneConfigDelay
	if !sameZone && !late && age(now, w.serversConfirmedAt) < w.listSchedule.MaxAge(crossZoneReaderRank) {
		return nil
	}
	return &news.StateRequest{Version: version, Revision: w.rows.revision, Members: w.rows.revision == 0}
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
	if w.rows.revision > r.Revision {
		s.Changes = w.rows.since(r.Revision)
	}
	return s
}

// Changes returns the changes of the list after the revision base, to be sent in a
// datagram. It returns nil if there are none, if they are unknown or don't fit a datagram, or
// if another daemon read the list.
func (w *Watcher) Changes(base uint64) *news.Changes {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.readFromStore {
		return nil
	}
	c := w.rows.since(base)
	if c.Whole() || len(c.Servers)+len(c.Removed) == 0 || !fitsDatagram(c) {
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
		w.applyPeerChanges(now, s.Changes, s.RevisionAgeMillis, source)
	}
}

// ApplyChanges updates the list with changes from a peer's datagram. The peer read them from
// the store ageMillis milliseconds ago. Changes whose base is newer than the local list, and whole
// lists, which datagrams don't carry, are counted and dropped.
func (w *Watcher) ApplyChanges(now time.Time, c *news.Changes, ageMillis uint32, from ident.VMID) {
	if c.Whole() {
		w.options.Count("servers.gap")
		return
	}
	w.applyPeerChanges(now, c, ageMillis, "peer "+string(from))
}

// applyPeerChanges applies changes from a peer, and counts those whose base is newer than the list.
func (w *Watcher) applyPeerChanges(now time.Time, c *news.Changes, ageMillis uint32, source string) {
	if !w.applyServers(now, c, now.Add(-millis(ageMillis)), source) {
		w.options.Count("servers.gap")
	}
}
