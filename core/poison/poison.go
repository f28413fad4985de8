// Package poison finds single requests that crash the backend servers which run
// them, by the fingerprints in flight when servers died.
package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrymux/core/ident"
)

// How long suspicion and quarantine last, and how much is remembered.
const (
	suspectLife    = 10 * time.Minute
	quarantineLife = 10 * time.Minute
	maxSuspects    = 10_000
	// crashesNeeded is the number of servers that must have died running a
	// fingerprint.
	crashesNeeded = 2
)

// Entry is one quarantined fingerprint.
type Entry struct {
	Service     ident.ServiceID   `json:"service"`
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Until       time.Time         `json:"until"`
	// Servers lists the servers that died running it.
	Servers []ident.ServerID `json:"servers"`
	// Released says that an operator lifted the quarantine, which other
	// owners must learn as well.
	Released bool `json:"released,omitempty"`
}

type suspect struct {
	servers []ident.ServerID
	until   time.Time
}

type key struct {
	service     ident.ServiceID
	fingerprint ident.Fingerprint
}

// Quarantine is the quarantine of one daemon. It is safe for concurrent use.
type Quarantine struct {
	mu          sync.RWMutex
	suspects    map[key]suspect
	quarantined map[key]Entry
}

// New returns an empty list.
func New() *Quarantine {
	return &Quarantine{suspects: map[key]suspect{}, quarantined: map[key]Entry{}}
}

// Blocked reports whether the request is quarantined.
func (l *Quarantine) Blocked(now time.Time, service ident.ServiceID, f ident.Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.quarantined) == 0 {
		return false
	}
	e, ok := l.quarantined[key{service, f}]
	return ok && !e.Released && now.Before(e.Until)
}

// RecordCrash records that a server died while it ran the given requests. It
// returns the fingerprints that are quarantined by this.
func (l *Quarantine) RecordCrash(now time.Time, service ident.ServiceID, server ident.ServerID, running []ident.Fingerprint) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Entry
	for _, f := range running {
		k := key{service, f}
		s := l.suspects[k]
		if !slices.Contains(s.servers, server) {
			s.servers = append(slices.Clone(s.servers), server)
		}
		s.until = now.Add(suspectLife)
		if len(s.servers) < crashesNeeded {
			l.remember(now, k, s)
			continue
		}
		delete(l.suspects, k)
		e := Entry{Service: service, Fingerprint: f, Until: now.Add(quarantineLife), Servers: s.servers}
		l.quarantined[k] = e
		found = append(found, e)
	}
	return found
}

// remember stores a suspect while there is room; expired ones make room.
func (l *Quarantine) remember(now time.Time, k key, s suspect) {
	if len(l.suspects) >= maxSuspects {
		maps.DeleteFunc(l.suspects, func(_ key, s suspect) bool { return now.After(s.until) })
	}
	if len(l.suspects) < maxSuspects {
		l.suspects[k] = s
	}
}

// RecordCompletion clears a fingerprint that a server answered: it kills nobody.
func (l *Quarantine) RecordCompletion(service ident.ServiceID, f ident.Fingerprint) {
	l.mu.RLock()
	_, suspected := l.suspects[key{service, f}]
	l.mu.RUnlock()
	if !suspected {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, key{service, f})
}

// Suspected reports whether one server already died running the request.
func (l *Quarantine) Suspected(service ident.ServiceID, f ident.Fingerprint) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.suspects[key{service, f}]
	return ok
}

// Merge takes over an entry that another owner found or released. It reports
// whether the entry was news.
func (l *Quarantine) Merge(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{e.Service, e.Fingerprint}
	old, had := l.quarantined[k]
	if had && !old.Until.Before(e.Until) && (old.Released || !e.Released) {
		return false
	}
	l.quarantined[k] = e
	return true
}

// Release lifts a quarantine by hand. It returns the entry to spread, and false
// where the fingerprint is not quarantined.
func (l *Quarantine) Release(service ident.ServiceID, f ident.Fingerprint) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{service, f}
	e, ok := l.quarantined[k]
	if !ok {
		return Entry{}, false
	}
	e.Released = true
	l.quarantined[k] = e
	return e, true
}

// Entries returns the quarantine, expired entries dropped, sorted.
func (l *Quarantine) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.quarantined, func(_ key, e Entry) bool { return now.After(e.Until) })
	out := slices.Collect(maps.Values(l.quarantined))
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
