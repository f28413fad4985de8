package once

import (
	"slices"
	"sync"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
)

// Retention contains the retention times of idempotency keys. They are settings of the fleet and
// must be the same on all daemons.
type Retention struct {
	// Records is how long a decider keeps the record of a run in memory. A permit key older than
	// this is refused as expired.
	Records time.Duration
	// Answers is how long the answer of a key is kept in its claim row.
	Answers time.Duration
	// Keys is how long the claim row itself is kept. Until it is deleted, the request does not run
	// again: after its answer was removed, the key is refused as expired.
	Keys time.Duration
}

// DefaultRetention returns the retention times of a fleet whose settings specify none.
func DefaultRetention() Retention {
	return Retention{Records: 24 * time.Hour, Answers: 24 * time.Hour, Keys: 30 * 24 * time.Hour}
}

// maxFutureSkew is the maximum time by which the issue time of a permit may be ahead of the
// decider's clock.
const maxFutureSkew = 5 * time.Minute

// Outcome is the result of the only run of a key: an answer or a refusal.
type Outcome struct {
	// Answer is the complete response in HTTP/1.1 format, or nil.
	Answer []byte
	// Refused is set if there is no answer.
	Refused *refusal.Error
}

// Record is the state of the only run of a key, kept in memory by its decider.
type Record struct {
	fingerprint ident.Fingerprint
	startedAt   time.Time
	done        chan struct{}
	outcome     Outcome
	ended       bool
	// dropped reports whether the answer was removed from memory, though the record is kept.
	dropped bool
}

// Done returns a channel that is closed when the run has ended.
func (r *Record) Done() <-chan struct{} {
	return r.done
}

// Role states how a request relates to the run of its key.
type Role string

// The possible roles of a request.
const (
	// First: the request must be run, or refused, and the caller must then call End.
	First Role = "first"
	// Follower: the request must wait for the record and return its outcome.
	Follower Role = "follower"
	// Mismatch: the key was already used for a different request.
	Mismatch Role = "mismatch"
	// Expired: the issue time of the permit key is outside the window covered by the records.
	Expired Role = "expired"
)

// Table contains the records of the runs decided by one incarnation. It is safe for concurrent
// use.
type Table struct {
	retention Retention
	// maxAnswerBytes bounds what the answers of all records hold together.
	maxAnswerBytes int64

	mu      sync.Mutex
	records map[string]*Record
	// answered lists the records with answers in the order in which their runs ended, and answerBytes is the
	// size of these answers.
	answered    []*Record
	answerBytes int64
	// clock is the latest time passed to the table. It never goes back, so that a key that was
	// refused as expired is always refused.
	clock time.Time
}

// NewTable returns a table without records. Its records hold answers of up to maxAnswerBytes together; the oldest
// ones are dropped beyond.
func NewTable(retention Retention, maxAnswerBytes int64) *Table {
	return &Table{retention: retention, maxAnswerBytes: maxAnswerBytes, records: map[string]*Record{}}
}

// Outcome returns the outcome of a run that has ended, or false if its answer was dropped.
func (t *Table) Outcome(r *Record) (o Outcome, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.outcome, !r.dropped
}

// AnswerBytes returns the bytes of all answers in memory.
func (t *Table) AnswerBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answerBytes
}

// keepAnswer adds the answer of a record, and drops the oldest ones beyond the limit. The caller must hold t.mu.
func (t *Table) keepAnswer(r *Record) {
	t.answered = append(t.answered, r)
	t.answerBytes += int64(len(r.outcome.Answer))
	for t.answerBytes > t.maxAnswerBytes {
		t.dropAnswer(t.answered[0])
		t.answered = t.answered[1:]
	}
}

// dropAnswer removes the answer of a record from memory. The caller must hold t.mu.
func (t *Table) dropAnswer(r *Record) {
	if r.dropped {
		return
	}
	t.answerBytes -= int64(len(r.outcome.Answer))
	r.dropped, r.outcome.Answer = true, nil
}

// recordKey returns the map key of the record of k.
func recordKey(k *Key) string {
	return string(k.Scope) + "\x00" + k.Text
}

// advanceClock sets the clock to now unless that would move it back, and returns the clock. The
// caller must hold t.mu.
func (t *Table) advanceClock(now time.Time) time.Time {
	if now.After(t.clock) {
		t.clock = now
	}
	return t.clock
}

// Begin determines the role of a request with key k and fingerprint f, and creates the record if
// the request is the first. It returns the record for the roles First and Follower, and nil
// otherwise.
func (t *Table) Begin(now time.Time, k *Key, f ident.Fingerprint) (*Record, Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	if r := t.records[recordKey(k)]; r != nil {
		if r.fingerprint != f {
			return nil, Mismatch
		}
		return r, Follower
	}
	if k.Decider != "" && !t.withinWindow(now, k) {
		return nil, Expired
	}
	r := &Record{fingerprint: f, startedAt: now, done: make(chan struct{})}
	t.records[recordKey(k)] = r
	return r, First
}

// withinWindow reports whether a permit key was issued in the period for which the table still
// contains the records of all runs. The argument now comes from the decider's clock, the issue time
// in the key from the clock of the issuer, which may be up to maxFutureSkew ahead.
func (t *Table) withinWindow(now time.Time, k *Key) bool {
	return now.Sub(k.Issued) <= t.retention.Records && k.Issued.Sub(now) <= maxFutureSkew
}

// End records the outcome of a run and wakes all followers. If the outcome is a refusal that
// guarantees that the request did not run, the record is deleted, since a resend may still run.
func (t *Table) End(k *Key, r *Record, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended, r.outcome = true, o
	if o.Refused != nil && o.Refused.Outcome() == refusal.NotRun {
		delete(t.records, recordKey(k))
	}
	if o.Answer != nil {
		t.keepAnswer(r)
	}
	close(r.done)
}

// Sweep deletes records of ended runs whose keys are outside the window, and returns their
// number. A record is kept for maxFutureSkew longer than the retention time, since a permit
// issued ahead of the decider's clock stays valid for longer.
func (t *Table) Sweep(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	dropped := 0
	for n, r := range t.records {
		if r.ended && now.Sub(r.startedAt) > t.retention.Records+maxFutureSkew {
			delete(t.records, n)
			if r.outcome.Answer != nil {
				t.dropAnswer(r)
			}
			dropped++
		}
	}
	t.answered = slices.DeleteFunc(t.answered, func(r *Record) bool { return r.dropped })
	return dropped
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
