// Package backendserver simulates a backend server for tests and demonstrations. The server has a
// limited number of slots, marks the requests that it sheds or rejects while draining as not run,
// is slower after a start, observes request deadlines, injects faults that are set at run time,
// and counts the runs of each request.
package backendserver

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/internal/headcases"
	"bilberrymux/io/backend"
)

// Paths and headers of the simulated server.
const (
	PathHealth = "/healthz"
	PathFaults = "/admin/faults"
	PathRuns   = "/admin/runs"
	// TestIDHeader identifies one attempt of a caller. The answer echoes it.
	TestIDHeader = "X-Test-Id"
	// IdempotencyKeyHeader is the idempotency key, whose runs the server counts.
	IdempotencyKeyHeader = "Idempotency-Key"
	// ResponseSizeHeader requests an answer body of this many padding bytes.
	ResponseSizeHeader = "X-Answer-Size"
)

// Options configures a server.
type Options struct {
	Name string
	// Slots is the number of requests that the server runs concurrently; it sheds any more.
	Slots int
	// WorkMedian is the median of the log-normally distributed processing time, and WorkSpread the
	// standard deviation of the natural logarithm of that time.
	WorkMedian time.Duration
	WorkSpread float64
	// WarmUpTime is how long a server is slower after a start. Its processing time is multiplied
	// by ColdFactor at first, and the factor falls linearly to 1.
	WarmUpTime time.Duration
	ColdFactor float64
	// Seed is the seed of the processing times and of the random faults.
	Seed uint64
}

// Server is a simulated backend server. It is safe for concurrent use.
type Server struct {
	options Options
	http    *fasthttp.Server
	address string

	inFlight     atomic.Int32
	startedNanos atomic.Int64
	received     atomic.Int64
	repeated     atomic.Int64

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	faultsSet time.Time
	listener  net.Listener
	conns     map[*trackedConn]struct{}
	runs      map[string]int
	keyRuns   map[string]int
	stopped   bool
}

// New returns a server. It accepts no connections before Listen is called.
func New(o Options) *Server {
	s := &Server{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
		conns:     map[*trackedConn]struct{}{},
		runs:      map[string]int{},
		keyRuns:   map[string]int{},
		faultsSet: time.Now(),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: discardLogger{}, MaxRequestBodySize: 64 << 20,
	}
	return s
}

// discardLogger is a fasthttp.Logger that discards all messages. Fault injection aborts connections,
// and fasthttp would log each of them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Listen opens a TCP listener on the address and serves it in the background until Stop.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("backendserver: %w", err)
	}
	s.address = l.Addr().String()
	s.serve(l)
	return nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string {
	return s.address
}

// serve accepts connections from the listener in the background and starts the warm-up.
func (s *Server) serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.startedNanos.Store(time.Now().UnixNano())
	go func() { _ = s.http.Serve(&trackingListener{Listener: l, server: s}) }()
}

// Stop closes the listener, aborts all connections and prevents restarts after a crash.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.abortAll()
}

// abortAll closes the listener and resets all connections, as when the server process crashes.
func (s *Server) abortAll() {
	s.mu.Lock()
	l := s.listener
	conns := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range conns {
		c.abort()
	}
}

// crash takes the server down and restarts it on the same address after downTime, with a new
// warm-up. A server that is stopped in the meantime is not restarted.
func (s *Server) crash(downTime time.Duration) {
	s.abortAll()
	time.AfterFunc(downTime, s.restart)
}

// restartRetryDelay is the time between two attempts to listen on the address again.
const restartRetryDelay = 50 * time.Millisecond

// restart listens on the server's address again. While another socket has the port, it retries.
func (s *Server) restart() {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(restartRetryDelay, s.restart)
		return
	}
	s.serve(l)
}

// Kill simulates a crash: it aborts all connections and restarts the server after downTime.
func (s *Server) Kill(downTime time.Duration) {
	s.crash(downTime)
}

// SetFaults replaces the injected faults and restarts their flapping period. Faults.Silent applies
// to the connections that are open at the time of the call.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsSet = f, time.Now()
	if f.Silent {
		for c := range s.conns {
			c.blackholed.Store(true)
		}
	}
}

func (s *Server) faultsNow() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.at(time.Now(), s.faultsSet)
}

// Received returns the number of requests that reached the server, including those that it did not
// run. Health checks and admin requests don't count.
func (s *Server) Received() int64 {
	return s.received.Load()
}

// Runs returns the number of runs of each test id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// KeyRuns returns the number of runs of each idempotency key.
func (s *Server) KeyRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.keyRuns)
}

// Repeated returns the number of responses that the server wrote once more.
func (s *Server) Repeated() int64 {
	return s.repeated.Load()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	f := s.faultsNow()
	if c, ok := ctx.Conn().(*trackedConn); ok {
		if f.RepeatResponses {
			c.repeatPrevious()
		}
		defer c.remember(&ctx.Response)
	}
	if id := ctx.Request.Header.Peek(backend.AttemptIDHeader); len(id) > 0 && !f.NoAttemptIDs {
		defer ctx.Response.Header.SetBytesV(backend.AttemptIDHeader, id)
	}
	switch string(ctx.Path()) {
	case PathHealth:
		s.handleHealth(ctx)
	case PathFaults:
		s.handleFaults(ctx)
	case PathRuns:
		body, _ := json.Marshal(s.Runs())
		ctx.SetBody(body)
	default:
		s.handleWork(ctx)
	}
	if path := string(ctx.Path()); f.HeadCase != "" && path != PathFaults && path != PathRuns && ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeHeadCase(ctx, f.HeadCase)
	}
}

// writeHeadCase writes a response of internal/headcases with the body and the IDs of the current response, and closes the
// connection. A response that is well-formed and doesn't end with its connection says so.
func writeHeadCase(ctx *fasthttp.RequestCtx, name string) {
	c, ok := headcases.Find(name)
	if !ok {
		ctx.Error("no such head", fasthttp.StatusInternalServerError)
		return
	}
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", backend.AttemptIDHeader, ctx.Request.Header.Peek(backend.AttemptIDHeader),
		TestIDHeader, ctx.Request.Header.Peek(TestIDHeader))
	if !c.Closes && headcases.IsOrdinary(name) {
		fields += "Connection: close\r\n"
	}
	text := c.Expand(fields, string(ctx.Response.Body()))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = io.WriteString(conn, text) // a client that has left needs no response
	})
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		body, _ := json.Marshal(s.faultsNow())
		ctx.SetBody(body)
		return
	}
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	if f.DownMillis > 0 {
		// The crash may abort the connection of this request before the answer is sent.
		go s.Kill(time.Duration(f.DownMillis) * time.Millisecond)
	}
}

// Health is the body of the answer to a health check.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	// Load is the number of requests in flight.
	Load int `json:"load"`
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	f := s.faultsNow()
	h := Health{Healthy: !f.UnhealthyProbe, Draining: f.Draining, Load: int(s.inFlight.Load())}
	if f.ReportedLoad != nil {
		h.Load = *f.ReportedLoad
	}
	body, _ := json.Marshal(h)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handleWork runs a request, or rejects it as not run if the server is draining or has no free slot.
func (s *Server) handleWork(ctx *fasthttp.RequestCtx) {
	s.received.Add(1)
	f := s.faultsNow()
	if f.Draining {
		refuseNotRun(ctx, backend.DrainValue)
		return
	}
	if n := s.inFlight.Add(1); int(n) > s.options.Slots || f.ShedAll {
		s.inFlight.Add(-1)
		refuseNotRun(ctx, backend.ShedValue)
		return
	}
	defer s.inFlight.Add(-1)
	s.record(ctx)
	if f.CrashOn != "" && strings.Contains(string(ctx.PostBody()), f.CrashOn) {
		s.crash(time.Duration(f.CrashMillis) * time.Millisecond)
		return
	}
	if !s.simulateWork(ctx, &f) {
		return
	}
	if s.randomFloat() < f.FailFraction {
		ctx.Error("out of order", fasthttp.StatusInternalServerError)
		return
	}
	s.writeAnswer(ctx, &f)
}

// refuseNotRun answers with status 503 and the header that marks the request as not run.
func refuseNotRun(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Response.Header.SetBytesV(TestIDHeader, ctx.Request.Header.Peek(TestIDHeader))
	ctx.Response.Header.Set(backend.NotRunHeader, reason)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// record counts the run under the test id and the idempotency key of the request. It is called
// before the work has any effect, so that failed and aborted runs count too.
func (s *Server) record(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(TestIDHeader))
	key := string(ctx.Request.Header.Peek(IdempotencyKeyHeader))
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" {
		s.runs[id]++
	}
	if key != "" {
		s.keyRuns[key]++
	}
}

func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// maxHang limits how long a hanging request is held if it carries no deadline.
const maxHang = time.Minute

// simulateWork sleeps for the processing time of a request. If that is longer than the time until
// the request's deadline, it aborts the connection at the deadline and returns false.
func (s *Server) simulateWork(ctx *fasthttp.RequestCtx, f *Faults) bool {
	d := s.workTime(f)
	if f.Hang {
		d = maxHang
	}
	deadline := maxHang
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(backend.DeadlineHeader))); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	if d <= deadline {
		time.Sleep(d)
		return true
	}
	time.Sleep(deadline)
	if c, ok := ctx.Conn().(*trackedConn); ok {
		c.abort()
	}
	return false
}

// workTime returns a random processing time, scaled by the slow factor and the warm-up.
func (s *Server) workTime(f *Faults) time.Duration {
	s.mu.Lock()
	z := s.random.NormFloat64()
	s.mu.Unlock()
	d := float64(s.options.WorkMedian) * math.Exp(s.options.WorkSpread*z)
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	age := time.Since(time.Unix(0, s.startedNanos.Load()))
	if age < s.options.WarmUpTime {
		remaining := 1 - float64(age)/float64(s.options.WarmUpTime)
		d *= 1 + (s.options.ColdFactor-1)*remaining
	}
	return time.Duration(d)
}

// Reply is the body of an answer without padding. It describes the request that the server ran.
type Reply struct {
	Server string `json:"server"`
	TestID string `json:"testId"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

// writeAnswer writes a Reply, or padding of the requested size, and truncates a fraction of the
// answers.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, f *Faults) {
	id := string(ctx.Request.Header.Peek(TestIDHeader))
	ctx.Response.Header.Set(TestIDHeader, id)
	if size, err := strconv.Atoi(string(ctx.Request.Header.Peek(ResponseSizeHeader))); err == nil && size > 0 {
		ctx.SetBody([]byte(strings.Repeat("x", size)))
	} else {
		body, _ := json.Marshal(Reply{
			Server: s.options.Name, TestID: id, Method: string(ctx.Method()), Path: string(ctx.Path()),
			Query: string(ctx.URI().QueryString()), Body: string(ctx.PostBody()),
		})
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
	if s.randomFloat() < f.TruncateFraction {
		s.truncate(ctx)
	}
}

// truncate announces the full length of the body, sends half of it and closes the connection.
func (s *Server) truncate(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.Response.Body()...)
	id := append([]byte(nil), ctx.Request.Header.Peek(backend.AttemptIDHeader)...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", backend.AttemptIDHeader, id, len(body), body[:len(body)/2])
	})
}
