package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/httphead"
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

// Client sends requests to servers by address and pools their connections. It is safe
// for concurrent use.
type Client struct {
	// dial opens a connection. onOpen is called for each connection that was opened, onClose with the reason
	// for each one that is closed.
	dial    func(ctx context.Context, address string) (net.Conn, error)
	onOpen  func()
	onClose func(CloseReason)
	// buffers bounds what the bodies of all exchanges hold beyond minBufferedBody each.
	buffers *bytebudget.Budget

	mu sync.RWMutex
	// pools maps addresses to their pools of idle connections.
	pools map[string]*connPool
	// open is the number of open connections, idle or in use, and opened the number of all connections so far.
	open   atomic.Int64
	opened atomic.Uint64
	// attemptPrefix is the begin of all IDs of attempts, and attempts the number of those that were given out.
	attemptPrefix string
	attempts      atomic.Uint64
}

// ClientOptions are the dependencies of a Client.
type ClientOptions struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnOpen is called for each connection that was opened. It may be nil.
	OnOpen func()
	// OnClose is called with the reason for each connection that is closed. It may be nil.
	OnClose func(CloseReason)
	// Buffers bounds what the bodies of all responses hold in memory.
	Buffers *bytebudget.Budget
}

// New returns a Client with the given dependencies.
func New(o ClientOptions) *Client {
	c := &Client{dial: o.Dial, onOpen: o.OnOpen, onClose: o.OnClose, buffers: o.Buffers, pools: map[string]*connPool{}, attemptPrefix: newAttemptPrefix()}
	if c.onOpen == nil {
		c.onOpen = func() {}
	}
	if c.onClose == nil {
		c.onClose = func(CloseReason) {}
	}
	return c
}

// Options configure one exchange.
type Options struct {
	// AvoidStale prevents the use of connections that were idle for longer than
	// maxIdleAvoidStale and may therefore be stale. It is set for requests that must
	// not be repeated.
	AvoidStale bool
	// NewConn forces the use of a new connection.
	NewConn bool
	// Identity says how responses name the request. If it is nil, they do so by AttemptIDHeader, which Do sets.
	Identity *Identity
	// OnConnect is called once the exchange has a connection. It may be nil.
	OnConnect func(Use)
}

// Do sends one request to the server at an address and reads its response. It returns
// the outcome, and an answer if the response headers and a body of up to
// maxBufferedBody bytes were read completely. The error is nil if and only if there is
// an answer. The context's deadline applies to the request and, for a streamed answer,
// to its body. If a connection that was used before brought no answer in time, the idle
// connections to the address are closed, since they may be silent as well.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Answer, shard.Outcome, error) {
	identity := o.Identity
	if identity == nil {
		identity = c.newAttemptIdentity(req)
	}
	id := identity.hash()
	sc, avoided, err := c.connection(ctx, address, o, id)
	if err != nil {
		return nil, dialOutcome(ctx), err
	}
	sc.begin(id)
	if o.OnConnect != nil {
		o.OnConnect(Use{Conn: sc.number, Exchange: len(sc.carried), Avoided: avoided})
	}
	setDeadline(ctx, req)
	stop := sc.closeOnDone(ctx)
	resp := fasthttp.AcquireResponse()
	if err := sc.exchange(req, resp, identity); err != nil {
		stop()
		outcome := failureOutcome(ctx, sc, err)
		c.closeConn(sc, closeReason(outcome, err))
		fasthttp.ReleaseResponse(resp)
		if outcome == shard.SilentConnection {
			c.Invalidate(address)
		}
		if outcome == shard.Broken && sc.reused() && !provesAlive(err) {
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
		if sc.reused() {
			return shard.SilentConnection
		}
		return shard.NoAnswer
	}
	return shard.Broken
}

// provesAlive reports whether an exchange failed by what the server wrote in response to it, so that the server had not
// closed the connection before.
func provesAlive(err error) bool {
	return errors.Is(err, errAnonymous) || errors.Is(err, httphead.ErrMalformed)
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

// connection returns an idle connection that may be used under the options and has not carried the ID, or dials a
// new one. avoided reports whether an idle connection was left out because it had carried the ID.
func (c *Client) connection(ctx context.Context, address string, o Options, id idHash) (sc *serverConn, avoided bool, err error) {
	pool := c.pool(address)
	if !o.NewConn {
		limit := maxIdleTime
		if o.AvoidStale {
			limit = maxIdleAvoidStale
		}
		if sc, avoided = pool.take(time.Now(), limit, id); sc != nil {
			return sc, avoided, nil
		}
	}
	pool.mu.Lock()
	generation := pool.generation
	pool.mu.Unlock()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, avoided, fmt.Errorf("backend: %w", err)
	}
	c.open.Add(1)
	c.onOpen()
	return &serverConn{
		Conn: conn, number: c.opened.Add(1), generation: generation,
		br: bufio.NewReaderSize(conn, bufferSize), bw: bufio.NewWriterSize(conn, bufferSize),
	}, avoided, nil
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

// closeReason returns the reason for closing the connection of an exchange that failed with an error.
func closeReason(outcome shard.Outcome, err error) CloseReason {
	switch {
	case outcome == shard.Cancelled:
		return CloseCancelled
	case outcome == shard.NoAnswer || outcome == shard.SilentConnection:
		return CloseTimeout
	case errors.Is(err, httphead.ErrMalformed):
		return CloseMalformed
	}
	return CloseBroken
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
