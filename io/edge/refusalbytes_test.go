package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/attempts"
	"bilberrymux/core/belief"
	"bilberrymux/core/bytebudget"
	"bilberrymux/io/backend"
)

const fuzzedRequestID = "own"

// exchangeBytes sends a request that must run once to a server that writes the bytes and closes the connection, and
// returns the outcome.
func exchangeBytes(written []byte) belief.Outcome {
	client := backend.New(backend.ClientOptions{Buffers: bytebudget.New(math.MaxInt64), Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			req, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				_, _ = far.Write(written) // the client may have seen enough
			}
		}()
		return near, nil
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://server/")
	req.Header.SetMethod(http.MethodPost)
	e := &Edge{backend: client}
	answer, outcome, _, _ := e.exchange(ctx, "server:1", req, fuzzedRequestID, true)
	if answer != nil {
		answer.Discard()
	}
	return outcome
}

// provesNotRun reports whether a request whose attempt ended so may be sent again, and refused as not run.
func provesNotRun(o belief.Outcome) bool {
	l := attempts.New(attempts.Options{MaxRuns: 2})
	l.Start()
	l.End(o)
	return !l.MayHaveRun()
}

// responseParts are what randomResponse puts responses together from.
var responseParts = struct{ statusLines, fields, bodies, trailers []string }{
	statusLines: []string{
		"HTTP/1.1 503 Service Unavailable", "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 421 Misdirected Request", "HTTP/1.1 421 Misdirected Request", "HTTP/1.1 400 Bad Request", "HTTP/1.1 408 Request Timeout", "HTTP/1.1 200 OK",
		"HTTP/1.1 500 Internal Server Error", "HTTP/1.0 503 Service Unavailable", "HTTP/1.1 503", "HTTP/1.1  503 Service Unavailable", "HTTP/1.1 204 No Content", "HTTP/1.1 101 Switching Protocols",
	},
	fields: []string{
		"Bilberrymux-Request-Id: own", "Bilberrymux-Request-Id: other", "bilberrymux-request-id: own", "Bilberrymux-Request-Id:", "Bilberrymux-Request-Id : own",
		"Bilberrymux-Not-Executed: 1", "Bilberrymux-Not-Executed: 0", "Bilberrymux-Not-Executed: false", "Bilberrymux-Not-Executed:", "Bilberrymux-Not-Executed: full",
		"bilberrymux-not-executed: true", "Bilberrymux-Not-Executed : 1", "Bilberrymux-Not-Executed: 1,\r\n 0",
		"Bilberrymux-Response-Signature: s", "Content-Length: 0", "Content-Length: 4", "Content-Length: +4", "Content-Length: 4, 4", "Transfer-Encoding: chunked",
		"Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Trailer: Bilberrymux-Not-Executed", "Connection: close", "Keep-Alive: timeout=5", "Retry-After: 1", "X-Other: y\n", "Server-Limit: 2",
	},
	bodies:   []string{"", "", "busy", "busybusy", "0\r\n\r\n", "4\r\nbusy\r\n0\r\n\r\n", "4\r\nbu"},
	trailers: []string{"0\r\nBilberrymux-Not-Executed: 1\r\n\r\n", "0\r\nBilberrymux-Request-Id: own\r\n\r\n", "0\r\nBilberrymux-Request-Id: other\r\n\r\n", "0\r\nBilberrymux-Response-Signature: s\r\n\r\n"},
}

func pick(r *rand.Rand, from []string) string { return from[r.IntN(len(from))] }

// randomResponse returns the bytes of a response that may be plain, contradictory or damaged.
func randomResponse(r *rand.Rand) string {
	p := &responseParts
	fields := []string{"Bilberrymux-Request-Id: own", "Bilberrymux-Not-Executed: 1", "Content-Length: 4"}
	status, body := "HTTP/1.1 503 Service Unavailable", "busy"
	for range r.IntN(4) {
		switch i := r.IntN(len(fields) + 1); r.IntN(7) {
		case 0:
			status = pick(r, p.statusLines)
		case 1:
			body = pick(r, append(p.bodies, p.trailers...))
		case 2:
			fields = append(fields[:min(i, len(fields)-1)], fields[min(i, len(fields)-1)+1:]...)
			fields = append(fields, "X-Last: 1")
		case 3:
			fields[2] = "Transfer-Encoding: chunked"
			body = pick(r, append(p.bodies[4:6], p.trailers...))
		case 4:
			fields = append(fields, pick(r, p.fields))
		default:
			fields = append(fields[:i], append([]string{pick(r, p.fields)}, fields[i:]...)...)
		}
		for len(fields) < 3 {
			fields = append(fields, "X-Pad: 1")
		}
	}
	text := status + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n" + body
	if r.IntN(3) == 0 {
		text = damage(r, text)
	}
	return text
}

// damage changes, removes, repeats or cuts off a part of the text.
func damage(r *rand.Rand, text string) string {
	i := r.IntN(len(text))
	j := min(len(text), i+1+r.IntN(20))
	switch r.IntN(6) {
	case 0:
		return text[:i]
	case 1:
		return text[:i] + text[j:]
	case 2:
		return text[:j] + text[i:]
	case 3:
		return text[:i] + string(rune(r.IntN(256))) + text[i+1:]
	case 4:
		return strings.ReplaceAll(text, "\r\n", "\n")
	default:
		return text[:i] + pick(r, []string{" ", "\t", "\r", "\n", "\r\n", ":", "\x00"}) + text[i:]
	}
}

// otherMessages may come before a response.
var otherMessages = []string{
	"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nBilberrymux-Not-Executed: 1\r\n\r\n", "\r\n", "noise",
	"HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: other\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: other\r\nBilberrymux-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: other\r\nBilberrymux-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBilberrymux-Request-Id: own\r\n\r\n",
}

// TestServerBytesProveNotRunOnlyIfPlain guards against repeats and promises for requests that a server may have run: over
// random responses, the daemon takes a request for not run just where a strict reader of its own does.
func TestServerBytesProveNotRunOnlyIfPlain(t *testing.T) {
	const cases = 30000
	r := rand.New(rand.NewPCG(39, 1))
	plain, mistakes := 0, map[string]int{}
	for range cases {
		text := randomResponse(r)
		for r.IntN(5) == 0 {
			text = pick(r, otherMessages) + text
		}
		want := plainlyNotRun([]byte(text), fuzzedRequestID)
		if want {
			plain++
		}
		if got := exchangeBytes([]byte(text)); provesNotRun(got) != want {
			kind := fmt.Sprintf("counts as %s, plainly not run %v", got, want)
			if mistakes[kind]++; mistakes[kind] <= 10 {
				t.Errorf("%s: %q", kind, text)
			}
		}
	}
	t.Logf("%d of %d responses say plainly that the request did not run; mistakes: %v", plain, cases, mistakes)
	if plain < cases/20 {
		t.Errorf("only %d of %d responses are plain", plain, cases)
	}
}

// exchangeAfterRefusal sends a request that a server plainly refuses, and then another one with the same id that the
// server runs. On the connection of the refusal it writes the given bytes after it has run the second one, on
// another one it answers. The outcome is that of the second request.
func exchangeAfterRefusal(written []byte) belief.Outcome {
	const refusalText = "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: own\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const answerText = "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: own\r\nBilberrymux-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
	var refused atomic.Bool
	e := &Edge{backend: backend.New(backend.ClientOptions{Buffers: bytebudget.New(math.MaxInt64), Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r := bufio.NewReader(far)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				text := []byte(answerText)
				if refused.CompareAndSwap(false, true) {
					text = []byte(refusalText)
				} else if n > 0 {
					_, _ = far.Write(written) // the client may have seen enough
					return
				}
				if _, err := far.Write(text); err != nil {
					return
				}
			}
		}()
		return near, nil
	}})}
	defer e.backend.Expire(time.Now().Add(time.Hour))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var outcome belief.Outcome
	for range 2 {
		req := &fasthttp.Request{}
		req.SetRequestURI("http://server/")
		req.Header.SetMethod(http.MethodPost)
		var answer *backend.Answer
		answer, outcome, _, _ = e.exchange(ctx, "server:1", req, fuzzedRequestID, true)
		if answer != nil {
			answer.Discard()
		}
	}
	return outcome
}

// TestNoBytesAfterRefusalProveNextRequestNotRun guards against promises and repeats for a request whose id its
// connection has carried before, whatever the server writes.
func TestNoBytesAfterRefusalProveNextRequestNotRun(t *testing.T) {
	const cases = 5000
	r := rand.New(rand.NewPCG(43, 1))
	mistakes := 0
	for range cases {
		text := randomResponse(r)
		if got := exchangeAfterRefusal([]byte(text)); provesNotRun(got) {
			if mistakes++; mistakes <= 5 {
				t.Errorf("ran, and counts as %s: %q", got, text)
			}
		}
	}
	if mistakes > 0 {
		t.Errorf("%d of %d requests that ran count as not run", mistakes, cases)
	}
}

func FuzzNoBytesAfterRefusalProveNextRequestNotRun(f *testing.F) {
	r := rand.New(rand.NewPCG(43, 2))
	for range 50 {
		f.Add([]byte(randomResponse(r)))
	}
	f.Fuzz(func(t *testing.T, written []byte) {
		if got := exchangeAfterRefusal(written); provesNotRun(got) {
			t.Errorf("ran, and counts as %s: %q", got, written)
		}
	})
}

func FuzzServerBytesProveNotRunOnlyIfPlain(f *testing.F) {
	r := rand.New(rand.NewPCG(39, 2))
	for range 50 {
		f.Add([]byte(randomResponse(r)))
	}
	f.Fuzz(func(t *testing.T, written []byte) {
		if got, want := exchangeBytes(written), plainlyNotRun(written, fuzzedRequestID); provesNotRun(got) != want {
			t.Errorf("counts as %s, plainly not run %v: %q", got, want, written)
		}
	})
}
