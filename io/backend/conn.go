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
	// maxExchanges is the maximum number of exchanges of one connection, which bounds the memory for their IDs.
	maxExchanges = 1024
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

// begin records the exchange of a request, which the connection must not have carried before.
func (c *serverConn) begin(id idHash) {
	c.carried = append(c.carried, id)
}

// reused reports whether the connection has carried an exchange before the current one.
func (c *serverConn) reused() bool {
	return len(c.carried) > 1
}

// hasCarried reports whether the connection has carried a request with the ID.
func (c *serverConn) hasCarried(id idHash) bool {
	return slices.Contains(c.carried, id)
}

// reusable reports whether the connection may carry a further exchange: each response so far named its request and
// no other.
func (c *serverConn) reusable() bool {
	return !c.mismatched && !c.anonymous && len(c.carried) < maxExchanges
}

// retireReason returns the reason for closing a connection that is not reusable.
func (c *serverConn) retireReason() CloseReason {
	switch {
	case c.mismatched:
		return CloseMismatched
	case c.anonymous:
		return CloseAnonymous
	}
	return CloseUsedUp
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
