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

// wrongVariable makes the test's own program run as a daemon that is wrong in the
// way which the variable names.
const wrongVariable = "BILBERRYMUX_TEST_WRONG"

// The ways to be wrong.
const (
	forgesAnswers  = "forgesAnswers"
	sendsTwice     = "sendsTwice"
	promisesWrong  = "promisesWrong"
	keepsServers   = "keepsServers"
	cutsAtStop     = "cutsAtStop"
	revertsVersion = "revertsVersion"
	keepsVersion   = "keepsVersion"
	spendsAtWill   = "spendsAtWill"
	givesUp        = "givesUp"
)

func TestMain(m *testing.M) {
	if kind := os.Getenv(wrongVariable); kind != "" {
		if err := runWrong(kind, os.Args[len(os.Args)-1]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// wrongDaemon is a daemon that serves, and breaks one promise.
type wrongDaemon struct {
	kind     string
	settings *settings.Edge
	store    *platform.Store
	servers  atomic.Pointer[[]roster.Server]
	version  atomic.Uint64
	requests atomic.Int64
	failures atomic.Int64
	client   fasthttp.Client
}

func runWrong(kind, file string) error {
	s, err := settings.LoadEdge(file)
	if err != nil {
		return err
	}
	d := &wrongDaemon{kind: kind, settings: s}
	d.servers.Store(&[]roster.Server{})
	d.store = platform.NewStore(s.Store, func(ctx context.Context, a string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", a)
	}, func(string, string) {})
	metrics := net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
	for address, handler := range map[string]fasthttp.RequestHandler{
		s.CallerAddress: d.serve, s.ReadyAddress: d.ready, s.LocateAddress: d.locate, metrics: d.metrics,
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: handler}
		go func() { _ = server.Serve(l) }() // it ends with the process
	}
	stop := make(chan os.Signal, 1)
	signal.Ignore(syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM)
	for {
		d.learn()
		select {
		case <-stop:
			if kind != cutsAtStop {
				time.Sleep(time.Duration(s.Bounds.Grace) * time.Second / 2)
			}
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// learn reads the servers and the version; what can't be read stays as it was.
func (d *wrongDaemon) learn() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if rows, _, err := d.store.Rows(ctx, platform.TableServers); err == nil {
		var list []roster.Server
		for _, r := range rows {
			if s, err := platform.DecodeServer(r.Key, r.Value); err == nil && !s.Draining {
				list = append(list, s)
			}
		}
		if d.kind == keepsServers {
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

func (d *wrongDaemon) ready(*fasthttp.RequestCtx) {}

func (d *wrongDaemon) locate(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(map[string]any{"addresses": []string{d.settings.CallerAddress}, "ttl_s": 1})
	if err != nil {
		panic(err)
	}
	ctx.SetBody(body)
}

func (d *wrongDaemon) metrics(ctx *fasthttp.RequestCtx) {
	v := d.version.Load()
	if d.kind == revertsVersion && d.requests.Load()%2 == 1 {
		v--
	}
	fmt.Fprintf(ctx, "bilberrymux_config_version %d\n", v)
}

// serve sends a request to a server of its service, and errs by its kind.
func (d *wrongDaemon) serve(ctx *fasthttp.RequestCtx) {
	n := int(d.requests.Add(1))
	if d.kind == givesUp && d.failures.Load() > 0 {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	service := services[max(0, slices.Index(hosts[:], string(ctx.Host())))]
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
	if d.kind == sendsTwice || (d.kind == spendsAtWill && service == services[0]) {
		sends = 2
	}
	err := d.send(ctx, &list[n%len(list)])
	for i := 1; i < sends; i++ {
		err = d.send(ctx, &list[(n+i)%len(list)])
	}
	d.end(ctx, n, err)
}

// end answers after the exchange with a server.
func (d *wrongDaemon) end(ctx *fasthttp.RequestCtx, n int, err error) {
	if err != nil {
		d.failures.Add(1)
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	}
	switch {
	case d.kind == forgesAnswers && n%10 == 0:
		ctx.Response.Header.Del(platform.HeaderSignature)
	case d.kind == promisesWrong && n%10 == 0:
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (d *wrongDaemon) send(ctx *fasthttp.RequestCtx, s *roster.Server) error {
	var req fasthttp.Request
	ctx.Request.CopyTo(&req)
	req.SetRequestURI("http://" + s.Address + string(ctx.RequestURI()))
	platform.SetTargetHeaders(&req.Header, s.ID, time.Second)
	return d.client.DoTimeout(&req, &ctx.Response, time.Second)
}

// TestChecksSeeWrongDaemons runs daemons that each break one promise, and expects
// the soak to see it from outside.
func TestChecksSeeWrongDaemons(t *testing.T) {
	for _, test := range []struct {
		kind   string
		want   Promise
		faults []string
		tail   time.Duration
	}{
		{forgesAnswers, OwnCompleteResponse, []string{"settings read again"}, 0},
		{sendsTwice, AtMostOnce, []string{"settings read again"}, 0},
		{promisesWrong, NotExecutedIsTrue, []string{"settings read again"}, 0},
		{keepsServers, NoWorkAfterDrain, []string{"server replaced"}, 0},
		{cutsAtStop, GracefulStop, []string{"daemon stopped"}, 0},
		{revertsVersion, VersionMonotonic, []string{"settings read again"}, 0},
		{keepsVersion, VersionAppliedInTime, []string{"new version"}, 3 * time.Second},
		{spendsAtWill, RetryBudget, []string{"settings read again"}, 0},
		{givesUp, ServiceRecovers, []string{"server fails", "server restarted"}, 2 * time.Second},
	} {
		t.Run(test.kind, func(t *testing.T) {
			t.Setenv(wrongVariable, test.kind)
			bounds := DocumentedBounds
			bounds.Recovery = time.Second
			r, err := Run(Options{
				Seed: 1, Binary: os.Args[0], Folder: t.TempDir(), DaemonsPerZone: 1, Callers: 6,
				FaultDuration: 2 * time.Second, QuietDuration: test.tail, FaultInterval: 50 * time.Millisecond, Faults: test.faults, Bounds: bounds,
			})
			if err != nil {
				t.Fatal(err)
			}
			if !slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == test.want }) {
				t.Errorf("%d of %d requests served, found %v", r.Served, r.Requests, r.Violations)
			}
		})
	}
}

// TestPictureOfARun draws a run with a broken promise.
func TestPictureOfARun(t *testing.T) {
	start := time.Now()
	r := &Report{
		Seed: 3, Requests: 1, start: start, history: &History{Requests: []Request{{ID: "r", Begun: start.Add(time.Second), Status: 200}}},
		Faults: []Event{{1, 2, "store harmed"}, {1, 1, "a detail"}}, Violations: []Violation{{Promise: RetryBudget, At: start.Add(time.Second)}},
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
			t.Errorf("%q is not in the picture", want)
		}
	}
}
