package once

import (
	"time"

	"bilberrymux/core/ident"
)

// Claim is the row of a key in the table service. For a plain key it is
// inserted before the run, by the only incarnation that will ever run it. For
// a permit key it is written after the run, to outlive the decider.
type Claim struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Fingerprint ident.Fingerprint `json:"fingerprint"`
	Time        time.Time         `json:"time"`
	// Ended says that the run has ended; without an answer its outcome is
	// unknown for ever.
	Ended bool `json:"ended,omitempty"`
	// Answer is the whole answer as HTTP/1.1, while it is kept.
	Answer []byte `json:"answer,omitempty"`
	// AnswerDropped says that the answer was dropped after its window.
	AnswerDropped bool `json:"trimmed,omitempty"`
}

// Decision is what a claim row means for a request with its key.
type Decision string

// The verdicts.
const (
	// Run: this incarnation holds the claim and never ran it.
	Run Decision = "run"
	// Replay: the row has the answer.
	Replay Decision = "replay"
	// AskHolder: another incarnation holds the claim and knows more.
	AskHolder Decision = "ask"
	// OutcomeUnknown: the run's outcome is unknown for ever.
	OutcomeUnknown Decision = "lost"
	// OtherRequest: the key was used for another request.
	OtherRequest Decision = "otherRequest"
	// AnswerExpired: the answer was dropped.
	AnswerExpired Decision = "tooOld"
)

// Evaluate reads a claim row on behalf of a request at the given incarnation that
// has no record of the key in memory.
func (c *Claim) Evaluate(now time.Time, self ident.Incarnation, f ident.Fingerprint, w Retention) Decision {
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
	case now.Sub(c.Time) < w.Records:
		// The claim is this incarnation's, and its memory, which reaches back
		// beyond the claim, holds no run: only the reply of the claim's write
		// was lost, or the run was refused before it began.
		return Run
	}
	return OutcomeUnknown
}
