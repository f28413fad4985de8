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

// keeper returns a keeper of a store that has one server.
func keeper(t *testing.T, store *platform.Store) *Watcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Store: store, Zone: zone.New(zone.Member{VM: "a"}), Log: log.WithField("vm", "a"), DrainDelay: 2 * time.Second,
		OnConfig: func(*catalog.Catalog) {}, OnRoster: func(time.Time, *roster.Roster, *roster.Roster) {}, Count: func(string) {},
	})
}

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
	return server, platform.NewStore(address, dial, func(string, string) {})
}

// TestAgesThatArePassedOnDoNotStayYoung lets two daemons tell each other of a list
// that a third read, over messages that are under way for a while. The list must
// grow old for both, so that one of them reads it again.
func TestAgesThatArePassedOnDoNotStayYoung(t *testing.T) {
	server, store := startStore(t)
	server.Put("servers", "1", rowOf(1, 0))
	reader, first, second := keeper(t, store), keeper(t, store), keeper(t, store)
	if err := reader.ReadServers(context.Background()); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, k := range []*Watcher{first, second} {
		var m news.Message
		reader.SetVersions(now, &m)
		if k.StateRequestFor(now, &m) == nil {
			t.Fatal("nothing is lacking")
		}
		k.ApplyState(now, reader.StateFor(&news.StateRequest{}), "reader")
		if _, servers := k.ages(now); servers > time.Second {
			t.Fatalf("a list that was just read is %v old", servers)
		}
	}
	const underWay = 200 * time.Millisecond
	for range 20 {
		for _, pair := range [][2]*Watcher{{first, second}, {second, first}} {
			var m news.Message
			pair[0].SetVersions(now, &m)
			now = now.Add(underWay)
			pair[1].StateRequestFor(now, &m)
		}
	}
	for _, k := range []*Watcher{first, second} {
		if _, servers := k.ages(now); servers < 7*time.Second {
			t.Errorf("after 8 s without a reader the list is said to be %v old", servers)
		}
	}
}

// TestOtherZonesAreAskedOnlyWhereTheOwnIsLate lets a daemon hear from another zone
// of a newer list and a newer version: it asks there only once its own zone had time
// to learn of them.
func TestOtherZonesAreAskedOnlyWhereTheOwnIsLate(t *testing.T) {
	server, store := startStore(t)
	server.Put("servers", "1", rowOf(1, 0))
	k := keeper(t, store)
	if err := k.ReadServers(context.Background()); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	from := func(z ident.ZoneID, stamp uint64, version ident.Version) *news.Message {
		return &news.Message{From: zoned(z), Stamp: stamp, Version: version}
	}
	if k.StateRequestFor(now, from("", 99, 0)) == nil {
		t.Error("a newer list in the own zone is not asked for")
	}
	if r := k.StateRequestFor(now, from("far", 99, 7)); r != nil {
		t.Errorf("another zone is asked at once: %+v", r)
	}
	soon := now.Add(2 * configPatience)
	if r := k.StateRequestFor(soon, from("far", 0, 7)); r == nil || r.Members {
		t.Errorf("a version that stays away from the own zone: asked for %+v", r)
	}
	late := now.Add(k.readAfter(lastReader) + time.Millisecond)
	if k.StateRequestFor(late, from("far", 99, 0)) == nil {
		t.Error("a list that nobody of the own zone reads is not asked for")
	}
}

// TestNewDaemonAsksForTheOthers checks that only a daemon without any list asks
// who else there is.
func TestNewDaemonAsksForTheOthers(t *testing.T) {
	_, store := startStore(t)
	r := keeper(t, store).StateRequestFor(time.Now(), &news.Message{From: zoned("far"), Stamp: 3, Version: 1})
	if r == nil || !r.Members {
		t.Errorf("asked for %+v", r)
	}
}

func zoned(z ident.ZoneID) zone.Member { return zone.Member{VM: "b", Zone: z} }
