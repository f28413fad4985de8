// Package poison detects and quarantines poison requests, which crash the backend
// servers that run them. It compares the fingerprints of the requests that were in
// flight when servers crashed.
//
// A request is quarantined for a short time once it was running on two servers that crashed, whatever
// their services, since it may be routed to another service the next time. Then one request at a time tells whether that was a
// coincidence: an answer lifts the quarantine, a further crash makes it longer.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrymux/core/ident"
)

const (
	// EntryTTL is the time for which an entry is kept after its quarantine has ended, so that the next crash
	// makes it longer.
	EntryTTL = 24 * time.Hour
	// MaxDuration is the longest duration of a quarantine.
	MaxDuration = 7 * 24 * time.Hour
)

const (
	// suspectTTL is the time for which a crash counts against a fingerprint that is not quarantined.
	suspectTTL = 10 * time.Minute
	// maxSuspects is the maximum number of suspect fingerprints that are stored, and maxEntries that of quarantined
	// ones.
	maxSuspects = 10_000
	maxEntries  = 10_000
	// quarantineThreshold is the number of crashes while a fingerprint was running from which on it is quarantined.
	quarantineThreshold = 2
	// sameCrashWindow is the time within which a report of a server's crash may be of one that is known from another
	// daemon's entry, which names only the server.
	sameCrashWindow = 2 * time.Second
	// maxCrashes is the number of crashes of a fingerprint by which repeated reports are recognized.
	maxCrashes = 16
	// trialInterval is the time between two requests with a fingerprint whose quarantine has ended, until one of
	// them is answered.
	trialInterval = 3 * time.Second
)

// durations are the durations of a quarantine by the number of crashes beyond quarantineThreshold. The last one holds for all
// further crashes.
var durations = []time.Duration{30 * time.Second, 10 * time.Minute, time.Hour, 6 * time.Hour, MaxDuration}

// duration returns the duration of a quarantine after a number of crashes.
func duration(crashes int) time.Duration {
	return durations[min(max(0, crashes-quarantineThreshold), len(durations)-1)]
}

// Entry is one quarantined fingerprint.
type Entry struct {
	// Service is the one of the last crash.
	Service     ident.ServiceID   `json:"service"`
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	// Version orders the entries of a fingerprint: each crash raises it. It derives from the end of the quarantine by the
	// clock of the daemon that noticed the crash.
	Version uint64 `json:"-"`
	// Until is the end of the quarantine.
	Until time.Time `json:"until"`
	// Servers lists the servers that crashed while they ran the fingerprint, in order. A server
	// that crashed several times is listed as often.
	Servers []ident.ServerID `json:"servers"`
	// Released is set when an operator, or an answer of a server, has lifted the quarantine. The entry is kept
	// so that the release also reaches the other daemons.
	Released bool `json:"released,omitempty"`
}

// Run identifies one run of a backend server of a service.
type Run struct {
	Service ident.ServiceID
	Server  ident.ServerID
	// StartMillis is the start time of the run in Unix milliseconds. It is 0 if it isn't known; then a server counts once.
	StartMillis int64
}

// crash is a crash of a server while it ran a fingerprint.
type crash struct {
	Run
	at time.Time
	// fromEntry reports that the crash is known from the entry of another daemon, which names no start.
	fromEntry bool
}

// quarantined is an entry with what this daemon alone knows of it.
type quarantined struct {
	Entry
	// crashes holds the last known crashes.
	crashes []crash
	// trialAt is the time of the last request that was let through after the quarantine.
	trialAt time.Time
	// answeredBy holds the services whose servers have answered the fingerprint since its last crash, although other ones
	// crashed.
	answeredBy map[ident.ServiceID]bool
}

// Quarantine holds the suspect and the quarantined fingerprints of one daemon. It is
// safe for concurrent use.
type Quarantine struct {
	mu          sync.Mutex
	suspects    map[ident.Fingerprint][]crash
	quarantined map[ident.Fingerprint]*quarantined
	completions *completions
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{
		suspects: map[ident.Fingerprint][]crash{}, quarantined: map[ident.Fingerprint]*quarantined{}, completions: newCompletions(),
	}
}

// Blocked reports whether a request with the fingerprint must not be sent to a server of the service at the given
// time.
func (q *Quarantine) Blocked(now time.Time, service ident.ServiceID, f ident.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.quarantined[f]
	return ok && e.blocks(now, service)
}

// blocks reports whether a request must not be sent to a server of the service.
func (e *quarantined) blocks(now time.Time, service ident.ServiceID) bool {
	if e.Released {
		return false
	}
	if now.Before(e.Until) {
		return true
	}
	return !e.answeredBy[service] && now.Sub(e.trialAt) < trialInterval
}

// Admit reports whether a request with the fingerprint may be sent to a server of the service now. After the end of a
// quarantine it admits one request each trialInterval until one is answered.
func (q *Quarantine) Admit(now time.Time, service ident.ServiceID, f ident.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.quarantined[f]
	if !ok {
		return true
	}
	if e.blocks(now, service) {
		return false
	}
	e.trialAt = now
	return true
}

// RecordCrash records that a run of a server ended in a crash while it ran the given fingerprints. It
// returns the entries of those that this crash puts into quarantine. Fingerprints that the service has
// answered lately are not suspected, and reports of one crash count once.
func (q *Quarantine) RecordCrash(now time.Time, run Run, running []ident.Fingerprint) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var found []Entry
	c := crash{Run: run, at: now}
	for _, f := range running {
		if q.completions.recent(now, run.Service, f) {
			continue
		}
		if e := q.recordCrash(c, f); e != nil {
			found = append(found, *e)
		}
	}
	return found
}

// recordCrash records a crash for one fingerprint, and returns the entry if the fingerprint is quarantined by it.
func (q *Quarantine) recordCrash(c crash, f ident.Fingerprint) *Entry {
	old, had := q.quarantined[f]
	if had && slices.ContainsFunc(old.crashes, c.isSame) {
		return nil
	}
	e := &quarantined{Entry: Entry{Service: c.Service, Fingerprint: f}}
	if had && !old.Released {
		e.Servers = append(slices.Clone(old.Servers), c.Server)
		e.crashes = append(slices.Clone(old.crashes), c)
	} else {
		e.crashes = q.addSuspect(c, f)
		if len(e.crashes) < quarantineThreshold {
			return nil
		}
		for _, c := range e.crashes {
			e.Servers = append(e.Servers, c.Server)
		}
		delete(q.suspects, f)
	}
	e.crashes = e.crashes[max(0, len(e.crashes)-maxCrashes):]
	e.Until = c.at.Add(duration(len(e.Servers)))
	if had && !e.Until.After(old.Until) {
		e.Until = old.Until.Add(time.Millisecond)
	}
	e.Version = VersionOf(e.Until)
	if had {
		e.Version = max(e.Version, old.Version+1)
	}
	q.store(c.at, e)
	return &e.Entry
}

// VersionOf returns the version of an entry whose quarantine ends at the given time.
func VersionOf(until time.Time) uint64 { return uint64(until.UnixMicro()) }

// isSame reports whether two reports are of the same crash.
func (c crash) isSame(other crash) bool {
	if other.fromEntry {
		return c.Server == other.Server && c.at.Sub(other.at) < sameCrashWindow
	}
	return c.Run == other.Run
}

// addSuspect adds a crash to those of a suspect, and returns them all. When maxSuspects is reached it first deletes the
// expired suspects, and stores nothing if that frees no space.
func (q *Quarantine) addSuspect(c crash, f ident.Fingerprint) []crash {
	isExpired := func(old crash) bool { return c.at.Sub(old.at) > suspectTTL }
	crashes := slices.DeleteFunc(slices.Clone(q.suspects[f]), isExpired)
	if slices.ContainsFunc(crashes, c.isSame) {
		return crashes
	}
	crashes = append(crashes, c)
	if len(q.suspects) >= maxSuspects {
		maps.DeleteFunc(q.suspects, func(_ ident.Fingerprint, old []crash) bool { return isExpired(old[len(old)-1]) })
	}
	if len(q.suspects) < maxSuspects {
		q.suspects[f] = crashes
	}
	return crashes
}

// store stores an entry. When maxEntries is reached it first deletes the expired entries, and stores nothing if that
// frees no space.
func (q *Quarantine) store(now time.Time, e *quarantined) {
	if len(q.quarantined) >= maxEntries {
		q.forgetExpired(now)
	}
	if _, had := q.quarantined[e.Fingerprint]; had || len(q.quarantined) < maxEntries {
		q.quarantined[e.Fingerprint] = e
	}
}

// forgetExpired deletes the entries whose quarantine ended EntryTTL ago.
func (q *Quarantine) forgetExpired(now time.Time) {
	maps.DeleteFunc(q.quarantined, func(_ ident.Fingerprint, e *quarantined) bool { return now.Sub(e.Until) > EntryTTL })
}

// RecordCompletion records that a server of a service has answered a fingerprint without crashing. That clears the suspicion
// by crashes of this service's servers, and lifts a quarantine whose last crash was one of them. It returns the
// entry to send to the other daemons, or false if no quarantine is lifted.
func (q *Quarantine) RecordCompletion(now time.Time, service ident.ServiceID, f ident.Fingerprint) (Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completions.add(now, service, f)
	if crashes, suspected := q.suspects[f]; suspected {
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return c.Service == service })
		q.suspects[f] = crashes
		if len(crashes) == 0 {
			delete(q.suspects, f)
		}
	}
	e, ok := q.quarantined[f]
	if !ok || e.Released {
		return Entry{}, false
	}
	if e.Service != service {
		if e.answeredBy == nil {
			e.answeredBy = map[ident.ServiceID]bool{}
		}
		e.answeredBy[service] = true
		return Entry{}, false
	}
	e.Released = true
	return e.Entry, true
}

// Merge stores an entry that another daemon has quarantined or released, as of the time now. It reports
// false, and changes nothing, if the present entry is as new and the entry brings no new release.
func (q *Quarantine) Merge(now time.Time, e Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	old, had := q.quarantined[e.Fingerprint]
	if had && (old.Version > e.Version || old.Version == e.Version && (old.Released || !e.Released)) {
		return false
	}
	merged := &quarantined{Entry: e, crashes: slices.Clone(q.suspects[e.Fingerprint])}
	if had {
		merged.crashes = slices.Clone(old.crashes)
	}
	for _, server := range e.Servers {
		merged.crashes = append(merged.crashes, crash{Run: Run{Service: e.Service, Server: server}, at: now, fromEntry: true})
	}
	merged.crashes = merged.crashes[max(0, len(merged.crashes)-maxCrashes):]
	delete(q.suspects, e.Fingerprint)
	q.store(now, merged)
	return true
}

// Release lifts a quarantine on behalf of an operator. It returns the entry to send
// to the other daemons, or false if the fingerprint is not quarantined.
func (q *Quarantine) Release(f ident.Fingerprint) (Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.quarantined[f]
	if !ok {
		return Entry{}, false
	}
	e.Released = true
	return e.Entry, true
}

// Entries deletes the expired entries and returns the others, including released
// ones, sorted by fingerprint.
func (q *Quarantine) Entries(now time.Time) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forgetExpired(now)
	out := make([]Entry, 0, len(q.quarantined))
	for _, e := range q.quarantined {
		out = append(out, e.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Suspect is a crash of a server while it ran a fingerprint that is not quarantined.
type Suspect struct {
	Run         Run
	Fingerprint ident.Fingerprint
}

// Suspects returns up to limit crashes for which fingerprints are suspected at the given time.
func (q *Quarantine) Suspects(now time.Time, limit int) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Suspect
	for f, crashes := range q.suspects {
		for _, c := range crashes {
			if len(out) < limit && now.Sub(c.at) <= suspectTTL {
				out = append(out, Suspect{c.Run, f})
			}
		}
	}
	return out
}
