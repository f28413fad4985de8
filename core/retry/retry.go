// Package retry decides whether a request may be retried or hedged. A Budget limits
// the total of retries and hedges that one Policy allows. Each shard of a service has
// a Policy of its own on the daemon that owns it.
package retry

import (
	"sync/atomic"

	"bilberrymux/core/kernel"
)

// Budget is a token bucket to which each request adds a fraction of a token and from
// which each retry or hedge takes one token. It is safe for concurrent use.
type Budget struct {
	// milliTokens is the content of the bucket, in thousandths of a token.
	milliTokens atomic.Int64
	// fraction is what a request adds, in thousandths of a token.
	fraction int64
}

const (
	// milliPerToken is one token in thousandths of a token.
	milliPerToken = 1000
	// maxMilliTokens is the capacity of the bucket in thousandths of a token. It
	// bounds a burst of retries and hedges.
	maxMilliTokens = 20 * milliPerToken
)

// NewBudget returns an empty budget to which each request adds fraction tokens. It
// panics if fraction is negative.
func NewBudget(fraction float64) *Budget {
	if fraction < 0 {
		panic("retry: negative fraction")
	}
	return &Budget{fraction: int64(fraction * milliPerToken)}
}

// Earn adds the fraction of a token for the first attempt of a request, up to the
// capacity of the bucket.
func (b *Budget) Earn() {
	for {
		old := b.milliTokens.Load()
		if old >= maxMilliTokens {
			return
		}
		if b.milliTokens.CompareAndSwap(old, min(old+b.fraction, maxMilliTokens)) {
			return
		}
	}
}

// Spend takes one token and reports whether one was available.
func (b *Budget) Spend() bool {
	for {
		old := b.milliTokens.Load()
		if old < milliPerToken {
			return false
		}
		if b.milliTokens.CompareAndSwap(old, old-milliPerToken) {
			return true
		}
	}
}

// Failure classifies how an attempt failed, as far as it matters for a retry.
type Failure string

// Values of Failure.
const (
	// DialFailed attempts got no connection, so that the server received nothing.
	DialFailed Failure = "unreached"
	// Shed attempts were rejected by the server before it ran them.
	Shed Failure = "shed"
	// MayHaveRun attempts failed after the first byte was sent.
	MayHaveRun Failure = "mayHaveRun"
	// ServerError attempts ended with a complete response that is a server error.
	ServerError Failure = "answered"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of attempts made so far, including this one.
	Number     int
	Idempotent bool
	Failure    Failure
	// Overloaded is set when requests of the service are queued for a slot.
	Overloaded bool
}

// Policy decides whether a request may be retried or hedged.
type Policy struct {
	// AllowRetry reports whether one more attempt may follow the failed attempt. It may
	// spend a token of the budget.
	AllowRetry func(a Attempt) bool
	// AllowHedge reports whether a second attempt may run in parallel with a slow first
	// one. It may spend a token of the budget.
	AllowHedge func(overloaded bool) bool
	// RecordFirst records the first attempt of a request, which adds to the budget.
	RecordFirst func()
}

// Options configures a policy.
type Options struct {
	// ExtraFraction is the number of tokens that each request adds to the budget. It
	// limits the long-term ratio of retries and hedges to requests.
	ExtraFraction float64
	// MaxAttempts is the maximum number of attempts of a request, including the
	// first one. It does not limit hedges.
	MaxAttempts int
}

// Policies is the registry of retry policy factories.
var Policies kernel.Registry[func(Options) *Policy]

func init() {
	Policies.Register(kernel.RetryKind, "budget", newBudgeted)
	Policies.Register(kernel.RetryKind, "none", newNone)
}

// newBudgeted returns a policy that retries what is safe to retry. A retry after
// DialFailed is free. Every other retry spends a token, and one whose request may
// have run needs an idempotent request and a service that is not overloaded.
func newBudgeted(o Options) *Policy {
	budget := NewBudget(o.ExtraFraction)
	return &Policy{
		AllowRetry: func(a Attempt) bool {
			if a.Number >= o.MaxAttempts {
				return false
			}
			if a.Failure == DialFailed {
				return true
			}
			mayHaveRun := a.Failure != Shed
			if mayHaveRun && (!a.Idempotent || a.Overloaded) {
				return false
			}
			return budget.Spend()
		},
		AllowHedge:  func(overloaded bool) bool { return !overloaded && budget.Spend() },
		RecordFirst: budget.Earn,
	}
}

// newNone returns a policy that allows neither retries nor hedges.
func newNone(Options) *Policy {
	return &Policy{
		AllowRetry:  func(Attempt) bool { return false },
		AllowHedge:  func(bool) bool { return false },
		RecordFirst: func() {},
	}
}
