package gridfleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bilberrymux/internal/headcases"
)

// TestMalformedRequestsReachNoServer guards against fields of a caller that a lenient parser accepts, and that a server may
// read in another way.
func TestMalformedRequestsReachNoServer(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, c := range headcases.Load().MalformedRequestFields {
		t.Run(c.Name, func(t *testing.T) {
			id := "malformed-" + c.Name
			// The connection ends, so that the second request gets no response.
			text := bookingWith(id, c) + bookingWith(id+"-next", headcases.Case{})
			got := rawExchange(t, f.Daemons[0], text, 2, 10*time.Second)
			if len(got) != 1 || got[0].Status != http.StatusBadRequest {
				t.Errorf("got responses %+v, want one with status 400", got)
			}
			for name, s := range servers {
				if s.Runs()[id] > 0 {
					t.Errorf("the request ran at %s", name)
				}
			}
		})
	}
}

// TestUnusualRequestsReachServers checks that requests with fields that are well-formed are served.
func TestUnusualRequestsReachServers(t *testing.T) {
	f, _ := start(t, Options{DaemonsPerZone: 1})
	for _, c := range headcases.Load().OrdinaryRequestFields {
		id := "unusual-" + c.Name
		got := rawExchange(t, f.Daemons[0], bookingWith(id, c), 1, 10*time.Second)
		if len(got) == 1 {
			got[0].ID = id
		}
		if len(got) != 1 || !got[0].valid() {
			t.Errorf("%s: got responses %+v, want a valid one", c.Name, got)
		}
	}
}

// bookingWith returns a booking with the fields of a case.
func bookingWith(id string, c headcases.Case) string {
	return fmt.Sprintf("POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\n%s\r\n", bookHost, id, c.Expand("", ""))
}
