package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowIsBounded checks that in any window the further attempts of a daemon stay within
// the burst, the tokens added over time and the tokens added by requests.
func TestWindowIsBounded(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Ratio: 0.18, PerSecond: rapid.Float64Range(0, 2).Draw(t, "perSecond"), Burst: rapid.Float64Range(1, 10).Draw(t, "burst")}
		b := New(o)
		start := time.Unix(1000, 0)
		now := start
		type event struct {
			at    time.Time
			spent bool
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
			b.Deposit(now, "svc")
			events = append(events, event{now, false})
			for range rapid.IntRange(0, 4).Draw(t, "tries") {
				if b.TryWithdraw("svc") {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			spent, requests := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at.Sub(events[i].at) > window {
					break
				}
				if e.spent {
					spent++
				} else {
					requests++
				}
			}
			if allowed := o.Burst + o.PerSecond*(window+maxAccrualTime).Seconds() + o.Ratio*(requests+1); spent > allowed+1e-9 {
				t.Fatalf("%v further attempts in a window of %v, want at most %v", spent, window, allowed)
			}
		}
	})
}

// TestNewBudgetIsEmpty checks that a new budget allows nothing before requests add tokens,
// and that services don't share a bucket.
func TestNewBudgetIsEmpty(t *testing.T) {
	b := New(Options{Ratio: 0.2, PerSecond: 5, Burst: 10})
	if b.TryWithdraw("svc") {
		t.Error("TryWithdraw succeeded on a new budget, want false")
	}
	b.Deposit(time.Unix(1, 0), "svc")
	if b.TryWithdraw("svc") {
		t.Error("TryWithdraw succeeded after one request with a ratio of 0.2, want false")
	}
	if b.TryWithdraw("other") {
		t.Error("TryWithdraw succeeded for a service without requests, want false")
	}
}

// TestRareRequestsAccumulateFewTokens checks that a daemon which gets only occasional
// requests for a service doesn't accumulate as many tokens as a daemon to which the
// service's requests are dispatched.
func TestRareRequestsAccumulateFewTokens(t *testing.T) {
	b := New(Options{Ratio: 0.18, PerSecond: 0.3, Burst: 3})
	now := time.Unix(1, 0)
	for range 5 {
		b.Deposit(now, "svc")
		now = now.Add(time.Minute)
	}
	if left := b.Balance("svc"); left > 5*(0.18+0.3) {
		t.Errorf("balance is %v after five requests, one per minute, want at most %v", left, 5*(0.18+0.3))
	}
}
