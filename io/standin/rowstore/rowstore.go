// Package rowstore is a stand-in for the platform's store. It speaks the
// published protocol: tables of rows in parts, transactions under conditions,
// feeds with a bounded history, rates, and the faults that the platform has.
package rowstore

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode is how the store treats a caller that it turns away.
type Mode string

// The modes.
const (
	Refuse          Mode = "refuse"
	TooManyRequests Mode = "tooMany"
	Hang            Mode = "silence"
	Reset           Mode = "reset"
)

// Faults are the present faults.
type Faults struct {
	// Down turns every caller away by a mode; empty serves.
	Down Mode `json:"down,omitempty"`
	// DownByIP turns away the callers with these IP numbers.
	DownByIP map[string]Mode `json:"away,omitempty"`
	// DelayMillis holds back each answer.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseReplyFraction is the part of writes that are done and not answered.
	LoseReplyFraction float64 `json:"loseReply,omitempty"`
	// LateWriteMillis is how much later such a write takes effect.
	LateWriteMillis int `json:"lateMillis,omitempty"`
}

// Row is one row as the protocol writes it.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	// Value is base64 in the body.
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// Options set what the store allows.
type Options struct {
	// ReadsPerSecond and WritesPerSecond bound the calls; 0 is no bound.
	ReadsPerSecond, WritesPerSecond int
	Seed                            uint64
}

// Server is the store. It is safe for concurrent use.
type Server struct {
	options Options
	http    *fasthttp.Server

	mu      sync.Mutex
	changed chan struct{}
	rows    map[rowKey]Row
	history []Row
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	version   uint64
	faults    Faults
	random    *rand.Rand
	calls     map[string]int
	spent     map[string]int
	second    int64
	started   time.Time
	closed    bool
}

// New returns an empty store.
func New(o Options) *Server {
	s := &Server{
		options: o, rows: map[rowKey]Row{}, calls: map[string]int{}, spent: map[string]int{},
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 2)), started: time.Now(),
	}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: quiet{}}
	return s
}

// Start serves a new store on loopback and returns its address. Stop ends it.
func Start(o Options) (s *Server, address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, fmt.Errorf("rowstore: %w", err)
	}
	s = New(o)
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), func() { l.Close(); s.Close() }, nil
}

// quiet drops the library's lines about connections that faults cut.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends the waiting feeds.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history, so that feeds must begin anew.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls by path.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Put writes a row as the operator or a server does, past all faults.
func (s *Server) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Value: value, Version: s.version})
	return s.version
}

// Delete removes a row past all faults.
func (s *Server) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Version: s.version, Tombstone: true})
}

// Get returns the value of a row, or nil.
func (s *Server) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// write changes a row and tells the feeds. The lock is held.
func (s *Server) write(r Row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handle answers one call, or fails it as the faults say.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	s.mu.Lock()
	s.calls[path]++
	mode, delay := s.faults.Down, s.faults.DelayMillis
	if m, away := s.faults.DownByIP[ctx.RemoteIP().String()]; away {
		mode = m
	}
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
	switch {
	case mode != "":
		turnAway(ctx, mode)
	case !s.allowed(path):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		s.serve(ctx, path)
	}
}

// silence is how long a silent store holds a connection.
const silence = 5 * time.Second

func turnAway(ctx *fasthttp.RequestCtx, mode Mode) {
	switch mode {
	case Refuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case TooManyRequests:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case Hang:
		time.Sleep(silence)
		abort(ctx)
	case Reset:
		abort(ctx)
	}
}

// abort ends the connection without an answer.
func abort(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	})
}

// allowed counts a call against the rates.
func (s *Server) allowed(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.spent = now, map[string]int{}
	}
	kind, limit := "read", s.options.ReadsPerSecond
	if path == "/-/rows-tx" {
		kind, limit = "write", s.options.WritesPerSecond
	}
	s.spent[kind]++
	return limit == 0 || s.spent[kind] <= limit
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/-/rows-get":
		s.get(ctx)
	case "/-/rows-feed":
		s.feed(ctx)
	case "/-/rows-tx":
		s.transact(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// reply is the body of the answers about rows.
type reply struct {
	Rows    []Row   `json:"rows"`
	More    bool    `json:"has_more"`
	Version uint64  `json:"row_version"`
	Now     float64 `json:"now_s"`
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, r reply) {
	r.Now = time.Since(s.started).Seconds()
	if r.Rows == nil {
		r.Rows = []Row{}
	}
	body, err := json.Marshal(r)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// pageLimit is the most rows of one answer.
const pageLimit = 500

func (s *Server) get(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	table, part := string(args.Peek("table")), string(args.Peek("part"))
	from, to := string(args.Peek("from")), string(args.Peek("target"))
	limit := pageLimit
	if n, err := strconv.Atoi(string(args.Peek("limit"))); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []Row
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(ctx, reply{Rows: rows[:min(limit, len(rows))], More: more, Version: version})
}

func (s *Server) feed(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("after must be a version", fasthttp.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(string(args.Peek("wait_ms")))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		rows := s.after(string(args.Peek("table")), after)
		version, changed, closed := s.version, s.changed, s.closed
		s.mu.Unlock()
		if len(rows) > 0 || closed {
			s.answer(ctx, reply{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.answer(ctx, reply{Version: version})
			return
		}
	}
}

// after returns the rows of a table that changed after a version. The lock is
// held.
func (s *Server) after(table string, version uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

// transaction is the body of a write.
type transaction struct {
	Expected []Row `json:"expected_rev"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
	Across   bool  `json:"across"`
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	var t transaction
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := t.check(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	s.mu.Lock()
	lost := s.random.Float64() < s.faults.LoseReplyFraction
	late := time.Duration(s.faults.LateWriteMillis) * time.Millisecond
	s.mu.Unlock()
	if lost && late > 0 {
		time.AfterFunc(late, func() { s.apply(&t) })
		abort(ctx)
		return
	}
	version, conflicts := s.apply(&t)
	switch {
	case lost:
		abort(ctx)
	case conflicts != nil:
		s.answer(ctx, reply{Rows: conflicts, Version: version})
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	default:
		s.answer(ctx, reply{Version: version})
	}
}

// check refuses what the platform does not let the system write.
func (t *transaction) check() error {
	for _, r := range slices.Concat(t.Writes, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return fmt.Errorf("table %q is not the system's", r.Table)
		}
	}
	return nil
}

// apply writes all of a transaction, or returns the rows whose condition failed.
func (s *Server) apply(t *transaction) (uint64, []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []Row
	for _, e := range t.Expected {
		if now := s.rows[rowKey{e.Table, e.Part, e.Key}]; now.Version != e.Version {
			conflicts = append(conflicts, now)
		}
	}
	if conflicts != nil {
		return s.version, conflicts
	}
	s.version++
	for _, r := range t.Writes {
		r.Version, r.Tombstone = s.version, false
		s.write(r)
	}
	for _, r := range t.Remove {
		r.Version, r.Tombstone, r.Value = s.version, true, nil
		s.write(r)
	}
	return s.version, nil
}
