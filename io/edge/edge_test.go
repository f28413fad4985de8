package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/attempts"
	"bilberrymux/core/belief"
	"bilberrymux/core/budget"
	"bilberrymux/core/httphead"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/settings"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// TestOutcomeOf checks the outcome that each exchange with a server is recorded as.
func TestOutcomeOf(t *testing.T) {
	answer := func(status int, headers ...string) *backend.Answer {
		r := &fasthttp.Response{}
		r.SetStatusCode(status)
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		raw := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, fasthttp.StatusMessage(status))
		for i := 0; i < len(headers); i += 2 {
			raw += headers[i] + ": " + headers[i+1] + "\r\n"
		}
		head, err := httphead.Parse([]byte(raw + "Content-Length: 0\r\n\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		return &backend.Answer{Response: r, Head: head}
	}
	doubtful := answer(503, platform.HeaderRequestID, "id", platform.HeaderNotExecuted, "1")
	doubtful.Head = nil
	signed := []string{platform.HeaderRequestID, "id", platform.HeaderSignature, "s"}
	for name, test := range map[string]struct {
		answer   *backend.Answer
		exchange shard.Outcome
		want     belief.Outcome
	}{
		"success":                            {answer(200, signed...), shard.Good, belief.Good},
		"client error":                       {answer(404, signed...), shard.Good, belief.Good},
		"server error":                       {answer(500, signed...), shard.ServerError, belief.Failed},
		"no signature":                       {answer(200, platform.HeaderRequestID, "id"), shard.Good, belief.Broken},
		"answer to another request":          {answer(200, platform.HeaderRequestID, "other", platform.HeaderSignature, "s"), shard.Good, belief.Broken},
		"overloaded":                         {answer(503, platform.HeaderRequestID, "id", platform.HeaderNotExecuted, "1"), shard.ServerError, belief.Shed},
		"overloaded, with doubt":             {doubtful, shard.ServerError, belief.Failed},
		"overloaded, of an unknown request":  {answer(503, platform.HeaderNotExecuted, "1"), shard.ServerError, belief.Broken},
		"overloaded without not-run header":  {answer(503, platform.HeaderRequestID, "id"), shard.ServerError, belief.Failed},
		"server error to an unknown request": {answer(500), shard.ServerError, belief.Broken},
		"misdirected":                        {answer(421, platform.HeaderRequestID, "id", platform.HeaderNotExecuted, "1"), shard.Good, belief.Misdirected},
		"misdirected, of an unknown request": {answer(421, platform.HeaderNotExecuted, "1"), shard.Good, belief.Broken},
		"dial failed":                        {nil, shard.DialFailed, belief.Unreachable},
		"connection broken":                  {nil, shard.Broken, belief.Broken},
		"stale connection":                   {nil, shard.StaleConnection, belief.Broken},
		"no answer":                          {nil, shard.NoAnswer, belief.Silent},
		"silent connection":                  {nil, shard.SilentConnection, belief.Silent},
		"cancelled":                          {nil, shard.Cancelled, belief.Neutral},
	} {
		if diff := cmp.Diff(test.want, outcomeOf(test.answer, test.exchange, "id")); diff != "" {
			t.Errorf("%s: outcomeOf mismatch (-want +got):\n%s", name, diff)
		}
	}
}

// TestBodiesAreHeldOnce guards against a daemon that runs out of memory by copies of large uploads.
func TestBodiesAreHeldOnce(t *testing.T) {
	app := fiber.New()
	c := app.AcquireCtx(&fasthttp.RequestCtx{})
	defer app.ReleaseCtx(c)
	body := []byte("a lecture recording")
	k := &call{request: outgoingRequest(c, body), deadline: time.Now().Add(time.Second)}
	for range 2 {
		if got := k.attemptRequest("s").Body(); &got[0] != &body[0] || len(got) != len(body) {
			t.Errorf("the body %q of an attempt is a copy of %q", got, body)
		}
	}
}

// TestStatusNeverPromisesNotRunIfRan checks for each kind of refusal that the status does not
// say that the request did not run if it may have run.
func TestStatusNeverPromisesNotRunIfRan(t *testing.T) {
	for _, kind := range refusal.Kinds() {
		r := refusal.New(kind, "")
		r.MayHaveRun = true
		if status := statusOf(r); platform.PromisesNotExecuted(status) {
			t.Errorf("%s: got status %d, which says that the request did not run, for a request that may have run", kind, status)
		}
	}
}

// TestSilentServerIsRefusedAsDeadline checks that a request whose server did not respond is
// refused for its deadline, whether the timeout of the attempt or the deadline of the request
// is seen first.
func TestSilentServerIsRefusedAsDeadline(t *testing.T) {
	r := &forwardState{log: attempts.New(attempts.Options{MaxRuns: 2})}
	r.log.Start()
	r.log.End(belief.Silent)
	got := r.refuse(r.log.RefusalKind())
	if diff := cmp.Diff(&refusal.Error{Kind: refusal.DeadlineRunning, Detail: "0 servers tried", MayHaveRun: true}, got); diff != "" {
		t.Errorf("refusal mismatch (-want +got):\n%s", diff)
	}
}

// TestDaemonsStayWithinBudgetReserve checks that what a daemon divides is the reserve of the settings, with
// a margin in the ratio. core/budget.TestFleetKeepsBudget checks the sum over all daemons.
func TestDaemonsStayWithinBudgetReserve(t *testing.T) {
	s := &settings.Edge{Zones: map[ident.ZoneID]ident.RegionID{"a": "r", "b": "r", "c": "q"}, Bounds: settings.Bounds{
		ExtraAttemptRatio: 0.2, ExtraAttemptReserve: 60, ExtraAttemptWindow: 10,
	}}
	want := budget.DivisionOptions{Reserve: 60, Window: 10 * time.Second, Zones: 3}
	if diff := cmp.Diff(want, divisionOptions(s)); diff != "" {
		t.Errorf("division of a restarted daemon (-want +got):\n%s", diff)
	}
	if o := budgetOptions(s); o.Ratio >= 0.2 || o.Window != want.Window {
		t.Errorf("got %+v, want a ratio of less than 0.2 in a window of %v", o, want.Window)
	}
}
