package link_test

import (
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/link"
)

var start = time.Unix(1_800_000_000, 0)

// takeAll takes 100 bytes at a time until the budget refuses, and returns the number of bytes
// taken.
func takeAll(b *link.Budget, now time.Time, rank ident.Rank) int {
	sum := 0
	for b.Take(now, rank, 100) {
		sum += 100
	}
	return sum
}

// TestRankSharesAreReserved checks that a less urgent rank cannot use the tokens of a more urgent
// one, while the urgent rank may use all tokens.
func TestRankSharesAreReserved(t *testing.T) {
	b := link.New(10_000, start)
	if got := takeAll(b, start, ident.Background); got != 1000 {
		t.Errorf("background rank took %d bytes of a two-second burst, want 1000", got)
	}
	if got := takeAll(b, start, ident.Normal); got != 7000 {
		t.Errorf("normal rank took %d bytes, want 7000", got)
	}
	if got := takeAll(b, start, ident.Urgent); got != 12_000 {
		t.Errorf("urgent rank took %d bytes, want 12000", got)
	}
	b = link.New(10_000, start)
	if got := takeAll(b, start, ident.Urgent); got != 20_000 {
		t.Errorf("urgent rank alone took %d bytes, want all 20000", got)
	}
}

// TestBudgetRefillsWithTime checks that an empty budget refills by one second's rate in one
// second, and not at all if the clock goes back.
func TestBudgetRefillsWithTime(t *testing.T) {
	b := link.New(10_000, start)
	takeAll(b, start, ident.Urgent)
	if got := takeAll(b, start.Add(-time.Hour), ident.Urgent); got != 0 {
		t.Errorf("took %d bytes after the clock went back, want 0", got)
	}
	if got := takeAll(b, start.Add(time.Second), ident.Urgent); got < 9_800 || got > 10_000 {
		t.Errorf("took %d bytes after one second, want 9800 to 10000", got)
	}
}

// TestChargeDelaysLaterRequests checks that charged bytes of a response reduce the budget for
// later requests until the bucket is refilled.
func TestChargeDelaysLaterRequests(t *testing.T) {
	b := link.New(10_000, start)
	b.Charge(start, ident.Background, 2000)
	if b.Take(start, ident.Background, 100) {
		t.Error("Take succeeded while the bucket's level was negative, want refusal")
	}
	if !b.Take(start.Add(4*time.Second), ident.Background, 100) {
		t.Error("Take failed after four seconds, want success: two seconds of refill bring the level back to zero")
	}
}

// TestZeroRateRefusesEverything checks that a rate of zero disables the link.
func TestZeroRateRefusesEverything(t *testing.T) {
	if link.New(0, start).Take(start.Add(time.Hour), ident.Urgent, 1) {
		t.Error("Take succeeded with a rate of zero, want refusal")
	}
}
