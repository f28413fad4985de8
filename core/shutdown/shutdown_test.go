package shutdown

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/internal/testfiles"
)

// TestAccepts plays the requests of testdata/accepts.txt.
func TestAccepts(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	for _, line := range testfiles.Lines(t, "testdata/accepts.txt") {
		var end, at, deadline, usual, accepted string
		if _, err := fmt.Sscan(line, &end, &at, &deadline, &usual, &accepted); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		var g Gate
		g.Begin(NewPlan(begin, begin.Add(duration(t, end))))
		got := g.Accepts(begin.Add(duration(t, at)), begin.Add(duration(t, deadline)), duration(t, usual))
		if diff := cmp.Diff(accepted == "yes", got); diff != "" {
			t.Errorf("%s: accepted (-want +got):\n%s", line, diff)
		}
	}
}

func TestGateIsOpenBeforeStop(t *testing.T) {
	var g Gate
	now := time.Now()
	if g.Stopping() || !g.Accepts(now, now.Add(time.Hour), time.Minute) {
		t.Error("a gate without a plan rejects requests")
	}
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
