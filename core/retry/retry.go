// Package retry decides whether a further attempt of a request may be made.
// A Budget bounds all further attempts of one service on one daemon.
package retry

import (
	"sync/atomic"

	"bilberrymux/core/kernel"
)

// Budget is a token bucket that each request fills by a fraction and each
// further attempt empties by one. It is safe for concurrent use.
type Budget struct {
	// milli holds thousandths of a token.
	milli    atomic.Int64
	fraction int64
}

// tokenMilli is one token; burst is the most that the bucket holds.
const (
	tokenMilli = 1000
	burst      = 20 * tokenMilli
)

// NewBudget returns an empty budget that grows by fraction tokens a request.
// It panics if fraction is negative.
func NewBudget(fraction float64) *Budget {
	if fraction < 0 {
		panic("retry: negative fraction")
	}
	return &Budget{fraction: int64(fraction * tokenMilli)}
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	for {
		old := b.milli.Load()
		if old >= burst {
			return
		}
		if b.milli.CompareAndSwap(old, min(old+b.fraction, burst)) {
			return
		}
	}
}

// Spend takes a token and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		old := b.milli.Load()
		if old < tokenMilli {
			return false
		}
		if b.milli.CompareAndSwap(old, old-tokenMilli) {
			return true
		}
	}
}

// Failure is how an attempt failed, as far as repeating it matters.
type Failure string

// The failures.
const (
	// Unreached attempts got no connection, so that no server had any work.
	Unreached Failure = "unreached"
	// Shed attempts were turned away by the server, which ran nothing.
	Shed Failure = "shed"
	// MayHaveRun attempts broke after the first byte was sent.
	MayHaveRun Failure = "mayHaveRun"
	// Answered attempts brought a server error as their whole answer.
	Answered Failure = "answered"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts so far, from 1.
	Number     int
	Idempotent bool
	Failure    Failure
	// Overloaded says that requests of the service wait for a slot.
	Overloaded bool
}

// Policy decides on further attempts.
type Policy struct {
	// Allow reports whether one more attempt may be made.
	Allow func(a Attempt) bool
	// Hedge reports whether a second attempt may run beside a late first one.
	Hedge func(overloaded bool) bool
	// First records the first attempt of a request.
	First func()
}

// Options tune a policy.
type Options struct {
	// ExtraFraction bounds the further attempts per request.
	ExtraFraction float64
	MaxAttempts   int
}

// Policies is the registry of retry policies.
var Policies kernel.Registry[func(Options) *Policy]

func init() {
	Policies.Register(kernel.RetryKind, "budget", newBudgeted)
	Policies.Register(kernel.RetryKind, "none", newNone)
}

// newBudgeted returns the policy that repeats what is safe to repeat while the
// budget lasts.
func newBudgeted(o Options) *Policy {
	budget := NewBudget(o.ExtraFraction)
	return &Policy{
		Allow: func(a Attempt) bool {
			if a.Number >= o.MaxAttempts {
				return false
			}
			if a.Failure == Unreached {
				return true
			}
			ran := a.Failure != Shed
			if ran && (!a.Idempotent || a.Overloaded) {
				return false
			}
			return budget.Spend()
		},
		Hedge: func(overloaded bool) bool { return !overloaded && budget.Spend() },
		First: budget.Earn,
	}
}

// newNone returns the policy that repeats nothing.
func newNone(Options) *Policy {
	return &Policy{
		Allow: func(Attempt) bool { return false },
		Hedge: func(bool) bool { return false },
		First: func() {},
	}
}
