package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/roster"
	"bilberrymux/core/settings"
	"bilberrymux/platform"
)

// wrongDaemonVariable is an environment variable that makes the test binary run as a wrong daemon. Its
// value is the kind of wrong behaviour.
const wrongDaemonVariable = "BILBERRYMUX_TEST_WRONG"

// The kinds of wrong daemons. Each breaks one promise; the values name the subtests.
const (
	// removesSignature removes the server's signature from every tenth response.
	removesSignature = "removesSignature"
	// sendsTwice sends every request to two servers.
	sendsTwice = "sendsTwice"
	// falselyRefuses answers every tenth request with 503, which says that it was not executed, after
	// a server executed it.
	falselyRefuses = "falselyRefuses"
	// keepsRemovedServers never removes a server from its list.
	keepsRemovedServers = "keepsRemovedServers"
	// cutsAtStop exits on SIGTERM without waiting for in-flight requests.
	cutsAtStop = "cutsAtStop"
	// revertsVersion reports a version that is lower by 1 while its number of requests is odd.
	revertsVersion = "revertsVersion"
	// keepsVersion never changes the first configuration version that it reads.
	keepsVersion = "keepsVersion"
	// exceedsExtraAttemptBudget sends every idempotent request to two servers, beyond the budget for
	// extra attempts.
	exceedsExtraAttemptBudget = "exceedsExtraAttemptBudget"
	// ignoresLeaving and ignoresPauses read nothing of what servers say about themselves.
	ignoresLeaving = "ignoresLeaving"
	ignoresPauses  = "ignoresPauses"
	// failsPermanently answers every request with 502 after the first failed one.
	failsPermanently = "failsPermanently"
)

// TestMain runs the tests, or a wrong daemon if the environment variable is set.
func TestMain(m *testing.M) {
	if kind := os.Getenv(wrongDaemonVariable); kind != "" {
		if err := runWrongDaemon(kind, os.Args[len(os.Args)-1]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// wrongDaemon is a minimal daemon that serves requests and breaks one promise.
type wrongDaemon struct {
	kind     string
	settings *settings.Edge
	store    *platform.Store
	servers  atomic.Pointer[[]roster.Server]
	version  atomic.Uint64
	requests atomic.Int64
	inFlight atomic.Int64
	failures atomic.Int64
	client   fasthttp.Client
}

// runWrongDaemon runs a wrong daemon with the given settings file until it gets SIGTERM.
func runWrongDaemon(kind, file string) error {
	s, err := settings.LoadEdge(file)
	if err != nil {
		return err
	}
	d := &wrongDaemon{kind: kind, settings: s}
	d.servers.Store(&[]roster.Server{})
	d.store = platform.NewStore(s.Store, func(ctx context.Context, a string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", a)
	}, func(string, string, time.Duration) {})
	metrics := net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
	for address, handler := range map[string]fasthttp.RequestHandler{
		s.CallerAddress: d.serve, s.ReadyAddress: d.ready, s.LocateAddress: d.locate, metrics: d.metrics,
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: handler}
		go func() { _ = server.Serve(l) }() // runs until the process exits
	}
	stop := make(chan os.Signal, 1)
	signal.Ignore(syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM)
	for {
		d.refresh()
		select {
		case <-stop:
			grace := time.Duration(s.Bounds.Grace) * time.Second
			if kind == cutsAtStop {
				d.waitForRequest(grace / 2)
				// A regular exit would serve on for a second in a binary with the race detector.
				return syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
			time.Sleep(grace / 2)
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// waitForRequest returns when a request is in flight, or after the given time.
func (d *wrongDaemon) waitForRequest(limit time.Duration) {
	for end := time.Now().Add(limit); d.inFlight.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// refresh reads the servers and the configuration version from the store. It keeps the previous
// values of what it can't read.
func (d *wrongDaemon) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if rows, _, err := d.store.Rows(ctx, platform.TableServers); err == nil {
		var list []roster.Server
		for _, r := range rows {
			if s, _, err := platform.DecodeServer(r.Key, r.Value); err == nil && !s.Draining {
				list = append(list, s)
			}
		}
		if d.kind == keepsRemovedServers {
			for _, old := range *d.servers.Load() {
				if !slices.ContainsFunc(list, func(s roster.Server) bool { return s.ID == old.ID }) {
					list = append(list, old)
				}
			}
		}
		d.servers.Store(&list)
	}
	if rows, _, err := d.store.Rows(ctx, platform.TableConfig); err == nil && len(rows) == 1 {
		if c, err := platform.DecodeConfig(rows[0].Value); err == nil && (d.kind != keepsVersion || d.version.Load() == 0) {
			d.version.Store(uint64(c.Version))
		}
	}
}

// ready answers readiness probes with 200.
func (d *wrongDaemon) ready(*fasthttp.RequestCtx) {}

// locate responds with the daemon's own address only.
func (d *wrongDaemon) locate(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(map[string]any{"addresses": []string{d.settings.CallerAddress}, "ttl_s": 1})
	if err != nil {
		panic(err)
	}
	ctx.SetBody(body)
}

// metrics serves the configuration version as the only metric.
func (d *wrongDaemon) metrics(ctx *fasthttp.RequestCtx) {
	v := d.version.Load()
	if d.kind == revertsVersion && d.requests.Load()%2 == 1 {
		v--
	}
	fmt.Fprintf(ctx, "bilberrymux_config_version %d\n", v)
}

// serve forwards a request to a server of its service, twice for the kinds that break the limits on
// executions.
func (d *wrongDaemon) serve(ctx *fasthttp.RequestCtx) {
	n := int(d.requests.Add(1))
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.kind == failsPermanently && d.failures.Load() > 0 {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	service := services[0]
	if strings.HasPrefix(string(ctx.Host()), services[1]) {
		service = services[1]
	}
	var list []roster.Server
	for _, s := range *d.servers.Load() {
		if string(s.Service) == service {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	sends := 1
	if d.kind == sendsTwice || (d.kind == exceedsExtraAttemptBudget && service == services[0]) {
		sends = 2
	}
	err := d.send(ctx, &list[n%len(list)])
	for i := 1; i < sends; i++ {
		err = d.send(ctx, &list[(n+i)%len(list)])
	}
	d.writeResult(ctx, n, err)
}

// writeResult completes the response after the exchange with the server, and falsifies it for the
// kinds that do so.
func (d *wrongDaemon) writeResult(ctx *fasthttp.RequestCtx, n int, err error) {
	if err != nil {
		d.failures.Add(1)
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}
	switch {
	case d.kind == removesSignature && n%10 == 0:
		ctx.Response.Header.Del(platform.HeaderSignature)
	case d.kind == falselyRefuses && n%10 == 0:
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// send forwards a request to one server with a timeout of 1 s.
func (d *wrongDaemon) send(ctx *fasthttp.RequestCtx, s *roster.Server) error {
	var req fasthttp.Request
	ctx.Request.CopyTo(&req)
	req.SetRequestURI("http://" + s.Address + string(ctx.RequestURI()))
	platform.SetTargetHeaders(&req.Header, s.ID, time.Second)
	return d.client.DoTimeout(&req, &ctx.Response, time.Second)
}

// TestChecksSeeWrongDaemons runs the soak against daemons that break one promise each, and expects a
// violation of this promise. It guards against a check that can't detect a fault from what callers
// and servers observe.
func TestChecksSeeWrongDaemons(t *testing.T) {
	for _, test := range []struct {
		kind          string
		want          Promise
		faults        []string
		quietDuration time.Duration
	}{
		{removesSignature, OwnCompleteResponse, []string{"settings read again"}, 0},
		{sendsTwice, AtMostOnce, []string{"settings read again"}, 0},
		{falselyRefuses, NotExecutedIsTrue, []string{"settings read again"}, 0},
		{keepsRemovedServers, NoWorkAfterDrain, []string{"server replaced"}, 0},
		{cutsAtStop, GracefulStop, []string{"daemon stopped"}, 0},
		{revertsVersion, VersionMonotonic, []string{"settings read again"}, 0},
		{keepsVersion, VersionAppliedInTime, []string{"new version"}, 3 * time.Second},
		{exceedsExtraAttemptBudget, ExtraAttemptBudget, []string{"settings read again"}, 4 * time.Second},
		{ignoresLeaving, NothingAfterLeaving, []string{"server replaced"}, 0},
		{ignoresPauses, NothingInPause, []string{"server pauses"}, 0},
		{failsPermanently, ServiceRecovers, []string{"server fails", "server restarted"}, 2 * time.Second},
	} {
		t.Run(test.kind, func(t *testing.T) {
			t.Setenv(wrongDaemonVariable, test.kind)
			bounds := DocumentedBounds
			bounds.Recovery = time.Second
			r, err := Run(Options{
				Seed: 1, Binary: os.Args[0], Folder: t.TempDir(), DaemonsPerZone: 1, Callers: 6,
				FaultDuration: 2 * time.Second, QuietDuration: test.quietDuration, FaultInterval: 50 * time.Millisecond, Faults: test.faults, Bounds: bounds,
			})
			if err != nil {
				t.Fatal(err)
			}
			if !slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == test.want }) {
				t.Errorf("expected a violation of %q, got %v; %d of %d requests served", test.want, r.Violations, r.Served, r.Requests)
			}
		})
	}
}

// TestDrawTimeline draws the timeline of a run with a broken promise, and expects its labels in the
// picture.
func TestDrawTimeline(t *testing.T) {
	start := time.Now()
	r := &Report{
		Seed: 3, Requests: 1, start: start, history: &History{Requests: []Request{{ID: "r", Begun: start.Add(time.Second), Status: 200}}},
		Faults: []Event{{1, 2, "store harmed"}, {1, 1, "a detail"}}, Violations: []Violation{{Promise: ExtraAttemptBudget, At: start.Add(time.Second)}},
	}
	file := filepath.Join(t.TempDir(), "timeline.svg")
	f, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := r.Draw(f); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"store harmed", "share served", "seed 3"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("expected %q in the picture, but it is missing", want)
		}
	}
}
