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
	"bilberrymux/io/answer"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/front"
	"bilberrymux/io/netseam"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// patience bounds waits that end as soon as what is waited for is there.
const patience = 60 * time.Second

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func options(daemons int) fleet.Options {
	return fleet.Options{
		Regions: []ident.RegionID{"north"}, Daemons: daemons, Seed: 1, Log: quiet(),
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
	if err := f.WaitReady(patience); err != nil {
		t.Fatal(err)
	}
	return f
}

// until waits for a condition.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
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
	if err := client.DoTimeout(req, resp, patience); err != nil {
		t.Fatalf("%s %s: %v", c.method, c.path, err)
	}
	return resp
}

func refusalOf(t *testing.T, resp *fasthttp.Response) answer.Refusal {
	t.Helper()
	var r answer.Refusal
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		t.Fatalf("no refusal: %d %s", resp.StatusCode(), resp.Body())
	}
	return r
}

// TestRequestPassesWhole sends a request through every daemon, the owner and
// others, and compares what the server saw.
func TestRequestPassesWhole(t *testing.T) {
	f := start(t, options(3))
	forwarded := 0
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders/a%2Fb?x=1&y=%20", "body", map[string]string{
			backendserver.TestIDHeader: "id", "Connection": "X-Private", "X-Private": "secret",
		}})
		var got backendserver.Reply
		if err := json.Unmarshal(resp.Body(), &got); err != nil {
			t.Fatalf("%d %s", resp.StatusCode(), resp.Body())
		}
		got.Server = ""
		want := backendserver.Reply{TestID: "id", Method: "POST", Path: "/orders/a/b", Query: "x=1&y=%20", Body: "body"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("the server saw (-want +got):\n%s", diff)
		}
		if len(resp.Header.Peek(front.OwnerHeader)) > 0 {
			forwarded++
		}
	}
	if forwarded != 2 {
		t.Fatalf("%d of 3 daemons forwarded, want 2", forwarded)
	}
}

// TestLargeAnswersStreamWhole passes answers larger than any buffer through one
// and two daemons.
func TestLargeAnswersStreamWhole(t *testing.T) {
	f := start(t, options(2))
	const size = 3 << 20
	for _, address := range f.Entries() {
		resp := send(t, address, call{"GET", "/orders/1", "", map[string]string{backendserver.ResponseSizeHeader: fmt.Sprint(size)}})
		if got := len(resp.Body()); got != size {
			t.Fatalf("%d bytes, want %d", got, size)
		}
	}
}

// TestCutAnswersAreNotWhole lets servers cut every answer: callers get a
// refusal, or for a streamed answer an error, and never a short body.
func TestCutAnswersAreNotWhole(t *testing.T) {
	f := start(t, options(2))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{TruncateFraction: 1})
	}
	for _, address := range f.Entries() {
		resp := send(t, address, call{"POST", "/orders/1", "x", nil})
		if r := refusalOf(t, resp); r.Kind != refusal.ServerFailed || r.Outcome != refusal.Unknown {
			t.Fatalf("refusal %+v", r)
		}
		req, big := fasthttp.AcquireRequest(), &fasthttp.Response{}
		req.SetRequestURI("http://" + address + "/orders/1")
		req.Header.SetMethod("POST")
		req.Header.Set(backendserver.ResponseSizeHeader, fmt.Sprint(2<<20))
		client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
		if err := client.DoTimeout(req, big, patience); err == nil && big.StatusCode() == 200 {
			t.Fatalf("a cut answer of %d bytes passes for whole", len(big.Body()))
		}
	}
}

// TestRefusals checks the answer of each refusal at the door.
func TestRefusals(t *testing.T) {
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
		r := refusalOf(t, resp)
		if resp.StatusCode() != c.status || r.Kind != c.kind || r.Outcome != refusal.NotRun {
			t.Errorf("%s %s: %d %+v, want %d %s", c.call.method, c.call.path, resp.StatusCode(), r, c.status, c.kind)
		}
	}
}

func permit(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	resp := send(t, f.Entries()[0], call{"GET", front.LocatePath + "?service=orders", "", nil})
	var l front.Location
	if err := json.Unmarshal(resp.Body(), &l); err != nil || len(l.Addresses) == 0 {
		t.Fatalf("locate: %s", resp.Body())
	}
	return l.Addresses[0].Permit
}

// TestKeyRunsOnceThroughAnyDaemon resends keys of both forms through every
// daemon.
func TestKeyRunsOnceThroughAnyDaemon(t *testing.T) {
	f := start(t, options(3))
	for _, key := range []string{permit(t, f) + ".1", "plain-1"} {
		var first string
		for i, address := range append(f.Entries(), f.Entries()...) {
			resp := send(t, address, call{"POST", "/orders", "two parcels", map[string]string{front.KeyHeader: key}})
			if resp.StatusCode() != 200 {
				t.Fatalf("%s, send %d: %d %s", key, i, resp.StatusCode(), resp.Body())
			}
			if i == 0 {
				first = string(resp.Body())
			} else if diff := cmp.Diff(first, string(resp.Body())); diff != "" {
				t.Fatalf("%s, send %d (-first +resend):\n%s", key, i, diff)
			}
		}
		resp := send(t, f.Entries()[1], call{"POST", "/orders", "other parcels", map[string]string{front.KeyHeader: key}})
		if r := refusalOf(t, resp); r.Kind != refusal.KeyReused {
			t.Fatalf("%s with another body: %+v", key, r)
		}
		if _, keys := f.Runs(); keys[key] != 1 {
			t.Fatalf("%s ran %d times", key, keys[key])
		}
	}
}

// TestStoreAway takes the store away: permit keys run, plain keys are refused
// as not run, and reads go on.
func TestStoreAway(t *testing.T) {
	f := start(t, options(2))
	p := permit(t, f)
	f.Table.SetFaults(table.Faults{Down: true})
	for i, address := range f.Entries() {
		key := fmt.Sprintf("%s.%d", p, i)
		if resp := send(t, address, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: key}}); resp.StatusCode() != 200 {
			t.Fatalf("permit key: %d %s", resp.StatusCode(), resp.Body())
		}
		if resp := send(t, address, call{"GET", "/orders", "", nil}); resp.StatusCode() != 200 {
			t.Fatalf("read: %d", resp.StatusCode())
		}
		resp := send(t, address, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: "plain"}})
		if r := refusalOf(t, resp); r.Kind != refusal.StoreUnavailable || r.Outcome != refusal.NotRun {
			t.Fatalf("plain key: %+v", r)
		}
	}
	if _, keys := f.Runs(); keys["plain"] != 0 {
		t.Fatal("the plain key ran though the caller was told that it did not")
	}
}

// TestDeciderGone kills the daemon that decided a permit key. Its answer, once
// written, is replayed; a key whose answer was never written stays unknown.
func TestDeciderGone(t *testing.T) {
	f := start(t, options(3))
	p := permit(t, f)
	kept, lost := p+".kept", p+".lost"
	body := send(t, f.Entries()[0], call{"POST", "/orders", "x", map[string]string{front.KeyHeader: kept}}).Body()
	decider := -1
	for i, d := range f.Daemons {
		if strings.Contains(p, string(d.Incarnation())) {
			decider = i
		}
	}
	until(t, "the outcome is written", func() bool { return f.Table.Counts().RowsWritten > 0 && claims(f) > 0 })
	f.Daemons[decider].Kill()
	f.StartWith(f.Settings[decider])
	other := f.Entries()[(decider+1)%3]
	until(t, "the other daemon knows the new incarnation", func() bool {
		e := f.Daemons[(decider+1)%3].Members().ByVM(f.Settings[decider].VM)
		return e != nil && e.Incarnation != f.Daemons[decider].Incarnation()
	})
	resp := send(t, other, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: kept}})
	if diff := cmp.Diff(string(body), string(resp.Body())); diff != "" {
		t.Fatalf("replay after the decider's death (-first +resend):\n%s", diff)
	}
	resp = send(t, other, call{"POST", "/orders", "x", map[string]string{front.KeyHeader: lost}})
	if r := refusalOf(t, resp); r.Kind != refusal.KeyOutcomeUnknown || r.Outcome != refusal.Unknown {
		t.Fatalf("key of a dead decider: %+v", r)
	}
}

func claims(f *fleet.Fleet) int {
	rows, err := f.Table.Store().ScanAll(context.Background(), "claim/")
	if err != nil {
		return 0
	}
	return len(rows)
}

// TestVersionEverywhereThoughStoreIsLost accepts a version and loses the store
// at once: all daemons must have it in force, and a daemon that starts now too.
func TestVersionEverywhereThoughStoreIsLost(t *testing.T) {
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
	until(t, "the version is in force everywhere", func() bool {
		for _, d := range f.Daemons {
			if d.ConfigVersion() != n {
				return false
			}
		}
		return late.ConfigVersion() == n
	})
}

// TestLeavingServerGetsNoNewWork marks a server as leaving under load.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := start(t, options(2))
	_, err := f.Daemons[0].Versions().Submit(context.Background(), versions.Submission{
		ID: "leave", Base: 1, Patch: json.RawMessage(`{"services":{"orders":{"servers":{"orders-north-1":{"leaving":true}}}}}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	until(t, "all daemons have the version", func() bool {
		return f.Daemons[0].ConfigVersion() == 2 && f.Daemons[1].ConfigVersion() == 2
	})
	time.Sleep(100 * time.Millisecond)
	for i := range 40 {
		id := fmt.Sprint("after-", i)
		send(t, f.Entries()[i%2], call{"GET", "/orders", "", map[string]string{backendserver.TestIDHeader: id}})
	}
	for id := range f.Servers["orders"]["orders-north-1"].Runs() {
		if strings.HasPrefix(id, "after-") {
			t.Fatalf("%s ran on the leaving server", id)
		}
	}
}

// TestRollingReplacementCutsNothing replaces every daemon, one after another,
// while callers send; no request may be cut, run twice, or be told a lie.
func TestRollingReplacementCutsNothing(t *testing.T) {
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
	var broken, sent, ok int64
	for _, r := range l.Report() {
		broken, sent, ok = broken+r.Failed, sent+r.Sent, ok+r.OK
	}
	if left != 0 || broken != 0 || len(l.Ledger().WrongAnswers) > 0 || sent == 0 || ok != sent {
		t.Fatalf("left %d, broken %d, answered %d of %d, wrong %v\n%+v", left, broken, ok, sent, l.Ledger().WrongAnswers, l.Report())
	}
	_, keys := f.Runs()
	for key, n := range keys {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
}

// TestOneWayLossBetweenDaemons loses what one daemon sends to the owner: it
// serves its callers itself, and nobody is taken for dead.
func TestOneWayLossBetweenDaemons(t *testing.T) {
	o := options(3)
	o.Rules = &netseam.Rules{}
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
	o.Rules.Set([]netseam.Rule{{From: string(f.Settings[other].VM), To: string(f.Settings[owner].VM), Lose: true}})
	resp := send(t, f.Entries()[other], call{"GET", "/orders", "", nil})
	if resp.StatusCode() != 200 {
		t.Fatalf("%d %s", resp.StatusCode(), resp.Body())
	}
	time.Sleep(4 * time.Second)
	if n := f.Daemons[other].Members().LiveCount(); n != 3 {
		t.Fatalf("%d daemons are thought live, want 3: a path was taken for a death", n)
	}
}

// TestCallerThatLeavesCancels closes a caller's connection; the server must get
// its slot back.
func TestCallerThatLeavesCancels(t *testing.T) {
	f := start(t, options(1))
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{Hang: true})
	}
	c, err := net.Dial("tcp", f.Entries()[0])
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /orders HTTP/1.1\r\nHost: x\r\n\r\n")
	until(t, "the request runs", func() bool { return busy(f) == 1 })
	c.Close()
	until(t, "the request is cancelled", func() bool { return busy(f) == 0 && f.Daemons[0].Counter("attempt.cancelled") == 1 })
}

// busy counts the attempts in flight at all daemons.
func busy(f *fleet.Fleet) int {
	n := 0
	for _, d := range f.Daemons {
		d.Shards().Each(func(_ ident.ShardID, _ bool, dispatcher *dispatch.Dispatcher) {
			_, b, _ := dispatcher.Shard.Load()
			n += b
		})
	}
	return n
}
