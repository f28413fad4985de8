package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowIsBounded checks that in any window the further arrivals of a daemon
// stay within its burst, what flows over the window and what requests earn.
func TestWindowIsBounded(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Ratio: 0.18, PerSecond: rapid.Float64Range(0, 2).Draw(t, "flow"), Burst: rapid.Float64Range(1, 10).Draw(t, "burst")}
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
			if allowed := o.Burst + o.PerSecond*(window+maxGap).Seconds() + o.Ratio*(requests+1); spent > allowed+1e-9 {
				t.Fatalf("%v further arrivals in a window, allowed %v", spent, allowed)
			}
		}
	})
}

func TestNewBudgetIsEmpty(t *testing.T) {
	b := New(Options{Ratio: 0.2, PerSecond: 5, Burst: 10})
	if b.TryWithdraw("svc") {
		t.Error("a new process spends what it has not earned")
	}
	b.Deposit(time.Unix(1, 0), "svc")
	if b.TryWithdraw("svc") {
		t.Error("one request earned a whole attempt")
	}
	if b.TryWithdraw("other") {
		t.Error("services share a budget")
	}
}

// TestRareRequestsSaveUpLittle checks that a daemon which sees a service in stray
// requests only does not save up a dispatcher's part.
func TestRareRequestsSaveUpLittle(t *testing.T) {
	b := New(Options{Ratio: 0.18, PerSecond: 0.3, Burst: 3})
	now := time.Unix(1, 0)
	for range 5 {
		b.Deposit(now, "svc")
		now = now.Add(time.Minute)
	}
	if left := b.Balance("svc"); left > 5*(0.18+0.3) {
		t.Errorf("%v saved up", left)
	}
}
