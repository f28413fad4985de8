package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/shard"
	"bilberrymux/internal/testfiles"
	"bilberrymux/io/backend"
)

// exchange is one exchange of a script: what the server sends, and what must
// come of it.
type exchange struct {
	// Send is written to the connection; "{x*N}" stands for N times x.
	Send string `json:"send"`
	// Close ends the connection after that.
	Close bool `json:"close"`
	// Careful marks the request as one that must not be repeated.
	Careful bool      `json:"careful"`
	End     shard.End `json:"end"`
	Body    string    `json:"body"`
	// BodyError says that the body must end in an error.
	BodyError bool `json:"bodyError"`
	// Reused says whether the exchange must run on a used connection.
	Reused bool `json:"reused"`
}

type replyScript struct {
	About     string     `json:"about"`
	Exchanges []exchange `json:"exchanges"`
	// Closed is why connections ended, in order; one that stays idle after the
	// last exchange is expired.
	Closed []backend.CloseReason `json:"closed"`
}

// TestReplyScripts plays what servers send, whole or not, against the client.
func TestReplyScripts(t *testing.T) {
	testfiles.EachJSON(t, "testdata/replies/*.json", playReplies)
}

// expand replaces {x*N} by N times x.
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

// serve answers request number i with the script's exchange i.
func serve(t *testing.T, s *replyScript) string {
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
			go answer(c, next)
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, next chan exchange) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		e := <-next
		if _, err := io.WriteString(c, expand(e.Send)); err != nil || e.Close {
			return
		}
	}
}

func playReplies(t *testing.T, s *replyScript) {
	var ends []backend.CloseReason
	address := serve(t, s)
	client := backend.New(func(ctx context.Context, a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a)
	}, func(end backend.CloseReason) { ends = append(ends, end) })
	for i, e := range s.Exchanges {
		// Bytes that a server sends unasked need a moment to arrive.
		time.Sleep(20 * time.Millisecond)
		got := exchange{Send: e.Send, Close: e.Close, Careful: e.Careful}
		play(client, address, &got)
		if diff := cmp.Diff(e, got); diff != "" {
			t.Fatalf("exchange %d (-want +got):\n%s", i, diff)
		}
	}
	client.Expire(time.Now().Add(time.Hour))
	if diff := cmp.Diff(s.Closed, ends); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
	if client.Open() != 0 {
		t.Errorf("%d connections are open", client.Open())
	}
}

func play(client *backend.Client, address string, e *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/x")
	answer, end, _ := client.Do(ctx, address, req, backend.Options{
		AvoidStale: e.Careful, OnConnect: func(reused bool) { e.Reused = reused },
	})
	e.End = end
	if answer == nil {
		return
	}
	if !answer.Streamed {
		e.Body = string(answer.Response.Body())
		return
	}
	answer.OnEnd(func(end shard.End) { e.End = end })
	body, err := io.ReadAll(answer.Response.BodyStream())
	_ = answer.Response.CloseBodyStream()
	e.Body = strings.ReplaceAll(string(body), strings.Repeat("x", 1000), "k")
	e.BodyError = errors.Is(err, backend.ErrTruncated)
}

// TestCancelReachesServer cancels a request; the server must see its connection
// close.
func TestCancelReachesServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	gone := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadAll(c)
		close(gone)
	}()
	var ends []backend.CloseReason
	client := backend.New(func(ctx context.Context, a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a)
	}, func(end backend.CloseReason) { ends = append(ends, end) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://x/")
	_, end, err := client.Do(ctx, l.Addr().String(), req, backend.Options{})
	if end != shard.Cancelled || err == nil {
		t.Fatalf("end %s, error %v", end, err)
	}
	<-gone
	if client.Open() != 0 {
		t.Fatalf("%d connections are open", client.Open())
	}
	if diff := cmp.Diff([]backend.CloseReason{backend.CloseCancelled}, ends); diff != "" {
		t.Fatal(diff)
	}
}

// TestUnreachable tells a server that refuses connections.
func TestUnreachable(t *testing.T) {
	client := backend.New(func(ctx context.Context, a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a)
	}, func(end backend.CloseReason) { t.Errorf("a connection ended: %s", end) })
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://x/")
	if _, end, _ := client.Do(context.Background(), "127.0.0.1:1", req, backend.Options{}); end != shard.DialFailed {
		t.Fatalf("end %s", end)
	}
}
