package refresh

import (
	"testing"
	"time"

	"bilberrymux/core/ident"
)

func TestSilentPeersDelayFetchesByPatienceOnly(t *testing.T) {
	f, now := NewFetches(func() float64 { return 1 }), time.Unix(1000, 0)
	begin := func(peer string, want bool) {
		t.Helper()
		if got := f.Begin(now, ident.VMID(peer), Target{}, func() {}); got != want {
			t.Errorf("fetch from %s after %v: got %v, want %v", peer, now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	begin("silent", true)
	begin("silent", false)
	begin("sound", false)
	now = now.Add(fetchPatience)
	begin("silent", false)
	begin("sound", true)
	begin("third", false)
	f.Fail("sound")
	begin("third", true)
	for _, peer := range []string{"fourth", "fifth", "sixth", "seventh"} {
		now = now.Add(fetchPatience)
		begin(peer, true)
	}
	now = now.Add(fetchPatience)
	begin("eighth", false)
	f.Fail("silent")
	begin("eighth", true)
}

func TestFetchesOfOldDataAreCancelledOnceNewerDataArrived(t *testing.T) {
	f, now := NewFetches(func() float64 { return 1 }), time.Unix(1000, 0)
	cancelled := map[string]bool{}
	for _, peer := range []struct {
		name   ident.VMID
		target Target
	}{{"old", Target{1, ident.StoreVersion{Number: 10}}}, {"same", Target{2, ident.StoreVersion{Number: 10}}}, {"newerList", Target{1, ident.StoreVersion{Number: 11}}}, {"newerConfig", Target{3, ident.StoreVersion{Number: 1}}}} {
		if !f.Begin(now, peer.name, peer.target, func() { cancelled[string(peer.name)] = true }) {
			t.Fatalf("fetch from %s did not begin", peer.name)
		}
		now = now.Add(fetchPatience)
	}
	f.Succeed("same", Target{2, ident.StoreVersion{Number: 10}})
	for peer, want := range map[string]bool{"old": true, "same": false, "newerList": false, "newerConfig": false} {
		if cancelled[peer] != want {
			t.Errorf("fetch from %s cancelled: got %v, want %v", peer, cancelled[peer], want)
		}
	}
}

func TestBusyPeersAreNotAskedAllTheTime(t *testing.T) {
	f, now := NewFetches(func() float64 { return 1 }), time.Unix(1000, 0)
	begin := func(want bool) {
		t.Helper()
		if got := f.Begin(now, "peer", Target{}, func() {}); got != want {
			t.Errorf("fetch after %v: got %v, want %v", now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	begin(true)
	f.Busy(now, "peer")
	begin(false)
	now = now.Add(minBusyPause + busyPauseSpread)
	begin(true)
}

// TestBusyPeerDelaysNoFetchFromOthers guards against a daemon that was told to come back, and meanwhile asks nobody who
// has the data.
func TestBusyPeerDelaysNoFetchFromOthers(t *testing.T) {
	f, now := NewFetches(func() float64 { return 1 }), time.Unix(1000, 0)
	begin := func(peer string, want bool) {
		t.Helper()
		if got := f.Begin(now, ident.VMID(peer), Target{}, func() {}); got != want {
			t.Errorf("fetch from %s after %v: got %v, want %v", peer, now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	begin("busy", true)
	f.Busy(now, "busy")
	begin("other", true)
	f.Fail("other")
	now = now.Add(minBusyPause + busyPauseSpread)
	// Its link is full, so that it sends slowly.
	begin("busy", true)
	begin("other", true)
	begin("third", false)
	f.Fail("busy")
	f.Fail("other")
	now = now.Add(busyMemory)
	begin("busy", true)
	begin("other", false)
}
