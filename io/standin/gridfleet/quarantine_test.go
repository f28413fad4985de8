package gridfleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/gridserver"
)

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
