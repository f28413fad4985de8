// Package gridserver is a stand-in for a backend server of the users' platform:
// it signs its answers, names itself, refuses what is meant for another server,
// and fails as it is told. It remembers what it ran.
package gridserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is one way to fail requests.
type Fault string

// The faults.
const (
	Healthy Fault = ""
	// ResetBeforeRun resets the connection before the request runs.
	ResetBeforeRun Fault = "resetAtOnce"
	// ResetAfterRun runs the request and resets the connection.
	ResetAfterRun Fault = "resetAfter"
	// Error answers 500.
	Error Fault = "error"
	// Shed refuses with the sign that nothing ran.
	Shed Fault = "shed"
	// Hang gives no answer.
	Hang Fault = "hang"
	// ExtraResponse sends a late second answer after each one.
	ExtraResponse Fault = "extra"
	// TruncatedBody sends half of the body.
	TruncatedBody Fault = "cut"
	// UnframedBody sends no length and resets within the body.
	UnframedBody Fault = "unframed"
	// Unsigned claims success without a signature.
	Unsigned Fault = "unsigned"
	// Crash closes the listener when a request begins.
	Crash Fault = "crash"
)

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	id       atomic.Pointer[string]
	work     atomic.Int64
	fault    atomic.Pointer[Fault]
	arrivals atomic.Int64
	working  atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int
	log      []Run
	bodies   map[string]string
}

// Run is one run of a request.
type Run struct {
	ID string
	At time.Time
}

// Log returns all runs in their order.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.log...)
}

// New returns a server whose requests take the given time.
func New(id string, work time.Duration) *Server {
	s := &Server{conns: map[net.Conn]bool{}, runs: map[string]int{}, bodies: map[string]string{}}
	s.SetID(id)
	s.work.Store(int64(work))
	s.SetFault(Healthy)
	return s
}

// Listen opens the address and serves until Stop.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("gridserver: %w", err)
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(l)
	return l.Addr().String(), nil
}

// Restart serves again at its address after Stop.
func (s *Server) Restart() error {
	s.mu.Lock()
	address := s.listener.Addr().String()
	s.mu.Unlock()
	_, err := s.Listen(address)
	return err
}

// SetID changes the id by which the server names itself.
func (s *Server) SetID(id string) { s.id.Store(&id) }

// ID returns the id by which the server names itself.
func (s *Server) ID() string { return *s.id.Load() }

// SetFault changes how requests fail from now on.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

// SetServiceTime changes how long requests take from now on.
func (s *Server) SetServiceTime(d time.Duration) { s.work.Store(int64(d)) }

// Arrivals counts the requests that reached the server.
func (s *Server) Arrivals() int64 { return s.arrivals.Load() }

// InFlight counts the requests under way.
func (s *Server) InFlight() int64 { return s.working.Load() }

// Runs returns how often each request ran, by its id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Body returns what the server read as the body of a request.
func (s *Server) Body(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[id]
}

// Stop ends the server and cuts its connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var body strings.Builder
		if _, err := bufio.NewReader(req.Body).WriteTo(&body); err != nil {
			return
		}
		if !s.answer(c, r, req, body.String()) {
			return
		}
	}
}

// answer runs one request and reports whether the connection goes on.
func (s *Server) answer(c net.Conn, r *bufio.Reader, req *http.Request, body string) bool {
	id := req.Header.Get("Bilberrymux-Request-Id")
	if target := req.Header.Get("Bilberrymux-Target-Instance"); target != "" && target != s.ID() {
		s.write(c, id, 421, "", "Bilberrymux-Instance-Id: "+s.ID()+"\r\n")
		return true
	}
	s.arrivals.Add(1)
	fault := *s.fault.Load()
	switch fault {
	case ResetBeforeRun:
		abort(c)
		return false
	case Shed:
		s.write(c, id, 503, "", "Bilberrymux-Not-Executed: 1\r\n")
		return true
	case Crash:
		s.mu.Lock()
		s.listener.Close()
		s.mu.Unlock()
		abort(c)
		return false
	default:
	}
	if !s.run(c, r, id, body, fault) {
		return false
	}
	return s.finish(c, id, fault)
}

// run works on a request. It reports false where the caller left meanwhile.
func (s *Server) run(c net.Conn, r *bufio.Reader, id, body string, fault Fault) bool {
	s.mu.Lock()
	s.runs[id]++
	s.log = append(s.log, Run{id, time.Now()})
	s.bodies[id] = body
	s.mu.Unlock()
	s.working.Add(1)
	defer s.working.Add(-1)
	work := time.Duration(s.work.Load())
	if fault == Hang {
		work = time.Hour
	}
	// A connection that ends meanwhile ends the work.
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if ne, ok := err.(net.Error); err == nil || (ok && ne.Timeout()) {
		return true
	}
	return false
}

// finish answers a request that ran.
func (s *Server) finish(c net.Conn, id string, fault Fault) bool {
	sign := "Bilberrymux-Response-Signature: s." + id + "\r\n"
	body := "answer of " + s.ID() + " to " + id
	switch fault {
	case ResetAfterRun:
		abort(c)
		return false
	case Error:
		s.write(c, id, 500, "broken", sign)
	case Unsigned:
		s.write(c, id, 200, body, "")
	case TruncatedBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			id, sign, len(body), body[:len(body)/2])
		return false
	case UnframedBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sConnection: close\r\n\r\n%s",
			id, sign, body[:len(body)/2])
		time.Sleep(extraDelay)
		abort(c)
		return false
	case ExtraResponse:
		s.write(c, id, 200, body, sign)
		time.Sleep(extraDelay)
		s.write(c, id, 200, body, sign)
	default:
		s.write(c, id, 200, body, sign)
	}
	return true
}

// extraDelay is how much later a second answer or a reset comes.
const extraDelay = 20 * time.Millisecond

func (s *Server) write(c net.Conn, id string, status int, body, headers string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		strconv.Itoa(status)+" "+http.StatusText(status), id, headers, len(body), body)
}
