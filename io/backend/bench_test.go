package backend_test

import (
	"bytes"
	"context"
	"math"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/io/backend"
)

// cannedConn is a connection whose other end answers each request with the same response, without a system call.
type cannedConn struct {
	response []byte
	unread   bytes.Reader
}

func (c *cannedConn) Write(p []byte) (int, error) {
	c.unread.Reset(c.response)
	return len(p), nil
}

func (c *cannedConn) Read(p []byte) (int, error)       { return c.unread.Read(p) }
func (c *cannedConn) Close() error                     { return nil }
func (c *cannedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *cannedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *cannedConn) SetDeadline(time.Time) error      { return nil }
func (c *cannedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *cannedConn) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkDo measures an exchange without the network: a response with nine fields and 1,500 bytes, which has a length
// or comes in chunks, or a refusal.
func BenchmarkDo(b *testing.B) {
	const fields = "Server: s\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Type: application/json\r\nBilberrymux-Request-Id: 9c41d07be2a35f68\r\n" +
		"Bilberrymux-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=10\r\nCache-Control: no-store\r\nX-Trace: 00-4bf92f3577b34da6a3ce929d0e0e4736-01\r\n"
	body := string(bytes.Repeat([]byte("x"), 1500))
	for _, response := range []struct{ name, text string }{
		{"length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1500\r\n\r\n" + body},
		{"chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5dc\r\n" + body + "\r\n0\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n" + fields + "Bilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		b.Run(response.name, func(b *testing.B) { benchmarkDo(b, []byte(response.text)) })
	}
}

func benchmarkDo(b *testing.B, response []byte) {
	client := backend.New(backend.ClientOptions{
		Dial:    func(context.Context, string) (net.Conn, error) { return &cannedConn{response: response}, nil },
		Buffers: bytebudget.New(math.MaxInt64),
	})
	req := &fasthttp.Request{}
	req.SetRequestURI("http://server/")
	// A connection carries each ID once.
	ids := []string{""}
	identity := &backend.Identity{Of: func(*fasthttp.ResponseHeader) []string { return ids }}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		ids[0] = strconv.Itoa(n)
		identity.ID = ids[0]
		answer, _, err := client.Do(context.Background(), "server:1", req, backend.Options{Identity: identity})
		if err != nil {
			b.Fatal(err)
		}
		answer.Discard()
	}
}
