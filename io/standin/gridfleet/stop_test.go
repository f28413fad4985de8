package gridfleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bilberrymux/io/standin/gridserver"
)

// TestRequestsAtEndOfPlannedStopAreNotLeft guards against cut requests that come at the end of a planned stop.
func TestRequestsAtEndOfPlannedStopAreNotLeft(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		// margin is the time between the end of the stop's plan and that of the grace period.
		margin = 700 * time.Millisecond
		around = 200 * time.Millisecond
	)
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetServiceTime(600 * time.Millisecond)
	}
	d := f.Daemons[0]
	end := d.Settings.Bounds.Grace.Duration() - margin
	conns := openConns(t, d, int(2*around/interval))
	left := make(chan int64, 1)
	go func() { left <- d.Edge.Stop() }()
	var wg sync.WaitGroup
	responses := make(chan response, len(conns))
	for n, c := range conns {
		wg.Go(func() {
			time.Sleep(end - around + time.Duration(n)*interval)
			responses <- bookOn(c)
		})
	}
	if n := <-left; n != 0 {
		t.Errorf("%d requests were in flight at the end of the planned stop, want 0", n)
	}
	wg.Wait()
	close(responses)
	statuses := map[string]int{}
	for r := range responses {
		statuses[fmt.Sprint(r.Status, " ", r.Err != nil)]++
		checkRefusal(t, servers, r)
	}
	t.Log(statuses)
}

// TestRequestsThatOutlastPlannedStopAreAnswered guards against cut requests whose server hangs to the end of the stop.
func TestRequestsThatOutlastPlannedStopAreAnswered(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	d := f.Daemons[0]
	for range 50 {
		if r := sendBooking(d); !r.valid() {
			t.Fatalf("before the stop: got %+v, want a valid response", r)
		}
	}
	for _, s := range servers {
		s.SetFault(gridserver.Hang)
	}
	conns := openConns(t, d, 4)
	left := make(chan int64, 1)
	go func() { left <- d.Edge.Stop() }()
	var wg sync.WaitGroup
	for n, c := range conns {
		wg.Go(func() {
			time.Sleep(500*time.Millisecond + time.Duration(n)*100*time.Millisecond)
			r := bookOn(c)
			if r.Err != nil || r.Status != http.StatusBadGateway && r.Status != http.StatusGatewayTimeout {
				t.Errorf("got %+v, want an answer which promises nothing", r)
			}
		})
	}
	if n := <-left; n != 0 {
		t.Errorf("%d requests were in flight at the end of the planned stop, want 0", n)
	}
	wg.Wait()
}
