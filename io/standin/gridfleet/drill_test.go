package gridfleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/io/standin/rowstore"
)

// drillBound is the time from a write after the store's return until all daemons act by it.
const drillBound = 2 * time.Second

// drill lets the store go away after age, and come back after absence from a copy taken at the call. Meanwhile change is
// called.
func drill(f *Fleet, age, absence time.Duration, change func()) {
	saved := f.Store.Copy()
	time.Sleep(age)
	change()
	time.Sleep(reportInterval)
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Reset})
	time.Sleep(absence)
	f.Store.Restore(saved)
	f.Store.SetFaults(rowstore.Faults{})
}

// within fails the test unless the condition holds for all daemons within drillBound.
func within(t *testing.T, f *Fleet, what string, ok func(d *Daemon) bool) {
	t.Helper()
	for end := time.Now().Add(drillBound); ; time.Sleep(10 * time.Millisecond) {
		behind := 0
		for _, d := range f.Daemons {
			if !ok(d) {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(end) {
			t.Errorf("not within %v at %d of %d daemons: %s", drillBound, behind, len(f.Daemons), what)
			return
		}
	}
}

// listed returns the server with an id in a daemon's list, or nil.
func listed(d *Daemon, id ident.ServerID) *roster.Server {
	for _, s := range d.Edge.Servers() {
		if s.ID == id {
			return &s
		}
	}
	return nil
}

// TestChangesAfterStoreReturnedAreInForce guards against daemons that take no new version and no change of the servers after
// the store came back from a copy, for copies and absences of several lengths, in series.
func TestChangesAfterStoreReturnedAreInForce(t *testing.T) {
	f, servers := start(t, Options{Zones: []ident.ZoneID{"north", "south"}, DaemonsPerZone: 3})
	for n, age := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		for m, absence := range []time.Duration{0, 400 * time.Millisecond, time.Second} {
			id := fmt.Sprintf("booker-%d%d", n, m)
			s, err := f.AddServer(id, "booker", 0, 5*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			servers[id] = s
			within(t, f, id+" is listed", func(d *Daemon) bool { return listed(d, ident.ServerID(id)) != nil })
			drill(f, age, absence, func() {})
			route := fmt.Sprintf("/d%d%d/", n, m)
			version := f.Configure(append(standardRoutes(), Route{
				Name: "late", Host: readHost, Prefix: route, Kind: "safe", Timeout: 2, Target: 1, Attempts: 2, Service: "reader",
			}), "reader", "booker")
			f.Drain(id)
			what := fmt.Sprintf("after a copy %v old and an absence of %v: ", age, absence)
			within(t, f, what+"the new version", func(d *Daemon) bool { return d.Edge.Version() == ident.Version(version) })
			within(t, f, what+"the server that leaves", func(d *Daemon) bool { s := listed(d, ident.ServerID(id)); return s != nil && s.Draining })
			for _, d := range f.Daemons {
				if r := send(d, http.MethodGet, readHost, route+"x", ""); !r.valid() {
					t.Errorf("%snew route: got %+v, want a valid response", what, r)
				}
			}
			f.Remove(id)
		}
	}
}

// TestLeftServersStayAwayAfterStoreReturned guards against bookings at servers that drained or left before the store came
// back from a copy in which they are ready.
func TestLeftServersStayAwayAfterStoreReturned(t *testing.T) {
	f, servers := start(t, Options{Zones: []ident.ZoneID{"north", "south"}, DaemonsPerZone: 3})
	for _, id := range []string{"booker-3", "booker-4"} {
		s, err := f.AddServer(id, "booker", 0, 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		servers[id] = s
	}
	within(t, f, "all servers are listed", func(d *Daemon) bool { return len(d.Edge.Servers()) == 6 })
	before := map[string]int64{}
	drill(f, 300*time.Millisecond, 300*time.Millisecond, func() {
		f.Remove("booker-3")
		f.Stall("booker-4")
		within(t, f, "the servers have left", func(d *Daemon) bool {
			s := listed(d, "booker-4")
			return listed(d, "booker-3") == nil && s != nil && s.Draining
		})
		for _, id := range []string{"booker-3", "booker-4"} {
			before[id] = servers[id].Arrivals()
		}
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, d := range f.Daemons {
			if r := sendBooking(d); !r.valid() {
				t.Errorf("booking: got %+v, want a valid response", r)
			}
		}
	}
	for id, n := range before {
		if got := servers[id].Arrivals() - n; got > 0 {
			t.Errorf("%s got %d bookings, want 0", id, got)
		}
	}
}
