package backendserver

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// trackingListener remembers the connections of a server, so that faults can
// reach them.
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

// trackedConn is a connection that can go silent.
type trackedConn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read swallows what comes in on a silent connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to send on a silent connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// ReadFrom keeps the silent state in force for copied bodies.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// abort resets the connection, as the death of its process does.
func (c *trackedConn) abort() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// SyscallConn gives access to the socket.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
