package gridfleet

import (
	"sync"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/gridserver"
)

// TestContradictoryRefusalsAreNoPromise guards against second runs and false promises for bookings whose server
// contradicts itself about whether it ran them.
func TestContradictoryRefusalsAreNoPromise(t *testing.T) {
	for _, fault := range gridserver.ContradictoryRefusals() {
		t.Run(string(fault), func(t *testing.T) {
			f, servers := start(t, Options{DaemonsPerZone: 1})
			for _, s := range servers {
				s.SetFault(fault)
			}
			for range 10 {
				checkResponse(t, servers, sendBooking(f.Daemons[0]))
			}
		})
	}
}

// TestRequestsAreNotRepeatedOnceRouteIsNotIdempotent guards against second runs under a version by which a request
// must run once, of requests that came before it.
func TestRequestsAreNotRepeatedOnceRouteIsNotIdempotent(t *testing.T) {
	const serviceTime = 600 * time.Millisecond
	f, servers := start(t, Options{DaemonsPerZone: 1})
	d := f.Daemons[0]
	readers := []*gridserver.Server{servers["reader-1"], servers["reader-2"]}
	for _, s := range readers {
		s.SetServiceTime(serviceTime)
		s.SetFault(gridserver.ResetAfterRun)
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			sendRead(d)
		})
	}
	time.Sleep(250 * time.Millisecond)
	routes := standardRoutes()
	routes[0].Kind = "unsafe"
	version := ident.Version(f.Configure(routes, "reader", "booker"))
	eventually(t, "the version is in force", func() bool { return d.Edge.Version() >= version })
	inForce := time.Now()
	wg.Wait()
	first := map[string]bool{}
	for _, s := range readers {
		for _, run := range s.Log() {
			if run.At.Before(inForce) {
				first[run.ID] = true
			}
		}
	}
	for _, s := range readers {
		for _, run := range s.Log() {
			if first[run.ID] && run.At.After(inForce) && servers["reader-1"].Runs()[run.ID]+servers["reader-2"].Runs()[run.ID] > 1 {
				t.Errorf("%s ran again %v after the version was in force by which it may run once", run.ID, run.At.Sub(inForce))
			}
		}
	}
}
