package refresh

import (
	"testing"
	"time"

	"bilberrymux/core/ident"
)

func TestSilentPeersDelayFetchesByPatienceOnly(t *testing.T) {
	f, now := NewFetches(), time.Unix(1000, 0)
	begin := func(peer string, want bool) {
		t.Helper()
		if got := f.Begin(now, ident.VMID(peer)); got != want {
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
	f.End("sound")
	begin("third", true)
	now = now.Add(fetchPatience)
	begin("fourth", true)
	now = now.Add(fetchPatience)
	begin("fifth", false)
	f.End("silent")
	begin("fifth", true)
}
