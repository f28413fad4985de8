package discovery

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/catalog"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/news"
	"bilberrymux/io/standin/rowstore"
	"bilberrymux/platform"
)

// keeper returns a keeper of a store that has one server.
func keeper(t *testing.T, store *platform.Store) *Keeper {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Store: store, Zone: zone.New(zone.Member{VM: "a"}), Log: log.WithField("vm", "a"), Drain: 2 * time.Second,
		Configured: func(*catalog.Catalog) {}, Listed: func(time.Time, *roster.Roster, *roster.Roster) {}, Count: func(string) {},
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
	for _, k := range []*Keeper{first, second} {
		var m news.Message
		reader.Describe(now, &m)
		if k.Lacks(now, &m) == nil {
			t.Fatal("nothing is lacking")
		}
		k.Take(now, reader.Answer(&news.StateRequest{}), "reader")
		if _, servers := k.ages(now); servers > time.Second {
			t.Fatalf("a list that was just read is %v old", servers)
		}
	}
	const underWay = 200 * time.Millisecond
	for range 20 {
		for _, pair := range [][2]*Keeper{{first, second}, {second, first}} {
			var m news.Message
			pair[0].Describe(now, &m)
			now = now.Add(underWay)
			pair[1].Lacks(now, &m)
		}
	}
	for _, k := range []*Keeper{first, second} {
		if _, servers := k.ages(now); servers < 7*time.Second {
			t.Errorf("after 8 s without a reader the list is said to be %v old", servers)
		}
	}
}
