// Package backend exchanges HTTP requests with backend servers. Unlike a
// general HTTP client it never repeats an exchange by itself, and it reports
// for each failure whether the server can have run the request.
package backend

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// The keeping of idle connections.
const (
	// idleLimit is how long an idle connection is kept.
	idleLimit = 15 * time.Second
	// safeIdle is how long a connection may have been idle to carry a request
	// that must not be repeated.
	safeIdle = time.Second
	// maxIdle bounds the idle connections to one server.
	maxIdle = 64
	// bufferSize is the size of each connection's read and write buffers.
	bufferSize = 8 << 10
)

// serverConn is one connection to a server.
type serverConn struct {
	net.Conn
	br         *bufio.Reader
	bw         *bufio.Writer
	idleSince  time.Time
	generation uint64
	used       bool
	// keep is how long the server leaves the connection open while it is idle.
	keep time.Duration
	// spoiled connections carried an answer to another request.
	spoiled bool
}

// keepMargin is how much sooner than the server a connection is given up, so
// that no request meets the server's close.
const keepMargin = time.Second

// keepTime reads how long the server keeps an idle connection.
func keepTime(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return min(idleLimit, time.Duration(n)*time.Second-keepMargin)
		}
	}
	return idleLimit
}

// idleSet is the idle connections to one address, the latest used last.
type idleSet struct {
	mu         sync.Mutex
	conns      []*serverConn
	generation uint64
	// closed is told of each connection that the set closes.
	closed func(CloseReason)
}

func (s *idleSet) shut(c *serverConn, end CloseReason) {
	c.Close()
	s.closed(end)
}

// CloseReason is why a connection to a server was closed.
type CloseReason string

// The ends of connections.
const (
	// CloseByServer is a server that said it would close.
	CloseByServer CloseReason = "server"
	// CloseBroken is an exchange that broke on the connection.
	CloseBroken CloseReason = "broken"
	// CloseTimeout is an exchange without an answer in its time.
	CloseTimeout CloseReason = "timeout"
	// CloseCancelled is an exchange that nobody waited for any longer.
	CloseCancelled CloseReason = "cancelled"
	// CloseMismatched is a connection that carried an answer to another request.
	CloseMismatched CloseReason = "spoiled"
	// CloseIdle is a connection that was idle for too long.
	CloseIdle CloseReason = "idle"
	// CloseStale is an idle connection that the server closed or wrote to.
	CloseStale CloseReason = "stale"
	// CloseSurplus is an idle connection beyond those that are kept.
	CloseSurplus CloseReason = "surplus"
	// CloseInvalidated is a connection to an address that is no longer a server's.
	CloseInvalidated CloseReason = "givenUp"
)

// take returns an idle connection that looks alive, or nil.
func (s *idleSet) take(now time.Time, limit time.Duration) *serverConn {
	for {
		c := s.pop()
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) > min(limit, c.keep) {
			s.shut(c, CloseIdle)
			continue
		}
		if c.alive() {
			return c
		}
		s.shut(c, CloseStale)
	}
}

func (s *idleSet) pop() *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.conns) - 1
	if last < 0 {
		return nil
	}
	c := s.conns[last]
	s.conns[last] = nil
	s.conns = s.conns[:last]
	return c
}

// put keeps a connection for later, unless it belongs to a generation that was
// given up or there are enough.
func (s *idleSet) put(now time.Time, c *serverConn) {
	c.idleSince, c.used = now, true
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.generation != s.generation:
		s.shut(c, CloseInvalidated)
		return
	case len(s.conns) >= maxIdle:
		s.shut(c, CloseSurplus)
		return
	}
	s.conns = append(s.conns, c)
}

// giveUp closes all idle connections and keeps those in use from coming back.
func (s *idleSet) giveUp() {
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.generation++
	s.mu.Unlock()
	for _, c := range conns {
		s.shut(c, CloseInvalidated)
	}
}

// expire closes connections that were idle for too long.
func (s *idleSet) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.conns[:0]
	for _, c := range s.conns {
		if now.Sub(c.idleSince) > c.keep {
			s.shut(c, CloseIdle)
			continue
		}
		kept = append(kept, c)
	}
	s.conns = kept
}

// alive reports whether an idle connection is still open and silent. Bytes that
// nobody asked for make it unusable, as they would become the answer to the
// next request.
func (c *serverConn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
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

// watch closes the connection when the context ends, so that an exchange never
// outlives its deadline and a cancelled request is cancelled at the server.
func (c *serverConn) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.Close() })
}
