package edge

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/settings"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// TestOutcomes checks what each end of an exchange says about the server.
func TestOutcomes(t *testing.T) {
	answer := func(status int, headers ...string) *backend.Answer {
		r := &fasthttp.Response{}
		r.SetStatusCode(status)
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return &backend.Answer{Response: r}
	}
	signed := []string{platform.HeaderRequestID, "id", platform.HeaderSignature, "s"}
	for name, test := range map[string]struct {
		answer *backend.Answer
		end    shard.End
		want   belief.Outcome
	}{
		"success":           {answer(200, signed...), shard.Good, belief.Good},
		"caller's fault":    {answer(404, signed...), shard.Good, belief.Good},
		"server error":      {answer(500, signed...), shard.ServerError, belief.Failed},
		"no signature":      {answer(200, platform.HeaderRequestID, "id"), shard.Good, belief.Broken},
		"another's answer":  {answer(200, platform.HeaderRequestID, "other", platform.HeaderSignature, "s"), shard.Good, belief.Broken},
		"full":              {answer(503, platform.HeaderNotRun, "1"), shard.ServerError, belief.Shed},
		"full, no promise":  {answer(503), shard.ServerError, belief.Failed},
		"another server":    {answer(421, platform.HeaderNotRun, "1"), shard.Good, belief.Misdirected},
		"no connection":     {nil, shard.DialFailed, belief.Unreachable},
		"cut":               {nil, shard.Broken, belief.Broken},
		"stale connection":  {nil, shard.StaleConnection, belief.Broken},
		"no answer":         {nil, shard.NoAnswer, belief.Silent},
		"silent connection": {nil, shard.SilentConnection, belief.Silent},
		"nobody waits":      {nil, shard.Cancelled, belief.Neutral},
	} {
		if diff := cmp.Diff(test.want, outcomeOf(test.answer, test.end, "id")); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestNoPromiseForWhatMayHaveRun checks each kind of refusal: where the request
// may have run, no status may promise that it did not.
func TestNoPromiseForWhatMayHaveRun(t *testing.T) {
	for _, kind := range refusal.Kinds() {
		r := refusal.New(kind, "")
		r.MayHaveRun = true
		if status := statusOf(r); promises(status) {
			t.Errorf("%s: status %d for a request that may have run", kind, status)
		}
	}
}

// TestSilentServerIsTheDeadline checks that a request whose server was silent is
// refused for its deadline, whichever of the two is seen first.
func TestSilentServerIsTheDeadline(t *testing.T) {
	r := &run{}
	r.account(ended{outcome: belief.Silent})
	got := r.refuse(r.last)
	if diff := cmp.Diff(&refusal.Error{Kind: refusal.DeadlineRunning, Detail: "0 servers tried", MayHaveRun: true}, got); diff != "" {
		t.Error(diff)
	}
}

// TestBudgetIsShared checks that all daemons which may spend on one host stay
// within the reserve together.
func TestBudgetIsShared(t *testing.T) {
	s := &settings.Edge{Zones: map[ident.ZoneID]ident.RegionID{"a": "r", "b": "r", "c": "q"}, Bounds: settings.Bounds{
		FurtherRatio: 0.2, FurtherReserve: 60, FurtherWindow: 10,
	}}
	const owners = 2
	o := budgetOptions(s, owners)
	most := owners * 3 * (o.Burst + o.PerSecond*10)
	if most > 60 {
		t.Errorf("the daemons may spend %.1f in a window, the reserve is 60", most)
	}
	if o.Ratio >= 0.2 {
		t.Errorf("a daemon may spend a share of %.2f", o.Ratio)
	}
	if o.Initial != 0 {
		t.Errorf("a restarted daemon may spend %.1f at once", o.Initial)
	}
}
