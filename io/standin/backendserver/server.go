// Package backendserver is a stand-in for a backend server: it has slots, sheds
// with a "not run" sign, drains, starts cold, takes deadlines and cancellation,
// and fails as it is told. It remembers what it ran.
package backendserver

import (
	"encoding/json"
	"fmt"
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

	"bilberrymux/io/backend"
)

// Paths and headers of the stand-in.
const (
	PathHealth = "/healthz"
	PathFaults = "/admin/faults"
	PathRuns   = "/admin/runs"
	// TestIDHeader identifies one send of a caller; the answer repeats it.
	TestIDHeader = "X-Test-Id"
	// IdempotencyKeyHeader is the idempotency key that the server's ledger counts.
	IdempotencyKeyHeader = "Idempotency-Key"
	// ResponseSizeHeader asks for an answer with this many bytes of filling.
	ResponseSizeHeader = "X-Answer-Size"
)

// Options describe one server.
type Options struct {
	Name  string
	Slots int
	// WorkMedian is the median time of work, WorkSpread the standard deviation
	// of its logarithm.
	WorkMedian time.Duration
	WorkSpread float64
	// WarmUpTime is how long a started server is slower, by ColdFactor at first.
	WarmUpTime time.Duration
	ColdFactor float64
	Seed       uint64
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	options Options
	http    *fasthttp.Server
	address string

	busy    atomic.Int32
	started atomic.Int64
	arrived atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	since    time.Time
	listener net.Listener
	conns    map[*trackedConn]struct{}
	runs     map[string]int
	keys     map[string]int
	stopped  bool
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	s := &Server{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		conns:   map[*trackedConn]struct{}{},
		runs:    map[string]int{},
		keys:    map[string]int{},
		since:   time.Now(),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: quiet{}, MaxRequestBodySize: 64 << 20,
	}
	return s
}

// quiet drops the library's lines about connections that faults cut.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Listen opens the server's address and serves until Stop.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("backendserver: %w", err)
	}
	s.address = l.Addr().String()
	s.begin(l)
	return nil
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.address
}

func (s *Server) begin(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.started.Store(time.Now().UnixNano())
	go func() { _ = s.http.Serve(&trackingListener{Listener: l, server: s}) }()
}

// Stop ends the server for good.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cut()
}

// cut closes the listener and all connections at once, as a crash does.
func (s *Server) cut() {
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

// crash kills the server and starts it again, cold, after a while.
func (s *Server) crash(down time.Duration) {
	s.cut()
	time.AfterFunc(down, func() {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		if l, err := net.Listen("tcp", s.address); err == nil {
			s.begin(l)
		}
	})
}

// Kill takes the server down for a while, as a crash does.
func (s *Server) Kill(down time.Duration) {
	s.crash(down)
}

// SetFaults replaces the faults. Silent applies to the connections that are
// open at this moment.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.since = f, time.Now()
	if f.Silent {
		for c := range s.conns {
			c.silent.Store(true)
		}
	}
}

func (s *Server) faultsNow() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.at(time.Now(), s.since)
}

// Received returns the number of requests that reached the server, run or not.
func (s *Server) Received() int64 {
	return s.arrived.Load()
}

// Runs returns how often each test id was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// KeyRuns returns how often each idempotency key was run.
func (s *Server) KeyRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.keys)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathHealth:
		s.health(ctx)
	case PathFaults:
		s.admin(ctx)
	case PathRuns:
		body, _ := json.Marshal(s.Runs())
		ctx.SetBody(body)
	default:
		s.work(ctx)
	}
}

func (s *Server) admin(ctx *fasthttp.RequestCtx) {
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
		// The answer to this request goes down with the server.
		go s.Kill(time.Duration(f.DownMillis) * time.Millisecond)
	}
}

// Health is the body of a health report.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Load     int  `json:"load"`
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	f := s.faultsNow()
	h := Health{Healthy: !f.UnhealthyProbe, Draining: f.Draining, Load: int(s.busy.Load())}
	if f.ReportedLoad != nil {
		h.Load = *f.ReportedLoad
	}
	body, _ := json.Marshal(h)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// work runs one request.
func (s *Server) work(ctx *fasthttp.RequestCtx) {
	s.arrived.Add(1)
	f := s.faultsNow()
	if f.Draining {
		refuse(ctx, backend.DrainValue)
		return
	}
	if busy := s.busy.Add(1); int(busy) > s.options.Slots || f.ShedAll {
		s.busy.Add(-1)
		refuse(ctx, backend.ShedValue)
		return
	}
	defer s.busy.Add(-1)
	s.record(ctx)
	if f.CrashOn != "" && strings.Contains(string(ctx.PostBody()), f.CrashOn) {
		s.crash(time.Duration(f.CrashMillis) * time.Millisecond)
		return
	}
	if !s.spend(ctx, &f) {
		return
	}
	if s.draw() < f.FailFraction {
		ctx.Error("out of order", fasthttp.StatusInternalServerError)
		return
	}
	s.answer(ctx, &f)
}

func refuse(ctx *fasthttp.RequestCtx, sign string) {
	ctx.Response.Header.Set(backend.NotRunHeader, sign)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// record writes the run into the ledger before any effect.
func (s *Server) record(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(TestIDHeader))
	key := string(ctx.Request.Header.Peek(IdempotencyKeyHeader))
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" {
		s.runs[id]++
	}
	if key != "" {
		s.keys[key]++
	}
}

func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// maxHang bounds a hang for callers without a deadline.
const maxHang = time.Minute

// spend takes the time of the work. It reports false where the deadline passed
// or the caller left first; the connection is cut then.
func (s *Server) spend(ctx *fasthttp.RequestCtx, f *Faults) bool {
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

func (s *Server) workTime(f *Faults) time.Duration {
	s.mu.Lock()
	z := s.random.NormFloat64()
	s.mu.Unlock()
	d := float64(s.options.WorkMedian) * math.Exp(s.options.WorkSpread*z)
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	age := time.Since(time.Unix(0, s.started.Load()))
	if age < s.options.WarmUpTime {
		left := 1 - float64(age)/float64(s.options.WarmUpTime)
		d *= 1 + (s.options.ColdFactor-1)*left
	}
	return time.Duration(d)
}

// Reply is the body of an answer without filling.
type Reply struct {
	Server string `json:"server"`
	TestID string `json:"testId"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, f *Faults) {
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
	if s.draw() < f.TruncateFraction {
		s.truncate(ctx)
	}
}

// truncate promises the whole body, sends half of it and cuts.
func (s *Server) truncate(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.Response.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	})
}
