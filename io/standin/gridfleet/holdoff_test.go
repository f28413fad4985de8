package gridfleet

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/rowstore"
)

// bookFor sends bookings to all daemons one after the other for a time.
func bookFor(f *Fleet, d time.Duration, check func(r response)) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		check(sendBooking(f.Daemons[n%len(f.Daemons)]))
	}
}

// TestLeavingServerGetsNothingNew checks that a daemon sends nothing to a server that has said to it that it
// leaves, although the list still says that it is ready and the store is down.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	leaving := servers["booker-1"]
	leaving.SetLeaving(true)
	eventually(t, "the server has said that it leaves", func() bool {
		sendBooking(f.Daemons[0])
		return len(leaving.Statements()) > 0
	})
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Refuse})
	before := leaving.Arrivals()
	bookFor(f, 3*time.Second, func(r response) {
		if !r.valid() {
			t.Errorf("got %+v, want a valid response of the other server", r)
		}
	})
	if n := leaving.Arrivals() - before; n != 0 {
		t.Errorf("the leaving server got %d requests, want 0", n)
	}
}

// TestPausedServerGetsNothing checks that a daemon sends nothing to a server for the time for which that asked
// for no requests, and uses it again when it is needed.
func TestPausedServerGetsNothing(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for range 40 {
		// The budget for further attempts begins empty.
		sendBooking(f.Daemons[0])
	}
	paused := servers["booker-1"]
	const pause = 1500 * time.Millisecond
	paused.SetPause(pause)
	eventually(t, "the server has asked for a pause", func() bool {
		sendBooking(f.Daemons[0])
		return len(paused.Statements()) > 0
	})
	asked, before := paused.Statements()[0].At, int(paused.Arrivals())
	// The other server has four slots, so that the daemon would send some of the requests to this one.
	servers["booker-2"].SetServiceTime(100 * time.Millisecond)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			bookFor(f, time.Until(asked.Add(pause)), func(r response) {
				if !r.valid() {
					t.Errorf("got %+v, want a valid response of the other server", r)
				}
			})
		})
	}
	wg.Wait()
	for _, a := range paused.ArrivalLog()[before:] {
		if into := a.At.Sub(asked); into < pause {
			t.Errorf("the server got %s %v into its pause of %v", a.ID, into, pause)
		}
	}
	before = int(paused.Arrivals())
	paused.SetPause(0)
	servers["booker-2"].SetPause(time.Minute)
	eventually(t, "the server gets requests again", func() bool {
		sendBooking(f.Daemons[0])
		return int(paused.Arrivals()) > before
	})
}

// TestPauseOfAllServersIsRefusedAtOnce checks that while all servers pause, requests are refused as not run with
// the time that is left.
func TestPauseOfAllServersIsRefusedAtOnce(t *testing.T) {
	f, servers := start(t, Options{Zones: []ident.ZoneID{"north"}, DaemonsPerZone: 1})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetPause(5 * time.Second)
	}
	eventually(t, "both servers have asked for a pause", func() bool {
		sendBooking(f.Daemons[0])
		return len(servers["booker-1"].Statements()) > 0 && len(servers["booker-2"].Statements()) > 0
	})
	begin := time.Now()
	r := sendBooking(f.Daemons[0])
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	if r.Status != 503 || err != nil || wait < 2 || wait > 6.25 {
		t.Errorf("got %+v, want status 503 with the time that is left of 5 s in Retry-After", r)
	}
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("the refusal took %v, want it at once", took)
	}
}

// TestWrongStatementsLoseNoServer checks that invalid statements change nothing.
func TestWrongStatementsLoseNoServer(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetLimit("soon")
	}
	for range 20 {
		if r := sendBooking(f.Daemons[0]); !r.valid() {
			t.Errorf("got %+v, want a valid response", r)
		}
	}
}
