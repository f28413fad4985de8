package fleet_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/refusal"
	"bilberrymux/internal/headcases"
	"bilberrymux/io/front"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
)

func setHeadCase(f *fleet.Fleet, name string) {
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{HeadCase: name})
	}
}

func sendOrder(t *testing.T, f *fleet.Fleet, id string) *fasthttp.Response {
	t.Helper()
	return send(t, f.Entries()[0], call{"POST", "/orders", "an order", map[string]string{backendserver.TestIDHeader: id}})
}

// TestMalformedHeadsReachNoCaller guards against answers whose head a lenient parser accepts. They are failures of the
// server, which may have run the order.
func TestMalformedHeadsReachNoCaller(t *testing.T) {
	cases := headcases.Load()
	for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			f := start(t, options(1))
			setHeadCase(f, c.Name)
			const id = "an-order"
			resp := sendOrder(t, f, id)
			if len(resp.Header.Peek(front.RefusalHeader)) == 0 || len(resp.Header.Peek(backendserver.TestIDHeader)) > 0 {
				t.Fatalf("the response reached the caller:\n%s", resp)
			}
			if r := decodeRefusal(t, resp); r.Kind != refusal.ServerFailed || r.Outcome != refusal.Unknown || runsOf(f, id) != 1 {
				t.Errorf("got %+v after %d runs, want a failed server with unknown outcome after one run", r, runsOf(f, id))
			}
		})
	}
}

// TestUnusualHeadsReachCallers checks that responses which are well-formed are passed on, also by daemons that forward the
// order to another one, and when their bodies are streamed.
func TestUnusualHeadsReachCallers(t *testing.T) {
	const largeBytes = 300 << 10
	f := start(t, options(3))
	for _, c := range headcases.Load().Ordinary {
		t.Run(c.Name, func(t *testing.T) {
			setHeadCase(f, c.Name)
			for n, address := range f.Entries() {
				id := fmt.Sprintf("%s-%d", c.Name, n)
				headers := map[string]string{backendserver.TestIDHeader: id}
				checkOwnAnswer(t, f, id, send(t, address, call{"POST", "/orders", "an order", headers}))
				headers = map[string]string{backendserver.ResponseSizeHeader: strconv.Itoa(largeBytes)}
				if resp := send(t, address, call{"POST", "/orders", "an order", headers}); len(resp.Body()) != largeBytes {
					t.Errorf("got status %d and %d bytes, want %d", resp.StatusCode(), len(resp.Body()), largeBytes)
				}
			}
		})
	}
}
