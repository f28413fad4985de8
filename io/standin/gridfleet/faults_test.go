package gridfleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/zone"
	"bilberrymux/io/netfault"
	"bilberrymux/io/news"
	"bilberrymux/io/periodic"
	"bilberrymux/io/standin/gridserver"
)

// TestServerFaultsNeverCauseInvalidResponses sends requests while half of the servers inject each
// fault in turn. Every successful response must be complete and belong to its request, no booking
// may run twice, and no booking that was refused as not run may have run.
func TestServerFaultsNeverCauseInvalidResponses(t *testing.T) {
	faults := []gridserver.Fault{
		gridserver.ResetBeforeRun, gridserver.ResetAfterRun, gridserver.Error, gridserver.Shed, gridserver.ExtraResponse,
		gridserver.TruncatedBody, gridserver.UnframedBody, gridserver.Unsigned, gridserver.EndlessHead, gridserver.EndlessBody,
		gridserver.TruncatedHead, gridserver.RepeatedRefusal, gridserver.AnonymousRefusal, gridserver.UnmarkedRefusal,
	}
	for _, fault := range faults {
		t.Run(string(fault), func(t *testing.T) {
			// Servers that failed before would get few of the requests.
			f, servers := start(t, Options{})
			for _, id := range []string{"reader-1", "booker-1"} {
				servers[id].SetFault(fault)
				defer servers[id].SetFault(gridserver.Healthy)
			}
			var wg sync.WaitGroup
			responses := make(chan response, 200)
			for i := range 100 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Millisecond)
					responses <- sendRead(f.Daemons[i%2])
					responses <- sendBooking(f.Daemons[i%2])
				})
			}
			wg.Wait()
			close(responses)
			validCount := 0
			for r := range responses {
				checkResponse(t, servers, r)
				if r.valid() {
					validCount++
				}
			}
			if validCount < 100 {
				t.Errorf("got %d valid responses of 200 with half of the servers healthy, want at least 100", validCount)
			}
		})
	}
}

func TestRefusalOfEarlierRequestIsNotTakenForNextOne(t *testing.T) {
	for _, fault := range []gridserver.Fault{gridserver.RepeatedRefusal, gridserver.AnonymousRefusal} {
		t.Run(string(fault), func(t *testing.T) {
			f, servers := start(t, Options{DaemonsPerZone: 1})
			for _, s := range servers {
				s.SetFault(fault)
			}
			for range 50 {
				checkResponse(t, servers, sendBooking(f.Daemons[0]))
			}
		})
	}
}

// TestLargeResponsesArriveWhole checks that a response which is larger than the daemon's buffer reaches
// the caller completely.
func TestLargeResponsesArriveWhole(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetFault(gridserver.LargeBody)
	}
	for range 5 {
		if r := sendBooking(f.Daemons[0]); !r.valid() || len(r.Body) != 1<<20 {
			t.Errorf("got status %d, %d bytes, error %v; want the whole body of %d bytes", r.Status, len(r.Body), r.Err, 1<<20)
		}
	}
}

// TestTruncatedLargeResponseIsNotComplete checks that a caller sees that a response broke off after
// the daemon had passed on a part of it, and that the server's risk rises.
func TestTruncatedLargeResponseIsNotComplete(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetFault(gridserver.TruncatedLargeBody)
	}
	for range 5 {
		if r := sendBooking(f.Daemons[0]); r.Err == nil && r.Status == 200 {
			t.Errorf("a response of %d bytes that broke off looks complete", len(r.Body))
		}
	}
	eventually(t, "a server counts as sick", func() bool {
		for _, v := range f.Daemons[0].Edge.Beliefs() {
			if v.Risk > 0.5 {
				return true
			}
		}
		return false
	})
}

// TestHedgedLargeResponsesEnd sends reads with large responses that are hedged, and checks that the
// attempts which lost end as well: none of them stays in flight in the daemon's view.
func TestHedgedLargeResponsesEnd(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetFault(gridserver.LargeBody)
		s.SetServiceTime(600 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			if r := sendRead(f.Daemons[0]); !r.valid() {
				t.Errorf("got status %d, %d bytes, error %v; want a valid response", r.Status, len(r.Body), r.Err)
			}
		})
	}
	wg.Wait()
	eventually(t, "no attempt is in flight", func() bool {
		return !slices.ContainsFunc(f.Daemons[0].Edge.Beliefs(), func(v belief.View) bool { return v.Active > 0 })
	})
}

// TestEndlessResponsesAreClosed checks that the daemon closes connections on which bytes come that are
// no response and have no end.
func TestEndlessResponsesAreClosed(t *testing.T) {
	f, servers := start(t, Options{})
	for _, fault := range []gridserver.Fault{gridserver.EndlessHead, gridserver.EndlessBody} {
		for _, s := range servers {
			s.SetFault(fault)
		}
		for range 4 {
			if r := sendBooking(f.Daemons[0]); r.Err != nil || r.Status < 500 {
				t.Errorf("%s: got status %d, error %v, want a refusal", fault, r.Status, r.Err)
			}
		}
		for id, s := range servers {
			eventually(t, "no endless response is being written by "+id, func() bool { return s.Endless() == 0 })
		}
	}
}

// checkResponse checks a response against the runs that the servers recorded.
func checkResponse(t *testing.T, servers map[string]*gridserver.Server, r response) {
	t.Helper()
	runs, booked := 0, 0
	for id, s := range servers {
		n := s.Runs()[r.ID]
		runs += n
		if strings.HasPrefix(id, "booker") {
			booked += n
		}
	}
	if booked > 1 {
		t.Errorf("booking %s ran %d times, want at most once", r.ID, booked)
	}
	if r.Err != nil {
		t.Errorf("request %s failed: %v", r.ID, r.Err)
		return
	}
	if r.Status == 200 && !r.valid() {
		t.Errorf("status 200 but the response is not valid: %+v", r)
	}
	if (r.Status == 503 || r.Status == 429) && booked > 0 {
		t.Errorf("booking %s was refused as not run, but it ran", r.ID)
	}
	if r.Header.Get("Bilberrymux-Response-Signature") != "" && r.Status != 200 && r.Status != 500 {
		t.Errorf("signed response with a status other than 200 or 500: %+v", r)
	}
}

// TestMalformedDatagramsAreIgnored sends a daemon datagrams with damaged and absurd content. It must go
// on to serve, to hear its peers, and to list the same servers.
func TestMalformedDatagramsAreIgnored(t *testing.T) {
	f, _ := start(t, Options{})
	d := f.Daemons[0]
	c, err := net.Dial("udp", net.JoinHostPort(d.Settings.IP, fmt.Sprint(portPeers)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	nan := float32(math.NaN())
	absurd := []news.Message{
		{},
		{From: zone.Member{VM: "x"}, Version: math.MaxUint64, Revision: math.MaxUint64, Relay: true, Hello: true},
		{
			From:    zone.Member{VM: "x", Zone: "north", PeerAddress: "nowhere", Capacity: math.NaN(), Ready: true},
			Losses:  []belief.LossReport{{Service: "booker", Lost: nan, Total: nan}, {Service: "booker", Lost: 9, Total: -1}},
			Reports: []belief.Report{{ID: "booker-1", StartMillis: -1, Risk: 255, AgeMillis: 0, Active: 255}, {}},
			Changes: &news.Changes{BaseRevision: math.MaxUint64, Revision: 1, Servers: map[string][]byte{"": nil, "z": {0xff}}, Removed: []string{"booker-1", ""}},
		},
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, m := range absurd {
		body, err := cbor.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		for range 300 {
			if _, err := c.Write(body); err != nil {
				t.Fatal(err)
			}
			body[random.IntN(len(body))] = byte(random.Uint32())
		}
	}
	before := len(d.Edge.Servers())
	for range 20 {
		if r := sendBooking(d); !r.valid() {
			t.Errorf("after malformed datagrams: got %+v, want a valid response", r)
		}
	}
	s, err := f.AddServer("booker-9", "booker", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	for _, d := range f.Daemons {
		eventually(t, "the daemon lists the new server", func() bool { return len(d.Edge.Servers()) == before+1 })
	}
}

func TestMalformedRowsAreIgnored(t *testing.T) {
	f, _ := start(t, Options{})
	for i, row := range []string{
		`{"service":"booker"`, `{"service":"booker","address":"127.0.0.1:1"}`, `[]`, "\xff",
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":"4","state":"ready","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":4,"state":"odd","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":4,"state":"ready","warmup_left_s":0,"sequence":1,"born":1.5}`,
		`{"service":"booker","address":"127.0.0.1:99999","zone":"north","version":"v1","capacity":4,"state":"ready","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":9000000000000000000,"state":"ready","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":4,"state":"ready","warmup_left_s":1e999,"sequence":1,"born":1}`,
		strings.Repeat("[", 60_000),
		strings.Repeat(`{"a":`, 12_000),
	} {
		f.Store.Put("servers", fmt.Sprintf("odd-%d", i), []byte(row))
	}
	s, err := f.AddServer("booker-3", "booker", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons {
		eventually(t, "the new server is listed", func() bool { return len(d.Edge.Servers()) == 5 })
	}
	_ = s
}

func TestReusedAddressIsNotTrusted(t *testing.T) {
	f, servers := start(t, Options{})
	// A new daemon's budget for extra attempts is empty until requests add to it.
	for i := range 40 {
		sendBooking(f.Daemons[i%2])
	}
	f.ChangeServerID("booker-1", "stranger")
	before := len(servers["booker-1"].Runs())
	for i := range 30 {
		if r := sendBooking(f.Daemons[i%2]); !r.valid() {
			t.Errorf("booking: got %+v, want a valid response", r)
		}
	}
	if n := len(servers["booker-1"].Runs()) - before; n > 0 {
		t.Errorf("the other server at the reused address ran %d requests, want 0", n)
	}
}

func TestHangingServerHitsRouteTimeout(t *testing.T) {
	f, servers := start(t, Options{})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.Hang)
	}
	if r := sendBooking(f.Daemons[0]); r.Status != 504 {
		t.Errorf("hanging server: got %+v, want status 504", r)
	}
}

func TestPoisonRequestIsQuarantinedOnAllDaemons(t *testing.T) {
	f, servers := start(t, Options{})
	sendPoison := func(d *Daemon) response { return send(d, http.MethodPost, bookHost, "/b/poison", "kills") }
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.Crash)
	}
	eventually(t, "both servers crashed", func() bool {
		sendPoison(f.Daemons[0])
		return servers["booker-1"].Arrivals() > 0 && servers["booker-2"].Arrivals() > 0
	})
	for _, d := range f.Daemons {
		eventually(t, "the poison request is quarantined", func() bool {
			return strings.Contains(sendPoison(d).Body, `"poison"`)
		})
	}
	if r := send(f.Daemons[0], http.MethodPost, bookHost, "/b/other", "does not"); strings.Contains(r.Body, `"poison"`) {
		t.Errorf("another request was quarantined: %+v", r)
	}
}

// TestSilentPeerDoesNotDelayConfiguration cuts a daemon off from the store. A peer that accepts connections
// and never answers announces a newer version to it all the time.
func TestSilentPeerDoesNotDelayConfiguration(t *testing.T) {
	rules := &netfault.Rules{}
	f, _ := start(t, Options{Rules: rules})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	body, err := cbor.Marshal(&news.Message{
		From: zone.Member{VM: "silent", Incarnation: "silent~1", Zone: "north", PeerAddress: silent.Addr().String()}, Version: math.MaxUint32,
	})
	if err != nil {
		t.Fatal(err)
	}
	d := f.Daemons[1]
	c, err := net.Dial("udp", net.JoinHostPort(d.Settings.IP, fmt.Sprint(portPeers)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		periodic.Every(ctx, 10*time.Millisecond, func(time.Time) {
			if _, err := c.Write(body); err != nil {
				t.Error(err)
			}
		})
		c.Close()
	})
	defer wg.Wait()
	defer cancel()
	rules.Set([]netfault.Rule{{From: f.Address, To: string(d.Settings.VM), Drop: true}})
	time.Sleep(500 * time.Millisecond)
	version := ident.Version(f.Configure(standardRoutes(), "reader", "booker"))
	bound := d.Settings.Bounds.Config.Duration()
	for limit := time.Now().Add(bound); d.Edge.Version() < version && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := d.Edge.Version(); got < version {
		t.Errorf("%v after version %d was accepted: got version %d", bound, version, got)
	}
}

func TestRequestsGivenUpLateCountAsLost(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	d := f.Daemons[0]
	servers["booker-1"].SetFault(gridserver.Hang)
	servers["booker-2"].SetFault(gridserver.Hang)
	giveUpAfter := func(wait time.Duration) {
		c, err := net.Dial("tcp", d.Settings.CallerAddress)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: late-%d\r\nContent-Length: 0\r\n\r\n", bookHost, lastRequestID.Add(1))
		time.Sleep(wait)
	}
	target := time.Duration(standardRoutes()[1].Target * float64(time.Second))
	loss := func() int { return gauge(t, d, `bilberrymux_lossPerMille{service="booker"}`) }
	for range 5 {
		giveUpAfter(target / 10)
	}
	if got := loss(); got != 0 {
		t.Errorf("loss after callers left early: got %d per mille, want 0", got)
	}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { giveUpAfter(target + 200*time.Millisecond) })
	}
	wg.Wait()
	limit := time.Now().Add(2 * time.Second)
	for loss() < 900 && time.Now().Before(limit) {
		time.Sleep(20 * time.Millisecond)
	}
	if got := loss(); got < 900 {
		t.Errorf("loss after all callers left later than the target: got %d per mille, want 900 or more", got)
	}
}
