// Package ratelimit holds the limits that backend servers name: the number of requests per
// second that a server in need accepts from all daemons together. The package does no I/O and
// starts no goroutines.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bilberrymux/core/roster"
)

// Statement is what a server said last about its limit.
type Statement struct {
	// Limited reports whether the server named a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// At is the time of the answer that contained the statement.
	At time.Time
}

// noticedChange is the relative change of a limit from which it counts as changed.
const noticedChange = 0.1

// server is the state of one server that has named a limit.
type server struct {
	Statement
	// noticedRate is the limit when it last counted as changed.
	noticedRate float64
}

// Limits holds the limits that servers have named. It is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	listed  map[roster.Key]bool
	servers map[roster.Key]*server
	// count is the number of servers with a limit.
	count atomic.Int64
}

// New returns Limits without servers.
func New() *Limits {
	return &Limits{listed: map[roster.Key]bool{}, servers: map[roster.Key]*server{}}
}

// Sync forgets the servers that are not listed. Statements of unlisted servers are ignored.
func (l *Limits) Sync(r *roster.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = make(map[roster.Key]bool, len(r.Servers()))
	for i := range r.Servers() {
		l.listed[r.Servers()[i].Key()] = true
	}
	for key := range l.servers {
		if !l.listed[key] {
			delete(l.servers, key)
		}
	}
	l.recount()
}

// Learn records a statement of a server, unless a newer one is known. It reports whether the
// limit was named, was withdrawn or changed by more than a tenth.
func (l *Limits) Learn(key roster.Key, s Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.servers[key]
	valid := s.PerSecond >= 0 && !math.IsInf(s.PerSecond, 0)
	switch {
	case !valid || !l.listed[key] || (known == nil && !s.Limited):
		return false
	case known == nil:
		known = &server{}
		l.servers[key] = known
	case !s.At.After(known.At):
		return false
	}
	changed = s.Limited != known.Limited ||
		(s.Limited && math.Abs(s.PerSecond-known.noticedRate) > noticedChange*known.noticedRate)
	if changed {
		known.noticedRate = s.PerSecond
	}
	known.Statement = s
	l.recount()
	return changed
}

// recount updates the number of servers with a limit. The caller must hold the lock.
func (l *Limits) recount() {
	n := int64(0)
	for _, s := range l.servers {
		if s.Limited {
			n++
		}
	}
	l.count.Store(n)
}

// Count returns the number of servers with a limit.
func (l *Limits) Count() int {
	return int(l.count.Load())
}
