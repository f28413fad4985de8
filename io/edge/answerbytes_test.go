package edge

import (
	"bufio"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/internal/headcases"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// passedOn is what a caller gets of an answer.
type passedOn struct {
	status int
	body   string
}

// answerBytes sends a request to a server that writes the bytes and closes the connection, and returns what the caller
// would get, or nil if there is no answer for it.
func answerBytes(written []byte) *passedOn {
	client := backend.New(backend.ClientOptions{Buffers: bytebudget.New(math.MaxInt64), Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(written) // the client may have seen enough
			}
		}()
		return near, nil
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://server/")
	e := &Edge{backend: client}
	answer, _, _, _ := e.exchange(ctx, "server:1", req, fuzzedRequestID, true)
	if answer == nil {
		return nil
	}
	defer answer.Discard()
	if !mayBePassedOn(answer, fuzzedRequestID) {
		return nil
	}
	body := answer.Response.Body()
	if answer.Streamed {
		var err error
		if body, err = io.ReadAll(answer.Response.BodyStream()); err != nil {
			return nil
		}
	}
	return &passedOn{answer.Response.StatusCode(), string(body)}
}

// answerParts are what randomAnswer puts answers together from.
var answerParts = struct{ statusLines, fields, bodies []string }{
	statusLines: []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 299 Odd", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Error", "HTTP/1.1 204 No Content",
		"HTTP/1.0 200 OK", "HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 X", "HTTP/1.1 200 O\x00K",
	},
	fields: []string{
		"X A: 1", "X-A : 1", "X-A: 1\r\n 2", "X-A: 1\nX-B: 2", "X\x01A: 1", "X-A: 1\x00", ": 1", "X-A", "Content-Length : 4", "Content-Length: 4", "Content-Length: 2", "Content-Length: +4",
		"Content-Length: 4, 4", "Transfer-Encoding: chunked", "Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: Chunked", "Trailer: X-A", "Connection: close", "X-A:", "X-A: caf\xe9\t",
		"Bilberrymux-Request-Id: other", "Bilberrymux-Request-Id: own", "Bilberrymux-Not-Executed: 1",
	},
	bodies: []string{
		"", "body", "bodybody", "bo", "4\r\nbody\r\n0\r\n\r\n", "4;a=b\r\nbody\r\n0;c\r\nX-A: 1\r\n\r\n", "4\r\nbody\r\n0\r\nX A: 1\r\n\r\n", "4\r\nbody\r\n0\r\nX-A: 1\nX-B: 2\r\n\r\n",
		"4\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n", "4\r\nbody\r\n0\r\n\n",
	},
}

// randomAnswer returns the bytes of a signed answer that may be well-formed or damaged.
func randomAnswer(r *rand.Rand) string {
	p := &answerParts
	status, body := "HTTP/1.1 200 OK", "body"
	fields := []string{"Bilberrymux-Request-Id: own", "Bilberrymux-Response-Signature: s", "Content-Length: 4"}
	for range r.IntN(4) {
		i := r.IntN(len(fields) + 1)
		switch r.IntN(5) {
		case 0:
			status = pick(r, p.statusLines)
		case 1:
			body = pick(r, p.bodies)
		case 2:
			fields[len(fields)-1] = "Transfer-Encoding: chunked"
			body = pick(r, p.bodies[4:])
		default:
			fields = append(fields[:i], append([]string{pick(r, p.fields)}, fields[i:]...)...)
		}
	}
	text := status + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n" + body
	if r.IntN(3) == 0 {
		text = damage(r, text)
	}
	for r.IntN(5) == 0 {
		text = pick(r, otherMessages) + text
	}
	return text
}

// checkAnswerBytes checks that what a caller gets of the bytes is what a strict reader of its own makes of them, and that
// the caller gets a signed success which that reader accepts.
func checkAnswerBytes(t *testing.T, written []byte) (passed bool) {
	got, want := answerBytes(written), strictAnswerOf(written, fuzzedRequestID)
	if got != nil && (want == nil || got.status != want.status || got.body != want.body) {
		t.Errorf("%q: the caller gets %+v, and a strict reader reads %+v", written, got, want)
	}
	if got == nil && want.isPlainSuccess() {
		t.Errorf("%q: the caller gets no answer, and a strict reader reads %+v", written, want)
	}
	return got != nil
}

// isPlainSuccess reports whether the answer is a success of the request alone, without announced trailers, and without
// other ones than those that begin with X-.
func (a *strictAnswer) isPlainSuccess() bool {
	if a == nil || a.status < 200 || a.status > 299 || len(a.fields["bilberrymux-not-executed"]) > 0 || len(a.fields["trailer"]) > 0 {
		return false
	}
	for name := range a.trailers {
		if !strings.HasPrefix(name, "x-") {
			return false
		}
	}
	ids, signatures := a.fields["bilberrymux-request-id"], a.fields["bilberrymux-response-signature"]
	return len(ids) == 1 && ids[0] == fuzzedRequestID && len(signatures) == 1 && signatures[0] != ""
}

// TestOnlyWellFormedAnswersArePassedOn guards against answers of which the caller gets something else than the server wrote:
// over random responses, the daemon passes on just what a strict reader of its own makes of them.
func TestOnlyWellFormedAnswersArePassedOn(t *testing.T) {
	const cases = 30000
	r := rand.New(rand.NewPCG(46, 1))
	passed := 0
	for range cases {
		if checkAnswerBytes(t, []byte(randomAnswer(r))) {
			passed++
		}
	}
	t.Logf("%d of %d responses are passed on", passed, cases)
	if passed < cases/10 {
		t.Errorf("only %d of %d responses are passed on", passed, cases)
	}
}

func FuzzOnlyWellFormedAnswersArePassedOn(f *testing.F) {
	r := rand.New(rand.NewPCG(46, 2))
	for range 50 {
		f.Add([]byte(randomAnswer(r)))
	}
	cases := headcases.Load()
	for _, c := range append(append(cases.Malformed, cases.MalformedTrailers...), cases.Ordinary...) {
		f.Add([]byte(c.Expand(platform.HeaderRequestID+": own\r\n"+platform.HeaderSignature+": s\r\n", "body")))
	}
	f.Fuzz(func(t *testing.T, written []byte) { checkAnswerBytes(t, written) })
}
