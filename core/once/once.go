package once

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
)

// Retention are the times of keys. They are settings of the fleet and the same
// on all daemons.
type Retention struct {
	// Records is how long a decider remembers what it ran. A permit key older
	// than this is refused as expired.
	Records time.Duration
	// Answers is how long the answer of a plain key is kept in its row.
	Answers time.Duration
	// Keys is how long the row itself is kept, so that the key is refused as
	// expired and does not run again.
	Keys time.Duration
}

// DefaultRetention returns the windows of a fleet that names none.
func DefaultRetention() Retention {
	return Retention{Records: 24 * time.Hour, Answers: 24 * time.Hour, Keys: 30 * 24 * time.Hour}
}

// futureSkew is how far ahead of the decider's clock a permit may be issued.
const futureSkew = 5 * time.Minute

// Outcome is what became of the only run of a key.
type Outcome struct {
	// Answer is the whole answer as HTTP/1.1, or nil.
	Answer []byte
	// Refused is set where there is no answer.
	Refused *refusal.Error
}

// Record is the only run of a key at its decider.
type Record struct {
	fingerprint ident.Fingerprint
	begun       time.Time
	done        chan struct{}
	outcome     Outcome
	ended       bool
}

// Done is closed when the run has ended.
func (r *Record) Done() <-chan struct{} {
	return r.done
}

// Outcome returns the outcome of a run that has ended.
func (r *Record) Outcome() Outcome {
	return r.outcome
}

// Role is what a request may do with its key.
type Role string

// The roles.
const (
	// First may run the request, and must call End.
	First Role = "first"
	// Follower waits for the record and takes its outcome.
	Follower Role = "follower"
	// Mismatch used the key for another request.
	Mismatch Role = "mismatch"
	// Expired came after the decider's memory.
	Expired Role = "expired"
)

// Table is the memory of one decider, the incarnation that holds it. It is
// safe for concurrent use.
type Table struct {
	windows Retention

	mu      sync.Mutex
	records map[string]*Record
	// clock never steps back, so that a key refused as expired stays so.
	clock time.Time
}

// NewTable returns an empty memory.
func NewTable(w Retention) *Table {
	return &Table{windows: w, records: map[string]*Record{}}
}

func name(k *Key) string {
	return string(k.Scope) + "\x00" + k.Text
}

// advance moves the clock. The lock is held.
func (t *Table) advance(now time.Time) time.Time {
	if now.After(t.clock) {
		t.clock = now
	}
	return t.clock
}

// Begin asks what a request may do with its key. For First and Follower it
// returns the record.
func (t *Table) Begin(now time.Time, k *Key, f ident.Fingerprint) (*Record, Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	if r := t.records[name(k)]; r != nil {
		if r.fingerprint != f {
			return nil, Mismatch
		}
		return r, Follower
	}
	if k.Decider != "" && !t.fresh(now, k) {
		return nil, Expired
	}
	r := &Record{fingerprint: f, begun: now, done: make(chan struct{})}
	t.records[name(k)] = r
	return r, First
}

// fresh reports whether a permit key lies inside the window in which this
// decider remembers all that it ran. Only the decider's own clock counts.
func (t *Table) fresh(now time.Time, k *Key) bool {
	return now.Sub(k.Issued) <= t.windows.Records && k.Issued.Sub(now) <= futureSkew
}

// End records the outcome of a run. A run that was refused as not run is
// forgotten, since a resend may run then.
func (t *Table) End(k *Key, r *Record, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended, r.outcome = true, o
	if o.Refused != nil && o.Refused.Outcome() == refusal.NotRun {
		delete(t.records, name(k))
	}
	close(r.done)
}

// Sweep forgets records that no key inside the window can ask for. A permit
// issued in the future keeps its record for as long as it stays fresh.
func (t *Table) Sweep(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	dropped := 0
	for n, r := range t.records {
		if r.ended && now.Sub(r.begun) > t.windows.Records+futureSkew {
			delete(t.records, n)
			dropped++
		}
	}
	return dropped
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
