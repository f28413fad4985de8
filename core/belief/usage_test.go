package belief

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/roster"
)

// TestUsageNamesWhyServersAreNotInUse checks the counts of ready servers of the zone by their use.
func TestUsageNamesWhyServersAreNotInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := New(Options{Zone: "a", OnChange: func(roster.Server, float64, Outcome) {}})
	servers := []*roster.Server{
		{ID: "recent", Zone: "a"},
		{ID: "unreachable", Zone: "a"},
		{ID: "suspect", Zone: "a"},
		{ID: "idle", Zone: "a"},
		{ID: "draining", Zone: "a", Draining: true},
		{ID: "far", Zone: "b"},
	}
	end := func(server *roster.Server, at time.Time, o Outcome) {
		a := tracker.Pick(at, &PickInfo{Servers: []*roster.Server{server}, Route: "r", TargetLatency: time.Second})
		tracker.End(at, a, o, 100*time.Millisecond)
	}
	end(servers[2], now, Broken)
	now = now.Add(2 * usageWindow)
	end(servers[1], now.Add(-usageWindow), Unreachable)
	end(servers[1], now, Unreachable)
	now = now.Add(usageWindow + time.Millisecond)
	end(servers[0], now, Good)
	got := tracker.Usage(now, servers)
	want := map[Use]int{UseRecent: 1, UseUnreachable: 1, UseSuspect: 1, UseIdle: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usage (-want +got):\n%s", diff)
	}
}
