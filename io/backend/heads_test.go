package backend_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/shard"
	"bilberrymux/internal/headcases"
	"bilberrymux/internal/headserver"
	"bilberrymux/io/backend"
)

// startHeadServer starts a server that answers with the body and names the attempt.
func startHeadServer(t *testing.T, body string) *headserver.Server {
	return headserver.Start(t, body, backend.AttemptIDHeader)
}

// headTimeout bounds an exchange that ends at once unless the computer is busy.
const headTimeout = 10 * time.Second

// bodiesOfHeadCases are a body that is buffered and one that is streamed.
var bodiesOfHeadCases = map[string]string{"buffered": "twelve bytes", "streamed": strings.Repeat("x", 300<<10)}

// TestMalformedHeadIsNoAnswer guards against a response that a lenient parser accepts. It must be a failure of the
// server, also on a connection that was used before, and end the connection.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for size, body := range bodiesOfHeadCases {
		for _, c := range headcases.Load().Malformed {
			t.Run(size+"/"+c.Name, func(t *testing.T) {
				for _, ordinaryFirst := range []int{0, 1} {
					server := startHeadServer(t, body)
					var reasons []backend.CloseReason
					client := newClient(func(reason backend.CloseReason) { reasons = append(reasons, reason) })
					for range ordinaryFirst {
						doExchangeWithin(client, server.Address, &exchange{}, headTimeout)
					}
					server.SetCase(c)
					var got exchange
					doExchangeWithin(client, server.Address, &got, headTimeout)
					if diff := cmp.Diff(exchange{Outcome: shard.Broken, Reused: ordinaryFirst > 0}, got); diff != "" {
						t.Errorf("after %d ordinary responses (-want +got):\n%s", ordinaryFirst, diff)
					}
					client.Expire(time.Now().Add(time.Hour))
					if diff := cmp.Diff([]backend.CloseReason{backend.CloseMalformed}, reasons); diff != "" {
						t.Errorf("closed connections (-want +got):\n%s", diff)
					}
				}
			})
		}
	}
}

// TestMalformedTrailersAreNoEnd guards against a response that is complete but for trailers which a lenient parser accepts.
// A body that is streamed breaks off there.
func TestMalformedTrailersAreNoEnd(t *testing.T) {
	want := map[string]exchange{
		"buffered": {Outcome: shard.Broken},
		"streamed": {Outcome: shard.Broken, Body: strings.ReplaceAll(bodiesOfHeadCases["streamed"], strings.Repeat("x", 1000), "k"), BodyError: true},
	}
	for size, body := range bodiesOfHeadCases {
		for _, c := range headcases.Load().MalformedTrailers {
			t.Run(size+"/"+c.Name, func(t *testing.T) {
				var reasons []backend.CloseReason
				client := newClient(func(reason backend.CloseReason) { reasons = append(reasons, reason) })
				server := startHeadServer(t, body)
				server.SetCase(c)
				var got exchange
				doExchangeWithin(client, server.Address, &got, headTimeout)
				if diff := cmp.Diff(want[size], got); diff != "" {
					t.Errorf("exchange (-want +got):\n%s", diff)
				}
				client.Expire(time.Now().Add(time.Hour))
				if diff := cmp.Diff([]backend.CloseReason{backend.CloseMalformed}, reasons); diff != "" {
					t.Errorf("closed connections (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestUnusualHeadIsAnAnswer checks that responses which are well-formed arrive whole.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for size, body := range bodiesOfHeadCases {
		for _, c := range headcases.Load().Ordinary {
			t.Run(size+"/"+c.Name, func(t *testing.T) {
				client := newClient(func(backend.CloseReason) {})
				ctx, cancel := context.WithTimeout(context.Background(), headTimeout)
				defer cancel()
				req := &fasthttp.Request{}
				req.SetRequestURI("http://server/")
				server := startHeadServer(t, body)
				server.SetCase(c)
				answer, outcome, err := client.Do(ctx, server.Address, req, backend.Options{})
				if err != nil || outcome != shard.Good {
					t.Fatalf("got outcome %s, error %v", outcome, err)
				}
				if got := answer.Response.Body(); string(got) != body {
					t.Errorf("got a body of %d bytes, want %d: %.100q", len(got), len(body), got)
				}
			})
		}
	}
}
