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

// step is what one attempt does: it takes a time and ends in a way.
type step struct {
	after time.Duration
	end   shard.End
}

// newDispatcher returns a dispatcher for three servers whose latencies are
// known, so that hedges are sent after about 20 ms.
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
	list := poison.New()
	d := &dispatch.Dispatcher{Poison: list, Shard: shard.New(shard.Options{
		ID: ident.ShardID{Service: "s", Region: "r"}, Permits: escrow.NewPermitPool(), Poison: list,
	})}
	if err := d.Shard.Update(time.Now(), s); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		if _, refused := do(d, true, step{10 * time.Millisecond, shard.Good}); refused != nil {
			t.Fatal(refused)
		}
	}
	return d
}

// do sends one request whose attempts go by the steps, and counts them.
func do(d *dispatch.Dispatcher, idempotent bool, steps ...step) (int, *refusal.Error) {
	var n atomic.Int32
	next := make(chan step, len(steps))
	for _, s := range steps {
		next <- s
	}
	_, refused := d.Do(context.Background(), &dispatch.Request{
		Service: "s", Rank: ident.Urgent, Weight: 1, Deadline: time.Now().Add(time.Second), Idempotent: idempotent,
		Send: func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.End) {
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
			if s.end == shard.Good || s.end == shard.ServerError {
				return &backend.Answer{Response: &fasthttp.Response{}}, s.end
			}
			return nil, s.end
		},
	})
	return int(n.Load()), refused
}

// told is what came of a request.
type told struct {
	Attempts int
	Kind     refusal.Kind
	Outcome  refusal.Outcome
}

// TestAttempts plays the ends of attempts, also of two beside each other: what
// may have run is never called not run, and what must not be repeated is not.
func TestAttempts(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name       string
		idempotent bool
		steps      []step
		want       told
	}{
		{"not idempotent, cut", false, []step{{5 * ms, shard.Broken}}, told{1, refusal.ServerFailed, refusal.Unknown}},
		{"not idempotent, shed, then good", false, []step{{1 * ms, shard.Shed}, {5 * ms, shard.Good}}, told{2, "", ""}},
		{"not idempotent, dial failed twice", false, []step{{1 * ms, shard.DialFailed}, {1 * ms, shard.DialFailed}}, told{2, refusal.ServersUnreachable, refusal.NotRun}},
		{"not idempotent, dial failed, then cut", false, []step{{1 * ms, shard.DialFailed}, {1 * ms, shard.Broken}}, told{2, refusal.ServerFailed, refusal.Unknown}},
		{"idempotent, cut, then dial failed", true, []step{{5 * ms, shard.Broken}, {1 * ms, shard.DialFailed}}, told{2, refusal.ServersUnreachable, refusal.Unknown}},
		{"hedged, first cut late, second dial failed later", true, []step{{60 * ms, shard.Broken}, {90 * ms, shard.DialFailed}, {1 * ms, shard.DialFailed}}, told{3, refusal.ServersUnreachable, refusal.Unknown}},
		{"hedged, second wins", true, []step{{500 * ms, shard.Good}, {5 * ms, shard.Good}}, told{2, "", ""}},
		{"no answer", true, []step{{5 * time.Second, shard.Good}, {5 * time.Second, shard.Good}}, told{2, refusal.DeadlineRunning, refusal.Unknown}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, refused := do(newDispatcher(t), c.idempotent, c.steps...)
				got := told{Attempts: n}
				if refused != nil {
					got.Kind, got.Outcome = refused.Kind, refused.Outcome()
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Fatalf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
