// Package poison detects and quarantines poison requests, which crash the backend
// servers that run them. It compares the fingerprints of the requests that were in
// flight when servers crashed.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrymux/core/ident"
)

const (
	// suspectTTL is the time after the last crash for which a suspect is kept when
	// maxSuspects is reached.
	suspectTTL = 10 * time.Minute
	// quarantineTTL is the duration of a quarantine.
	quarantineTTL = 10 * time.Minute
	// maxSuspects is the maximum number of suspect fingerprints that are stored.
	maxSuspects = 10_000
	// quarantineThreshold is the number of different servers that must have crashed
	// while they ran a fingerprint before it is quarantined.
	quarantineThreshold = 2
)

// Entry is one quarantined fingerprint.
type Entry struct {
	Service     ident.ServiceID   `json:"service"`
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Until       time.Time         `json:"until"`
	// Servers lists the servers that crashed while they ran the fingerprint.
	Servers []ident.ServerID `json:"servers"`
	// Released is set when an operator has lifted the quarantine. The entry is kept
	// so that the release also reaches the other owners.
	Released bool `json:"released,omitempty"`
}

// suspect is a fingerprint with fewer crashes than quarantineThreshold.
type suspect struct {
	servers []ident.ServerID
	until   time.Time
}

type key struct {
	service     ident.ServiceID
	fingerprint ident.Fingerprint
}

// Quarantine holds the suspect and the quarantined fingerprints of one daemon. It is
// safe for concurrent use.
type Quarantine struct {
	mu          sync.RWMutex
	suspects    map[key]suspect
	quarantined map[key]Entry
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{suspects: map[key]suspect{}, quarantined: map[key]Entry{}}
}

// Blocked reports whether the fingerprint is quarantined at the given time.
func (q *Quarantine) Blocked(now time.Time, service ident.ServiceID, f ident.Fingerprint) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if len(q.quarantined) == 0 {
		return false
	}
	e, ok := q.quarantined[key{service, f}]
	return ok && !e.Released && now.Before(e.Until)
}

// RecordCrash records that a server crashed while it ran the given fingerprints. It
// returns the entries of those that this crash puts into quarantine.
func (q *Quarantine) RecordCrash(now time.Time, service ident.ServiceID, server ident.ServerID, running []ident.Fingerprint) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var found []Entry
	for _, f := range running {
		k := key{service, f}
		s := q.suspects[k]
		if !slices.Contains(s.servers, server) {
			s.servers = append(slices.Clone(s.servers), server)
		}
		s.until = now.Add(suspectTTL)
		if len(s.servers) < quarantineThreshold {
			q.storeSuspect(now, k, s)
			continue
		}
		delete(q.suspects, k)
		e := Entry{Service: service, Fingerprint: f, Until: now.Add(quarantineTTL), Servers: s.servers}
		q.quarantined[k] = e
		found = append(found, e)
	}
	return found
}

// storeSuspect stores a suspect. When maxSuspects is reached it first deletes the
// expired suspects, and stores nothing if that frees no space. The caller holds the
// write lock.
func (q *Quarantine) storeSuspect(now time.Time, k key, s suspect) {
	if len(q.suspects) >= maxSuspects {
		maps.DeleteFunc(q.suspects, func(_ key, s suspect) bool { return now.After(s.until) })
	}
	if len(q.suspects) < maxSuspects {
		q.suspects[k] = s
	}
}

// RecordCompletion clears the suspicion against a fingerprint that a server has
// answered without crashing.
func (q *Quarantine) RecordCompletion(service ident.ServiceID, f ident.Fingerprint) {
	q.mu.RLock()
	_, suspected := q.suspects[key{service, f}]
	q.mu.RUnlock()
	if !suspected {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, key{service, f})
}

// Suspected reports whether a server has crashed while it ran the fingerprint, which
// is not quarantined yet.
func (q *Quarantine) Suspected(service ident.ServiceID, f ident.Fingerprint) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	_, ok := q.suspects[key{service, f}]
	return ok
}

// Merge stores an entry that another owner has quarantined or released. It reports
// false, and changes nothing, if the present entry lasts at least as long and the
// entry brings no new release.
func (q *Quarantine) Merge(e Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := key{e.Service, e.Fingerprint}
	old, had := q.quarantined[k]
	if had && !old.Until.Before(e.Until) && (old.Released || !e.Released) {
		return false
	}
	q.quarantined[k] = e
	return true
}

// Release lifts a quarantine on behalf of an operator. It returns the entry to send
// to the other owners, or false if the fingerprint is not quarantined.
func (q *Quarantine) Release(service ident.ServiceID, f ident.Fingerprint) (Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := key{service, f}
	e, ok := q.quarantined[k]
	if !ok {
		return Entry{}, false
	}
	e.Released = true
	q.quarantined[k] = e
	return e, true
}

// Entries deletes the expired entries and returns the others, including released
// ones, sorted by service and fingerprint.
func (q *Quarantine) Entries(now time.Time) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.quarantined, func(_ key, e Entry) bool { return now.After(e.Until) })
	out := slices.Collect(maps.Values(q.quarantined))
	slices.SortFunc(out, func(a, b Entry) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}
