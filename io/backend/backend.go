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

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
)

// Headers exchanged between daemons and backend servers, and their values.
const (
	// NotRunHeader is set in a 503 response by a server that did not run the request.
	// Its value is ShedValue if the server is overloaded, or DrainValue if it is
	// shutting down.
	NotRunHeader = "Bilberrymux-Not-Run"
	ShedValue    = "shed"
	DrainValue   = "drain"
	// DeadlineHeader tells the server the time that is left until the caller's
	// deadline, in milliseconds.
	DeadlineHeader = "Bilberrymux-Deadline-Ms"
)

// maxBufferedBody is the size in bytes up to which a response body is buffered before
// any of it is sent to the caller, so that a truncated response can be turned into a
// refusal. Larger bodies are streamed, and so are those of more than minBufferedBody bytes when the
// buffers of all exchanges hold as much as they may.
const (
	maxBufferedBody = 256 << 10
	minBufferedBody = 16 << 10
)

// Client sends requests to servers by address and pools their connections. It is safe
// for concurrent use.
type Client struct {
	// dial opens a connection. onClose is called with the reason for each connection
	// that is closed.
	dial    func(ctx context.Context, address string) (net.Conn, error)
	onClose func(CloseReason)
	// buffers bounds what the bodies of all exchanges hold beyond minBufferedBody each.
	buffers *bytebudget.Budget

	mu sync.RWMutex
	// pools maps addresses to their pools of idle connections.
	pools map[string]*connPool
	// open is the number of open connections, idle or in use.
	open atomic.Int64
}

// New returns a Client that opens connections by dial, and calls onClose with the
// reason for each connection that it closes. It buffers bodies of responses within the budget.
func New(dial func(ctx context.Context, address string) (net.Conn, error), onClose func(CloseReason), buffers *bytebudget.Budget) *Client {
	return &Client{dial: dial, onClose: onClose, buffers: buffers, pools: map[string]*connPool{}}
}

// Answer is the response of a server. It is not safe for concurrent use.
type Answer struct {
	Response *fasthttp.Response
	// Streamed reports whether the body is read from the server while the caller reads
	// it. The body stream of such an answer must be read to its end or closed, for
	// instance by Discard.
	Streamed bool
	// onEnd is called with the outcome of a streamed answer. It may be nil.
	onEnd func(shard.Outcome)
	// afterEnd holds the functions that are called after onEnd.
	afterEnd []func()
}

// OnEnd sets the function that is called once with the outcome of a streamed answer.
func (a *Answer) OnEnd(f func(shard.Outcome)) {
	a.onEnd = f
}

// AfterEnd calls f at once if the answer is buffered, or else when its stream ends,
// after the function set by OnEnd.
func (a *Answer) AfterEnd(f func()) {
	if !a.Streamed {
		f()
		return
	}
	a.afterEnd = append(a.afterEnd, f)
}

// CopyTo copies the answer to the response for a caller. The body of a streamed answer is read when
// the response is written, so that one which breaks off is never completed.
func (a *Answer) CopyTo(dst *fasthttp.Response) {
	if !a.Streamed {
		a.Response.CopyTo(dst)
		return
	}
	a.Response.Header.CopyTo(&dst.Header)
	dst.SetBodyStream(a.Response.BodyStream(), a.Response.Header.ContentLength())
}

// Discard closes the stream of an answer that is not needed.
func (a *Answer) Discard() {
	if a.Streamed {
		_ = a.Response.CloseBodyStream()
	}
}

// Finish calls the functions set by OnEnd and AfterEnd with the outcome of a streamed
// answer.
func (a *Answer) Finish(outcome shard.Outcome) {
	if a.onEnd != nil {
		a.onEnd(outcome)
	}
	for _, f := range a.afterEnd {
		f()
	}
}

// ErrTruncated is returned for a response body that ended early.
var ErrTruncated = errors.New("backend: response body truncated")

// Options configure one exchange.
type Options struct {
	// AvoidStale prevents the use of connections that were idle for longer than
	// maxIdleAvoidStale and may therefore be stale. It is set for requests that must
	// not be repeated.
	AvoidStale bool
	// NewConn forces the use of a new connection.
	NewConn bool
	// OnConnect is called once the exchange has a connection, and is told whether that
	// was used before. It may be nil.
	OnConnect func(reused bool)
	// IsMismatched reports whether a response belongs to another request. Such
	// responses are skipped. It may be nil.
	IsMismatched func(h *fasthttp.ResponseHeader) bool
}

// Do sends one request to the server at an address and reads its response. It returns
// the outcome, and an answer if the response headers and a body of up to
// maxBufferedBody bytes were read completely. The error is nil if and only if there is
// an answer. The context's deadline applies to the request and, for a streamed answer,
// to its body. If a connection that was used before brought no answer in time, the idle
// connections to the address are closed, since they may be silent as well.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Answer, shard.Outcome, error) {
	sc, err := c.connection(ctx, address, o)
	if err != nil {
		return nil, dialOutcome(ctx), err
	}
	if o.OnConnect != nil {
		o.OnConnect(sc.reused)
	}
	setDeadline(ctx, req)
	stop := sc.closeOnDone(ctx)
	resp := fasthttp.AcquireResponse()
	if err := sc.exchange(req, resp, o.IsMismatched); err != nil {
		stop()
		outcome := failureOutcome(ctx, sc, err)
		c.closeConn(sc, closeReason(outcome))
		fasthttp.ReleaseResponse(resp)
		if outcome == shard.SilentConnection {
			c.Invalidate(address)
		}
		if outcome == shard.Broken && sc.reused {
			outcome = shard.StaleConnection
		}
		return nil, outcome, fmt.Errorf("backend: %s: %w", address, err)
	}
	return c.readBody(ctx, address, sc, resp, stop)
}

// dialOutcome returns the outcome of an exchange whose dial failed: Cancelled if the
// caller cancelled it, else DialFailed.
func dialOutcome(ctx context.Context) shard.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return shard.Cancelled
	}
	return shard.DialFailed
}

// failureOutcome returns the outcome of an exchange that failed after a connection was
// available.
func failureOutcome(ctx context.Context, sc *serverConn, err error) shard.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return shard.Cancelled
	case ctx.Err() != nil || isTimeout(err):
		if sc.reused {
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

// setDeadline sets DeadlineHeader from the context's deadline, if it has one.
func setDeadline(ctx context.Context, req *fasthttp.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
}

// connection returns an idle connection that may be used under the options, or dials a
// new one.
func (c *Client) connection(ctx context.Context, address string, o Options) (*serverConn, error) {
	pool := c.pool(address)
	if !o.NewConn {
		limit := maxIdleTime
		if o.AvoidStale {
			limit = maxIdleAvoidStale
		}
		if sc := pool.take(time.Now(), limit); sc != nil {
			return sc, nil
		}
	}
	pool.mu.Lock()
	generation := pool.generation
	pool.mu.Unlock()
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

// pool returns the pool of an address and creates it if needed.
func (c *Client) pool(address string) *connPool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &connPool{onClose: c.connClosed}
		c.pools[address] = p
	}
	return p
}

// closeConn closes a connection that is not in a pool.
func (c *Client) closeConn(sc *serverConn, reason CloseReason) {
	sc.Close()
	c.connClosed(reason)
}

// connClosed accounts for a connection that was closed.
func (c *Client) connClosed(reason CloseReason) {
	c.open.Add(-1)
	c.onClose(reason)
}

// closeReason returns the reason for closing the connection of a failed exchange.
func closeReason(outcome shard.Outcome) CloseReason {
	switch outcome {
	case shard.Cancelled:
		return CloseCancelled
	case shard.NoAnswer, shard.SilentConnection:
		return CloseTimeout
	default:
		return CloseBroken
	}
}

// exchange writes the request and reads the headers of the response, whose body
// becomes a stream. It skips up to maxMismatched responses to other requests.
func (sc *serverConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, isMismatched func(*fasthttp.ResponseHeader) bool) error {
	if err := req.Write(sc.bw); err != nil {
		return err
	}
	if err := sc.bw.Flush(); err != nil {
		return err
	}
	for range maxMismatched + 1 {
		resp.StreamBody = true
		resp.SkipBody = req.Header.IsHead()
		if err := resp.ReadLimitBody(sc.br, 0); err != nil {
			return err
		}
		if isMismatched == nil || !isMismatched(&resp.Header) {
			return nil
		}
		sc.mismatched = true
		if err := skipBody(resp); err != nil {
			return err
		}
	}
	return errMismatched
}

// maxMismatched is the maximum number of responses to other requests that are skipped
// while waiting for the right one.
const maxMismatched = 2

// errMismatched is returned if more than maxMismatched responses belong to other
// requests.
var errMismatched = errors.New("backend: received only responses to other requests")

// skipBody reads and discards the body of a response, and resets the response. A body of more than
// maxBufferedBody bytes, which may have no end, is an error.
func skipBody(resp *fasthttp.Response) error {
	if body := resp.BodyStream(); body != nil {
		n, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBody+1))
		if err != nil {
			return fmt.Errorf("backend: skipped response: %w", err)
		}
		if n > maxBufferedBody {
			return errMismatched
		}
		if err := resp.CloseBodyStream(); err != nil {
			return fmt.Errorf("backend: skipped response: %w", err)
		}
	}
	resp.Reset()
	return nil
}

// readBody buffers a body of up to maxBufferedBody bytes and returns a larger one as a
// stream.
func (c *Client) readBody(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.Outcome, error) {
	if resp.BodyStream() == nil {
		return c.finishBuffered(address, sc, resp, stop)
	}
	length := resp.Header.ContentLength()
	source := &bodyReader{src: resp.BodyStream(), remaining: int64(length), hasLength: length >= 0}
	head := &bodyBuffer{budget: c.buffers}
	err := head.fill(source)
	switch {
	case err == io.EOF:
		head.release()
		_ = resp.CloseBodyStream()
		resp.SetBodyRaw(head.bytes)
		return c.finishBuffered(address, sc, resp, stop)
	case err != nil:
		head.release()
		stop()
		outcome := failureOutcome(ctx, sc, err)
		c.closeConn(sc, closeReason(outcome))
		fasthttp.ReleaseResponse(resp)
		return nil, outcome, fmt.Errorf("backend: %s: %w", address, err)
	}
	return c.stream(ctx, address, sc, resp, head, source, stop)
}

// finishBuffered ends an exchange whose response was read completely. It returns the
// connection to the pool or closes it.
func (c *Client) finishBuffered(address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.Outcome, error) {
	switch {
	case !stop():
		c.closeConn(sc, CloseCancelled)
	case sc.mismatched:
		c.closeConn(sc, CloseMismatched)
	case resp.ConnectionClose():
		c.closeConn(sc, CloseByServer)
	default:
		sc.keepAlive = keepAliveTime(&resp.Header)
		c.pool(address).put(time.Now(), sc)
	}
	return &Answer{Response: resp}, responseOutcome(resp), nil
}

// responseOutcome returns the outcome that the headers of a response stand for.
func responseOutcome(resp *fasthttp.Response) shard.Outcome {
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

// stream returns an answer whose body is read from the connection while the caller
// reads it. head is the part of the body that was already read, rest the remainder.
func (c *Client) stream(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, head *bodyBuffer, rest *bodyReader, stop func() bool) (*Answer, shard.Outcome, error) {
	body := &streamBody{Reader: io.MultiReader(bytes.NewReader(head.bytes), rest), source: rest}
	answer := &Answer{Response: &fasthttp.Response{}, Streamed: true}
	resp.Header.CopyTo(&answer.Response.Header)
	body.onClose = func(complete bool) {
		head.release()
		reusable := stop() && complete && !sc.mismatched && !resp.ConnectionClose()
		outcome := shard.Good
		switch {
		case complete:
		case errors.Is(ctx.Err(), context.Canceled) || rest.err == nil:
			outcome = shard.Cancelled
		default:
			outcome = shard.Broken
		}
		if reusable {
			_ = resp.CloseBodyStream()
			sc.keepAlive = keepAliveTime(&resp.Header)
			c.pool(address).put(time.Now(), sc)
		} else {
			c.closeConn(sc, streamCloseReason(outcome, sc))
		}
		answer.Finish(outcome)
	}
	answer.Response.SetBodyStream(body, resp.Header.ContentLength())
	return answer, responseOutcome(resp), nil
}

// streamCloseReason returns the reason for closing a connection after a streamed
// answer.
func streamCloseReason(outcome shard.Outcome, sc *serverConn) CloseReason {
	switch {
	case outcome != shard.Good:
		return closeReason(outcome)
	case sc.mismatched:
		return CloseMismatched
	}
	return CloseByServer
}

// OpenConns returns the number of open connections to all servers.
func (c *Client) OpenConns() int64 {
	return c.open.Load()
}

// Invalidate closes the idle connections to an address, and lets those in use be closed
// after their exchanges. It is called when the server at the address was removed, or
// when connections to it may no longer receive responses.
func (c *Client) Invalidate(address string) {
	c.pool(address).invalidate()
}

// Expire closes connections that were idle for longer than maxIdleTime or their
// server's keep-alive timeout.
func (c *Client) Expire(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.expire(now)
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
