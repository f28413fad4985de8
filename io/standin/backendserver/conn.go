package backendserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"
)

// trackingListener registers each accepted connection with its server, so that faults can be
// applied to open connections.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	l.server.conns[t] = struct{}{}
	l.server.mu.Unlock()
	return t, nil
}

// trackedConn is a registered connection that can be turned into a black hole: it stays open, but
// discards all data in both directions.
type trackedConn struct {
	net.Conn
	server     *Server
	blackholed atomic.Bool
	// previous is the last response of the connection. Only the handler of its requests uses it.
	previous []byte
}

// Read implements net.Conn. On a blackholed connection it discards incoming data and returns only
// when the connection fails or is closed.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a blackholed connection it discards the data and reports success.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom. It copies through Write instead of the TCP connection's own
// ReadFrom, so that a connection can be blackholed in the middle of a body.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// repeatPrevious writes the previous response, if there was one, and counts it.
func (c *trackedConn) repeatPrevious() {
	if c.previous == nil {
		return
	}
	c.server.repeated.Add(1)
	_, _ = c.Write(c.previous) // a client that has left needs no copy
}

// remember keeps the response that is about to be written.
func (c *trackedConn) remember(resp *fasthttp.Response) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	if resp.Write(w) == nil && w.Flush() == nil {
		c.previous = out.Bytes()
	}
}

// Close implements net.Conn. It also removes the connection from its server.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the connection with a TCP reset, as when the server process crashes.
func (c *trackedConn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
