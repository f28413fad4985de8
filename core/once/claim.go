package once

import (
	"time"

	"bilberrymux/core/ident"
)

// Claim is the row of an idempotency key in the table service. For a plain key it is inserted
// before the run by the only incarnation that may ever run the request. For a permit key it is
// written after the run, so that the outcome remains available after the decider has ended.
type Claim struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	// Time is when the row was last written by its incarnation: when the key was claimed or, if
	// Ended, when the run ended. Removing the answer leaves it unchanged.
	Time time.Time `json:"time"`
	// Ended reports whether the run has ended. If it has ended and there is no answer, the
	// outcome cannot be determined any more.
	Ended bool `json:"ended,omitempty"`
	// Answer is the complete response in HTTP/1.1 format, until the retention time of answers has
	// passed.
	Answer []byte `json:"answer,omitempty"`
	// AnswerDropped reports whether the answer was removed after its retention time.
	AnswerDropped bool `json:"trimmed,omitempty"`
}

// Decision states how to handle a request, given the claim row of its key.
type Decision string

// The possible decisions on a claim row.
const (
	// Run: this incarnation holds the claim and has not run the request.
	Run Decision = "run"
	// Replay: the row contains the answer, which is returned again.
	Replay Decision = "replay"
	// AskHolder: another incarnation holds the claim and must be asked for the outcome.
	AskHolder Decision = "ask"
	// OutcomeUnknown: the outcome of the run cannot be determined any more.
	OutcomeUnknown Decision = "lost"
	// OtherRequest: the key was already used for a different request.
	OtherRequest Decision = "otherRequest"
	// AnswerExpired: the answer was removed after its retention time.
	AnswerExpired Decision = "tooOld"
)

// Evaluate decides how incarnation self handles a request with fingerprint f whose key has this
// claim row. The incarnation must have no record of the key in memory.
func (c *Claim) Evaluate(now time.Time, self ident.Incarnation, f ident.Fingerprint, retention Retention) Decision {
	switch {
	case c.Fingerprint != f:
		return OtherRequest
	case c.AnswerDropped:
		return AnswerExpired
	case c.Answer != nil:
		return Replay
	case c.Ended:
		return OutcomeUnknown
	case c.Incarnation != self:
		return AskHolder
	case now.Sub(c.Time) < retention.Records:
		// This incarnation holds the claim but has no record of a run, although its records reach
		// back beyond the claim. So either the reply to the write of the claim was lost, or the run
		// was refused before it started. In both cases the request has not run.
		return Run
	}
	return OutcomeUnknown
}
