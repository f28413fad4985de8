package discovery

import (
	"fmt"
	"math"
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
	list := w.Roster().Revision
	m.Revision, m.Era = list.Number, list.Era
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
	version, list, announced := w.catalog.Load().Version, w.roster.Load().Revision, m.ListVersion()
	if m.Version == version {
		w.configConfirmedAt = later(w.configConfirmedAt, now.Add(-millis(m.VersionAgeMillis)))
	}
	if announced == list && !list.IsZero() {
		w.serversConfirmedAt = later(w.serversConfirmedAt, now.Add(-millis(m.RevisionAgeMillis)))
	}
	if m.Version <= version && !announced.After(w.rows.revision) {
		return nil
	}
	if m.Version > w.peerVersion {
		w.peerVersion, w.peerVersionAt = m.Version, now
	}
	late := m.Version > version && now.Sub(w.peerVersionAt) > crossZoneConfigDelay
	if !sameZone && !late && age(now, w.serversConfirmedAt) < w.listSchedule.MaxAge(crossZoneReaderRank) {
		return nil
	}
	known := w.rows.revision
	return &news.StateRequest{Version: version, Revision: known.Number, Era: known.Era, Members: known.IsZero()}
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

// StateFor returns the data that the requesting peer lacks, and the key of its payload, whose fields are 0 if
// the peer lacks nothing.
func (w *Watcher) StateFor(r *news.StateRequest) (*news.State, news.PayloadKey) {
	config, servers := w.storeAges(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.rows.revision
	s := &news.State{
		Version: w.catalog.Load().Version, VersionAgeMillis: uint32(config.Milliseconds()),
		FeedFrom: w.feedFrom.Number, FeedEra: w.feedFrom.Era,
		Revision: list.Number, Era: list.Era, RevisionAgeMillis: uint32(servers.Milliseconds()),
	}
	var key news.PayloadKey
	if s.Version > r.Version {
		s.Config, key.Version = w.configValue, s.Version
	}
	if list.After(r.ListVersion()) {
		s.Changes = w.rows.since(r.ListVersion())
		key.Base, key.Revision = s.Changes.Base(), s.Changes.Version()
	}
	return s, key
}

// Pack moves the data of a state, with the key that StateFor returned, into its payload.
func (w *Watcher) Pack(s *news.State, key news.PayloadKey) error {
	packed, err := w.packer.Pack(key, func() *news.Payload { return &news.Payload{Config: s.Config, Changes: s.Changes} })
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	s.Packed, s.Config, s.Changes = packed, nil, nil
	return nil
}

// ConfigPayload returns the packed configuration, to be sent in datagrams by the daemon that read it from the
// store. It returns nil if another daemon read it, if it is older than maxAge, or if it doesn't fit.
func (w *Watcher) ConfigPayload(now time.Time, maxAge time.Duration) []byte {
	w.mu.Lock()
	read, changedAt := w.configFromStore, w.configChangedAt
	w.mu.Unlock()
	if !read || now.Sub(changedAt) > maxAge {
		return nil
	}
	return w.datagramPayload(onlyConfigAfter(0))
}

// onlyConfigAfter returns a request for a configuration that is newer than the given version, and for no list.
func onlyConfigAfter(version ident.Version) *news.StateRequest {
	return &news.StateRequest{Version: version, Revision: math.MaxUint64, Era: math.MaxUint64}
}

// PayloadFor returns packed data that the sender of a message lacks, to be sent in a datagram: all of it, or
// the configuration alone, or nil if neither fits.
func (w *Watcher) PayloadFor(m *news.Message) []byte {
	if all := w.datagramPayload(&news.StateRequest{Version: m.Version, Revision: m.Revision, Era: m.Era}); all != nil {
		return all
	}
	return w.datagramPayload(onlyConfigAfter(m.Version))
}

// datagramPayload returns the packed data for a request, or nil if there is none or it doesn't fit a datagram.
func (w *Watcher) datagramPayload(r *news.StateRequest) []byte {
	s, key := w.StateFor(r)
	if key == (news.PayloadKey{}) || (s.Changes != nil && s.Changes.Whole()) {
		return nil
	}
	if err := w.Pack(s, key); err != nil {
		w.options.Log.WithError(err).Warn("could not pack data for a peer")
		return nil
	}
	if len(s.Packed) > maxDatagramPayloadBytes {
		return nil
	}
	return s.Packed
}

// DataAge returns the time for which this daemon has had the data that the sender of a message lacks. It
// reports false if the sender lacks nothing.
func (w *Watcher) DataAge(now time.Time, m *news.Message) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lacksConfig, lacksList := m.Version < w.catalog.Load().Version, w.roster.Load().Revision.After(m.ListVersion())
	switch {
	case lacksConfig && lacksList:
		return max(now.Sub(w.configChangedAt), now.Sub(w.rosterChangedAt)), true
	case lacksConfig:
		return now.Sub(w.configChangedAt), true
	case lacksList:
		return now.Sub(w.rosterChangedAt), true
	}
	return 0, false
}

// maxDatagramPayloadBytes limits the size of the payload of one datagram.
const maxDatagramPayloadBytes = 4 << 10

// Changes returns the changes of the list after the revision base, to be sent in a
// datagram. It returns nil if there are none, if they are unknown or don't fit a datagram, or
// if another daemon read the list.
func (w *Watcher) Changes(base ident.StoreVersion) *news.Changes {
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
	if len(s.Packed) > 0 {
		w.ApplyPayload(now, s.Packed, s.VersionAgeMillis, s.RevisionAgeMillis, from)
	}
	w.applyPayload(now, &news.Payload{Config: s.Config, Changes: s.Changes}, s.VersionAgeMillis, s.RevisionAgeMillis, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Version == w.catalog.Load().Version {
		w.feedFrom = ident.Later(w.feedFrom, s.FeedVersion())
	}
}

// ApplyPayload updates the configuration and the list with a packed payload of a peer, which read them from
// the store versionAgeMillis and revisionAgeMillis milliseconds ago. Payloads that can't be read are counted
// and dropped.
func (w *Watcher) ApplyPayload(now time.Time, packed []byte, versionAgeMillis, revisionAgeMillis uint32, from ident.VMID) {
	p, err := news.Unpack(packed)
	if err != nil {
		w.options.Count("news.undecodable")
		w.options.Log.WithError(err).WithField("daemon", from).Warn("could not read the data of a peer")
		return
	}
	w.applyPayload(now, p, versionAgeMillis, revisionAgeMillis, from)
}

func (w *Watcher) applyPayload(now time.Time, p *news.Payload, versionAgeMillis, revisionAgeMillis uint32, from ident.VMID) {
	source := "peer " + string(from)
	if len(p.Config) > 0 {
		w.applyConfig(p.Config, now.Add(-millis(versionAgeMillis)), source)
	}
	if p.Changes != nil {
		w.applyPeerChanges(now, p.Changes, revisionAgeMillis, source)
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
