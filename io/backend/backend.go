package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/shard"
)

// Names of headers between the daemon and backend servers.
const (
	// NotRunHeader is the sign by which a server says that it did not run a
	// request; its value is ShedValue or DrainValue.
	NotRunHeader = "Bilberrymux-Not-Run"
	ShedValue    = "shed"
	DrainValue   = "drain"
	// DeadlineHeader tells the server the milliseconds that are left.
	DeadlineHeader = "Bilberrymux-Deadline-Ms"
)

// wholeLimit is the size up to which an answer is read whole before the caller
// gets any of it, so that a truncated one can become a refusal.
const wholeLimit = 256 << 10

// Client exchanges requests with servers by address. It is safe for concurrent
// use.
type Client struct {
	// dial opens a connection, closed is told of the end of each.
	dial   func(ctx context.Context, address string) (net.Conn, error)
	closed func(CloseReason)

	mu   sync.RWMutex
	sets map[string]*idleSet
	// open counts the connections that are open.
	open atomic.Int64
}

// New returns a client that opens connections by dial, and tells closed why each
// of them ended.
func New(dial func(ctx context.Context, address string) (net.Conn, error), closed func(CloseReason)) *Client {
	return &Client{dial: dial, closed: closed, sets: map[string]*idleSet{}}
}

// Answer is what a server answered.
type Answer struct {
	Response *fasthttp.Response
	// Streamed says that the body is read from the server as the caller takes
	// it. End must be called then.
	Streamed bool
	end      func(shard.End)
	after    []func()
}

// OnEnd sets the function that is told once how a streamed answer ended.
func (a *Answer) OnEnd(f func(shard.End)) {
	a.end = f
}

// AfterEnd adds a function that runs once the answer is over: at once for one
// that is whole, else when its stream ends.
func (a *Answer) AfterEnd(f func()) {
	if !a.Streamed {
		f()
		return
	}
	a.after = append(a.after, f)
}

// Discard gives up an answer that nobody wants.
func (a *Answer) Discard() {
	if a.Streamed {
		_ = a.Response.CloseBodyStream()
	}
}

// Finish tells those who wait for the end of a streamed answer.
func (a *Answer) Finish(end shard.End) {
	if a.end != nil {
		a.end(end)
	}
	for _, f := range a.after {
		f()
	}
}

// ErrTruncated marks a body that the server cut short.
var ErrTruncated = errors.New("backend: the answer was cut short")

// Options describe one exchange.
type Options struct {
	// AvoidStale keeps the request off connections that may be stale, because it
	// must not be repeated.
	AvoidStale bool
	// NewConn opens a new connection.
	NewConn bool
	// OnConnect is called once the exchange has a connection, with whether that
	// was used before.
	OnConnect func(reused bool)
	// IsMismatched reports whether an answer belongs to another request. Such answers
	// are skipped. It may be nil.
	IsMismatched func(h *fasthttp.ResponseHeader) bool
}

// Do exchanges one request. The end tells how it went; the answer is nil unless
// the end is Good or ServerError. The request's deadline is the context's.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Answer, shard.End, error) {
	sc, err := c.connection(ctx, address, o)
	if err != nil {
		return nil, dialEnd(ctx), err
	}
	if o.OnConnect != nil {
		o.OnConnect(sc.used)
	}
	setDeadline(ctx, req)
	stop := sc.watch(ctx)
	resp := fasthttp.AcquireResponse()
	if err := sc.exchange(req, resp, o.IsMismatched); err != nil {
		stop()
		end := failedEnd(ctx, sc, err)
		c.discard(sc, connEnd(end))
		fasthttp.ReleaseResponse(resp)
		if end == shard.Broken && sc.used {
			end = shard.StaleConnection
		}
		return nil, end, fmt.Errorf("backend: %s: %w", address, err)
	}
	return c.receive(ctx, address, sc, resp, stop)
}

// dialEnd tells an unreachable server from a caller that left meanwhile.
func dialEnd(ctx context.Context) shard.End {
	if errors.Is(ctx.Err(), context.Canceled) {
		return shard.Cancelled
	}
	return shard.DialFailed
}

// failedEnd classifies an exchange that broke.
func failedEnd(ctx context.Context, sc *serverConn, err error) shard.End {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return shard.Cancelled
	case ctx.Err() != nil || isTimeout(err):
		if sc.used {
			return shard.SilentConnection
		}
		return shard.NoAnswer
	}
	return shard.Broken
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// setDeadline tells the server how long the caller still waits.
func setDeadline(ctx context.Context, req *fasthttp.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
}

func (c *Client) connection(ctx context.Context, address string, o Options) (*serverConn, error) {
	set := c.set(address)
	if !o.NewConn {
		limit := idleLimit
		if o.AvoidStale {
			limit = safeIdle
		}
		if sc := set.take(time.Now(), limit); sc != nil {
			return sc, nil
		}
	}
	set.mu.Lock()
	generation := set.generation
	set.mu.Unlock()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	c.open.Add(1)
	return &serverConn{
		Conn: conn, generation: generation,
		br: bufio.NewReaderSize(conn, bufferSize), bw: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

func (c *Client) set(address string) *idleSet {
	c.mu.RLock()
	s := c.sets[address]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s = c.sets[address]; s == nil {
		s = &idleSet{closed: c.ended}
		c.sets[address] = s
	}
	return s
}

func (c *Client) discard(sc *serverConn, end CloseReason) {
	sc.Close()
	c.ended(end)
}

// ended counts a connection that was closed.
func (c *Client) ended(end CloseReason) {
	c.open.Add(-1)
	c.closed(end)
}

// connEnd tells why the connection of an exchange is of no more use.
func connEnd(end shard.End) CloseReason {
	switch end {
	case shard.Cancelled:
		return CloseCancelled
	case shard.NoAnswer, shard.SilentConnection:
		return CloseTimeout
	default:
		return CloseBroken
	}
}

// exchange writes the request and reads the head of the answer, and a stream
// for its body.
func (sc *serverConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, foreign func(*fasthttp.ResponseHeader) bool) error {
	if err := req.Write(sc.bw); err != nil {
		return err
	}
	if err := sc.bw.Flush(); err != nil {
		return err
	}
	for range maxForeign + 1 {
		resp.StreamBody = true
		resp.SkipBody = req.Header.IsHead()
		if err := resp.ReadLimitBody(sc.br, 0); err != nil {
			return err
		}
		if foreign == nil || !foreign(&resp.Header) {
			return nil
		}
		sc.spoiled = true
		if err := skipBody(resp); err != nil {
			return err
		}
	}
	return errForeign
}

// maxForeign bounds the answers to other requests that are skipped before the
// own one.
const maxForeign = 2

// errForeign marks a connection that carries only other requests' answers.
var errForeign = errors.New("backend: answers of other requests")

// skipBody reads the rest of an answer that nobody wants.
func skipBody(resp *fasthttp.Response) error {
	if body := resp.BodyStream(); body != nil {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return fmt.Errorf("backend: skipped answer: %w", err)
		}
		if err := resp.CloseBodyStream(); err != nil {
			return fmt.Errorf("backend: skipped answer: %w", err)
		}
	}
	resp.Reset()
	return nil
}

// receive reads a short body whole and leaves a long one as a stream.
func (c *Client) receive(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.End, error) {
	if resp.BodyStream() == nil {
		return c.complete(address, sc, resp, stop)
	}
	length := resp.Header.ContentLength()
	source := &wholeReader{src: resp.BodyStream(), left: int64(length), counted: length >= 0}
	head, err := io.ReadAll(io.LimitReader(source, wholeLimit+1))
	if err != nil {
		stop()
		end := failedEnd(ctx, sc, err)
		c.discard(sc, connEnd(end))
		fasthttp.ReleaseResponse(resp)
		return nil, end, fmt.Errorf("backend: %s: %w", address, err)
	}
	if len(head) <= wholeLimit {
		_ = resp.CloseBodyStream()
		resp.SetBodyRaw(head)
		return c.complete(address, sc, resp, stop)
	}
	return c.stream(ctx, address, sc, resp, head, source, stop)
}

// complete ends an exchange whose answer is whole.
func (c *Client) complete(address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.End, error) {
	switch {
	case !stop():
		c.discard(sc, CloseCancelled)
	case sc.spoiled:
		c.discard(sc, CloseMismatched)
	case resp.ConnectionClose():
		c.discard(sc, CloseByServer)
	default:
		sc.keep = keepTime(&resp.Header)
		c.set(address).put(time.Now(), sc)
	}
	return &Answer{Response: resp}, endOf(resp), nil
}

// endOf reads the outcome from a whole answer's head.
func endOf(resp *fasthttp.Response) shard.End {
	if resp.StatusCode() < fasthttp.StatusInternalServerError {
		return shard.Good
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		switch string(resp.Header.Peek(NotRunHeader)) {
		case ShedValue:
			return shard.Shed
		case DrainValue:
			return shard.Drain
		}
	}
	return shard.ServerError
}

// stream hands a long body on while it comes in.
func (c *Client) stream(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, head []byte, rest *wholeReader, stop func() bool) (*Answer, shard.End, error) {
	body := &streamBody{Reader: io.MultiReader(bytes.NewReader(head), rest), source: rest}
	answer := &Answer{Response: &fasthttp.Response{}, Streamed: true}
	resp.Header.CopyTo(&answer.Response.Header)
	body.close = func(whole bool) {
		alive := stop() && whole && !sc.spoiled && !resp.ConnectionClose()
		end := shard.Good
		switch {
		case whole:
		case errors.Is(ctx.Err(), context.Canceled) || rest.err == nil:
			end = shard.Cancelled
		default:
			end = shard.Broken
		}
		if alive {
			_ = resp.CloseBodyStream()
			sc.keep = keepTime(&resp.Header)
			c.set(address).put(time.Now(), sc)
		} else {
			c.discard(sc, streamConnEnd(end, sc))
		}
		answer.Finish(end)
	}
	answer.Response.SetBodyStream(body, resp.Header.ContentLength())
	return answer, endOf(resp), nil
}

// streamConnEnd tells why a connection is of no more use after a streamed answer.
func streamConnEnd(end shard.End, sc *serverConn) CloseReason {
	switch {
	case end != shard.Good:
		return connEnd(end)
	case sc.spoiled:
		return CloseMismatched
	}
	return CloseByServer
}

// Open returns the number of open connections to all servers.
func (c *Client) Open() int64 {
	return c.open.Load()
}

// Invalidate closes the idle connections to an address, which may have gone silent.
func (c *Client) Invalidate(address string) {
	c.set(address).giveUp()
}

// Expire closes connections that were idle for too long.
func (c *Client) Expire(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, s := range c.sets {
		s.expire(now)
	}
}

// Reachable reports whether a new connection to the address can be opened.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
