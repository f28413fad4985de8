package daemon

import (
	"context"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
	"bilberrymux/internal/headcases"
	"bilberrymux/io/backend"
	"bilberrymux/io/standin/backendserver"
)

// TestMalformedHeadIsUnhealthy guards against a server that counts as healthy by a response that is none, on a new
// connection and on one that was used before.
func TestMalformedHeadIsUnhealthy(t *testing.T) {
	cases := headcases.Load()
	for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers) {
		s := backendserver.New(backendserver.Options{Name: "server", Slots: 1})
		if err := s.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
		client := backend.New(backend.ClientOptions{
			Dial: func(ctx context.Context, a string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", a)
			},
			Buffers: bytebudget.New(math.MaxInt64),
		})
		probe := func() shard.ProbeResult {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			req := &fasthttp.Request{}
			req.SetRequestURI(healthPath)
			req.Header.SetHost(s.Address())
			answer, outcome, _ := client.Do(ctx, s.Address(), req, backend.Options{})
			return probeResult(answer, outcome)
		}
		malformed := shard.ProbeResult{Reached: true}
		for _, step := range []struct {
			headCase string
			want     shard.ProbeResult
		}{{c.Name, malformed}, {"", shard.ProbeResult{Reached: true, Healthy: true}}, {c.Name, malformed}} {
			s.SetFaults(backendserver.Faults{HeadCase: step.headCase})
			if diff := cmp.Diff(step.want, probe()); diff != "" {
				t.Errorf("head case %q (-want +got):\n%s", step.headCase, diff)
			}
		}
	}
}
