package link_test

import (
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/link"
)

var start = time.Unix(1_800_000_000, 0)

// drain takes 100 bytes at a time until the budget refuses, and returns the sum.
func drain(b *link.Budget, now time.Time, rank ident.Rank) int {
	sum := 0
	for b.Take(now, rank, 100) {
		sum += 100
	}
	return sum
}

// TestRanksKeepTheirPart lets the least urgent rank use up what it can: the
// others still have theirs, and urgent work may use everything.
func TestRanksKeepTheirPart(t *testing.T) {
	b := link.New(10_000, start)
	if got := drain(b, start, ident.Background); got != 1000 {
		t.Errorf("background took %d bytes of two seconds, want 1000", got)
	}
	if got := drain(b, start, ident.Normal); got != 7000 {
		t.Errorf("normal took %d, want 7000", got)
	}
	if got := drain(b, start, ident.Urgent); got != 12_000 {
		t.Errorf("urgent took %d, want 12000", got)
	}
	b = link.New(10_000, start)
	if got := drain(b, start, ident.Urgent); got != 20_000 {
		t.Errorf("urgent alone took %d, want all 20000", got)
	}
}

// TestBudgetRefillsWithTime takes all, and a second's worth after a second; time
// that goes back gives nothing.
func TestBudgetRefillsWithTime(t *testing.T) {
	b := link.New(10_000, start)
	drain(b, start, ident.Urgent)
	if got := drain(b, start.Add(-time.Hour), ident.Urgent); got != 0 {
		t.Errorf("%d bytes for time that went back", got)
	}
	if got := drain(b, start.Add(time.Second), ident.Urgent); got < 9_800 || got > 10_000 {
		t.Errorf("%d bytes after a second, want about 10000", got)
	}
}

// TestAnswersAreCharged lets an answer that was sent already cost later requests.
func TestAnswersAreCharged(t *testing.T) {
	b := link.New(10_000, start)
	b.Charge(start, ident.Background, 2000)
	if b.Take(start, ident.Background, 100) {
		t.Error("a rank in debt may send")
	}
	if !b.Take(start.Add(4*time.Second), ident.Background, 100) {
		t.Error("a debt of two seconds is not paid after four")
	}
}

// TestZeroBudgetRefuses turns the link off.
func TestZeroBudgetRefuses(t *testing.T) {
	if link.New(0, start).Take(start.Add(time.Hour), ident.Urgent, 1) {
		t.Error("a budget of zero lets bytes pass")
	}
}
