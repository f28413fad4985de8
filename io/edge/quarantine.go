package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/io/news"
	"bilberrymux/io/periodic"
	"bilberrymux/platform"
)

const (
	// tableQuarantine is the store table that holds one row for each quarantined request.
	tableQuarantine = "quarantine"
	// quarantineWait is the time after its start from which a daemon serves callers although neither the store nor a
	// peer has told it which requests are quarantined.
	quarantineWait = 2 * time.Second
	// quarantinePeriod is the time between two attempts to write rows, and between those to read them at the start.
	quarantinePeriod = 500 * time.Millisecond
	// quarantineTimeout bounds one such attempt.
	quarantineTimeout = time.Second
	// maxQuarantinedPerHello is the maximum number of entries, and of suspects, in the reply to a daemon that has started.
	maxQuarantinedPerHello = 32
	// quarantineWriterKey is the key for the rank of the daemons of a zone. The daemon with rank 0 writes all rows again
	// when the store has come back from an older copy.
	quarantineWriterKey = "quarantineWriter"
	// maxQuarantineWrites is the maximum number of rows that a daemon writes each quarantinePeriod, so that crashes of many
	// servers at once don't use up the store's rate of writes.
	maxQuarantineWrites = 2
)

// quarantineNews is what this daemon shares of its quarantine. It is safe for concurrent use.
type quarantineNews struct {
	startedAt time.Time
	// known reports that the store or a peer has told which requests are quarantined.
	known atomic.Bool
	// changes holds the entries that changed lately.
	changes recentLog[poison.Entry]

	mu sync.Mutex
	// next is the place of the next entry to be repeated in a message.
	next int
	// unwritten holds the fingerprints whose rows must be written to the store.
	unwritten map[ident.Fingerprint]bool
	// era is the store's era in which the rows were last written or read.
	era ident.Era
}

func newQuarantineNews(now time.Time) *quarantineNews {
	return &quarantineNews{startedAt: now, unwritten: map[ident.Fingerprint]bool{}}
}

// isSettled reports whether requests may be sent to servers at the given time: the quarantine is known, or can't be
// learned soon.
func (n *quarantineNews) isSettled(now time.Time) bool {
	return n.known.Load() || now.Sub(n.startedAt) >= quarantineWait
}

// logQuarantine logs a change of an entry.
func (e *Edge) logQuarantine(now time.Time, q poison.Entry, source string) {
	e.log.WithFields(logrus.Fields{
		"service": q.Service, "fingerprint": strconv.FormatUint(uint64(q.Fingerprint), 16), "servers": q.Servers,
		"leftMillis": q.Until.Sub(now).Milliseconds(), "released": q.Released, "source": source,
	}).Warn(event.Quarantined)
}

// recordCompletion records that a server of a service has answered a request, and shares the news if that lifts a quarantine.
func (e *Edge) recordCompletion(service ident.ServiceID, f ident.Fingerprint) {
	now := time.Now()
	q, lifted := e.quarantine.RecordCompletion(now, service, f)
	if !lifted {
		return
	}
	e.count("poison.lifted")
	e.logQuarantine(now, q, "answer")
	e.quarantineNews.changes.add(now, q)
	e.storeQuarantined(f)
	e.triggerGossip()
}

// setQuarantine adds to a message the entries that changed lately, and up to limit others in turn.
func (e *Edge) setQuarantine(now time.Time, m *news.Message, limit int) {
	m.QuarantineKnown = e.quarantineNews.known.Load()
	entries := e.quarantineNews.changes.recent(now, maxQuarantineChanges)
	all := e.quarantine.Entries(now)
	n := e.quarantineNews
	n.mu.Lock()
	for range min(limit, len(all)) {
		n.next = (n.next + 1) % len(all)
		entries = append(entries, all[n.next])
	}
	n.mu.Unlock()
	for _, q := range entries {
		m.Quarantined = append(m.Quarantined, news.Quarantined{
			Service: q.Service, Fingerprint: q.Fingerprint, Version: q.Version,
			LeftMillis: q.Until.Sub(now).Milliseconds(), Servers: q.Servers, Released: q.Released,
		})
	}
}

// helloReply returns the message for a daemon that has just started, with all that it must know of requests that crash
// servers.
func (e *Edge) helloReply(now time.Time) *news.Message {
	m := e.message(now)
	e.setQuarantine(now, m, maxQuarantinedPerHello)
	for _, s := range e.quarantine.Suspects(now, maxQuarantinedPerHello) {
		m.Crashes = append(m.Crashes, news.Crash{Service: s.Run.Service, Server: s.Run.Server, StartMillis: s.Run.StartMillis, Fingerprint: s.Fingerprint})
	}
	return m
}

// mergeQuarantine applies the entries of a peer's message, and shares those that were new.
func (e *Edge) mergeQuarantine(now time.Time, m *news.Message) {
	for _, q := range m.Quarantined {
		entry := poison.Entry{
			Service: q.Service, Fingerprint: q.Fingerprint, Version: q.Version,
			Until: quarantineEnd(now, float64(q.LeftMillis)/float64(time.Second/time.Millisecond)), Servers: q.Servers, Released: q.Released,
		}
		if e.quarantine.Merge(now, entry) {
			e.logQuarantine(now, entry, string(m.From.VM))
			e.quarantineNews.changes.add(now, entry)
		}
	}
	if m.QuarantineKnown {
		e.quarantineNews.known.Store(true)
	}
}

// storeQuarantined schedules the write of an entry's row.
func (e *Edge) storeQuarantined(f ident.Fingerprint) {
	n := e.quarantineNews
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unwritten[f] = true
}

// quarantineRow is the value of a row. UntilSeconds is the end of the quarantine by the store's clock.
type quarantineRow struct {
	Service      ident.ServiceID  `json:"service"`
	Version      uint64           `json:"version"`
	UntilSeconds float64          `json:"untilSeconds"`
	Servers      []ident.ServerID `json:"servers"`
	Released     bool             `json:"released"`
}

// fingerprintBase is the base of the fingerprints in the keys of rows.
const fingerprintBase = 16

// followQuarantine reads the rows of quarantined requests once, and then writes those that changed, until the
// context ends.
func (e *Edge) followQuarantine(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.readQuarantine(ctx)
		if err == nil {
			break
		}
		e.log.WithError(err).Warn("could not read the quarantined requests")
		periodic.Sleep(ctx, quarantinePeriod)
	}
	periodic.Every(ctx, quarantinePeriod, func(now time.Time) {
		e.rewriteQuarantine(now)
		e.writeQuarantine(ctx)
	})
}

// readQuarantine reads the rows of quarantined requests, and removes those that are of no use any more.
func (e *Edge) readQuarantine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	rows, version, err := e.store.Rows(ctx, tableQuarantine)
	if err != nil {
		return fmt.Errorf("edge: quarantine: %w", err)
	}
	now := time.Now()
	clock, _ := e.store.Clock(now)
	for _, r := range rows {
		entry, err := decodeQuarantineRow(now, clock, r)
		if err != nil {
			e.log.WithError(err).Warn("row names no quarantined request")
			continue
		}
		if now.Sub(entry.Until) > poison.EntryTTL {
			if err := e.store.Remove(ctx, tableQuarantine, r.Key, r.Version); err != nil {
				e.log.WithError(err).Warn("could not remove the row of a quarantined request")
			}
			continue
		}
		if e.quarantine.Merge(now, entry) {
			e.logQuarantine(now, entry, "store")
		}
	}
	n := e.quarantineNews
	n.mu.Lock()
	n.era = version.Era
	n.mu.Unlock()
	n.known.Store(true)
	return nil
}

// decodeQuarantineRow decodes a row that was read at the time now, at which the store's clock shows clock.
func decodeQuarantineRow(now time.Time, clock time.Duration, r platform.Row) (poison.Entry, error) {
	f, err := strconv.ParseUint(r.Key, fingerprintBase, 64)
	if err != nil {
		return poison.Entry{}, fmt.Errorf("edge: quarantine: row %q: %w", r.Key, err)
	}
	var in quarantineRow
	if err := json.Unmarshal(r.Value, &in); err != nil {
		return poison.Entry{}, fmt.Errorf("edge: quarantine: row %q: %w", r.Key, err)
	}
	return poison.Entry{
		Service: in.Service, Fingerprint: ident.Fingerprint(f), Version: in.Version,
		Until: quarantineEnd(now, in.UntilSeconds-clock.Seconds()), Servers: in.Servers, Released: in.Released,
	}, nil
}

// quarantineEnd returns the end of a quarantine that lasts for the given number of seconds more, or ended so many seconds ago
// if they are negative. What no daemon means is cut to the longest quarantine or the longest time for which an entry is of use.
func quarantineEnd(now time.Time, seconds float64) time.Time {
	seconds = max(-2*poison.EntryTTL.Seconds(), min(seconds, poison.MaxDuration.Seconds()))
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// rewriteQuarantine schedules the write of all rows if the store has come back from an older copy, which may lack
// them, and this daemon is the one of its zone that writes them again.
func (e *Edge) rewriteQuarantine(now time.Time) {
	era := e.watcher.Roster().Revision.Era
	n := e.quarantineNews
	n.mu.Lock()
	defer n.mu.Unlock()
	if era <= n.era {
		return
	}
	n.era = era
	if e.members.Rank(quarantineWriterKey) != 0 {
		return
	}
	for _, q := range e.quarantine.Entries(now) {
		n.unwritten[q.Fingerprint] = true
	}
}

// writeQuarantine writes rows that must be written, those with the most crashes first. Those that could not be written are
// kept.
func (e *Edge) writeQuarantine(ctx context.Context) {
	now := time.Now()
	entries := e.unwrittenEntries(now)
	if len(entries) == 0 {
		return
	}
	clock, isKnown := e.store.Clock(now)
	if !isKnown {
		return
	}
	for _, q := range entries[:min(len(entries), maxQuarantineWrites)] {
		if e.writeQuarantineRow(ctx, q, clock+q.Until.Sub(now)) != nil {
			return
		}
		e.quarantineNews.mu.Lock()
		delete(e.quarantineNews.unwritten, q.Fingerprint)
		e.quarantineNews.mu.Unlock()
	}
}

// unwrittenEntries returns the entries whose rows must be written, those with the most crashes first, and forgets the
// fingerprints that have no entry any more.
func (e *Edge) unwrittenEntries(now time.Time) []poison.Entry {
	n := e.quarantineNews
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.unwritten) == 0 {
		return nil
	}
	entries := slices.DeleteFunc(e.quarantine.Entries(now), func(q poison.Entry) bool { return !n.unwritten[q.Fingerprint] })
	clear(n.unwritten)
	for _, q := range entries {
		n.unwritten[q.Fingerprint] = true
	}
	slices.SortFunc(entries, func(a, b poison.Entry) int { return cmp.Compare(len(b.Servers), len(a.Servers)) })
	return entries
}

// writeQuarantineRow writes the row of an entry whose quarantine ends at the given time of the store's clock.
func (e *Edge) writeQuarantineRow(ctx context.Context, q poison.Entry, until time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	value, err := json.Marshal(quarantineRow{q.Service, q.Version, until.Seconds(), q.Servers, q.Released})
	if err == nil {
		err = e.store.Put(ctx, tableQuarantine, strconv.FormatUint(uint64(q.Fingerprint), fingerprintBase), value)
	}
	if err != nil {
		e.log.WithError(err).Warn("could not write the row of a quarantined request")
	}
	return err
}
