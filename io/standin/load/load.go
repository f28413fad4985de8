// Package load is a stand-in for callers: apps that ask where to connect, send
// requests of three ranks at a steady rate, resend what may be resent, and
// check that each answer is whole and their own.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/io/answer"
	"bilberrymux/io/backend"
	"bilberrymux/io/front"
	"bilberrymux/io/standin/backendserver"
)

// Stream is one app's requests of one kind.
type Stream struct {
	Name         string               `json:"name"`
	Organisation ident.OrganisationID `json:"organisation"`
	Rank         ident.Rank           `json:"rank"`
	Method       string               `json:"method"`
	Path         string               `json:"path"`
	// Rate is requests a second.
	Rate float64 `json:"rate"`
	// DeadlineMillis is how long the caller waits.
	DeadlineMillis int `json:"deadlineMillis"`
	// Keyed requests carry an idempotency key.
	Keyed bool `json:"keyed"`
	// Body is sent with every request.
	Body string `json:"body,omitempty"`
	// MaxResends bounds how often the app resends what was refused.
	MaxResends int `json:"resends"`
}

// Options describe one load.
type Options struct {
	// Entries are addresses of daemons that are asked where to connect.
	Entries []string
	Streams []Stream
	Seed    uint64
	// PlainKeys makes keyed requests use keys without a permit.
	PlainKeys bool
	// OnResult is told of each request that ended; it may be nil.
	OnResult func(Result)
}

// Result is the end of one request.
type Result struct {
	Stream  *Stream
	At      time.Time
	Latency time.Duration
	OK      bool
	InTime  bool
	Kind    refusal.Kind
	Outcome refusal.Outcome
}

// Load sends requests. It is safe for concurrent use.
type Load struct {
	options Options
	mu      sync.Mutex
	located map[string]location
	clients map[string]*fasthttp.HostClient
	stats   map[ident.Rank]*stats
	ledger  Ledger
	next    atomic.Uint64
	random  *rand.Rand
}

type location struct {
	front.Location
	until time.Time
}

// Ledger is what callers were told, to be compared with what servers ran.
type Ledger struct {
	// NotRun lists the sends that were refused as not run.
	NotRun []string
	// Keys counts the sends of each idempotency key that were answered.
	Keys map[string]int
	// WrongAnswers lists answers that were not whole or belonged to another request.
	WrongAnswers []string `json:"Wrong"`
}

type stats struct {
	sent, ok, inTime, resent int64
	refused                  map[refusal.Kind]int64
	broken                   int64
	latency                  *hdrhistogram.Histogram
}

// maxLatency bounds what the histograms hold, in microseconds.
const maxLatency = 120_000_000

// New returns a load that sends nothing before Run.
func New(o Options) *Load {
	l := &Load{
		options: o,
		located: map[string]location{},
		clients: map[string]*fasthttp.HostClient{},
		stats:   map[ident.Rank]*stats{},
		ledger:  Ledger{Keys: map[string]int{}},
		random:  rand.New(rand.NewPCG(o.Seed, 2)),
	}
	for _, r := range ident.Ranks {
		l.stats[r] = &stats{refused: map[refusal.Kind]int64{}, latency: hdrhistogram.New(1, maxLatency, 3)}
	}
	return l
}

// Run sends every stream until the context ends and waits for the answers.
func (l *Load) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for i := range l.options.Streams {
		wg.Go(func() { l.runStream(ctx, &l.options.Streams[i], &wg) })
	}
	wg.Wait()
}

// runStream starts requests at random times with the stream's mean rate,
// whatever becomes of the earlier ones.
func (l *Load) runStream(ctx context.Context, s *Stream, wg *conc.WaitGroup) {
	if s.Rate <= 0 {
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(l.exponential() / s.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wg.Go(func() { l.one(s) })
	}
}

func (l *Load) exponential() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.ExpFloat64()
}

// one carries one request through its resends.
func (l *Load) one(s *Stream) {
	start := time.Now()
	deadline := start.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
	key := ""
	l.count(s, func(st *stats) { st.sent++ })
	var last sent
	for try := 0; ; try++ {
		addresses := l.locate(s)
		if key == "" && s.Keyed && len(addresses) > 0 {
			key = fmt.Sprintf("%s.%d", l.keyPrefix(addresses[0]), l.next.Add(1))
		}
		last = l.send(s, addresses, key, deadline)
		if last.ok || try >= s.MaxResends || !l.mayResend(s, last) {
			break
		}
		pause := max(last.pause, minResendPause)
		if time.Now().Add(pause).After(deadline) {
			break
		}
		time.Sleep(pause)
		l.count(s, func(st *stats) { st.resent++ })
	}
	l.finish(s, start, deadline, last)
}

// keyPrefix begins the idempotency keys of requests to an address.
func (l *Load) keyPrefix(a front.Address) string {
	if l.options.PlainKeys {
		return fmt.Sprint("plain-", l.options.Seed)
	}
	return a.Permit
}

// minResendPause keeps callers from resending at once.
const minResendPause = 50 * time.Millisecond

// mayResend reports whether a resend is safe: the request did not run, or may
// run twice, or its key keeps it from that.
func (l *Load) mayResend(s *Stream, r sent) bool {
	idempotent := s.Method == fasthttp.MethodGet
	return r.resend && (r.outcome == refusal.NotRun || idempotent || s.Keyed)
}

func (l *Load) finish(s *Stream, start, deadline time.Time, last sent) {
	now := time.Now()
	inTime := last.ok && !now.After(deadline)
	l.count(s, func(st *stats) {
		switch {
		case last.ok:
			st.ok++
			if inTime {
				st.inTime++
			}
			_ = st.latency.RecordValue(max(1, now.Sub(start).Microseconds()))
		case last.kind != "":
			st.refused[last.kind]++
		default:
			st.broken++
		}
	})
	if l.options.OnResult != nil {
		l.options.OnResult(Result{
			Stream: s, At: now, Latency: now.Sub(start), OK: last.ok, InTime: inTime,
			Kind: last.kind, Outcome: last.outcome,
		})
	}
}

func (l *Load) count(s *Stream, f func(*stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.stats[s.Rank])
}

// locate returns the addresses for a stream, asking a daemon where the last
// answer is too old.
func (l *Load) locate(s *Stream) []front.Address {
	l.mu.Lock()
	known := l.located[s.Path]
	entry := l.options.Entries[l.random.IntN(len(l.options.Entries))]
	l.mu.Unlock()
	if time.Now().Before(known.until) {
		return known.Addresses
	}
	body, err := l.ask(entry, s)
	var fresh location
	if err != nil || json.Unmarshal(body, &fresh.Location) != nil || len(fresh.Addresses) == 0 {
		if len(known.Addresses) > 0 {
			return known.Addresses
		}
		return []front.Address{{Address: entry}}
	}
	fresh.until = time.Now().Add(time.Duration(fresh.TTLSeconds) * time.Second)
	l.mu.Lock()
	l.located[s.Path] = fresh
	l.mu.Unlock()
	return fresh.Addresses
}

// locateTimeout bounds the question where to connect.
const locateTimeout = 2 * time.Second

func (l *Load) ask(entry string, s *Stream) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + front.LocatePath + "?method=" + s.Method + "&path=" + s.Path)
	if err := l.client(entry).DoTimeout(req, resp, locateTimeout); err != nil {
		return nil, fmt.Errorf("load: locate: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("load: locate: status %d", resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// client returns the connections to one daemon. The library's own repetition
// is off: a caller decides itself what to resend.
func (l *Load) client(address string) *fasthttp.HostClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.clients[address]
	if c == nil {
		c = &fasthttp.HostClient{
			Addr: address, MaxConns: 4096, MaxIdemponentCallAttempts: 1,
			RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration: 5 * time.Second,
			Dial: func(a string) (net.Conn, error) {
				return net.DialTimeout("tcp", a, 500*time.Millisecond)
			},
		}
		l.clients[address] = c
	}
	return c
}

// sent is what became of one send.
type sent struct {
	ok, resend bool
	kind       refusal.Kind
	outcome    refusal.Outcome
	pause      time.Duration
}

// send tries the addresses in their order until one can be reached.
func (l *Load) send(s *Stream, addresses []front.Address, key string, deadline time.Time) sent {
	var last sent
	for _, a := range addresses {
		var reached bool
		last, reached = l.sendTo(s, a.Address, key, deadline)
		if reached {
			return last
		}
	}
	l.mu.Lock()
	delete(l.located, s.Path)
	l.mu.Unlock()
	last.resend = true
	return last
}

func (l *Load) sendTo(s *Stream, address, key string, deadline time.Time) (result sent, reached bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := fmt.Sprintf("%s-%d-%d", s.Name, l.options.Seed, l.next.Add(1))
	left := time.Until(deadline)
	req.SetRequestURI(fmt.Sprintf("http://%s%s?id=%s", address, s.Path, id))
	req.Header.SetMethod(s.Method)
	req.Header.Set(backendserver.TestIDHeader, id)
	req.Header.Set(front.OrganisationHeader, string(s.Organisation))
	req.Header.Set(backend.DeadlineHeader, fmt.Sprint(max(1, left.Milliseconds())))
	if key != "" {
		// The same request under the same key, whatever its id.
		req.SetRequestURI(fmt.Sprintf("http://%s%s", address, s.Path))
		req.Header.Set(front.KeyHeader, key)
	}
	if s.Body != "" {
		req.SetBodyString(s.Body)
	}
	err := l.client(address).DoTimeout(req, resp, left+callerGrace)
	if err != nil {
		var op *net.OpError
		if asOp(err, &op) && op.Op == "dial" {
			return sent{outcome: refusal.NotRun}, false
		}
		return sent{outcome: refusal.Unknown, resend: true}, true
	}
	return l.judge(s, id, key, resp), true
}

// callerGrace is how much longer than its deadline a caller waits for the
// daemon's word on it.
const callerGrace = 500 * time.Millisecond

// judge reads an answer and notes what it claims.
func (l *Load) judge(s *Stream, id, key string, resp *fasthttp.Response) sent {
	if kind := string(resp.Header.Peek(front.RefusalHeader)); kind != "" {
		var r answer.Refusal
		if err := json.Unmarshal(resp.Body(), &r); err != nil {
			l.wrong("%s: unreadable refusal %s", id, kind)
		}
		if r.Outcome == refusal.NotRun {
			l.mu.Lock()
			l.ledger.NotRun = append(l.ledger.NotRun, id)
			l.mu.Unlock()
		}
		return sent{
			kind: r.Kind, outcome: r.Outcome, resend: r.Resend,
			pause: time.Duration(r.RetryAfterMillis) * time.Millisecond,
		}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return sent{kind: refusal.ServerFailed, outcome: refusal.Unknown, resend: true}
	}
	var reply backendserver.Reply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		l.wrong("%s: answer is not whole: %v", id, err)
		return sent{outcome: refusal.Unknown}
	}
	if key == "" && reply.TestID != id {
		l.wrong("%s: got the answer of %s", id, reply.TestID)
	}
	if reply.Path != s.Path || reply.Body != s.Body {
		l.wrong("%s: answer is for %s", id, reply.Path)
	}
	if key != "" {
		l.mu.Lock()
		l.ledger.Keys[key]++
		l.mu.Unlock()
	}
	return sent{ok: true}
}

func (l *Load) wrong(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.WrongAnswers = append(l.ledger.WrongAnswers, fmt.Sprintf(format, args...))
}

// Ledger returns what callers were told.
func (l *Load) Ledger() Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger
}
