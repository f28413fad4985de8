package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWindow = 10 * time.Second

// TestWindowIsBounded checks that in any window, at any position, the further attempts of a daemon stay
// within the reserve and the ratio of the requests of the window that ends with the last of them.
func TestWindowIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserve := rapid.Float64Range(0, 10).Draw(t, "reserve")
		now := time.Unix(1000, 0)
		b := New(now, Options{Ratio: 0.18, Window: testWindow})
		b.SetReserve("svc", reserve)
		var requests, attempts []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
			b.Deposit(now, "svc")
			requests = append(requests, now)
			for range rapid.IntRange(0, 4).Draw(t, "tries") {
				if b.TryWithdraw(now, "svc") {
					attempts = append(attempts, now)
				}
			}
		}
		for _, end := range attempts {
			spent, paid := countWithin(attempts, end), countWithin(requests, end)
			if allowed := reserve + 0.18*float64(paid); float64(spent) > allowed+1e-9 {
				t.Fatalf("%d further attempts in a window of %v with %d requests, want at most %.1f", spent, testWindow, paid, allowed)
			}
		}
	})
}

// countWithin returns the number of times in the window that ends at end.
func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(end.Add(-testWindow)) && !at.After(end) {
			n++
		}
	}
	return n
}

// TestNewBudgetIsEmpty checks that a new budget allows nothing before requests add to it, and that
// services don't share an account.
func TestNewBudgetIsEmpty(t *testing.T) {
	now := time.Unix(1, 0)
	b := New(now, Options{Ratio: 0.2, Window: testWindow})
	if b.TryWithdraw(now, "svc") {
		t.Error("TryWithdraw succeeded on a new budget, want false")
	}
	b.Deposit(now, "svc")
	if b.TryWithdraw(now, "svc") {
		t.Error("TryWithdraw succeeded after one request with a ratio of 0.2, want false")
	}
	b.SetReserve("other", 1)
	if !b.TryWithdraw(now, "other") || b.TryWithdraw(now, "other") || b.TryWithdraw(now, "svc") {
		t.Error("a reserve of 1 doesn't allow exactly one attempt of its service")
	}
}

// TestOldRequestsAllowNothing checks that requests of earlier windows don't add up, so that a daemon which
// gets only occasional requests for a service accumulates nothing.
func TestOldRequestsAllowNothing(t *testing.T) {
	now := time.Unix(1, 0)
	b := New(now, Options{Ratio: 0.18, Window: testWindow})
	for range 50 {
		b.Deposit(now, "svc")
	}
	if left := b.Balance(now, "svc"); left < 8.9 {
		t.Errorf("balance at once after 50 requests: got %v, want 9", left)
	}
	now = now.Add(testWindow + time.Second)
	for range 3 {
		b.Deposit(now, "svc")
	}
	if left := b.Balance(now, "svc"); left > 3*0.18+1e-9 {
		t.Errorf("balance a window later after three more requests: got %v, want 0.54", left)
	}
}
