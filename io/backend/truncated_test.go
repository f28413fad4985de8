package backend

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
)

// answerOnce returns the address of a server that reads one request on each connection,
// writes the bytes and closes the connection.
func answerOnce(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(answer))
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: 7\r\nBilberrymux-Response-Signature: s.7\r\nContent-Length: 12\r\n\r\n"
		body = "hello, world"
	)
	for _, test := range []struct{ name, answer string }{
		{"withLength", head + body},
		{"unframed", "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: 7\r\nBilberrymux-Response-Signature: s.7\r\nConnection: close\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for n := range len(test.answer) {
				c := New(ClientOptions{Dial: dialTCP, Buffers: bytebudget.New(math.MaxInt64)})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				req := &fasthttp.Request{}
				req.SetRequestURI("http://server/")
				answer, outcome, err := c.Do(ctx, answerOnce(t, test.answer[:n]), req, Options{})
				cancel()
				if err == nil || outcome == shard.Good {
					t.Errorf("after %d of %d bytes (%q): got %s and answer %q, want an error",
						n, len(test.answer), test.answer[max(0, n-20):n], outcome, answer.Response.Header.String())
				}
			}
		})
	}
}
