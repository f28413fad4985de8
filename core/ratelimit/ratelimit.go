// Package ratelimit keeps the requests to backend servers that name a limit within it. A
// server in need names the number of requests per second that it accepts from all daemons
// together. The daemons tell each other, and each uses only its share of the limit. The
// package does no I/O and starts no goroutines.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bilberrymux/core/ident"
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

// Report tells another daemon of a statement.
type Report struct {
	ID          ident.ServerID `cbor:"1,keyasint"`
	StartMillis int64          `cbor:"2,keyasint"`
	Limited     bool           `cbor:"3,keyasint,omitempty"`
	// PerSecond is the limit in requests per second.
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the age of the statement in milliseconds when the report arrives, rounded
	// up, so that statements don't become newer on their way through daemons.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

const (
	// minRate is the rate, in requests per second, that is assumed for lower limits, so that
	// some daemon learns of the end of a limit.
	minRate = 0.1
	// burstTime is the time in which a daemon saves up the requests of its share. One request
	// can always be saved up.
	burstTime = 250 * time.Millisecond
	// refreshTime is the age of a statement from which a request to its server is due.
	refreshTime = 2 * time.Second
	// withdrawnReportTime is how long the end of a limit is reported to other daemons.
	withdrawnReportTime = 5 * time.Second
	// transitTime is the time that is assumed for a message to another daemon.
	transitTime = time.Millisecond
	// retention is how long the statement of a server is kept that is not listed any more. Its row may lapse for a while
	// although the server goes on.
	retention = 10 * time.Minute
	// noticedChange is the relative change of a limit from which it counts as changed.
	noticedChange = 0.1
)

// server is the state of one server that has named a limit.
type server struct {
	Statement
	// share is the part of the limit, from 0 to 1, that this daemon may use.
	share float64
	// tokens is the number of requests that may be sent, at the time refilledAt.
	tokens     float64
	refilledAt time.Time
	// noticedRate is the limit when it last counted as changed.
	noticedRate float64
	// unlistedSince is the time since which the server is not listed. It is zero while it is.
	unlistedSince time.Time
}

// Limits holds the limits that servers have named. It is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	listed  map[roster.Key]bool
	servers map[roster.Key]*server
	// count is the number of servers with a limit, listed or not.
	count atomic.Int64
}

// New returns Limits without servers.
func New() *Limits {
	return &Limits{listed: map[roster.Key]bool{}, servers: map[roster.Key]*server{}}
}

// Sync records which servers are listed, and forgets those that have not been for a long time. Statements of unlisted servers
// are ignored unless the server has named a limit while it was listed.
func (l *Limits) Sync(now time.Time, r *roster.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = make(map[roster.Key]bool, len(r.Servers()))
	for i := range r.Servers() {
		l.listed[r.Servers()[i].Key()] = true
	}
	for key, s := range l.servers {
		switch {
		case l.listed[key]:
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) > retention:
			delete(l.servers, key)
		}
	}
	l.recount()
}

// Learn records a statement of a server, unless a newer one is known. It reports whether the
// limit was named, was withdrawn or changed by more than a tenth.
func (l *Limits) Learn(now time.Time, key roster.Key, s Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.servers[key]
	valid := s.PerSecond >= 0 && !math.IsInf(s.PerSecond, 0)
	switch {
	case !valid || (known == nil && (!s.Limited || !l.listed[key])):
		return false
	case known == nil:
		known = &server{refilledAt: now}
		l.servers[key] = known
	case !s.At.After(known.At):
		return false
	}
	known.refill(now)
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

// rate returns the requests per second that this daemon may send.
func (s *server) rate() float64 {
	return s.share * max(minRate, s.PerSecond)
}

// refill adds the tokens for the time since the last refill.
func (s *server) refill(now time.Time) {
	elapsed := max(0, now.Sub(s.refilledAt))
	s.refilledAt = now
	if !s.Limited {
		s.tokens = 0
		return
	}
	s.tokens = min(s.tokens+s.rate()*elapsed.Seconds(), 1+s.rate()*burstTime.Seconds())
}

// hasToken reports whether a request may be sent now.
func (s *server) hasToken(now time.Time) bool {
	s.refill(now)
	return s.tokens >= 1
}

// Allows reports whether a request may be sent to the server now.
func (l *Limits) Allows(now time.Time, key roster.Key) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[key]
	return s == nil || !s.Limited || s.hasToken(now)
}

// Due reports whether a request should be sent to the server now because its last statement is
// old, so that the daemons learn of the end of a limit also while other servers are preferred.
func (l *Limits) Due(now time.Time, key roster.Key) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[key]
	return s != nil && s.Limited && now.Sub(s.At) >= refreshTime && s.hasToken(now)
}

// Take accounts for a request that is sent to the server.
func (l *Limits) Take(now time.Time, key roster.Key) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[key]; s != nil && s.Limited {
		s.refill(now)
		s.tokens--
	}
}

// SetShares sets the part of each limit, from 0 to 1, that this daemon may use. shareOf is
// called with the key and the limit, in requests per second, of each server with a limit.
// The lock of the Limits is held during the calls.
func (l *Limits) SetShares(now time.Time, shareOf func(key roster.Key, perSecond float64) float64) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.servers {
		if s.Limited {
			s.refill(now)
			s.share = shareOf(key, s.PerSecond)
		}
	}
}

// Reports returns statements that other daemons should know, at most limit of them. The order is
// random, so that calls with more statements than that return others each time.
func (l *Limits) Reports(now time.Time, limit int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for key, s := range l.servers {
		if len(out) == limit {
			break
		}
		age := max(0, now.Sub(s.At))
		if !s.Limited && age > withdrawnReportTime {
			continue
		}
		out = append(out, Report{
			ID: key.ID, StartMillis: key.StartMillis, Limited: s.Limited, PerSecond: s.PerSecond,
			AgeMillis: uint32(min((age+transitTime).Milliseconds()+1, math.MaxUint32)),
		})
	}
	return out
}

// Merge records the statement in another daemon's report. Its result is that of Learn.
func (l *Limits) Merge(now time.Time, r Report) (changed bool) {
	return l.Learn(now, roster.Key{ID: r.ID, StartMillis: r.StartMillis}, Statement{
		Limited: r.Limited, PerSecond: r.PerSecond, At: now.Add(-time.Duration(r.AgeMillis) * time.Millisecond),
	})
}

// Count returns the number of listed servers with a limit.
func (l *Limits) Count() int {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.servers {
		if s.Limited && s.unlistedSince.IsZero() {
			n++
		}
	}
	return n
}
