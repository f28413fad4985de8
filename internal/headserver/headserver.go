// Package headserver serves the responses of headcases to the clients under test.
package headserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"bilberrymux/internal/headcases"
)

// Server answers all requests with the same case. It is safe for concurrent use.
type Server struct {
	// Address is the host and port that the server listens on.
	Address string
	body    string
	// echoed are the names of the fields of a request that responses repeat.
	echoed   []string
	headCase atomic.Pointer[headcases.Case]
}

// Start starts a server on loopback, which answers with an ordinary response that has the body and repeats the named fields
// of the request. It stops at the end of the test.
func Start(t testing.TB, body string, echoed ...string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{Address: l.Addr().String(), body: body, echoed: echoed}
	ordinary, ok := headcases.Find("plain")
	if !ok {
		t.Fatal("headserver: there is no ordinary case")
	}
	s.SetCase(ordinary)
	go s.accept(l)
	return s
}

// SetCase sets the case with which the server answers requests that arrive from now on.
func (s *Server) SetCase(c headcases.Case) { s.headCase.Store(&c) }

func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		c := *s.headCase.Load()
		if _, err := io.WriteString(conn, c.Expand(s.echo(req), s.body)); err != nil || c.Closes {
			return
		}
	}
}

// echo returns the fields of a response that repeat those of the request.
func (s *Server) echo(req *http.Request) string {
	var fields strings.Builder
	for _, name := range s.echoed {
		fmt.Fprintf(&fields, "%s: %s\r\n", name, req.Header.Get(name))
	}
	return fields.String()
}
