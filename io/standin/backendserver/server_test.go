package backendserver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/io/backend"
	"bilberrymux/io/standin/backendserver"
)

// patience bounds waits that end as soon as what is waited for is there.
const patience = 30 * time.Second

func start(t *testing.T) *backendserver.Server {
	t.Helper()
	s := backendserver.New(backendserver.Options{Name: "s", Slots: 1, Seed: 1})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// work sends one request and returns the status and the sign of a server that
// ran nothing. The status is 0 where no answer came.
func work(s *backendserver.Server, id string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.Address() + "/work")
	req.Header.Set(backendserver.TestIDHeader, id)
	if err := fasthttp.DoTimeout(req, resp, patience); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Header.Peek(backend.NotRunHeader))
}

func fault(t *testing.T, s *backendserver.Server, body string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.Address() + backendserver.PathFaults)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	_ = fasthttp.DoTimeout(req, resp, patience)
}

// TestFaultsAtRunTime sets faults over HTTP; the ledger counts what was run, and
// nothing that was refused with the sign.
func TestFaultsAtRunTime(t *testing.T) {
	s := start(t)
	type answer struct {
		Status int
		Sign   string
	}
	got := map[string]answer{}
	for _, c := range []struct{ id, fault string }{
		{"sound", `{}`}, {"failing", `{"failPart":1}`}, {"shed", `{"shedAll":true}`}, {"draining", `{"draining":true}`},
	} {
		fault(t, s, c.fault)
		status, sign := work(s, c.id)
		got[c.id] = answer{status, sign}
	}
	want := map[string]answer{
		"sound": {200, ""}, "failing": {500, ""},
		"shed": {503, backend.ShedValue}, "draining": {503, backend.DrainValue},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"sound": 1, "failing": 1}, s.Runs()); diff != "" {
		t.Fatalf("runs (-want +got):\n%s", diff)
	}
}

// TestDeadServerComesBack kills a server over HTTP for a while.
func TestDeadServerComesBack(t *testing.T) {
	s := start(t)
	fault(t, s, `{"deadMillis":300}`)
	died, back := false, false
	for i := 0; !back; i++ {
		status, _ := work(s, fmt.Sprint(i))
		died = died || status == 0
		back = died && status == 200
		if i > 100_000 {
			t.Fatalf("died %v, came back %v", died, back)
		}
		time.Sleep(time.Millisecond)
	}
}
