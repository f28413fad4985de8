package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
)

// attemptStep is the duration and the outcome of one attempt.
type attemptStep struct {
	after   time.Duration
	outcome shard.Outcome
}

// newDispatcher returns a dispatcher for three servers. It first sends 40 requests that take 10 ms
// each, so that later requests are hedged after about 20 ms.
func newDispatcher(t *testing.T) *dispatch.Dispatcher {
	t.Helper()
	s := &config.Service{
		Servers:   map[ident.ServerID]config.Server{},
		Detector:  config.Detector{Name: "cusum", FalseAlarmRate: 1e-9, SlowFactor: 3},
		Picker:    "roundRobin",
		Admission: config.Admission{Name: "rankShares", QueueLimit: 10, Shares: config.Shares{Urgent: 1}},
		Retry:     config.Retry{Name: "budget", ExtraFraction: 1, MaxAttempts: 2, HedgeQuantile: 0.95},
	}
	for _, id := range []ident.ServerID{"a", "b", "c"} {
		s.Servers[id] = config.Server{Address: string(id), Region: "r", Slots: 4}
	}
	quarantine := poison.New()
	d := &dispatch.Dispatcher{Poison: quarantine, Shard: shard.New(shard.Options{
		ID: ident.ShardID{Service: "s", Region: "r"}, Permits: escrow.NewPermitPool(), Poison: quarantine,
	})}
	if err := d.Shard.Update(time.Now(), s); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		if _, refused := sendRequest(d, true, attemptStep{10 * time.Millisecond, shard.Good}); refused != nil {
			t.Fatal(refused)
		}
	}
	return d
}

// sendRequest sends one request whose attempts follow the steps in order. It returns the number of
// attempts and the refusal, if any.
func sendRequest(d *dispatch.Dispatcher, idempotent bool, steps ...attemptStep) (int, *refusal.Error) {
	var n atomic.Int32
	next := make(chan attemptStep, len(steps))
	for _, s := range steps {
		next <- s
	}
	_, refused := d.Do(context.Background(), &dispatch.Request{
		Service: "s", Rank: ident.Urgent, Weight: 1, Deadline: time.Now().Add(time.Second), Idempotent: idempotent,
		Send: func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
			n.Add(1)
			a.Sent.Store(true)
			s := <-next
			select {
			case <-time.After(s.after):
			case <-ctx.Done():
				if ctx.Err() == context.Canceled {
					return nil, shard.Cancelled
				}
				return nil, shard.NoAnswer
			}
			if s.outcome == shard.Good || s.outcome == shard.ServerError {
				return &backend.Answer{Response: &fasthttp.Response{}}, s.outcome
			}
			return nil, s.outcome
		},
	})
	return int(n.Load()), refused
}

// requestResult is the number of attempts of a request and its refusal, if any.
type requestResult struct {
	Attempts int
	Kind     refusal.Kind
	Outcome  refusal.Outcome
}

// TestAttempts checks the number of attempts and the refusal for sequences of outcomes, with and
// without a hedge. A request that may have run must not be reported as not run, and a request that is
// not idempotent must not be repeated once it may have run.
func TestAttempts(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name       string
		idempotent bool
		steps      []attemptStep
		want       requestResult
	}{
		{"not idempotent, aborted", false, []attemptStep{{5 * ms, shard.Broken}}, requestResult{1, refusal.ServerFailed, refusal.Unknown}},
		{"not idempotent, shed, then good", false, []attemptStep{{1 * ms, shard.Shed}, {5 * ms, shard.Good}}, requestResult{2, "", ""}},
		{"not idempotent, dial failed twice", false, []attemptStep{{1 * ms, shard.DialFailed}, {1 * ms, shard.DialFailed}}, requestResult{2, refusal.ServersUnreachable, refusal.NotRun}},
		{"not idempotent, dial failed, then aborted", false, []attemptStep{{1 * ms, shard.DialFailed}, {1 * ms, shard.Broken}}, requestResult{2, refusal.ServerFailed, refusal.Unknown}},
		{"idempotent, aborted, then dial failed", true, []attemptStep{{5 * ms, shard.Broken}, {1 * ms, shard.DialFailed}}, requestResult{2, refusal.ServersUnreachable, refusal.Unknown}},
		{"hedged, first aborted late, second dial failed later", true, []attemptStep{{60 * ms, shard.Broken}, {90 * ms, shard.DialFailed}, {1 * ms, shard.DialFailed}}, requestResult{3, refusal.ServersUnreachable, refusal.Unknown}},
		{"hedged, second wins", true, []attemptStep{{500 * ms, shard.Good}, {5 * ms, shard.Good}}, requestResult{2, "", ""}},
		{"no answer", true, []attemptStep{{5 * time.Second, shard.Good}, {5 * time.Second, shard.Good}}, requestResult{2, refusal.DeadlineRunning, refusal.Unknown}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, refused := sendRequest(newDispatcher(t), c.idempotent, c.steps...)
				got := requestResult{Attempts: n}
				if refused != nil {
					got.Kind, got.Outcome = refused.Kind, refused.Outcome()
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Fatalf("attempts and refusal (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRequestsAreNotRepeatedOnceNotIdempotent guards against second runs of requests that a new configuration forbids.
func TestRequestsAreNotRepeatedOnceNotIdempotent(t *testing.T) {
	for name, first := range map[string]attemptStep{
		"retry after a server error": {time.Millisecond, shard.ServerError},
		"retry after a broken one":   {time.Millisecond, shard.Broken},
		"hedge":                      {300 * time.Millisecond, shard.Good},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(t)
				var attempts atomic.Int32
				d.Do(context.Background(), &dispatch.Request{
					Service: "s", Rank: ident.Urgent, Weight: 1, Deadline: time.Now().Add(time.Second), Idempotent: true,
					StillIdempotent: func() bool { return false },
					Send: func(_ context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
						attempts.Add(1)
						a.Sent.Store(true)
						time.Sleep(first.after)
						if first.outcome == shard.Good {
							return &backend.Answer{Response: &fasthttp.Response{}}, first.outcome
						}
						return nil, first.outcome
					},
				})
				if n := attempts.Load(); n != 1 {
					t.Errorf("got %d attempts, want 1", n)
				}
			})
		})
	}
}
