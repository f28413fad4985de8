package backendserver_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/io/backend"
	"bilberrymux/io/standin/backendserver"
)

// waitLimit is the timeout of each request. It is generous: requests return as soon as the server
// answers or the connection fails.
const waitLimit = 30 * time.Second

func startServer(t *testing.T) *backendserver.Server {
	t.Helper()
	s := backendserver.New(backendserver.Options{Name: "s", Slots: 1, Seed: 1})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// sendWork sends a request and returns the status and the not-run header of the answer. The status
// is 0 if there was no answer.
func sendWork(s *backendserver.Server, id string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.Address() + "/work")
	req.Header.Set(backendserver.TestIDHeader, id)
	if err := fasthttp.DoTimeout(req, resp, waitLimit); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Header.Peek(backend.NotRunHeader))
}

// postFaults sets the server's faults over HTTP. It ignores errors, since a server that is told to
// crash may not answer.
func postFaults(t *testing.T, s *backendserver.Server, body string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.Address() + backendserver.PathFaults)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	_ = fasthttp.DoTimeout(req, resp, waitLimit)
}

// TestFaultsSetOverHTTP checks that faults set at run time take effect, and that the server counts
// the runs of requests that succeeded or failed, but not of those that it rejected as not run.
func TestFaultsSetOverHTTP(t *testing.T) {
	s := startServer(t)
	type answer struct {
		Status int
		Reason string
	}
	got := map[string]answer{}
	for _, c := range []struct{ id, fault string }{
		{"sound", `{}`}, {"failing", `{"failPart":1}`}, {"shed", `{"shedAll":true}`}, {"draining", `{"draining":true}`},
	} {
		postFaults(t, s, c.fault)
		status, reason := sendWork(s, c.id)
		got[c.id] = answer{status, reason}
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

// TestCrashedServerRestarts checks that a server that is crashed over HTTP stops answering and
// answers again after the configured time.
func TestCrashedServerRestarts(t *testing.T) {
	s := startServer(t)
	postFaults(t, s, `{"deadMillis":300}`)
	down, recovered := false, false
	for i := 0; !recovered; i++ {
		status, _ := sendWork(s, fmt.Sprint(i))
		down = down || status == 0
		recovered = down && status == 200
		if i > 100_000 {
			t.Fatalf("server did not crash and restart within 100000 requests: crashed %v, restarted %v", down, recovered)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestKilledServerRestartsOnBusyPort checks that a killed server comes back although another socket
// has its port when it tries to listen again.
func TestKilledServerRestartsOnBusyPort(t *testing.T) {
	s := startServer(t)
	s.Kill(100 * time.Millisecond)
	// If the port can't be taken here, another process has it, which is the same case.
	other, err := net.Listen("tcp", s.Address())
	time.Sleep(300 * time.Millisecond)
	if err == nil {
		other.Close()
	}
	status := 0
	for end := time.Now().Add(waitLimit); status != 200 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, _ = sendWork(s, fmt.Sprint(time.Now().UnixNano()))
	}
	if status != 200 {
		t.Errorf("the server did not come back within %s", waitLimit)
	}
}
