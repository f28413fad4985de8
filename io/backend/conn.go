// Package backend sends HTTP requests to backend servers over pooled connections.
// Unlike a general HTTP client it never retries a request by itself, and the outcome of
// a failed exchange tells whether the server may have run the request.
package backend

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"bilberrymux/core/httphead"
)

// Limits of connections and their pools.
const (
	// maxIdleTime is the maximum time for which an idle connection is kept.
	maxIdleTime = 15 * time.Second
	// maxIdleAvoidStale is the maximum time for which a connection may have been idle
	// before it carries a request that must not be repeated.
	maxIdleAvoidStale = time.Second
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 64
	// bufferSize is the size in bytes of each connection's read and write buffers.
	bufferSize = 8 << 10
)

// serverConn is one connection to a server. It is not safe for concurrent use.
type serverConn struct {
	net.Conn
	// number numbers the connections of a client, from 1.
	number uint64
	// carried holds the IDs of all requests that the connection has carried.
	carried []idHash
	br      *bufio.Reader
	bw      *bufio.Writer
	// idleSince is the time of the connection's last return to the pool.
	idleSince time.Time
	// generation is the generation of the pool when the connection was dialled.
	generation uint64
	// reused reports whether the connection carried an earlier exchange.
	reused bool
	// keepAlive is the maximum idle time of the connection, from the Keep-Alive header
	// of the server's last response.
	keepAlive time.Duration
	// mismatched reports whether the connection carried a response to another request, and anonymous whether it
	// carried one that named none.
	mismatched, anonymous bool
	// head is the head of the current response, if that is well-formed and has an error status, and trailers
	// the names of its trailers.
	head     *httphead.Head
	trailers []string
}

// keepAliveMargin is subtracted from the server's keep-alive timeout, so that the
// client closes an idle connection first and no request is sent while the server
// closes it.
const keepAliveMargin = time.Second

// keepAliveTime returns the maximum idle time of a connection: the timeout in the
// Keep-Alive header less keepAliveMargin, but at most maxIdleTime. Without a timeout in
// the header it returns maxIdleTime.
func keepAliveTime(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(maxIdleTime, time.Duration(n)*time.Second-keepAliveMargin)
		}
	}
	return maxIdleTime
}

// connPool holds the idle connections to one address, the most recently used last. It
// is safe for concurrent use.
type connPool struct {
	mu    sync.Mutex
	conns []*serverConn
	// generation is incremented by invalidate. Connections of earlier generations are
	// not returned to the pool.
	generation uint64
	// onClose is called with the reason for each connection that the pool closes.
	onClose func(CloseReason)
}

// closeConn closes a connection and reports the reason to onClose.
func (p *connPool) closeConn(c *serverConn, reason CloseReason) {
	c.Close()
	p.onClose(reason)
}

// CloseReason is the reason for which a connection to a server was closed.
type CloseReason string

// Reasons for closing connections.
const (
	// CloseByServer means that the server asked for the close in its response.
	CloseByServer CloseReason = "server"
	// CloseBroken means that an exchange on the connection failed.
	CloseBroken CloseReason = "broken"
	// CloseTimeout means that an exchange reached its deadline without a response.
	CloseTimeout CloseReason = "timeout"
	// CloseCancelled means that the exchange was cancelled.
	CloseCancelled CloseReason = "cancelled"
	// CloseMismatched means that the connection carried a response to another request.
	CloseMismatched CloseReason = "spoiled"
	// CloseAnonymous means that the connection carried a response that named no request.
	CloseAnonymous CloseReason = "anonymous"
	// CloseUsedUp means that the connection carried maxExchanges exchanges.
	CloseUsedUp CloseReason = "usedUp"
	// CloseIdle means that the connection was idle for too long.
	CloseIdle CloseReason = "idle"
	// CloseStale means that the server closed the idle connection or wrote to it.
	CloseStale CloseReason = "stale"
	// CloseSurplus means that the pool already held maxIdleConns connections.
	CloseSurplus CloseReason = "surplus"
	// CloseInvalidated means that Client.Invalidate was called for the address.
	CloseInvalidated CloseReason = "givenUp"
)

// take removes and returns the most recently used connection that has not carried the ID and passes the checks
// for idle time and liveness, or returns nil. It closes the connections that fail the checks. avoided reports whether
// one was left out because it had carried the ID.
func (p *connPool) take(now time.Time, limit time.Duration, id idHash) (c *serverConn, avoided bool) {
	for {
		c, left := p.pop(id)
		avoided = avoided || left
		if c == nil {
			return nil, avoided
		}
		if now.Sub(c.idleSince) > min(limit, c.keepAlive) {
			p.closeConn(c, CloseIdle)
			continue
		}
		if c.alive() {
			return c, avoided
		}
		p.closeConn(c, CloseStale)
	}
}

// pop removes and returns the most recently used connection that has not carried the ID, or returns nil. avoided
// reports whether one that was used later was left out.
func (p *connPool) pop(id idHash) (c *serverConn, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.conns) {
		if !c.hasCarried(id) {
			p.conns = slices.Delete(p.conns, i, i+1)
			return c, avoided
		}
		avoided = true
	}
	return nil, avoided
}

// put returns a connection to the pool. It closes the connection if the pool was
// invalidated since the dial or is full.
func (p *connPool) put(now time.Time, c *serverConn) {
	c.idleSince, c.reused = now, true
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.generation != p.generation:
		p.closeConn(c, CloseInvalidated)
		return
	case len(p.conns) >= maxIdleConns:
		p.closeConn(c, CloseSurplus)
		return
	}
	p.conns = append(p.conns, c)
}

// invalidate closes all idle connections and prevents those in use from returning to
// the pool.
func (p *connPool) invalidate() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.generation++
	p.mu.Unlock()
	for _, c := range conns {
		p.closeConn(c, CloseInvalidated)
	}
}

// expire closes connections that were idle for longer than their keepAlive.
func (p *connPool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.conns[:0]
	for _, c := range p.conns {
		if now.Sub(c.idleSince) > c.keepAlive {
			p.closeConn(c, CloseIdle)
			continue
		}
		kept = append(kept, c)
	}
	p.conns = kept
}

// alive reports whether an idle connection is open and has no unread data. Unsolicited
// data makes it unusable, because it would be taken for the response to the next
// request.
func (c *serverConn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// closeOnDone closes the connection when the context ends, so that an exchange never
// exceeds its deadline and the server notices a cancelled request. stop prevents the
// close and returns false if the context ended before.
func (c *serverConn) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.Close() })
}
