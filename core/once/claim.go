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
	// Trimmed says that the answer was dropped after its window.
	Trimmed bool `json:"trimmed,omitempty"`
}

// Verdict is what a claim row means for a request with its key.
type Verdict string

// The verdicts.
const (
	// Run: this incarnation holds the claim and never ran it.
	Run Verdict = "run"
	// Replay: the row has the answer.
	Replay Verdict = "replay"
	// Ask: another incarnation holds the claim and knows more.
	Ask Verdict = "ask"
	// Lost: the run's outcome is unknown for ever.
	Lost Verdict = "lost"
	// OtherRequest: the key was used for another request.
	OtherRequest Verdict = "otherRequest"
	// TooOld: the answer was dropped.
	TooOld Verdict = "tooOld"
)

// Judge reads a claim row on behalf of a request at the given incarnation that
// has no record of the key in memory.
func (c *Claim) Judge(now time.Time, self ident.Incarnation, f ident.Fingerprint, w Windows) Verdict {
	switch {
	case c.Fingerprint != f:
		return OtherRequest
	case c.Trimmed:
		return TooOld
	case c.Answer != nil:
		return Replay
	case c.Ended:
		return Lost
	case c.Incarnation != self:
		return Ask
	case now.Sub(c.Time) < w.Memory:
		// The claim is this incarnation's, and its memory, which reaches back
		// beyond the claim, holds no run: only the reply of the claim's write
		// was lost, or the run was refused before it began.
		return Run
	}
	return Lost
}
