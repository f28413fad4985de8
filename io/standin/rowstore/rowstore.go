// Package rowstore simulates the platform's store in memory and serves its published protocol over
// HTTP: tables of rows in parts, conditional transactions, change feeds, and rate limits. It injects
// the faults that the platform can have.
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

// Mode selects how the store rejects a call.
type Mode string

// Modes of rejection. Refuse answers with status 503 and TooManyRequests with status 429. Hang holds
// the call for hangTime and then resets the connection, and Reset resets it at once. Ignore never
// answers the call, also when the fault has ended, and keeps the connection open.
const (
	Refuse          Mode = "refuse"
	TooManyRequests Mode = "tooMany"
	Hang            Mode = "silence"
	Reset           Mode = "reset"
	Ignore          Mode = "ignore"
)

// Faults configures the faults that the store injects. The zero value injects none. Its field names
// are part of the soak test's report lines, which print it with %+v.
type Faults struct {
	// Down rejects every call in this mode. If it is empty, calls are served.
	Down Mode `json:"down,omitempty"`
	// Away rejects the calls from these IP addresses, in the given mode. It overrides Down.
	Away map[string]Mode `json:"away,omitempty"`
	// DelayMillis delays each call, in milliseconds.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseReply is the fraction of writes, from 0 to 1, that take effect while the
	// connection is reset without an answer.
	LoseReply float64 `json:"loseReply,omitempty"`
	// LateMillis is the delay, in milliseconds, after which a write whose reply is lost takes
	// effect.
	LateMillis int `json:"lateMillis,omitempty"`
}

// Row is a row in the encoding of the protocol.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	// Value is base64-encoded in JSON.
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// Options configures a store.
type Options struct {
	// ReadsPerSecond and WritesPerSecond limit the rate of calls. Zero means no limit.
	ReadsPerSecond, WritesPerSecond int
	// Seed is the seed of the random faults.
	Seed uint64
}

// Server is a simulated store. It is safe for concurrent use.
type Server struct {
	options Options
	http    *fasthttp.Server

	mu sync.Mutex
	// changed is closed, and replaced by a new channel, on each change.
	changed chan struct{}
	rows    map[rowKey]Row
	history []Row
	// droppedVersion is the last version whose changes were dropped from the history.
	droppedVersion uint64
	version        uint64
	// era counts the returns from a copy, beginning with firstEra.
	era uint64
	// stopped is closed when the store is closed.
	stopped         chan struct{}
	faults          Faults
	random          *rand.Rand
	calls           map[string]int
	callsThisSecond map[string]int
	currentSecond   int64
	started         time.Time
	closed          bool
}

// New returns an empty store. It accepts no connections before Serve is called.
func New(o Options) *Server {
	s := &Server{
		options: o, rows: map[rowKey]Row{}, calls: map[string]int{}, callsThisSecond: map[string]int{},
		changed: make(chan struct{}), stopped: make(chan struct{}), era: firstEra, random: rand.New(rand.NewPCG(o.Seed, 2)), started: time.Now(),
	}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: discardLogger{}}
	return s
}

// Start serves a new store on a free port of loopback. It returns the store, its address (a host and
// port), and a function that stops it.
func Start(o Options) (s *Server, address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", nil, fmt.Errorf("rowstore: %w", err)
	}
	s = New(o)
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), func() { l.Close(); s.Close() }, nil
}

// discardLogger is a fasthttp.Logger that discards all messages. Fault injection resets connections,
// and fasthttp would log each of them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections from the listener and blocks until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close makes waiting feed calls return. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		close(s.stopped)
	}
	s.closed = true
	s.wake()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the change history. Feed calls that continue from an earlier version get status
// 410, so their callers have to read the table again.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
	s.wake()
}

// Calls returns the number of calls by path, including rejected ones.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Put writes a row as the platform's operator or a backend server would, and returns its version. It
// bypasses the faults and the rate limits.
func (s *Server) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Value: value, Version: s.version})
	return s.version
}

// Delete deletes a row. It bypasses the faults and the rate limits.
func (s *Server) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Version: s.version, Tombstone: true})
}

// Get returns the value of a row, or nil if the row does not exist.
func (s *Server) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// write applies a change to a row, appends it to the history and wakes waiting feeds. The caller
// must hold the lock.
func (s *Server) write(r Row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	s.wake()
}

// handle serves a call, or rejects it according to the faults and the rate limits.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	setEra(ctx, s.Era())
	s.mu.Lock()
	s.calls[path]++
	mode, delay := s.faults.Down, s.faults.DelayMillis
	if m, downForIP := s.faults.Away[ctx.RemoteIP().String()]; downForIP {
		mode = m
	}
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
	switch {
	case mode != "":
		s.reject(ctx, mode)
	case !s.allowCall(path):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		s.dispatch(ctx, path)
	}
}

// hangTime is how long mode Hang holds a call before it resets the connection.
const hangTime = 5 * time.Second

// reject ends a call in the way that the mode describes.
func (s *Server) reject(ctx *fasthttp.RequestCtx, mode Mode) {
	switch mode {
	case Refuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case TooManyRequests:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case Hang:
		time.Sleep(hangTime)
		abort(ctx)
	case Reset:
		abort(ctx)
	case Ignore:
		<-s.stopped
		abort(ctx)
	}
}

// abort closes the connection with a TCP reset and without an answer.
func abort(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	})
}

// allowCall counts a call in the current second and reports whether it is within the rate limit for
// reads or writes.
func (s *Server) allowCall(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.callsThisSecond = now, map[string]int{}
	}
	kind, limit := "read", s.options.ReadsPerSecond
	if path == "/-/rows-tx" {
		kind, limit = "write", s.options.WritesPerSecond
	}
	s.callsThisSecond[kind]++
	return limit == 0 || s.callsThisSecond[kind] <= limit
}

// dispatch calls the handler of a path.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/-/rows-get":
		s.handleGet(ctx)
	case "/-/rows-feed":
		s.handleFeed(ctx)
	case "/-/rows-tx":
		s.handleTransact(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// reply is the body of the answers to all calls.
type reply struct {
	Rows    []Row   `json:"rows"`
	More    bool    `json:"has_more"`
	Version uint64  `json:"row_version"`
	Now     float64 `json:"now_s"`
	// era is that in which the rows were read, or 0 for the current one.
	era uint64
}

// writeReply sets the store's clock in a reply and writes it as JSON.
func (s *Server) writeReply(ctx *fasthttp.RequestCtx, r reply) {
	if r.era > 0 {
		setEra(ctx, r.era)
	}
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

// maxPageRows is the maximum number of rows in one answer of handleGet.
const maxPageRows = 500

// handleGet returns the rows of a part of a table in key order, from the key "from" up to but not
// including the key "target".
func (s *Server) handleGet(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	table, part := string(args.Peek("table")), string(args.Peek("part"))
	from, to := string(args.Peek("from")), string(args.Peek("target"))
	limit := maxPageRows
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
	version, era := s.version, s.era
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.writeReply(ctx, reply{Rows: rows[:min(limit, len(rows))], More: more, Version: version, era: era})
}

// handleFeed returns the changes of a table after a version. Without any, it waits up to "wait_ms"
// milliseconds for one. It answers with status 410 if changes after the version were dropped, or if the
// store has not given out the version.
func (s *Server) handleFeed(ctx *fasthttp.RequestCtx) {
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
		version, era, changed, closed := s.version, s.era, s.changed, s.closed
		if after < s.droppedVersion || after > version {
			s.mu.Unlock()
			setEra(ctx, era)
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		rows := s.changesAfter(string(args.Peek("table")), after)
		s.mu.Unlock()
		if len(rows) > 0 || closed {
			s.writeReply(ctx, reply{Rows: rows, Version: version, era: era})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.writeReply(ctx, reply{Version: version, era: era})
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, in order. The caller must hold the
// lock.
func (s *Server) changesAfter(table string, version uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows
}

// transaction is the body of a write. Writes and Remove take effect only if the rows in Expected
// have the given versions, where 0 stands for a row that does not exist. Across is part of the
// protocol, but this store ignores it.
type transaction struct {
	Expected []Row `json:"expected_rev"`
	Writes   []Row `json:"writes"`
	Remove   []Row `json:"remove"`
	Across   bool  `json:"across"`
}

// handleTransact applies a transaction and returns its version. It answers with status 412 and the
// rows in conflict if a condition failed, and with status 403 if a table is read-only for callers.
func (s *Server) handleTransact(ctx *fasthttp.RequestCtx) {
	var t transaction
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := t.validate(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	s.mu.Lock()
	loseReply := s.random.Float64() < s.faults.LoseReply
	lateWriteDelay := time.Duration(s.faults.LateMillis) * time.Millisecond
	s.mu.Unlock()
	if loseReply && lateWriteDelay > 0 {
		time.AfterFunc(lateWriteDelay, func() { s.apply(&t) })
		abort(ctx)
		return
	}
	version, conflicts := s.apply(&t)
	switch {
	case loseReply:
		abort(ctx)
	case conflicts != nil:
		s.writeReply(ctx, reply{Rows: conflicts, Version: version})
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	default:
		s.writeReply(ctx, reply{Version: version})
	}
}

// validate returns an error if the transaction writes to a table that only the platform's operator
// and the backend servers may write.
func (t *transaction) validate() error {
	for _, r := range slices.Concat(t.Writes, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return fmt.Errorf("table %q is not the system's", r.Table)
		}
	}
	return nil
}

// apply applies a transaction atomically and returns its version, or returns the current version and
// the rows whose condition failed.
func (s *Server) apply(t *transaction) (uint64, []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []Row
	for _, e := range t.Expected {
		if current := s.rows[rowKey{e.Table, e.Part, e.Key}]; current.Version != e.Version {
			conflicts = append(conflicts, current)
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
