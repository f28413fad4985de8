package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
	"bilberrymux/internal/testfiles"
	"bilberrymux/io/backend"
)

// exchange is one exchange of a script: the data that the server sends, and the
// expected result at the client.
type exchange struct {
	// Send is written to the connection. "{x*N}" stands for N times the letter x, "{attempt}" for the ID of the
	// attempt.
	Send string `json:"send"`
	// Close makes the server close the connection after Send.
	Close bool `json:"close"`
	// Anonymous leaves the ID of the attempt out of the responses in Send, which name it otherwise.
	Anonymous bool `json:"anonymous"`
	// AvoidStale marks the request as one that must not be repeated.
	AvoidStale bool          `json:"careful"`
	Outcome    shard.Outcome `json:"end"`
	Body       string        `json:"body"`
	// BodyError reports whether reading the body must return ErrTruncated.
	BodyError bool `json:"bodyError"`
	// Reused reports whether the exchange must use a connection that was used before.
	Reused bool `json:"reused"`
}

// replyScript is one test case in testdata/replies.
type replyScript struct {
	About     string     `json:"about"`
	Exchanges []exchange `json:"exchanges"`
	// Closed holds the reasons for which connections must be closed, in order. A
	// connection that is idle after the last exchange is closed by Expire.
	Closed []backend.CloseReason `json:"closed"`
}

// TestReplyScripts checks the client's results for scripted servers that send complete,
// truncated or invalid responses.
func TestReplyScripts(t *testing.T) {
	testfiles.EachJSON(t, "testdata/replies/*.json", testReplyScript)
}

// expand replaces the first {x*N} in text by N times the letter x.
func expand(text string) string {
	before, rest, found := strings.Cut(text, "{x*")
	if !found {
		return text
	}
	count, after, _ := strings.Cut(rest, "}")
	var n int
	if err := json.Unmarshal([]byte(count), &n); err != nil {
		panic(err)
	}
	return before + strings.Repeat("x", n) + after
}

// startScriptedServer starts a server that answers request number i with the script's
// exchange i. It returns the server's address.
func startScriptedServer(t *testing.T, s *replyScript) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	next := make(chan exchange, len(s.Exchanges))
	for _, e := range s.Exchanges {
		next <- e
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, next)
		}
	}()
	return l.Addr().String()
}

// statusLine matches the status lines of final responses.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [2-5][^\r]*\r\n`)

// withAttemptID returns the responses in a text with the ID of an attempt.
func withAttemptID(text, id string) string {
	return statusLine.ReplaceAllString(text, "${0}"+backend.AttemptIDHeader+": "+id+"\r\n")
}

// serveConn answers the requests on one connection with the next exchanges.
func serveConn(c net.Conn, next chan exchange) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		reply := <-next
		id := string(req.Header.Peek(backend.AttemptIDHeader))
		text := strings.ReplaceAll(expand(reply.Send), "{attempt}", id)
		if !reply.Anonymous {
			text = withAttemptID(text, id)
		}
		if _, err := io.WriteString(c, text); err != nil || reply.Close {
			return
		}
	}
}

// newClient returns a client that dials the addresses it is given and reports the connections that it closes.
func newClient(onClose func(backend.CloseReason)) *backend.Client {
	return backend.New(backend.ClientOptions{
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", a)
		},
		OnClose: onClose, Buffers: bytebudget.New(math.MaxInt64),
	})
}

// testReplyScript runs the exchanges of a script and checks their results.
func testReplyScript(t *testing.T, s *replyScript) {
	var reasons []backend.CloseReason
	address := startScriptedServer(t, s)
	client := newClient(func(reason backend.CloseReason) { reasons = append(reasons, reason) })
	for i, e := range s.Exchanges {
		// Unsolicited data of the server needs some time to arrive.
		time.Sleep(20 * time.Millisecond)
		got := exchange{Send: e.Send, Close: e.Close, Anonymous: e.Anonymous, AvoidStale: e.AvoidStale}
		doExchange(client, address, &got)
		if diff := cmp.Diff(e, got); diff != "" {
			t.Fatalf("exchange %d (-want +got):\n%s", i, diff)
		}
	}
	client.Expire(time.Now().Add(time.Hour))
	if diff := cmp.Diff(s.Closed, reasons); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
	if client.OpenConns() != 0 {
		t.Errorf("open connections after Expire: got %d, want 0", client.OpenConns())
	}
}

// doExchange sends one request with the timeout of scripts and stores the result in e.
func doExchange(client *backend.Client, address string, e *exchange) {
	doExchangeWithin(client, address, e, 300*time.Millisecond)
}

// doExchangeWithin sends one request with a timeout and stores the result in e.
func doExchangeWithin(client *backend.Client, address string, e *exchange, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/x")
	answer, outcome, _ := client.Do(ctx, address, req, backend.Options{
		AvoidStale: e.AvoidStale, OnConnect: func(use backend.Use) { e.Reused = use.Reused() },
	})
	e.Outcome = outcome
	if answer == nil {
		return
	}
	if !answer.Streamed {
		e.Body = string(answer.Response.Body())
		return
	}
	answer.OnEnd(func(outcome shard.Outcome) { e.Outcome = outcome })
	body, err := io.ReadAll(answer.Response.BodyStream())
	_ = answer.Response.CloseBodyStream()
	e.Body = strings.ReplaceAll(string(body), strings.Repeat("x", 1000), "k")
	e.BodyError = errors.Is(err, backend.ErrTruncated)
}

// TestCancelReachesServer checks that the connection of a cancelled request is closed,
// so that the server can stop working on it.
func TestCancelReachesServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	connClosed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadAll(c)
		close(connClosed)
	}()
	var reasons []backend.CloseReason
	client := newClient(func(reason backend.CloseReason) { reasons = append(reasons, reason) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://x/")
	_, outcome, err := client.Do(ctx, l.Addr().String(), req, backend.Options{})
	if outcome != shard.Cancelled || err == nil {
		t.Fatalf("cancelled request: got outcome %s and error %v, want outcome %s and an error", outcome, err, shard.Cancelled)
	}
	<-connClosed
	if client.OpenConns() != 0 {
		t.Fatalf("open connections after a cancelled request: got %d, want 0", client.OpenConns())
	}
	if diff := cmp.Diff([]backend.CloseReason{backend.CloseCancelled}, reasons); diff != "" {
		t.Fatalf("reasons for closing connections (-want +got):\n%s", diff)
	}
}

// TestDoUnreachable checks the outcome of a request to an address that refuses
// connections.
func TestDoUnreachable(t *testing.T) {
	client := newClient(func(reason backend.CloseReason) {
		t.Errorf("a connection was closed although none was opened: %s", reason)
	})
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://x/")
	if _, outcome, _ := client.Do(context.Background(), "127.0.0.1:1", req, backend.Options{}); outcome != shard.DialFailed {
		t.Fatalf("request to an unreachable server: got outcome %s, want %s", outcome, shard.DialFailed)
	}
}
