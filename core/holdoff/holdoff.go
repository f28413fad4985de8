// Package holdoff decides to which backend servers this daemon sends nothing because the servers asked
// for it: a server that leaves wants no new requests any more, and one that is overloaded wants none
// for some time. The package does no I/O and starts no goroutines.
package holdoff

import (
	"sync"
	"sync/atomic"
	"time"

	"bilberrymux/core/roster"
)

const (
	// MaxPause is the longest pause that is kept. It bounds how long a wrong value of a server keeps
	// requests from it.
	MaxPause = 10 * time.Minute
	// probeInterval is the time between two requests to a server whose pause has ended, until it has
	// answered one without asking for another pause.
	probeInterval = 500 * time.Millisecond
	// retention is how long the state of a server is kept that is not listed any more. The list may be
	// older than what the server said.
	retention = 10 * time.Minute
)

// entry is what one run of a server asked for.
type entry struct {
	leaving bool
	// pausedUntil is the end of the longest pause, or zero if there was none since the last answer.
	pausedUntil time.Time
	// probeAt is the time from which the next request may be sent after a pause.
	probeAt time.Time
	// unlistedSince is the time since which the server is not listed, or zero.
	unlistedSince time.Time
}

// allows reports whether a request may be sent.
func (e *entry) allows(now time.Time) bool {
	return !e.leaving && !now.Before(e.pausedUntil) && !now.Before(e.probeAt)
}

// Holdoffs holds what servers asked for. It is safe for concurrent use.
type Holdoffs struct {
	mu      sync.Mutex
	servers map[roster.Key]*entry
	// count is the number of entries, which is read without the lock.
	count atomic.Int64
}

// New returns Holdoffs without servers.
func New() *Holdoffs {
	return &Holdoffs{servers: map[roster.Key]*entry{}}
}

// Leave records that a server leaves. It reports whether that is new.
func (h *Holdoffs) Leave(key roster.Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entry(key)
	if e.leaving {
		return false
	}
	e.leaving = true
	return true
}

// Pause records that a server wants no requests for a time, of which at most MaxPause counts. It reports
// whether the server was not paused. A shorter pause does not end a longer one.
func (h *Holdoffs) Pause(now time.Time, key roster.Key, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entry(key)
	isNew := !now.Before(e.pausedUntil)
	if until := now.Add(min(d, MaxPause)); until.After(e.pausedUntil) {
		e.pausedUntil, e.probeAt = until, until
	}
	return isNew
}

// Answered records that a server answered a request that was sent at a time without asking for a pause.
func (h *Holdoffs) Answered(key roster.Key, sentAt time.Time) {
	if h.count.Load() == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.servers[key]
	if e == nil || sentAt.Before(e.pausedUntil) {
		return
	}
	e.pausedUntil, e.probeAt = time.Time{}, time.Time{}
	if !e.leaving {
		h.remove(key)
	}
}

// Allows reports whether a request may be sent to a server.
func (h *Holdoffs) Allows(now time.Time, key roster.Key) bool {
	if h.count.Load() == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.servers[key]
	return e == nil || e.allows(now)
}

// Take records that a request is sent to a server. After a pause the next ones wait for its answer.
func (h *Holdoffs) Take(now time.Time, key roster.Key) {
	if h.count.Load() == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.servers[key]; e != nil {
		e.probeAt = now.Add(probeInterval)
	}
}

// Wait returns the time until the first of the servers may get a request again, or 0 if one may get it now
// or none ever will. Servers that drain don't count.
func (h *Holdoffs) Wait(now time.Time, servers []*roster.Server) time.Duration {
	if h.count.Load() == 0 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	least := time.Duration(0)
	for _, s := range servers {
		e := h.servers[s.Key()]
		switch {
		case s.Draining || (e != nil && e.leaving):
			continue
		case e == nil || !now.Before(e.pausedUntil):
			return 0
		}
		if wait := e.pausedUntil.Sub(now); least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// Sync records which servers are listed, and forgets those that have not been for a long time.
func (h *Holdoffs) Sync(now time.Time, r *roster.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, e := range h.servers {
		s := r.Find(key.ID)
		switch {
		case s != nil && s.Key() == key:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) > retention:
			h.remove(key)
		}
	}
}

// Counts returns the numbers of servers that leave and of those that are paused.
func (h *Holdoffs) Counts(now time.Time) (leaving, paused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.servers {
		switch {
		case e.leaving:
			leaving++
		case now.Before(e.pausedUntil):
			paused++
		}
	}
	return leaving, paused
}

// entry returns the entry of a server, and adds it if there is none.
func (h *Holdoffs) entry(key roster.Key) *entry {
	e := h.servers[key]
	if e == nil {
		e = &entry{}
		h.servers[key] = e
		h.count.Add(1)
	}
	return e
}

func (h *Holdoffs) remove(key roster.Key) {
	delete(h.servers, key)
	h.count.Add(-1)
}
