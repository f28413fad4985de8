package gridfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// patience bounds the waiting for what must come; it is no measurement.
const patience = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
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

// start brings up a fleet with two servers of each service and waits until it is
// ready.
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
		// The next test's daemons listen at the same addresses. A request on an open connection would
		// reach a daemon of this test, which goes on serving it.
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
		eventually(t, "daemon ready", func() bool { return ready(d) })
		eventually(t, "servers listed", func() bool { return len(d.Edge.Servers()) == 4 })
	}
	return f, servers
}

func ready(d *Daemon) bool {
	resp, err := http.Get("http://" + d.Settings.ReadyAddress + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var ids atomic.Int64

// answer is what a caller got.
type answer struct {
	ID     string
	Status int
	Body   string
	Header http.Header
	Err    error
}

// good reports whether the answer is a server's, whole, and to this request.
func (a *answer) good() bool {
	return a.Err == nil && a.Status == 200 && strings.HasSuffix(a.Body, " to "+a.ID) &&
		a.Header.Get("Bilberrymux-Response-Signature") == "s."+a.ID
}

// send makes one request.
func send(d *Daemon, method, host, path, body string) answer {
	a := answer{ID: fmt.Sprintf("id-%d", ids.Add(1))}
	req, err := http.NewRequest(method, "http://"+d.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("Bilberrymux-Request-Id", a.ID)
	req.Header.Set("Bilberrymux-Deadline-Ms", "3000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Header, a.Err = resp.StatusCode, string(text), resp.Header, err
	return a
}

func read(d *Daemon) answer { return send(d, http.MethodGet, readHost, "/r/x", "") }
func book(d *Daemon) answer { return send(d, http.MethodPost, bookHost, "/b/x", "a visit") }

func TestRequestsReachServersUnchanged(t *testing.T) {
	f, servers := start(t, Options{})
	path := "/r/a%2Fb/../c//d?x=1&y=%20"
	a := send(f.Daemons[0], http.MethodPost, readHost, path, "body "+strings.Repeat("z", 5000))
	if !a.good() {
		t.Fatalf("answer %+v", a)
	}
	got := ""
	for _, s := range servers {
		got += s.Body(a.ID)
	}
	if diff := cmp.Diff("body "+strings.Repeat("z", 5000), got); diff != "" {
		t.Error(diff)
	}
	if a := send(f.Daemons[0], http.MethodGet, readHost, "/nothing/x", ""); a.Status != 404 {
		t.Errorf("no route: status %d", a.Status)
	}
}

// TestFaultsNeverGiveFalseAnswers drives requests while the servers fail in one
// way after the other. Every answer must be whole and the caller's own, no
// booking may run twice, and what is said not to have run must not have run.
func TestFaultsNeverGiveFalseAnswers(t *testing.T) {
	f, servers := start(t, Options{})
	faults := []gridserver.Fault{
		gridserver.ResetAtOnce, gridserver.ResetAfter, gridserver.Error, gridserver.Shed, gridserver.Extra,
		gridserver.Cut, gridserver.Unframed, gridserver.Unsigned,
	}
	for _, fault := range faults {
		t.Run(string(fault), func(t *testing.T) {
			for _, id := range []string{"reader-1", "booker-1"} {
				servers[id].SetFault(fault)
				defer servers[id].SetFault(gridserver.Healthy)
			}
			var wg sync.WaitGroup
			answers := make(chan answer, 200)
			for i := range 100 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Millisecond)
					answers <- read(f.Daemons[i%2])
					answers <- book(f.Daemons[i%2])
				})
			}
			wg.Wait()
			close(answers)
			good := 0
			for a := range answers {
				check(t, servers, a)
				if a.good() {
					good++
				}
			}
			if good < 100 {
				t.Errorf("%d of 200 requests served with half of the servers sound", good)
			}
		})
	}
}

// check compares one answer with what the servers ran.
func check(t *testing.T, servers map[string]*gridserver.Server, a answer) {
	t.Helper()
	runs, booked := 0, 0
	for id, s := range servers {
		n := s.Runs()[a.ID]
		runs += n
		if strings.HasPrefix(id, "booker") {
			booked += n
		}
	}
	if booked > 1 {
		t.Errorf("%s ran %d times", a.ID, booked)
	}
	if a.Err != nil {
		t.Errorf("%s: %v", a.ID, a.Err)
		return
	}
	if a.Status == 200 && !a.good() {
		t.Errorf("false success %+v", a)
	}
	if (a.Status == 503 || a.Status == 429) && booked > 0 {
		t.Errorf("%s was said not to have run, but ran", a.ID)
	}
	if a.Header.Get("Bilberrymux-Response-Signature") != "" && a.Status != 200 && a.Status != 500 {
		t.Errorf("signed answer with another status: %+v", a)
	}
}

func TestSickServerIsLeftBySharedNews(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 3})
	for range 30 {
		book(f.Daemons[0])
	}
	servers["booker-1"].SetFault(gridserver.ResetAtOnce)
	eventually(t, "one booking lost", func() bool { return book(f.Daemons[0]).Status == 502 })
	for _, d := range f.Daemons[1:] {
		eventually(t, "news of the sick server", func() bool {
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
		if a := book(f.Daemons[1]); !a.good() {
			t.Errorf("booking after the news: %+v", a)
		}
	}
	if n := servers["booker-1"].Arrivals() - before; n > 0 {
		t.Errorf("%d bookings went to the sick server", n)
	}
}

func TestDrainingServerGetsNoNewWork(t *testing.T) {
	f, servers := start(t, Options{})
	f.Drain("booker-1")
	for _, d := range f.Daemons {
		eventually(t, "drain known", func() bool {
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
		if a := book(f.Daemons[i%2]); !a.good() {
			t.Errorf("booking: %+v", a)
		}
	}
	if n := servers["booker-1"].Arrivals() - before; n > 0 {
		t.Errorf("%d bookings went to the leaving server", n)
	}
}

func TestAddressUsedAgainIsNotBelieved(t *testing.T) {
	f, servers := start(t, Options{})
	// A new process has no budget for further attempts until requests earn it.
	for i := range 40 {
		book(f.Daemons[i%2])
	}
	f.Rename("booker-1", "stranger")
	before := len(servers["booker-1"].Runs())
	for i := range 30 {
		if a := book(f.Daemons[i%2]); !a.good() {
			t.Errorf("booking: %+v", a)
		}
	}
	if n := len(servers["booker-1"].Runs()) - before; n > 0 {
		t.Errorf("the stranger ran %d requests", n)
	}
}

func TestConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	f, _ := start(t, Options{Zones: []ident.ZoneID{"north", "south"}, DaemonsPerZone: 5})
	f.Store.SetFaults(rowstore.Faults{DelayMillis: 20})
	routes := append(standardRoutes(), Route{
		Name: "late", Host: readHost, Prefix: "/late/", Kind: "safe", Timeout: 2, Target: 1, Attempts: 2, Service: "reader",
	})
	version := f.Configure(routes, "reader", "booker")
	for _, d := range f.Daemons {
		eventually(t, "version in force", func() bool { return d.Edge.Version() == ident.Version(version) })
		if a := send(d, http.MethodGet, readHost, "/late/x", ""); !a.good() {
			t.Errorf("new route: %+v", a)
		}
	}
	// The store forgets, and the row is that of an older version again.
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

func TestDaemonsStartFromPeersWhileTheStoreIsAway(t *testing.T) {
	f, _ := start(t, Options{})
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Refuse})
	d, err := f.StartDaemon(0, 2)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "daemon ready without the store", func() bool { return ready(d) })
	if a := book(d); !a.good() {
		t.Errorf("booking: %+v", a)
	}
}

func TestDaemonWithoutConfigurationSaysNotRun(t *testing.T) {
	f, err := Start(Options{Zones: []ident.ZoneID{"north"}, DaemonsPerZone: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	if a := book(f.Daemons[0]); a.Status != 503 || a.Header.Get("Retry-After") == "" {
		t.Errorf("before any configuration: %+v", a)
	}
	if ready(f.Daemons[0]) {
		t.Error("ready without a configuration")
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetWork(300 * time.Millisecond)
	}
	stopping := f.Daemons[0]
	var wg sync.WaitGroup
	answers := make(chan answer, 100)
	stop := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					answers <- book(stopping)
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	left := make(chan int64, 1)
	go func() { left <- stopping.Edge.Stop() }()
	eventually(t, "no longer ready", func() bool { return !ready(stopping) })
	eventually(t, "out of locate answers", func() bool {
		resp, err := http.Get("http://" + f.Daemons[1].Settings.LocateAddress + "/-/resolve?name=" + bookHost + "&region=north&zone=north")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return err == nil && !strings.Contains(string(text), stopping.Settings.CallerAddress) &&
			strings.Contains(string(text), f.Daemons[1].Settings.CallerAddress)
	})
	close(stop)
	wg.Wait()
	close(answers)
	for a := range answers {
		if !a.good() {
			t.Errorf("during the stop: %+v", a)
		}
	}
	if n := <-left; n != 0 {
		t.Errorf("%d requests were left", n)
	}
}

func TestCallerThatLeavesFreesTheServer(t *testing.T) {
	f, servers := start(t, Options{})
	for _, s := range servers {
		s.SetWork(time.Minute)
	}
	c, err := net.Dial("tcp", f.Daemons[0].Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /r/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: gone\r\n\r\n", readHost)
	working := func() int64 { return servers["reader-1"].Working() + servers["reader-2"].Working() }
	eventually(t, "server at work", func() bool { return working() == 1 })
	c.Close()
	eventually(t, "server free", func() bool { return working() == 0 })
}

func TestHangingServerMeetsTheRoutesTimeout(t *testing.T) {
	f, servers := start(t, Options{})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.Hang)
	}
	if a := book(f.Daemons[0]); a.Status != 504 {
		t.Errorf("hanging server: %+v", a)
	}
}

func TestPoisonRequestIsStoppedOnAllDaemons(t *testing.T) {
	f, servers := start(t, Options{})
	poison := func(d *Daemon) answer { return send(d, http.MethodPost, bookHost, "/b/poison", "kills") }
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.Crash)
	}
	eventually(t, "both servers dead", func() bool {
		poison(f.Daemons[0])
		return servers["booker-1"].Arrivals() > 0 && servers["booker-2"].Arrivals() > 0
	})
	for _, d := range f.Daemons {
		eventually(t, "quarantined", func() bool {
			return strings.Contains(poison(d).Body, `"poison"`)
		})
	}
	if a := send(f.Daemons[0], http.MethodPost, bookHost, "/b/other", "does not"); strings.Contains(a.Body, `"poison"`) {
		t.Errorf("another request is quarantined too: %+v", a)
	}
}

func TestBodiesInChunksAndKeptConnections(t *testing.T) {
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
			t.Errorf("answer %q, %v", text, err)
		}
		got := servers["booker-1"].Body(id) + servers["booker-2"].Body(id)
		if got != "hello world" {
			t.Errorf("server read %q", got)
		}
	}
}

func TestRowsOfOthersNameNoServer(t *testing.T) {
	f, _ := start(t, Options{})
	for i, row := range []string{
		`{"service":"booker"`, `{"service":"booker","address":"127.0.0.1:1"}`, `[]`, "\xff",
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":"4","state":"ready","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":4,"state":"odd","warmup_left_s":0,"sequence":1,"born":1}`,
		`{"service":"booker","address":"127.0.0.1:1","zone":"north","version":"v1","capacity":4,"state":"ready","warmup_left_s":0,"sequence":1,"born":1.5}`,
	} {
		f.Store.Put("servers", fmt.Sprintf("odd-%d", i), []byte(row))
	}
	s, err := f.AddServer("booker-3", "booker", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons {
		eventually(t, "new server listed", func() bool { return len(d.Edge.Servers()) == 5 })
	}
	_ = s
}
