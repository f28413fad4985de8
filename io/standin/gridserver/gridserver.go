// Package gridserver simulates a backend server of the users' platform on loopback.
// It signs its responses, rejects requests addressed to another instance, injects
// configurable faults, and records every request that it ran.
package gridserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault selects how the server fails requests.
type Fault string

// The faults that a server can inject.
const (
	// Healthy answers every request correctly.
	Healthy Fault = ""
	// ResetBeforeRun resets the connection without running the request.
	ResetBeforeRun Fault = "resetAtOnce"
	// ResetAfterRun runs the request, then resets the connection without a response.
	ResetAfterRun Fault = "resetAfter"
	// Error runs the request and responds with a signed status 500.
	Error Fault = "error"
	// Shed responds with status 503 and the header that says that the request did not run.
	Shed Fault = "shed"
	// ShedOnce refuses each request like Shed after the service time when it arrives first, and runs it when it
	// arrives again.
	ShedOnce Fault = "shedOnce"
	// UnmarkedRefusal runs the request and responds with a signed status 503 that does not say that it
	// did not run.
	UnmarkedRefusal Fault = "unmarkedRefusal"
	// Hang runs the request and delays the response by one hour.
	Hang Fault = "hang"
	// ExtraResponse sends every response twice, the second one after faultDelay.
	ExtraResponse Fault = "extra"
	// TruncatedBody declares the full Content-Length, sends half of the body and closes the connection.
	TruncatedBody Fault = "cut"
	// TruncatedHead stops in the middle of the headers of a success and closes the connection.
	TruncatedHead Fault = "cutHead"
	// RepeatedRefusal writes a refusal of the connection's previous request once more, after the next
	// request has arrived, then runs that and answers it. AnonymousRefusal does the same without the
	// id of the previous request.
	RepeatedRefusal  Fault = "repeatedRefusal"
	AnonymousRefusal Fault = "anonymousRefusal"
	// UnframedBody sends half of the body without a Content-Length, then resets the connection
	// after faultDelay.
	UnframedBody Fault = "unframed"
	// LargeBody answers with a body of largeBodyBytes.
	LargeBody Fault = "large"
	// TruncatedLargeBody declares a body of largeBodyBytes, sends most of it and resets the connection.
	TruncatedLargeBody Fault = "largeCut"
	// EndlessHead and EndlessBody send bytes that are no response, in the headers or in a body
	// without a length, until the client closes the connection.
	EndlessHead Fault = "endlessHead"
	EndlessBody Fault = "endlessBody"
	// Unsigned responds with status 200 and no signature.
	Unsigned Fault = "unsigned"
	// Crash closes the listener and resets the connection when a request arrives.
	Crash Fault = "crash"
)

// Server is a simulated backend server. It is safe for concurrent use.
type Server struct {
	id          atomic.Pointer[string]
	serviceTime atomic.Int64
	fault       atomic.Pointer[Fault]
	arrivals    atomic.Int64
	inFlight    atomic.Int64
	endless     atomic.Int64
	// limit is the value of the header with the server's limit; empty if it names none.
	limit atomic.Pointer[string]
	// leaving reports whether the server says that it leaves. pause is the time in nanoseconds for which it
	// asks for no requests, in place of running them; 0 if it does not.
	leaving atomic.Bool
	pause   atomic.Int64
	// copiesRefusals reports whether the server repeats its refusals, and misdirected is the status of its
	// responses to requests addressed to another instance.
	copiesRefusals atomic.Bool
	misdirected    atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int
	log      []Run
	// arrivalLog holds the requests that reached the server, whether or not they ran.
	arrivalLog []Run
	refused    map[string]int
	copies     int
	bodies     map[string]string
	statements []Statement
}

// Statement records that the server said in its response to a request that it leaves, or for how long it
// wants no requests. A pause is recorded with the time before the response was written, so that a daemon which reads it
// at once does not end it before the server does.
type Statement struct {
	ID      string
	At      time.Time
	Leaving bool
	Pause   time.Duration
}

// Statements returns a copy of all statements in their order.
func (s *Server) Statements() []Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Statement(nil), s.statements...)
}

// Run records that a request with the given id arrived or started to run at a time.
type Run struct {
	ID string
	At time.Time
}

// Log returns a copy of all runs in the order in which they started.
func (s *Server) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.log...)
}

// ArrivalLog returns a copy of all arrivals of requests in their order. Requests addressed to another
// instance are not in it.
func (s *Server) ArrivalLog() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.arrivalLog...)
}

// New returns a healthy server that does not listen yet. Each request takes serviceTime.
func New(id string, serviceTime time.Duration) *Server {
	s := &Server{conns: map[net.Conn]bool{}, runs: map[string]int{}, refused: map[string]int{}, bodies: map[string]string{}}
	s.misdirected.Store(http.StatusMisdirectedRequest)
	s.SetID(id)
	s.serviceTime.Store(int64(serviceTime))
	s.SetFault(Healthy)
	s.SetLimit("")
	return s
}

// Listen starts to serve on a TCP address in the background until Stop is called, and returns
// the address that it listens on, with the port filled in.
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

// Restart listens on the previous address again after Stop.
func (s *Server) Restart() error {
	s.mu.Lock()
	address := s.listener.Addr().String()
	s.mu.Unlock()
	_, err := s.Listen(address)
	return err
}

// SetID changes the instance id that the server reports and accepts as a target.
func (s *Server) SetID(id string) { s.id.Store(&id) }

// ID returns the instance id that the server reports and accepts as a target.
func (s *Server) ID() string { return *s.id.Load() }

// SetFault sets the fault that applies to requests that arrive from now on.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

// SetLimit sets the limit, in requests per second, that the server names in its responses from now
// on. With an empty text it names none.
func (s *Server) SetLimit(perSecond string) { s.limit.Store(&perSecond) }

// SetLeaving sets whether the server says in its responses that it leaves.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetPause makes the server reject all requests and ask for none for a time, or run them again if the time
// is 0.
func (s *Server) SetPause(d time.Duration) { s.pause.Store(int64(d)) }

// SetServiceTime sets how long requests that start from now on take.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// Arrivals returns the number of requests that reached the server, whether or not they ran.
// Requests addressed to another instance are not counted.
func (s *Server) Arrivals() int64 { return s.arrivals.Load() }

// InFlight returns the number of requests that are running.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Runs returns the number of runs of each request, keyed by request id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Body returns the body that the server received with the latest run of a request.
func (s *Server) Body(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[id]
}

// Stop closes the listener and resets all open connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset instead of a normal close.
func resetConn(c net.Conn) {
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
	previous := ""
	refusals := refusalLog{}
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var body strings.Builder
		if _, err := bufio.NewReader(req.Body).WriteTo(&body); err != nil {
			return
		}
		s.repeatRefusal(c, previous)
		if !s.handle(c, r, req, body.String(), refusals) {
			return
		}
		previous = req.Header.Get("Bilberrymux-Request-Id")
	}
}

// repeatRefusal writes a refusal of the connection's previous request, if the fault asks for it and
// there was one.
func (s *Server) repeatRefusal(c net.Conn, previous string) {
	id := ""
	switch *s.fault.Load() {
	case RepeatedRefusal:
		id = "Bilberrymux-Request-Id: " + previous + "\r\n"
	case AnonymousRefusal:
	default:
		return
	}
	if previous != "" {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
}

// handle processes one request and reports whether the connection stays open.
func (s *Server) handle(c net.Conn, r *bufio.Reader, req *http.Request, body string, refusals refusalLog) bool {
	id := req.Header.Get("Bilberrymux-Request-Id")
	if target := req.Header.Get("Bilberrymux-Target-Instance"); target != "" && target != s.ID() {
		s.refuseMisdirected(c, id, refusals)
		return true
	}
	s.recordArrival(id)
	if pause := time.Duration(s.pause.Load()); pause > 0 {
		at := time.Now()
		s.refuse(c, id, 503, fmt.Sprintf("Bilberrymux-Not-Executed: 1\r\nRetry-After: %g\r\n", pause.Seconds()), refusals)
		s.recordStatement(Statement{ID: id, At: at, Pause: pause})
		return true
	}
	fault := *s.fault.Load()
	switch fault {
	case ResetBeforeRun:
		resetConn(c)
		return false
	case Shed:
		s.refuse(c, id, 503, "Bilberrymux-Not-Executed: 1\r\n", refusals)
		return true
	case ShedOnce:
		if !s.wasRefused(id) {
			time.Sleep(time.Duration(s.serviceTime.Load()))
			s.refuse(c, id, 503, "Bilberrymux-Not-Executed: 1\r\n", refusals)
			return true
		}
	case Crash:
		s.mu.Lock()
		s.listener.Close()
		s.mu.Unlock()
		resetConn(c)
		return false
	default:
	}
	if !s.run(c, r, id, body, fault) {
		return false
	}
	s.copyRefusal(c, id, refusals)
	return s.respond(c, id, fault)
}

func (s *Server) recordStatement(statement Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements = append(s.statements, statement)
}

// recordArrival counts and records a request that reached the server.
func (s *Server) recordArrival(id string) {
	s.arrivals.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivalLog = append(s.arrivalLog, Run{id, time.Now()})
}

// run records the request and waits for the service time. It returns false if the client
// disconnected before the service time was over.
func (s *Server) run(c net.Conn, r *bufio.Reader, id, body string, fault Fault) bool {
	s.mu.Lock()
	s.runs[id]++
	s.log = append(s.log, Run{id, time.Now()})
	s.bodies[id] = body
	s.mu.Unlock()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	duration := time.Duration(s.serviceTime.Load())
	if fault == Hang {
		duration = time.Hour
	}
	// Peek returns at the deadline, or earlier if the client closes the connection or sends
	// further bytes. Only a closed connection ends the run without a response.
	_ = c.SetReadDeadline(time.Now().Add(duration))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if ne, ok := err.(net.Error); err == nil || (ok && ne.Timeout()) {
		return true
	}
	return false
}

// respond sends the response to a request that ran, changed by the fault, and reports whether
// the connection stays open.
func (s *Server) respond(c net.Conn, id string, fault Fault) bool {
	signature := "Bilberrymux-Response-Signature: s." + id + "\r\n"
	body := "answer of " + s.ID() + " to " + id
	if writeContradiction(c, id, body, fault) {
		return false
	}
	if written, staysOpen := writeHeadCase(c, "Bilberrymux-Request-Id: "+id+"\r\n"+signature, body, fault); written {
		return staysOpen
	}
	switch fault {
	case ResetAfterRun:
		resetConn(c)
		return false
	case Error:
		s.writeResponse(c, id, 500, "broken", signature)
	case UnmarkedRefusal:
		s.writeResponse(c, id, 503, "overloaded", signature)
	case Unsigned:
		s.writeResponse(c, id, 200, body, "")
	case LargeBody:
		s.writeResponse(c, id, 200, strings.Repeat("x", largeBodyBytes-len(body))+body, signature)
	case TruncatedLargeBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			id, signature, largeBodyBytes, strings.Repeat("x", largeBodyBytes*3/4))
		resetConn(c)
		return false
	case EndlessHead:
		s.writeEndlessly(c, "HTTP/1.1 200 OK\r\n", "X-Noise: noise\r\n")
		return false
	case EndlessBody:
		s.writeEndlessly(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "noise")
		return false
	case TruncatedHead:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: 1", id, signature)
		return false
	case TruncatedBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			id, signature, len(body), body[:len(body)/2])
		return false
	case UnframedBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: %s\r\n%sConnection: close\r\n\r\n%s",
			id, signature, body[:len(body)/2])
		time.Sleep(faultDelay)
		resetConn(c)
		return false
	case ExtraResponse:
		s.writeResponse(c, id, 200, body, signature)
		time.Sleep(faultDelay)
		s.writeResponse(c, id, 200, body, signature)
	default:
		s.writeResponse(c, id, 200, body, signature)
	}
	return true
}

// largeBodyBytes is the size of the bodies of LargeBody and TruncatedLargeBody.
const largeBodyBytes = 1 << 20

// writeEndlessly writes the first text once and the second one until the client closes the
// connection.
func (s *Server) writeEndlessly(c net.Conn, first, again string) {
	s.endless.Add(1)
	defer s.endless.Add(-1)
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	block := strings.Repeat(again, 100)
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// Endless returns the number of endless responses that are being written.
func (s *Server) Endless() int64 { return s.endless.Load() }

// faultDelay is the delay before the second response of ExtraResponse and before the reset of
// UnframedBody.
const faultDelay = 20 * time.Millisecond

// writeResponse writes a complete HTTP response and returns it. Each of the extra headers ends with CRLF.
func (s *Server) writeResponse(c net.Conn, id string, status int, body, headers string) string {
	if limit := *s.limit.Load(); limit != "" {
		headers += "Server-Limit: " + limit + "\r\n"
	}
	leaving := s.leaving.Load()
	if leaving {
		headers += "Server-Leaving: 1\r\n"
	}
	text := fmt.Sprintf("HTTP/1.1 %s\r\nBilberrymux-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		strconv.Itoa(status)+" "+http.StatusText(status), id, headers, len(body), body)
	_, _ = io.WriteString(c, text) // a client that has left needs no response
	if leaving {
		s.recordStatement(Statement{ID: id, At: time.Now(), Leaving: true})
	}
	return text
}
