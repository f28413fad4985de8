package gridfleet

import (
	"net/http"
	"testing"

	"bilberrymux/io/standin/gridserver"
)

// TestMalformedHeadsReachNoCaller guards against answers whose head a lenient parser accepts. They are failures of the
// server, which may have run the booking.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, fault := range gridserver.MalformedHeads() {
		t.Run(string(fault), func(t *testing.T) {
			for _, s := range servers {
				s.SetFault(fault)
			}
			for range 4 {
				r := sendBooking(f.Daemons[0])
				checkResponse(t, servers, r)
				if r.Err != nil || r.Status != http.StatusBadGateway || r.Header.Get("Bilberrymux-Response-Signature") != "" {
					t.Errorf("got status %d, header %v, error %v; want an unsigned 502", r.Status, r.Header, r.Err)
				}
			}
		})
	}
}

// TestUnusualHeadsReachCallers checks that responses which are well-formed are passed on, and that their connections can be
// used again.
func TestUnusualHeadsReachCallers(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	for _, fault := range gridserver.OrdinaryHeads() {
		t.Run(string(fault), func(t *testing.T) {
			for _, s := range servers {
				s.SetFault(fault)
			}
			for range 2 {
				r := sendBooking(f.Daemons[0])
				if status := r.Status; r.Err != nil || status < 200 || status > 299 || r.Body == "" || r.Header.Get("Bilberrymux-Response-Signature") != "s."+r.ID {
					t.Errorf("got %+v, want the signed response of the server", r)
				}
			}
		})
	}
}
