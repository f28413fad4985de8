// Package load generates load as callers do. Simulated apps ask a daemon which addresses to connect
// to, send requests of different ranks at a constant mean rate, resend requests where that is safe,
// and check that each answer is complete and belongs to their request.
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
	"bilberrymux/io/backend"
	"bilberrymux/io/front"
	"bilberrymux/io/refusalhttp"
	"bilberrymux/io/standin/backendserver"
)

// Stream describes the requests of one kind that an app sends.
type Stream struct {
	Name         string               `json:"name"`
	Organisation ident.OrganisationID `json:"organisation"`
	Rank         ident.Rank           `json:"rank"`
	Method       string               `json:"method"`
	Path         string               `json:"path"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// DeadlineMillis is the deadline of a request, in milliseconds after its first attempt.
	DeadlineMillis int `json:"deadlineMillis"`
	// Keyed makes each request carry an idempotency key.
	Keyed bool `json:"keyed"`
	// Body is the body of every request.
	Body string `json:"body,omitempty"`
	// MaxResends is the maximum number of resends of a request.
	MaxResends int `json:"resends"`
}

// Options configures a load.
type Options struct {
	// Entries holds the addresses of the daemons that are asked which addresses to connect to.
	Entries []string
	Streams []Stream
	// Seed is the seed of the arrival times and of the choice of entries. It is part of request ids
	// and of keys without a permit, so loads against one fleet need different seeds.
	Seed uint64
	// PlainKeys makes keyed requests use idempotency keys without a permit as prefix.
	PlainKeys bool
	// OnResult is called after each request has ended, from several goroutines at once. It may be
	// nil.
	OnResult func(Result)
}

// Result is the result of a request, after its resends.
type Result struct {
	Stream *Stream
	// At is when the request ended, Latency the time since its first attempt.
	At      time.Time
	Latency time.Duration
	// OK reports whether the request was answered, InTime whether this was before its deadline.
	OK     bool
	InTime bool
	// Kind and Outcome are those of the last refusal. Kind is empty if there was none.
	Kind    refusal.Kind
	Outcome refusal.Outcome
}

// Load sends the requests of several streams. It is safe for concurrent use.
type Load struct {
	options   Options
	mu        sync.Mutex
	locations map[string]location
	clients   map[string]*fasthttp.HostClient
	stats     map[ident.Rank]*stats
	ledger    Ledger
	nextID    atomic.Uint64
	random    *rand.Rand
}

// location is a cached answer to a locate request.
type location struct {
	front.Location
	expires time.Time
}

// Ledger records what callers were told about their requests, for comparison with the runs that
// the servers counted.
type Ledger struct {
	// NotRun lists the ids of the attempts that were refused as not run.
	NotRun []string
	// Keys counts the answered attempts of each idempotency key.
	Keys map[string]int
	// WrongAnswers describes the answers that were malformed or belonged to another request.
	WrongAnswers []string `json:"Wrong"`
}

// stats holds the counters of one rank. Latencies are in microseconds.
type stats struct {
	sent, ok, inTime, resent int64
	refused                  map[refusal.Kind]int64
	failed                   int64
	latency                  *hdrhistogram.Histogram
}

// maxLatencyMicros is the largest latency that the histograms record, in microseconds.
const maxLatencyMicros = 120_000_000

// New returns a load. It sends nothing before Run is called.
func New(o Options) *Load {
	l := &Load{
		options:   o,
		locations: map[string]location{},
		clients:   map[string]*fasthttp.HostClient{},
		stats:     map[ident.Rank]*stats{},
		ledger:    Ledger{Keys: map[string]int{}},
		random:    rand.New(rand.NewPCG(o.Seed, 2)),
	}
	for _, r := range ident.Ranks {
		l.stats[r] = &stats{refused: map[refusal.Kind]int64{}, latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	}
	return l
}

// Run sends all streams until the context ends, then waits for the requests in flight.
func (l *Load) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for i := range l.options.Streams {
		wg.Go(func() { l.runStream(ctx, &l.options.Streams[i], &wg) })
	}
	wg.Wait()
}

// runStream starts requests as a Poisson process with the stream's rate. The load is open-loop:
// arrivals don't depend on the progress of earlier requests.
func (l *Load) runStream(ctx context.Context, s *Stream, wg *conc.WaitGroup) {
	if s.Rate <= 0 {
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(l.randomExp() / s.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wg.Go(func() { l.sendRequest(s) })
	}
}

// randomExp returns an exponentially distributed number with mean 1.
func (l *Load) randomExp() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.ExpFloat64()
}

// sendRequest sends a request, resends it as far as that is safe and in time, and records the
// result.
func (l *Load) sendRequest(s *Stream) {
	start := time.Now()
	deadline := start.Add(time.Duration(s.DeadlineMillis) * time.Millisecond)
	key := ""
	l.updateStats(s, func(st *stats) { st.sent++ })
	var last sendResult
	for attempt := 0; ; attempt++ {
		addresses := l.locate(s)
		if key == "" && s.Keyed && len(addresses) > 0 {
			key = fmt.Sprintf("%s.%d", l.keyPrefix(addresses[0]), l.nextID.Add(1))
		}
		last = l.send(s, addresses, key, deadline)
		if last.ok || attempt >= s.MaxResends || !l.mayResend(s, last) {
			break
		}
		delay := max(last.retryAfter, minResendDelay)
		if time.Now().Add(delay).After(deadline) {
			break
		}
		time.Sleep(delay)
		l.updateStats(s, func(st *stats) { st.resent++ })
	}
	l.recordResult(s, start, deadline, last)
}

// keyPrefix returns the prefix of the idempotency keys of requests to an address: the permit of the
// daemon there or, with PlainKeys, a constant.
func (l *Load) keyPrefix(a front.Address) string {
	if l.options.PlainKeys {
		return fmt.Sprint("plain-", l.options.Seed)
	}
	return a.Permit
}

// minResendDelay is the minimum delay before a resend. It prevents immediate resends when the
// refusal names no delay.
const minResendDelay = 50 * time.Millisecond

// mayResend reports whether a request may be resent. Besides the daemon's permission, this requires
// that the request did not run, is idempotent, or carries an idempotency key, which prevents a second
// run.
func (l *Load) mayResend(s *Stream, r sendResult) bool {
	idempotent := s.Method == fasthttp.MethodGet
	return r.resend && (r.outcome == refusal.NotRun || idempotent || s.Keyed)
}

// recordResult adds the result of a request to the statistics of its rank and reports it to OnResult.
func (l *Load) recordResult(s *Stream, start, deadline time.Time, last sendResult) {
	now := time.Now()
	inTime := last.ok && !now.After(deadline)
	l.updateStats(s, func(st *stats) {
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
			st.failed++
		}
	})
	if l.options.OnResult != nil {
		l.options.OnResult(Result{
			Stream: s, At: now, Latency: now.Sub(start), OK: last.ok, InTime: inTime,
			Kind: last.kind, Outcome: last.outcome,
		})
	}
}

// updateStats calls f, under the lock, with the statistics of the stream's rank.
func (l *Load) updateStats(s *Stream, f func(*stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.stats[s.Rank])
}

// locate returns the addresses for a stream in order of preference. It asks a random entry if the
// cached addresses have expired. If that fails, it returns the expired addresses or, without any,
// the entry itself.
func (l *Load) locate(s *Stream) []front.Address {
	l.mu.Lock()
	cached := l.locations[s.Path]
	entry := l.options.Entries[l.random.IntN(len(l.options.Entries))]
	l.mu.Unlock()
	if time.Now().Before(cached.expires) {
		return cached.Addresses
	}
	body, err := l.queryLocation(entry, s)
	var fresh location
	if err != nil || json.Unmarshal(body, &fresh.Location) != nil || len(fresh.Addresses) == 0 {
		if len(cached.Addresses) > 0 {
			return cached.Addresses
		}
		return []front.Address{{Address: entry}}
	}
	fresh.expires = time.Now().Add(time.Duration(fresh.TTLSeconds) * time.Second)
	l.mu.Lock()
	l.locations[s.Path] = fresh
	l.mu.Unlock()
	return fresh.Addresses
}

// locateTimeout is the timeout of a locate request.
const locateTimeout = 2 * time.Second

// queryLocation asks an entry which addresses to use for a stream and returns the body of the answer.
func (l *Load) queryLocation(entry string, s *Stream) ([]byte, error) {
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

// client returns the HTTP client for the daemon at an address. Retries by fasthttp are disabled, since
// the load itself decides which requests to resend.
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

// sendResult is the result of one attempt.
type sendResult struct {
	ok, resend bool
	kind       refusal.Kind
	outcome    refusal.Outcome
	retryAfter time.Duration
}

// send sends one attempt to the first address that accepts a connection, in the given order. If none
// does, it drops the cached addresses, and the attempt counts as not run and may be resent.
func (l *Load) send(s *Stream, addresses []front.Address, key string, deadline time.Time) sendResult {
	var last sendResult
	for _, a := range addresses {
		var reached bool
		last, reached = l.sendTo(s, a.Address, key, deadline)
		if reached {
			return last
		}
	}
	l.mu.Lock()
	delete(l.locations, s.Path)
	l.mu.Unlock()
	last.resend = true
	return last
}

// sendTo sends one attempt to an address. It returns reached as false if no connection could be
// opened.
func (l *Load) sendTo(s *Stream, address, key string, deadline time.Time) (result sendResult, reached bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := fmt.Sprintf("%s-%d-%d", s.Name, l.options.Seed, l.nextID.Add(1))
	remaining := time.Until(deadline)
	req.SetRequestURI(fmt.Sprintf("http://%s%s?id=%s", address, s.Path, id))
	req.Header.SetMethod(s.Method)
	req.Header.Set(backendserver.TestIDHeader, id)
	req.Header.Set(front.OrganisationHeader, string(s.Organisation))
	req.Header.Set(backend.DeadlineHeader, fmt.Sprint(max(1, remaining.Milliseconds())))
	if key != "" {
		// The URI of a keyed request must not contain the id of the attempt: a resend under the same
		// idempotency key has to be the same request.
		req.SetRequestURI(fmt.Sprintf("http://%s%s", address, s.Path))
		req.Header.Set(front.KeyHeader, key)
	}
	if s.Body != "" {
		req.SetBodyString(s.Body)
	}
	err := l.client(address).DoTimeout(req, resp, remaining+responseGrace)
	if err != nil {
		var op *net.OpError
		if asOpError(err, &op) && op.Op == "dial" {
			return sendResult{outcome: refusal.NotRun}, false
		}
		return sendResult{outcome: refusal.Unknown, resend: true}, true
	}
	return l.evaluateResponse(s, id, key, resp), true
}

// responseGrace is how much longer than the request's deadline a caller waits for the daemon to
// report that the deadline passed.
const responseGrace = 500 * time.Millisecond

// evaluateResponse checks an answer and records in the ledger what it tells the caller.
func (l *Load) evaluateResponse(s *Stream, id, key string, resp *fasthttp.Response) sendResult {
	if kind := string(resp.Header.Peek(front.RefusalHeader)); kind != "" {
		var r refusalhttp.Refusal
		if err := json.Unmarshal(resp.Body(), &r); err != nil {
			l.recordWrongAnswer("%s: refusal %s cannot be decoded", id, kind)
		}
		if r.Outcome == refusal.NotRun {
			l.mu.Lock()
			l.ledger.NotRun = append(l.ledger.NotRun, id)
			l.mu.Unlock()
		}
		return sendResult{
			kind: r.Kind, outcome: r.Outcome, resend: r.Resend,
			retryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
		}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return sendResult{kind: refusal.ServerFailed, outcome: refusal.Unknown, resend: true}
	}
	var reply backendserver.Reply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		l.recordWrongAnswer("%s: answer cannot be decoded: %v", id, err)
		return sendResult{outcome: refusal.Unknown}
	}
	if key == "" && reply.TestID != id {
		l.recordWrongAnswer("%s: got the answer of %s", id, reply.TestID)
	}
	if reply.Path != s.Path || reply.Body != s.Body {
		l.recordWrongAnswer("%s: answer is for %s", id, reply.Path)
	}
	if key != "" {
		l.mu.Lock()
		l.ledger.Keys[key]++
		l.mu.Unlock()
	}
	return sendResult{ok: true}
}

// recordWrongAnswer adds a message to Ledger.WrongAnswers.
func (l *Load) recordWrongAnswer(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.WrongAnswers = append(l.ledger.WrongAnswers, fmt.Sprintf(format, args...))
}

// Ledger returns what callers have been told so far. It shares its slices and map with the load, so
// call it after Run has returned.
func (l *Load) Ledger() Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger
}
