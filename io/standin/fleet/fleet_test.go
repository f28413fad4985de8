package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/settings"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/front"
	"bilberrymux/io/netfault"
	"bilberrymux/io/refusalhttp"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// waitTimeout is the maximum time to wait for a condition or a response.
const waitTimeout = 60 * time.Second

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// options returns the options of a fleet in one region with one service, orders, which has three
// servers of 8 slots each and a floor of 16 slots.
func options(daemons int) fleet.Options {
	return fleet.Options{
		Regions: []ident.RegionID{"north"}, Daemons: daemons, Seed: 1, Log: discardLogger(),
		Services: []fleet.ServiceSpec{{
			Name: "orders", ServersPerRegion: 3, Slots: 8, WorkMedian: 5 * time.Millisecond, WorkSpread: 0.1,
			Config: config.Service{FloorSlots: 16},
		}},
		Routes: map[string]config.Route{
			"read":  {Methods: []string{"GET", "HEAD"}, Prefix: "/orders", Service: "orders", Rank: ident.Urgent, Idempotent: true, TimeoutMillis: 10_000},
			"paid":  {Prefix: "/paid", Service: "orders", Rank: ident.Normal, KeyRequired: true, TimeoutMillis: 10_000},
			"write": {Methods: []string{"POST"}, Prefix: "/orders", Service: "orders", Rank: ident.Urgent, TimeoutMillis: 10_000},
		},
		Adjust: func(s *settings.Settings) { s.LocateTTLSeconds, s.MaxBodyBytes = 1, 1<<20 },
	}
}

func start(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	if err := f.WaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	return f
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

type call struct {
	method, path, body string
	headers            map[string]string
}

func send(t *testing.T, address string, c call) *fasthttp.Response {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + c.path)
	req.Header.SetMethod(c.method)
	req.SetBodyString(c.body)
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, waitTimeout); err != nil {
		t.Fatalf("%s %s: %v", c.method, c.path, err)
	}
	return resp
}

func decodeRefusal(t *testing.T, resp *fasthttp.Response) refusalhttp.Refusal {
	t.Helper()
	var r refusalhttp.Refusal
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		t.Fatalf("response is not a refusal: status %d, body %s", resp.StatusCode(), resp.Body())
	}
	return r
}

// TestRequestIsForwardedUnchanged sends a request through the owner and the other daemons and
// checks that the server receives its path, query, body and test id unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := start(t, options(3))
	forwarded := 0
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders/a%2Fb?x=1&y=%20", "body", map[string]string{
			backendserver.TestIDHeader: "id", "Connection": "X-Private", "X-Private": "secret",
		}})
		var got backendserver.Reply
		if err := json.Unmarshal(resp.Body(), &got); err != nil {
			t.Fatalf("response is not a server's reply: status %d, body %s", resp.StatusCode(), resp.Body())
		}
		got.Server = ""
		want := backendserver.Reply{TestID: "id", Method: "POST", Path: "/orders/a/b", Query: "x=1&y=%20", Body: "body"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("request at the server (-want +got):\n%s", diff)
		}
		if len(resp.Header.Peek(front.OwnerHeader)) > 0 {
			forwarded++
		}
	}
	if forwarded != 2 {
		t.Fatalf("%d of 3 daemons forwarded the request, want 2", forwarded)
	}
}

// TestLargeResponsesAreStreamedComplete sends responses larger than any buffer through one and
// through two daemons.
func TestLargeResponsesAreStreamedComplete(t *testing.T) {
	f := start(t, options(2))
	const size = 3 << 20
	for _, address := range f.Entries() {
		resp := send(t, address, call{"GET", "/orders/1", "", map[string]string{backendserver.ResponseSizeHeader: fmt.Sprint(size)}})
		if got := len(resp.Body()); got != size {
			t.Fatalf("got a body of %d bytes, want %d", got, size)
		}
	}
}

// TestTruncatedResponsesAreNotServed checks that callers never get a short body as a complete
// response when servers truncate every response: they get a refusal, or an error if the response
// is streamed.
func TestTruncatedResponsesAreNotServed(t *testing.T) {
	f := start(t, options(2))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{TruncateFraction: 1})
	}
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders/1", "x", nil})
		if r := decodeRefusal(t, resp); r.Kind != refusal.ServerFailed || r.Outcome != refusal.Unknown {
			t.Fatalf("got refusal %+v, want %s with outcome %s", r, refusal.ServerFailed, refusal.Unknown)
		}
		req, big := fasthttp.AcquireRequest(), &fasthttp.Response{}
		req.SetRequestURI("http://" + address + "/orders/1")
		req.Header.SetMethod("POST")
		req.Header.Set(backendserver.ResponseSizeHeader, fmt.Sprint(2<<20))
		client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
		if err := client.DoTimeout(req, big, waitTimeout); err == nil && big.StatusCode() == 200 {
			t.Fatalf("got status 200 for a truncated response of %d bytes, want an error", len(big.Body()))
		}
	}
}

// TestRequestValidationRefusals checks the status and kind of the refusals that a daemon returns
// before it sends a request to a server.
func TestRequestValidationRefusals(t *testing.T) {
	f := start(t, options(1))
	address := f.Entries()[0]
	for _, c := range []struct {
		call   call
		status int
		kind   refusal.Kind
	}{
		{call{"GET", "/nothing", "", nil}, 404, refusal.NoRoute},
		{call{"DELETE", "/orders/1", "", nil}, 404, refusal.NoRoute},
		{call{"GET", "/orders", "", map[string]string{backend.DeadlineHeader: "soon"}}, 400, refusal.BadRequest},
		{call{"POST", "/orders", "", map[string]string{front.KeyHeader: "bbp1.x"}}, 400, refusal.BadRequest},
		{call{"POST", "/orders", strings.Repeat("x", 2<<20), nil}, 413, refusal.BodyTooLarge},
		{call{"GET", front.LocatePath, "", nil}, 400, refusal.BadRequest},
		{call{"POST", "/paid", "", nil}, 428, refusal.KeyRequired},
	} {
		resp := send(t, address, c.call)
		r := decodeRefusal(t, resp)
		if resp.StatusCode() != c.status || r.Kind != c.kind || r.Outcome != refusal.NotRun {
			t.Errorf("%s %s: got status %d, refusal %+v, want %d %s with outcome NotRun", c.call.method, c.call.path, resp.StatusCode(), r, c.status, c.kind)
		}
	}
}

// fetchPermit returns a permit from the first daemon's locate response.
func fetchPermit(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	resp := send(t, f.Entries()[0], call{"GET", front.LocatePath + "?service=orders", "", nil})
	var l front.Location
	if err := json.Unmarshal(resp.Body(), &l); err != nil || len(l.Addresses) == 0 {
		t.Fatalf("locate response without addresses: %s", resp.Body())
	}
	return l.Addresses[0].Permit
}

// TestKeyRunsOnceThroughAnyDaemon sends requests with a permit key and with a plain key repeatedly
// through every daemon. Each key may run once; resends must get the first response, and reuse with
// another body must be refused.
func TestKeyRunsOnceThroughAnyDaemon(t *testing.T) {
	f := start(t, options(3))
	for _, key := range []string{fetchPermit(t, f) + ".1", "plain-1"} {
		var first string
		for i, address := range append(f.Entries(), f.Entries()...) {
			resp := send(t, address, call{"POST", "/orders", "two parcels", map[string]string{front.KeyHeader: key}})
			if resp.StatusCode() != 200 {
				t.Fatalf("key %s, send %d: got status %d, body %s, want status 200", key, i, resp.StatusCode(), resp.Body())
			}
			if i == 0 {
				first = string(resp.Body())
			} else if diff := cmp.Diff(first, string(resp.Body())); diff != "" {
				t.Fatalf("key %s, send %d: response differs (-first +resend):\n%s", key, i, diff)
			}
		}
		resp := send(t, f.Entries()[1], call{"POST", "/orders", "other parcels", map[string]string{front.KeyHeader: key}})
		if r := decodeRefusal(t, resp); r.Kind != refusal.KeyReused {
			t.Fatalf("key %s with another body: got refusal %+v, want %s", key, r, refusal.KeyReused)
		}
		if _, keys := f.Runs(); keys[key] != 1 {
			t.Fatalf("key %s ran %d times, want once", key, keys[key])
		}
	}
}

// TestStoreUnavailable checks that without the store, requests with permit keys and reads are still
// served, and requests with plain keys are refused as not run.
func TestStoreUnavailable(t *testing.T) {
	f := start(t, options(2))
	p := fetchPermit(t, f)
	f.Table.SetFaults(table.Faults{Down: true})
	for i, address := range f.Entries() {
		key := fmt.Sprintf("%s.%d", p, i)
		if resp := send(t, address, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: key}}); resp.StatusCode() != 200 {
			t.Fatalf("permit key: got status %d, body %s, want status 200", resp.StatusCode(), resp.Body())
		}
		if resp := send(t, address, call{"GET", "/orders", "", nil}); resp.StatusCode() != 200 {
			t.Fatalf("read: got status %d, want 200", resp.StatusCode())
		}
		resp := send(t, address, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: "plain"}})
		if r := decodeRefusal(t, resp); r.Kind != refusal.StoreUnavailable || r.Outcome != refusal.NotRun {
			t.Fatalf("plain key: got refusal %+v, want %s with outcome %s", r, refusal.StoreUnavailable, refusal.NotRun)
		}
	}
	if _, keys := f.Runs(); keys["plain"] != 0 {
		t.Fatal("the request with the plain key was refused as not run, but it ran")
	}
}

// TestDecidingDaemonDies kills the daemon that decides the keys of a permit. Another daemon must
// replay a response that was written to the store. For a key without a written response it must
// report an unknown outcome, since the request may have run.
func TestDecidingDaemonDies(t *testing.T) {
	f := start(t, options(3))
	p := fetchPermit(t, f)
	writtenKey, unwrittenKey := p+".kept", p+".lost"
	body := send(t, f.Entries()[0], call{"POST", "/orders", "x", map[string]string{front.KeyHeader: writtenKey}}).Body()
	decider := -1
	for i, d := range f.Daemons {
		if strings.Contains(p, string(d.Incarnation())) {
			decider = i
		}
	}
	waitFor(t, "the response is written to the store", func() bool { return f.Table.Counts().RowsWritten > 0 && countClaims(f) > 0 })
	f.Daemons[decider].Kill()
	f.StartDaemonWith(f.Settings[decider])
	other := f.Entries()[(decider+1)%3]
	waitFor(t, "the other daemon knows the new incarnation of the restarted daemon", func() bool {
		e := f.Daemons[(decider+1)%3].Members().ByVM(f.Settings[decider].VM)
		return e != nil && e.Incarnation != f.Daemons[decider].Incarnation()
	})
	resp := send(t, other, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: writtenKey}})
	if diff := cmp.Diff(string(body), string(resp.Body())); diff != "" {
		t.Fatalf("replayed response after the deciding daemon died (-first +resend):\n%s", diff)
	}
	resp = send(t, other, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: unwrittenKey}})
	if r := decodeRefusal(t, resp); r.Kind != refusal.KeyOutcomeUnknown || r.Outcome != refusal.Unknown {
		t.Fatalf("key without a written response: got refusal %+v, want %s with outcome %s", r, refusal.KeyOutcomeUnknown, refusal.Unknown)
	}
}

// countClaims returns the number of claim rows in the store, or zero if they cannot be read.
func countClaims(f *fleet.Fleet) int {
	rows, err := f.Table.Store().ScanAll(context.Background(), "claim/")
	if err != nil {
		return 0
	}
	return len(rows)
}

// TestVersionReachesAllDaemonsWithoutStore makes the store unavailable right after a configuration
// version is accepted. The version must still come into force on all daemons, including one that
// starts afterwards.
func TestVersionReachesAllDaemonsWithoutStore(t *testing.T) {
	f := start(t, options(8))
	patch := json.RawMessage(`{"organisations":{"club":{"weight":2}}}`)
	n, err := f.Daemons[3].Versions().Submit(context.Background(), versions.Submission{ID: "p", Base: 1, Patch: patch})
	if err != nil {
		t.Fatal(err)
	}
	f.Table.SetFaults(table.Faults{Down: true})
	late, err := f.StartDaemon()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the version is in force everywhere", func() bool {
		for _, d := range f.Daemons {
			if d.ConfigVersion() != n {
				return false
			}
		}
		return late.ConfigVersion() == n
	})
}

// TestLeavingServerGetsNoNewWork checks that a server gets no new requests once all daemons have a
// configuration version that marks it as leaving.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := start(t, options(2))
	_, err := f.Daemons[0].Versions().Submit(context.Background(), versions.Submission{
		ID: "leave", Base: 1, Patch: json.RawMessage(`{"services":{"orders":{"servers":{"orders-north-1":{"leaving":true}}}}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all daemons have the version", func() bool {
		return f.Daemons[0].ConfigVersion() == 2 && f.Daemons[1].ConfigVersion() == 2
	})
	time.Sleep(100 * time.Millisecond)
	for i := range 40 {
		id := fmt.Sprint("after-", i)
		send(t, f.Entries()[i%2], call{"GET", "/orders", "", map[string]string{backendserver.TestIDHeader: id}})
	}
	for id := range f.Servers["orders"]["orders-north-1"].Runs() {
		if strings.HasPrefix(id, "after-") {
			t.Fatalf("request %s ran on the leaving server, want none there", id)
		}
	}
}

// TestRollingReplacementDropsNoRequest replaces every daemon, one after another, under load. No
// request may be dropped, run twice, or get a response that contradicts what the servers ran.
func TestRollingReplacementDropsNoRequest(t *testing.T) {
	f := start(t, options(3))
	ctx, cancel := context.WithCancel(context.Background())
	l := load.New(load.Options{Entries: f.Entries(), Seed: 1, Streams: []load.Stream{
		{Name: "read", Rank: ident.Normal, Method: "GET", Path: "/orders", Rate: 60, DeadlineMillis: 10_000, MaxResends: 3},
		{Name: "write", Rank: ident.Urgent, Method: "POST", Path: "/orders", Rate: 30, DeadlineMillis: 10_000, Keyed: true, Body: "x", MaxResends: 3},
	}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	left := int64(0)
	for i := range 3 {
		if _, err := f.StartDaemon(); err != nil {
			t.Fatal(err)
		}
		left += f.Daemons[i].Stop()
	}
	cancel()
	<-done
	var failed, sent, ok int64
	for _, r := range l.Report() {
		failed, sent, ok = failed+r.Failed, sent+r.Sent, ok+r.OK
	}
	if left != 0 || failed != 0 || len(l.Ledger().WrongAnswers) > 0 || sent == 0 || ok != sent {
		t.Fatalf("got %d requests left at stopped daemons, %d failed, %d answered of %d sent, wrong responses %v; "+
			"want 0 left, 0 failed, all answered, none wrong\n%+v", left, failed, ok, sent, l.Ledger().WrongAnswers, l.Report())
	}
	_, keys := f.Runs()
	for key, n := range keys {
		if n > 1 {
			t.Fatalf("key %s ran %d times, want at most once", key, n)
		}
	}
}

// TestOneWayPartitionBetweenDaemons drops all messages from one daemon to the owner. That daemon
// must serve its callers itself, and no daemon may be declared dead.
func TestOneWayPartitionBetweenDaemons(t *testing.T) {
	o := options(3)
	o.Rules = &netfault.Rules{}
	f := start(t, o)
	owner, other := -1, -1
	for i, address := range f.Entries() {
		resp := send(t, address, call{"GET", "/orders", "", nil})
		if len(resp.Header.Peek(front.OwnerHeader)) == 0 {
			owner = i
		} else {
			other = i
		}
	}
	o.Rules.Set([]netfault.Rule{{From: string(f.Settings[other].VM), To: string(f.Settings[owner].VM), Drop: true}})
	resp := send(t, f.Entries()[other], call{"GET", "/orders", "", nil})
	if resp.StatusCode() != 200 {
		t.Fatalf("got status %d, body %s, want status 200", resp.StatusCode(), resp.Body())
	}
	time.Sleep(4 * time.Second)
	if n := f.Daemons[other].Members().LiveCount(); n != 3 {
		t.Fatalf("%d daemons are counted as live, want 3: a lossy path was mistaken for a dead daemon", n)
	}
}

// TestCallerDisconnectCancelsRequest closes a caller's connection while its request runs. The
// attempt must be cancelled and the server's slot freed.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := start(t, options(1))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{Hang: true})
	}
	c, err := net.Dial("tcp", f.Entries()[0])
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the request runs", func() bool { return attemptsInFlight(f) == 1 })
	c.Close()
	waitFor(t, "the request is cancelled", func() bool { return attemptsInFlight(f) == 0 && f.Daemons[0].Counter("attempt.cancelled") == 1 })
}

// attemptsInFlight returns the number of attempts in flight at all daemons.
func attemptsInFlight(f *fleet.Fleet) int {
	n := 0
	for _, d := range f.Daemons {
		d.Shards().Each(func(_ ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
			_, inFlight, _ := dispatcher.Shard.Load()
			n += inFlight
		})
	}
	return n
}
