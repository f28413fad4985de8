package backend

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
)

// The load of TestEndlessAnswersTakeBoundedMemory.
const (
	endlessAnswers = 400
	// endlessBudget is the budget of the buffers, and maxEndlessBytes what all exchanges may hold: the budget, and for
	// each the buffers of its connection at both ends and of the first bytes of its body.
	endlessBudget   = 8 << 20
	maxEndlessBytes = endlessBudget + endlessAnswers*(minBufferedBody+6*bufferSize)
)

// serveEndless answers each request with bytes that follow a head without end, as fast as they are read, but
// never ends the body.
func serveEndless(t *testing.T, head string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	noise := []byte(strings.Repeat("x", 4<<10))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.WriteString(c, head); err != nil {
					return
				}
				for {
					if _, err := c.Write(noise); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// TestEndlessAnswersTakeBoundedMemory guards against a process that holds the product of its exchanges and the
// size of each.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	address := serveEndless(t, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: 7\r\nConnection: close\r\n\r\n")
	budget := bytebudget.New(endlessBudget)
	c := New(ClientOptions{Dial: dialTCP, Buffers: budget})
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	answers := make([]*Answer, endlessAnswers)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			req := &fasthttp.Request{}
			req.SetRequestURI("http://server/")
			answer, outcome, err := c.Do(ctx, address, req, Options{})
			if err != nil || outcome != shard.Good {
				t.Errorf("got %s and %v, want an answer whose body is a stream", outcome, err)
				return
			}
			answers[i] = answer
		})
	}
	wg.Wait()
	runtime.GC()
	runtime.ReadMemStats(&during)
	if held := int64(during.HeapAlloc) - int64(before.HeapAlloc); held > maxEndlessBytes {
		t.Errorf("%d answers without end hold %d KB, want at most %d KB", endlessAnswers, held>>10, maxEndlessBytes>>10)
	}
	for _, answer := range answers {
		if answer != nil {
			answer.Discard()
		}
	}
	if held := budget.Held(); held != 0 {
		t.Errorf("held after all answers were discarded: got %d bytes, want 0", held)
	}
}

func TestBodiesAreBufferedUpToLimit(t *testing.T) {
	for _, test := range []struct {
		name         string
		size         int
		budget       int64
		wantStreamed bool
	}{
		{"empty", 0, 0, false},
		{"small without budget", minBufferedBody, 0, false},
		{"larger without budget", minBufferedBody + 1, 0, true},
		{"largest", maxBufferedBody, 1 << 20, false},
		{"too large", maxBufferedBody + 1, 1 << 20, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			body := strings.Repeat("y", test.size)
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }}
			go func() { _ = server.Serve(l) }()
			budget := bytebudget.New(test.budget)
			c := New(ClientOptions{Dial: dialTCP, Buffers: budget})
			req := &fasthttp.Request{}
			req.SetRequestURI("http://server/")
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			answer, _, err := c.Do(ctx, l.Addr().String(), req, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if answer.Streamed != test.wantStreamed {
				t.Errorf("streamed: got %v, want %v", answer.Streamed, test.wantStreamed)
			}
			var got fasthttp.Response
			answer.CopyTo(&got)
			if string(got.Body()) != body {
				t.Errorf("body: got %d bytes, want the %d bytes of the server", len(got.Body()), len(body))
			}
			if held := budget.Held(); held != 0 {
				t.Errorf("held after the body was read: got %d bytes, want 0", held)
			}
		})
	}
}
