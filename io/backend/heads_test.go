package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/shard"
	"bilberrymux/internal/headcases"
	"bilberrymux/io/backend"
)

// startHeadServer starts a server that answers the first requests of each connection with an ordinary response, and
// the one after those with the case and the body. It returns its address.
func startHeadServer(t *testing.T, c headcases.Case, body string, ordinaryFirst int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go writeHeadCase(conn, c, body, ordinaryFirst)
		}
	}()
	return l.Addr().String()
}

func writeHeadCase(conn net.Conn, c headcases.Case, body string, ordinaryFirst int) {
	defer conn.Close()
	ordinary := headcases.Case{Text: "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}"}
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		answer := ordinary
		if n == ordinaryFirst {
			answer = c
		}
		fields := backend.AttemptIDHeader + ": " + string(req.Header.Peek(backend.AttemptIDHeader)) + "\r\n"
		if _, err := io.WriteString(conn, answer.Expand(fields, body)); err != nil || answer.Closes {
			return
		}
	}
}

// bodiesOfHeadCases are a body that is buffered and one that is streamed.
var bodiesOfHeadCases = map[string]string{"buffered": "twelve bytes", "streamed": strings.Repeat("x", 300<<10)}

// TestMalformedHeadIsNoAnswer guards against a response that a lenient parser accepts. It must be a failure of the
// server, also on a connection that was used before, and end the connection.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for size, body := range bodiesOfHeadCases {
		for _, c := range headcases.Load().Malformed {
			t.Run(size+"/"+c.Name, func(t *testing.T) {
				for _, ordinaryFirst := range []int{0, 1} {
					address := startHeadServer(t, c, body, ordinaryFirst)
					var reasons []backend.CloseReason
					client := newClient(func(reason backend.CloseReason) { reasons = append(reasons, reason) })
					var got exchange
					for range ordinaryFirst + 1 {
						got = exchange{}
						doExchange(client, address, &got)
					}
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
				var got exchange
				doExchange(client, startHeadServer(t, c, body, 0), &got)
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
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				req := &fasthttp.Request{}
				req.SetRequestURI("http://server/")
				answer, outcome, err := client.Do(ctx, startHeadServer(t, c, body, 0), req, backend.Options{})
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
