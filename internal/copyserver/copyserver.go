// Package copyserver simulates a server whose responses are doubled, late, missing, or followed by copies of earlier
// ones on their connection, for tests of what clients take for the response to an attempt.
package copyserver

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Own is what the server does for a request itself. Names that this package does not define stand for responses of
// Server.Response that are written in time.
type Own string

const (
	// Answers writes a response in time.
	Answers Own = "answers"
	// Refuses writes one that says that the request did not run.
	Refuses Own = "refuses"
	// IsLate writes the response after Delay.
	IsLate Own = "isLate"
	// Closes closes the connection without a response.
	Closes Own = "closes"
)

// Copied says which earlier response of its connection the server writes once more.
type Copied string

// The earlier responses that can be copied.
const (
	NoCopy      Copied = "none"
	CopyOfFirst Copied = "first"
	CopyOfLast  Copied = "last"
)

// Step is one exchange: the ID of the request, and what the server does.
type Step struct {
	ID  int
	Own Own
	// Before is written between the request and the response to it.
	Before Copied
	// Twice reports whether the server writes its response twice.
	Twice bool
}

// IsPlain reports whether no response is doubled or copied.
func IsPlain(steps []Step) bool {
	for _, s := range steps {
		if s.Before != NoCopy || s.Twice {
			return false
		}
	}
	return true
}

// StepHeader names the step of a request by its index.
const StepHeader = "X-Step"

// Delay is the time after which late responses are written.
const Delay = 2 * time.Second

// Server serves requests as its steps say. It is safe for concurrent use.
type Server struct {
	Steps []Step
	// Response returns the server's own response to the request of a step.
	Response func(step int, req *fasthttp.Request) string

	mu          sync.Mutex
	connections int
}

// Connections returns the number of connections that were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Dial opens a connection to the server.
func (s *Server) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	go s.serve(far)
	return near, nil
}

// serve handles the requests of one connection. Responses that the client does not read yet wait in a queue.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	queue := make(chan string, 4*len(s.Steps))
	defer close(queue)
	go func() {
		for text := range queue {
			_, _ = c.Write([]byte(text)) // a client that has left needs no response
		}
	}()
	var earlier []string
	for r := bufio.NewReader(c); ; {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		n, err := strconv.Atoi(string(req.Header.Peek(StepHeader)))
		if err != nil {
			panic(err)
		}
		step := s.Steps[n]
		if len(earlier) > 0 {
			switch step.Before {
			case CopyOfFirst:
				queue <- earlier[0]
			case CopyOfLast:
				queue <- earlier[len(earlier)-1]
			case NoCopy:
			}
		}
		own := s.Response(n, &req)
		switch step.Own {
		case IsLate:
			time.Sleep(Delay)
		case Closes:
			return
		default:
		}
		queue <- own
		if step.Twice {
			queue <- own
		}
		earlier = append(earlier, own)
	}
}

// Sequences yields all sequences of three steps with the given behaviours and two IDs. The first step has the ID 0
// and the last one is not doubled.
func Sequences(ways []Own) func(yield func([]Step) bool) {
	copies := []Copied{NoCopy, CopyOfFirst, CopyOfLast}
	var first, second, third []Step
	for _, own := range ways {
		for _, twice := range []bool{false, true} {
			first = append(first, Step{0, own, NoCopy, twice})
			for id := range 2 {
				for _, before := range copies {
					second = append(second, Step{id, own, before, twice})
					if !twice {
						third = append(third, Step{id, own, before, false})
					}
				}
			}
		}
	}
	return func(yield func([]Step) bool) {
		for _, a := range first {
			for _, b := range second {
				for _, c := range third {
					if !yield([]Step{a, b, c}) {
						return
					}
				}
			}
		}
	}
}
