package attempts_test

import (
	"fmt"
	"testing"

	"bilberrymux/core/attempts"
	"bilberrymux/core/belief"
	"bilberrymux/core/refusal"
)

// outcomes maps all outcomes of an attempt to whether the server may have run the request.
var outcomes = map[belief.Outcome]bool{
	belief.Good: true, belief.Failed: true, belief.Broken: true, belief.Silent: true, belief.Neutral: true,
	belief.Unreachable: false, belief.Shed: false, belief.Misdirected: false,
}

// play is a request at some moment: its log, and what is known about it independently of the log.
type play struct {
	log *attempts.Log
	// idempotent is false once a second run is forbidden.
	idempotent bool
	// inFlight is the number of attempts in flight, and mayHaveRun the number of those which ended and may have run.
	inFlight, mayHaveRun int
}

// step is one thing that can happen to a request.
type step struct {
	name string
	// do changes the play, or returns false if that can't happen now.
	do func(p *play) bool
}

// startIfAllowed starts an attempt if the log allows that, and reports whether that is a second run of a request that
// must not run more than once.
func (p *play) startIfAllowed(t *testing.T, path []step) {
	if !p.log.MayStart() {
		return
	}
	if !p.idempotent && p.inFlight+p.mayHaveRun > 0 {
		t.Errorf("%v: a further attempt starts, though the request may have run", names(path))
	}
	p.log.Start()
	p.inFlight++
}

func names(path []step) []string {
	var out []string
	for _, s := range path {
		out = append(out, s.name)
	}
	return out
}

// TestEverySequenceOfOutcomesKeepsAtMostOnce plays every sequence of outcomes, hedges and new configurations, at any
// moment, until no attempt may follow. Requests that must not run more than once never start an attempt while an
// earlier one may have run, and a refusal at any moment tells whether one may have.
func TestEverySequenceOfOutcomesKeepsAtMostOnce(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for maxRuns := range 3 {
			t.Run(fmt.Sprintf("idempotent=%v,runs=%d", idempotent, maxRuns), func(t *testing.T) {
				o := attempts.Options{Idempotent: idempotent, MaxRuns: maxRuns}
				t.Logf("%d sequences", enumerate(t, o, nil, o.MaxAttempts()))
			})
		}
	}
}

// enumerate plays all continuations of a path, and returns their number. No sequence has more than the given number
// of attempts.
func enumerate(t *testing.T, o attempts.Options, path []step, maxAttempts int) int {
	if t.Failed() {
		return 0
	}
	count := 0
	for _, next := range steps(t) {
		p, started := replay(t, o, path)
		extended := append(path[:len(path):len(path)], next)
		if !next.do(p) {
			continue
		}
		if started > maxAttempts {
			t.Errorf("%v: %d attempts, more than %d", names(path), started, maxAttempts)
			return count
		}
		checkRefusal(t, p, extended)
		count += 1 + enumerate(t, o, extended, maxAttempts)
	}
	return count
}

// replay plays a path from the first attempt, and returns the play and the number of its attempts.
func replay(t *testing.T, o attempts.Options, path []step) (*play, int) {
	p := &play{log: attempts.New(o), idempotent: o.Idempotent}
	p.startIfAllowed(t, nil)
	for _, s := range path {
		s.do(p)
	}
	return p, p.inFlight + len(p.log.Outcomes())
}

// steps returns all that can happen to a request in flight.
func steps(t *testing.T) []step {
	all := []step{
		{"hedge", func(p *play) bool {
			if p.inFlight == 0 || !p.log.MayHedge() {
				return false
			}
			p.startIfAllowed(t, []step{{name: "hedge"}})
			return true
		}},
		{"forbid", func(p *play) bool {
			if !p.idempotent || p.inFlight == 0 {
				return false
			}
			p.idempotent = false
			p.log.ForbidRepeats()
			return true
		}},
	}
	for o, mayRun := range outcomes {
		all = append(all, step{string(o), func(p *play) bool {
			if p.inFlight == 0 {
				return false
			}
			p.inFlight--
			if mayRun {
				p.mayHaveRun++
			}
			p.log.End(o)
			// A response that succeeds ends the request.
			if o != belief.Good && p.log.Retry(o) != attempts.Denied {
				p.startIfAllowed(t, []step{{name: string(o)}})
			}
			return true
		}})
	}
	return all
}

// checkRefusal checks what a refusal would say now, of any kind.
func checkRefusal(t *testing.T, p *play, path []step) {
	for _, kind := range []refusal.Kind{p.log.RefusalKind(), p.log.TimeoutKind(), refusal.Stopping, refusal.NoServer} {
		mayHaveRun := p.inFlight+p.mayHaveRun > 0
		if notRun := p.log.Refusal(kind, "").Outcome() == refusal.NotRun; notRun && mayHaveRun {
			t.Errorf("%v: refused as %s and not run, though it may have run", names(path), kind)
		}
	}
}
