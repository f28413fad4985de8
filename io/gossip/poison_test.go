package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/io/peer/peerpb"
)

// TestStartedDaemonsLearnQuarantine guards against a request that crashes two servers more after each restart of a daemon:
// entries were sent only once, when they were made.
func TestStartedDaemonsLearnQuarantine(t *testing.T) {
	g, quarantine := newGossipWithPoison()
	now := time.Now()
	quarantine.RecordCrash(now, poison.Run{Service: "s", Server: "1"}, []ident.Fingerprint{7})
	want := quarantine.RecordCrash(now, poison.Run{Service: "s", Server: "2"}, []ident.Fingerprint{7})[0]
	reply, err := g.Exchange(context.Background(), &peerpb.News{From: "vm-2"})
	if err != nil {
		t.Fatal(err)
	}
	started, known := newGossipWithPoison()
	if _, err := started.Exchange(context.Background(), reply); err != nil {
		t.Fatal(err)
	}
	got := known.Entries(now)
	if len(got) != 1 || got[0].Fingerprint != want.Fingerprint || known.Admit(now, "other", 7) {
		t.Errorf("entries after one exchange (-want +got):\n%s", cmp.Diff(want, got))
	}
}
