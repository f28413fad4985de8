package discovery

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/catalog"
	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/news"
	"bilberrymux/io/standin/rowstore"
	"bilberrymux/platform"
)

// newTestWatcher returns a Watcher that reads from the store and discards its log.
func newTestWatcher(t *testing.T, store *platform.Store) *Watcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Store: store, Members: zone.New(zone.Member{VM: "a"}), Log: log.WithField("vm", "a"), DrainDelay: 2 * time.Second, ConfigDelay: 2 * time.Second,
		OnConfig: func(*catalog.Catalog) {}, OnRoster: func(time.Time, *roster.Roster, *roster.Roster) {}, Count: func(string) {},
	})
}

// startStore starts a row store and returns it with a client of it.
func startStore(t *testing.T) (*rowstore.Server, *platform.Store) {
	t.Helper()
	server, address, stop, err := rowstore.Start(rowstore.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return server, platform.NewStore(address, dial, func(string, string, time.Duration) {})
}

// TestRelayedConfirmationAgesGrow guards against lists that never expire. Two daemons
// send each other the age of a list that a third daemon read. If they sent the relayed
// age, each message would lose its transit time, the age would not grow, and neither
// would read the list again.
func TestRelayedConfirmationAgesGrow(t *testing.T) {
	server, store := startStore(t)
	server.Put("servers", "1", rowOf(1, 0))
	reader, first, second := newTestWatcher(t, store), newTestWatcher(t, store), newTestWatcher(t, store)
	if err := reader.ReadServers(context.Background()); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, w := range []*Watcher{first, second} {
		var m news.Message
		reader.SetVersions(now, &m)
		if w.StateRequestFor(now, &m) == nil {
			t.Fatal("StateRequestFor returned nil for a newer list")
		}
		s, _ := reader.StateFor(&news.StateRequest{})
		w.ApplyState(now, s, "reader")
		if _, servers := w.Ages(now); servers > time.Second {
			t.Fatalf("age of a list that was just read: got %v, want at most 1s", servers)
		}
	}
	const transit = 200 * time.Millisecond
	for range 20 {
		for _, pair := range [][2]*Watcher{{first, second}, {second, first}} {
			var m news.Message
			pair[0].SetVersions(now, &m)
			now = now.Add(transit)
			pair[1].StateRequestFor(now, &m)
		}
	}
	for _, w := range []*Watcher{first, second} {
		if _, servers := w.Ages(now); servers < 7*time.Second {
			t.Errorf("age of the list 8s after the last read from the store: got %v, want at least 7s", servers)
		}
	}
}

// TestOtherZonesAreAskedAfterDelay checks that a daemon which learns of a newer list
// and a newer configuration version from another zone requests them there only after
// its own zone had time to receive them.
func TestOtherZonesAreAskedAfterDelay(t *testing.T) {
	server, store := startStore(t)
	server.Put("servers", "1", rowOf(1, 0))
	w := newTestWatcher(t, store)
	if err := w.ReadServers(context.Background()); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	from := func(z ident.ZoneID, revision uint64, version ident.Version) *news.Message {
		return &news.Message{From: memberIn(z), Revision: revision, Era: 1, Version: version}
	}
	if w.StateRequestFor(now, from("", 99, 0)) == nil {
		t.Error("no request to a daemon of the local zone that has a newer list")
	}
	if r := w.StateRequestFor(now, from("far", 99, 7)); r != nil {
		t.Errorf("request to a daemon of another zone without delay: got %+v, want nil", r)
	}
	soon := now.Add(2 * crossZoneConfigDelay)
	if r := w.StateRequestFor(soon, from("far", 0, 7)); r == nil || r.Members {
		t.Errorf("a configuration version that only another zone has: got request %+v, want one without Members", r)
	}
	late := now.Add(w.listSchedule.MaxAge(crossZoneReaderRank) + time.Millisecond)
	if w.StateRequestFor(late, from("far", 99, 0)) == nil {
		t.Error("no request to another zone although the list reached the maximum age of the reader at crossZoneReaderRank")
	}
}

// TestNewDaemonRequestsMembers checks that a daemon without a list requests the list
// of daemons from a peer.
func TestNewDaemonRequestsMembers(t *testing.T) {
	_, store := startStore(t)
	r := newTestWatcher(t, store).StateRequestFor(time.Now(), &news.Message{From: memberIn("far"), Revision: 3, Version: 1})
	if r == nil || !r.Members {
		t.Errorf("request of a daemon without a list: got %+v, want one with Members", r)
	}
}

// memberIn returns a daemon of a zone.
func memberIn(z ident.ZoneID) zone.Member { return zone.Member{VM: "b", Zone: z} }
