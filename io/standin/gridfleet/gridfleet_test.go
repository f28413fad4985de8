package gridfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// eventuallyTimeout is how long eventually waits for a condition before the test fails.
const eventuallyTimeout = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", eventuallyTimeout, what)
}

const (
	readHost = "read.example"
	bookHost = "book.example"
)

func standardRoutes() []Route {
	return []Route{
		{Name: "reads", Host: readHost, Prefix: "/r/", Kind: "safe", Timeout: 2, Target: 0.5, Attempts: 2, Service: "reader"},
		{Name: "books", Host: bookHost, Prefix: "/b/", Kind: "unsafe", Timeout: 2, Target: 0.5, Priority: 1, Attempts: 2, Service: "booker"},
	}
}

// start starts a fleet with two servers of each service and waits until all daemons are ready and
// know all servers. The fleet is stopped when the test ends.
func start(t *testing.T, o Options) (*Fleet, map[string]*gridserver.Server) {
	t.Helper()
	if o.Zones == nil {
		o.Zones = []ident.ZoneID{"north"}
	}
	if o.DaemonsPerZone == 0 {
		o.DaemonsPerZone = 2
	}
	var log *logBuffer
	if o.Log == nil {
		log = &logBuffer{}
		o.Log = log
	}
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Stop()
		// The next test's daemons use the same addresses. A request on an idle connection would reach
		// a daemon of this test, which continues to serve open connections.
		http.DefaultClient.CloseIdleConnections()
		if t.Failed() && log != nil {
			t.Log(log.warnings())
		}
	})
	servers := map[string]*gridserver.Server{}
	for _, service := range []string{"reader", "booker"} {
		for n := range 2 {
			id := fmt.Sprintf("%s-%d", service, n+1)
			s, err := f.AddServer(id, service, n%len(o.Zones), 5*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			servers[id] = s
		}
	}
	f.Configure(standardRoutes(), "reader", "booker")
	for _, d := range f.Daemons {
		eventually(t, "the daemon is ready", func() bool { return isReady(d) })
		eventually(t, "all servers are listed", func() bool { return len(d.Edge.Servers()) == 4 })
	}
	return f, servers
}

func isReady(d *Daemon) bool {
	resp, err := http.Get("http://" + d.Settings.ReadyAddress + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var lastRequestID atomic.Int64

// response is the result of a caller's request.
type response struct {
	ID     string
	Status int
	Body   string
	Header http.Header
	Err    error
}

// valid reports whether r is a complete, signed response of a server to the request r.ID.
func (r *response) valid() bool {
	return r.Err == nil && r.Status == 200 && strings.HasSuffix(r.Body, " to "+r.ID) &&
		r.Header.Get("Bilberrymux-Response-Signature") == "s."+r.ID
}

// read reads the response of a daemon.
func (r *response) read(resp *http.Response) {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r.Status, r.Body, r.Header, r.Err = resp.StatusCode, string(text), resp.Header, err
}

// send sends one request to a daemon with a new request id and a deadline of 3 s.
func send(d *Daemon, method, host, path, body string) response {
	return sendAs(d, fmt.Sprintf("id-%d", lastRequestID.Add(1)), method, host, path, body)
}

// sendAs sends a request like send, with the given request id.
func sendAs(d *Daemon, id, method, host, path, body string) response {
	r := response{ID: id}
	req, err := http.NewRequest(method, "http://"+d.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		r.Err = err
		return r
	}
	req.Host = host
	req.Header.Set("Bilberrymux-Request-Id", r.ID)
	req.Header.Set("Bilberrymux-Deadline-Ms", "3000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		r.Err = err
		return r
	}
	r.read(resp)
	return r
}

func sendRead(d *Daemon) response    { return send(d, http.MethodGet, readHost, "/r/x", "") }
func sendBooking(d *Daemon) response { return send(d, http.MethodPost, bookHost, "/b/x", "a visit") }

func TestRequestsReachServersUnchanged(t *testing.T) {
	f, servers := start(t, Options{})
	path := "/r/a%2Fb/../c//d?x=1&y=%20"
	r := send(f.Daemons[0], http.MethodPost, readHost, path, "body "+strings.Repeat("z", 5000))
	if !r.valid() {
		t.Fatalf("got %+v, want a valid response", r)
	}
	got := ""
	for _, s := range servers {
		got += s.Body(r.ID)
	}
	if diff := cmp.Diff("body "+strings.Repeat("z", 5000), got); diff != "" {
		t.Errorf("body at the server (-want +got):\n%s", diff)
	}
	if r := send(f.Daemons[0], http.MethodGet, readHost, "/nothing/x", ""); r.Status != 404 {
		t.Errorf("request without a route: got status %d, want 404", r.Status)
	}
}

func TestSickServerIsLeftBySharedNews(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 3})
	for range 30 {
		sendBooking(f.Daemons[0])
	}
	servers["booker-1"].SetFault(gridserver.ResetBeforeRun)
	eventually(t, "a booking fails with status 502", func() bool { return sendBooking(f.Daemons[0]).Status == 502 })
	for _, d := range f.Daemons[1:] {
		eventually(t, "the daemon learns the failing server's risk from its peers", func() bool {
			for _, v := range d.Edge.Beliefs() {
				if v.ID == "booker-1" {
					return v.Risk > 0.5
				}
			}
			return false
		})
	}
	before := servers["booker-1"].Arrivals()
	for range 10 {
		if r := sendBooking(f.Daemons[1]); !r.valid() {
			t.Errorf("booking after the risk was shared: got %+v, want a valid response", r)
		}
	}
	if n := servers["booker-1"].Arrivals() - before; n > 0 {
		t.Errorf("failing server got %d bookings, want 0", n)
	}
}

func TestDrainingServerGetsNoNewWork(t *testing.T) {
	f, servers := start(t, Options{})
	f.Drain("booker-1")
	for _, d := range f.Daemons {
		eventually(t, "the daemon knows that the server is draining", func() bool {
			for _, s := range d.Edge.Servers() {
				if s.ID == "booker-1" {
					return s.Draining
				}
			}
			return false
		})
	}
	before := servers["booker-1"].Arrivals()
	for i := range 40 {
		if r := sendBooking(f.Daemons[i%2]); !r.valid() {
			t.Errorf("booking: got %+v, want a valid response", r)
		}
	}
	if n := servers["booker-1"].Arrivals() - before; n > 0 {
		t.Errorf("draining server got %d bookings, want 0", n)
	}
}

func TestConfigurationReachesAllDaemonsAndNeverReverts(t *testing.T) {
	f, _ := start(t, Options{Zones: []ident.ZoneID{"north", "south"}, DaemonsPerZone: 5})
	f.Store.SetFaults(rowstore.Faults{DelayMillis: 20})
	routes := append(standardRoutes(), Route{
		Name: "late", Host: readHost, Prefix: "/late/", Kind: "safe", Timeout: 2, Target: 1, Attempts: 2, Service: "reader",
	})
	version := f.Configure(routes, "reader", "booker")
	for _, d := range f.Daemons {
		eventually(t, "the version is in force", func() bool { return d.Edge.Version() == ident.Version(version) })
		if r := send(d, http.MethodGet, readHost, "/late/x", ""); !r.valid() {
			t.Errorf("request to the new route: got %+v, want a valid response", r)
		}
	}
	// The store loses its data, and an older configuration version is written to it.
	f.Store.DropHistory()
	old := f.version
	f.version -= 6
	f.Configure(standardRoutes(), "reader", "booker")
	f.version = old
	time.Sleep(500 * time.Millisecond)
	for _, d := range f.Daemons {
		if d.Edge.Version() != ident.Version(version) {
			t.Errorf("%s went from version %d to %d", d.Settings.VM, version, d.Edge.Version())
		}
	}
}

func TestDaemonStartsFromPeersWithoutStore(t *testing.T) {
	f, _ := start(t, Options{})
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Refuse})
	d, err := f.StartDaemon(0, 2)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon is ready without the store", func() bool { return isReady(d) })
	if r := sendBooking(d); !r.valid() {
		t.Errorf("booking: got %+v, want a valid response", r)
	}
}

// TestLeftServerStaysAwayAfterRestart removes a server while one daemon runs, restarts the other daemon
// without the store, and checks that the restarted one neither lists the server nor sends it work: its
// list comes from a peer, and no older one may follow.
func TestLeftServerStaysAwayAfterRestart(t *testing.T) {
	f, servers := start(t, Options{})
	f.Remove("booker-1")
	listed := func(d *Daemon) bool {
		return slices.ContainsFunc(d.Edge.Servers(), func(s roster.Server) bool { return s.ID == "booker-1" })
	}
	for _, d := range f.Daemons {
		eventually(t, "the daemon no longer lists the server", func() bool { return !listed(d) })
	}
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Refuse})
	f.Daemons[1].Edge.Kill()
	d, err := f.StartDaemon(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the restarted daemon is ready", func() bool { return isReady(d) })
	before := servers["booker-1"].Arrivals()
	for range 40 {
		if r := sendBooking(d); !r.valid() {
			t.Errorf("booking after the restart: got %+v, want a valid response", r)
		}
		if listed(d) {
			t.Fatal("the restarted daemon lists a server that has left")
		}
	}
	if n := servers["booker-1"].Arrivals() - before; n > 0 {
		t.Errorf("the server that has left got %d bookings, want 0", n)
	}
}

func TestDaemonWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	f, err := Start(Options{Zones: []ident.ZoneID{"north"}, DaemonsPerZone: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	if r := sendBooking(f.Daemons[0]); r.Status != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("before any configuration: got %+v, want status 503 with Retry-After", r)
	}
	if isReady(f.Daemons[0]) {
		t.Error("daemon is ready without a configuration, want not ready")
	}
}

func TestPlannedStopDropsNoRequest(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetServiceTime(300 * time.Millisecond)
	}
	stoppingDaemon := f.Daemons[0]
	var wg sync.WaitGroup
	responses := make(chan response, 100)
	stop := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					responses <- sendBooking(stoppingDaemon)
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	left := make(chan int64, 1)
	go func() { left <- stoppingDaemon.Edge.Stop() }()
	eventually(t, "the stopping daemon is no longer ready", func() bool { return !isReady(stoppingDaemon) })
	eventually(t, "locate responses no longer list the stopping daemon", func() bool {
		resp, err := http.Get("http://" + f.Daemons[1].Settings.LocateAddress + "/-/resolve?name=" + bookHost + "&region=north&zone=north")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return err == nil && !strings.Contains(string(text), stoppingDaemon.Settings.CallerAddress) &&
			strings.Contains(string(text), f.Daemons[1].Settings.CallerAddress)
	})
	close(stop)
	wg.Wait()
	close(responses)
	for r := range responses {
		if !r.valid() {
			t.Errorf("during the planned stop: got %+v, want a valid response", r)
		}
	}
	if n := <-left; n != 0 {
		t.Errorf("%d requests were left", n)
	}
}

// TestRequestsLateInPlannedStopAreNotCut guards against requests that are taken on connections without
// an earlier one, late in a planned stop, and are in flight when the process ends.
func TestRequestsLateInPlannedStopAreNotCut(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetServiceTime(900 * time.Millisecond)
	}
	d := f.Daemons[0]
	const interval = 100 * time.Millisecond
	grace := d.Settings.Bounds.Grace.Duration()
	conns := openConns(t, d, 2*int(grace/interval))
	left := make(chan int64, 1)
	go func() { left <- d.Edge.Stop() }()
	var wg sync.WaitGroup
	responses := make(chan response, len(conns))
	for n, c := range conns {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * interval / 2)
			responses <- bookOn(c)
		})
	}
	if n := <-left; n != 0 {
		t.Errorf("%d requests were in flight at the end of the planned stop, want 0", n)
	}
	wg.Wait()
	close(responses)
	for r := range responses {
		if r.Err == nil && r.Status != 200 && r.Status != 503 {
			t.Errorf("during the planned stop: got %+v, want a response of a server or a refusal as not run", r)
		}
		checkRefusal(t, servers, r)
	}
}

// openConns opens connections to a daemon, which are closed when the test ends.
func openConns(t *testing.T, d *Daemon, count int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range count {
		c, err := net.Dial("tcp", d.Settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
	}
	return conns
}

// bookOn sends a booking on an open connection.
func bookOn(c net.Conn) response {
	r := response{ID: fmt.Sprintf("id-%d", lastRequestID.Add(1))}
	fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", bookHost, r.ID)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.Err = err
		return r
	}
	r.read(resp)
	return r
}

// checkRefusal checks that a request did not run if its response says so.
func checkRefusal(t *testing.T, servers map[string]*gridserver.Server, r response) {
	t.Helper()
	for id, s := range servers {
		if r.Status == 503 && s.Runs()[r.ID] > 0 {
			t.Errorf("request %s was refused as not run, but it ran at %s", r.ID, id)
		}
	}
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetServiceTime(time.Minute)
	}
	c, err := net.Dial("tcp", f.Daemons[0].Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: gone\r\n\r\n", readHost)
	inFlight := func() int64 { return servers["reader-1"].InFlight() + servers["reader-2"].InFlight() }
	eventually(t, "the request runs on a server", func() bool { return inFlight() == 1 })
	c.Close()
	eventually(t, "the request is cancelled on the server", func() bool { return inFlight() == 0 })
}

func TestChunkedBodiesOnKeepAliveConnection(t *testing.T) {
	f, servers := start(t, Options{})
	c, err := net.Dial("tcp", f.Daemons[0].Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for n := range 3 {
		id := fmt.Sprintf("chunked-%d", n)
		fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", bookHost, id)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil || !strings.HasSuffix(string(text), " to "+id) {
			t.Errorf("got response %q, error %v, want a body that ends with %q", text, err, " to "+id)
		}
		got := servers["booker-1"].Body(id) + servers["booker-2"].Body(id)
		if got != "hello world" {
			t.Errorf("server received body %q, want %q", got, "hello world")
		}
	}
}
