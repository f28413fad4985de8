package gridfleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// newsOfCrash is longer than daemons tell each other of a crash.
const newsOfCrash = 1500 * time.Millisecond

// sendPoison sends a request that crashes the servers whose fault is gridserver.Crash.
func sendPoison(d *Daemon) response { return send(d, http.MethodPost, bookHost, "/b/poison", "kills") }

// isPoison reports whether a request was refused since it is quarantined.
func isPoison(r response) bool { return strings.Contains(r.Body, `"poison"`) }

// startCrashing starts a fleet whose bookers crash, and lets two of them crash by one request.
func startCrashing(t *testing.T, o Options) (*Fleet, map[string]*gridserver.Server) {
	t.Helper()
	f, servers := start(t, o)
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.Crash)
	}
	eventually(t, "both servers crashed", func() bool {
		sendPoison(f.Daemons[0])
		return servers["booker-1"].Arrivals() > 0 && servers["booker-2"].Arrivals() > 0
	})
	for _, d := range f.Daemons {
		eventually(t, "the request is quarantined", func() bool { return isPoison(sendPoison(d)) })
	}
	return f, servers
}

// TestStartedDaemonsKnowRequestsThatCrashServers guards against a request that crashes two servers more after each restart of
// a daemon, whoever is left that knows it: the peers, the store, or the store after a return from an older copy.
func TestStartedDaemonsKnowRequestsThatCrashServers(t *testing.T) {
	for _, test := range []struct {
		name string
		// store and all report whether the daemon can reach the store when it starts, and whether all daemons start.
		store, all bool
		// restored reports whether the store came back from an older copy before.
		restored bool
	}{{"peers", false, false, false}, {"store", true, true, false}, {"both", true, false, false}, {"restored store", true, true, true}} {
		t.Run(test.name, func(t *testing.T) {
			var saved rowstore.Copy
			f, servers := start(t, Options{})
			saved = f.Store.Copy()
			for _, id := range []string{"booker-1", "booker-2"} {
				servers[id].SetFault(gridserver.Crash)
			}
			eventually(t, "the request is quarantined", func() bool { return isPoison(sendPoison(f.Daemons[0])) })
			eventually(t, "all daemons and the store know it", func() bool {
				return isPoison(sendPoison(f.Daemons[1])) && f.Store.Count("quarantine") > 0
			})
			if test.restored {
				f.Store.Restore(saved)
				eventually(t, "the store knows it again", func() bool { return f.Store.Count("quarantine") > 0 })
			}
			for _, id := range []string{"booker-1", "booker-2"} {
				if err := f.RestartServer(id, 0, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
			// Daemons no longer repeat the news of the crashes.
			time.Sleep(newsOfCrash)
			before := servers["booker-1"].Arrivals() + servers["booker-2"].Arrivals()
			if !test.store {
				f.Store.SetFaults(rowstore.Faults{Down: rowstore.Refuse})
			}
			if test.all {
				f.Daemons[0].Edge.Kill()
			}
			f.Daemons[1].Edge.Kill()
			for n := range 2 {
				if n == 0 && !test.all {
					continue
				}
				d, err := f.StartDaemon(0, n)
				if err != nil {
					t.Fatal(err)
				}
				for end := time.Now().Add(eventuallyTimeout); !isReady(d) && time.Now().Before(end); {
					sendPoison(d)
				}
				if r := sendPoison(d); !isPoison(r) {
					t.Errorf("daemon %d: got %+v, want a refusal as poison", n, r)
				}
			}
			if got := servers["booker-1"].Arrivals() + servers["booker-2"].Arrivals() - before; got > 0 {
				t.Errorf("requests that reached servers after the restart: got %d, want none", got)
			}
		})
	}
}

// TestMovedRouteKeepsRequestsThatCrashServersAway guards against a request that crashes two servers of each service to which its
// route moves.
func TestMovedRouteKeepsRequestsThatCrashServersAway(t *testing.T) {
	f, servers := startCrashing(t, Options{})
	for _, id := range []string{"reader-1", "reader-2"} {
		servers[id].SetFault(gridserver.Crash)
	}
	for _, move := range []func(r *Route){
		func(r *Route) { r.Service = "reader" },
		func(r *Route) {
			r.Service, r.Backends = "", []WeightedService{{Service: "reader", Weight: 1}, {Service: "booker", Weight: 1}}
		},
	} {
		routes := standardRoutes()
		move(&routes[1])
		version := f.Configure(routes, "reader", "booker")
		for _, d := range f.Daemons {
			eventually(t, "the version is in force", func() bool { return d.Edge.Version() == ident.Version(version) })
			for range 4 {
				if r := sendPoison(d); !isPoison(r) {
					t.Errorf("got %+v, want a refusal as poison", r)
				}
			}
		}
	}
	for _, id := range []string{"reader-1", "reader-2"} {
		if n := servers[id].Arrivals(); n > 0 {
			t.Errorf("%s got %d requests, want none", id, n)
		}
	}
}

// TestPopularPageIsServedAfterCrashes guards against a page that many callers read and servers answer well, and which is kept off
// them since two servers crashed by chance while they ran it.
func TestPopularPageIsServedAfterCrashes(t *testing.T) {
	f, servers := start(t, Options{})
	for n := range 4 {
		id := fmt.Sprintf("reader-%d", n+3)
		s, err := f.AddServer(id, "reader", 0, 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		servers[id] = s
	}
	crashed := 0
	for n, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); n++ {
		for _, d := range f.Daemons {
			if r := sendRead(d); isPoison(r) {
				t.Fatalf("read %d was refused as poison after %d crashes", n, crashed)
			}
		}
		if n%50 == 49 && crashed < 3 {
			crashed++
			servers[fmt.Sprintf("reader-%d", crashed)].SetFault(gridserver.Crash)
		}
	}
	if servers["reader-1"].Arrivals()+servers["reader-2"].Arrivals() == 0 || crashed < 3 {
		t.Errorf("%d servers crashed, want 3", crashed)
	}
}
