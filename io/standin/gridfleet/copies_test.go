package gridfleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bilberrymux/io/standin/gridserver"
)

// enoughRepeats is the number of requests that must come again to the server that refused them.
const enoughRepeats = 5

// bookConcurrently sends bookings by eight callers at a time and checks each response.
func bookConcurrently(t *testing.T, f *Fleet, servers map[string]*gridserver.Server, total int) {
	t.Helper()
	const callers = 8
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range total / callers {
				checkResponse(t, servers, sendBooking(f.Daemons[0]))
				time.Sleep(time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// TestCopyOfRefusalByEarlierServerOfAddressIsNoPromise guards against second runs and false promises for bookings
// whose second attempt goes to the address of the first one, by another row.
func TestCopyOfRefusalByEarlierServerOfAddressIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for _, others := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d,otherServers=%v", status, others), func(t *testing.T) {
				t.Parallel()
				f, servers := start(t, Options{DaemonsPerZone: 1})
				if !others {
					f.Remove("booker-2")
					eventually(t, "the row is removed", func() bool { return !isListed(f.Daemons[0], "booker-2") })
				}
				server := servers["booker-1"]
				server.SetCopiesRefusals(true)
				server.SetMisdirectedStatus(status)
				// A new daemon's budget for further attempts is empty until requests add to it.
				bookConcurrently(t, f, servers, 160)
				// The other server is busy, so that most second attempts go to the address of the first.
				servers["booker-2"].SetServiceTime(100 * time.Millisecond)
				round := 0
				eventually(t, "bookings are sent again to the address that refused them", func() bool {
					// New rows follow, since a row is left out for some time after 421.
					for n := range 4 {
						earlier := fmt.Sprintf("earlier-%d-%d", round, n)
						f.AddRow(earlier, "booker-1")
						eventually(t, "the row is listed", func() bool { return isListed(f.Daemons[0], earlier) })
					}
					round++
					bookConcurrently(t, f, servers, 160)
					return server.RunsAfterRefusal() >= enoughRepeats
				})
				t.Logf("%d bookings were refused and sent again to the same address, %d copies of refusals", server.RunsAfterRefusal(), server.Copies())
			})
		}
	}
}

// isListed reports whether a daemon lists the server with the given id.
func isListed(d *Daemon, id string) bool {
	for _, s := range d.Edge.Servers() {
		if string(s.ID) == id {
			return true
		}
	}
	return false
}

// TestCopyOfRefusalIsNoPromiseForRequestWithSameID guards against false promises and second runs for bookings of a
// caller that uses the id of a refused one again.
func TestCopyOfRefusalIsNoPromiseForRequestWithSameID(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	booker := []*gridserver.Server{servers["booker-1"], servers["booker-2"]}
	for _, s := range booker {
		s.SetFault(gridserver.ShedOnce)
		s.SetCopiesRefusals(true)
	}
	for range 60 {
		r := sendBooking(f.Daemons[0])
		for range 4 {
			if r.Status == http.StatusOK {
				break
			}
			r = sendAs(f.Daemons[0], r.ID, http.MethodPost, bookHost, "/b/x", "a visit")
		}
		checkResponse(t, servers, r)
	}
	if booker[0].RunsAfterRefusal()+booker[1].RunsAfterRefusal() == 0 {
		t.Error("no booking was sent again to a server that refused it")
	}
}

// TestCopyOfRefusalIsNoPromiseForConcurrentRequestWithSameID guards against the same for two requests with one id
// that are under way together.
func TestCopyOfRefusalIsNoPromiseForConcurrentRequestWithSameID(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.ShedOnce)
		servers[id].SetCopiesRefusals(true)
	}
	for n := range 60 {
		id := fmt.Sprintf("shared-%d", n)
		var wg sync.WaitGroup
		responses := make([]response, 4)
		for i := range responses {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				responses[i] = sendAs(f.Daemons[0], id, http.MethodPost, bookHost, "/b/x", "a visit")
			})
		}
		wg.Wait()
		answered, refused := 0, 0
		for _, r := range responses {
			switch r.Status {
			case http.StatusOK:
				answered++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				refused++
			}
		}
		runs := servers["booker-1"].Runs()[id] + servers["booker-2"].Runs()[id]
		if runs > len(responses)-refused {
			t.Errorf("%s: %d of %d requests were refused as not run, %d answered, and it ran %d times", id, refused, len(responses), answered, runs)
		}
	}
}

// TestCopyOfRefusalIsNoPromiseAfterStartTimeChanged guards against the same for a server whose row names another start
// time while its process goes on.
func TestCopyOfRefusalIsNoPromiseAfterStartTimeChanged(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	f.Remove("booker-2")
	eventually(t, "the row is removed", func() bool { return !isListed(f.Daemons[0], "booker-2") })
	server := servers["booker-1"]
	// A new daemon's budget for further attempts is empty until requests add to it.
	bookConcurrently(t, f, servers, 400)
	server.SetFault(gridserver.ShedOnce)
	server.SetCopiesRefusals(true)
	// The row changes while a request waits to be refused.
	server.SetServiceTime(100 * time.Millisecond)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := int64(1); ; n++ {
			select {
			case <-done:
				return
			case <-time.After(40 * time.Millisecond):
				f.SetStart("booker-1", time.Now().Add(time.Duration(n)*time.Minute))
			}
		}
	})
	eventually(t, "bookings are sent again to the server that refused them", func() bool {
		bookConcurrently(t, f, servers, 160)
		return server.RunsAfterRefusal() >= enoughRepeats
	})
	close(done)
	wg.Wait()
	t.Logf("%d bookings were refused and sent again, %d copies of refusals", server.RunsAfterRefusal(), server.Copies())
}

// TestCopyOfRefusalIsNoPromiseForRequestWithoutID guards against the same for requests that bear no id, of which any two
// look alike.
func TestCopyOfRefusalIsNoPromiseForRequestWithoutID(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.ShedOnce)
		servers[id].SetCopiesRefusals(true)
	}
	runs := func() int { return servers["booker-1"].Runs()[""] + servers["booker-2"].Runs()[""] }
	for range 40 {
		before := runs()
		r := sendAs(f.Daemons[0], "", http.MethodPost, bookHost, "/b/x", "a visit")
		ran := runs() - before
		if ran > 1 {
			t.Errorf("a booking ran %d times, want at most once", ran)
		}
		if ran > 0 && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) {
			t.Error("a booking was refused as not run, and ran")
		}
	}
	if runs() == 0 {
		t.Error("no booking ran")
	}
}
