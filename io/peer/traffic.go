package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections between daemons. It is safe for concurrent use. A nil *Traffic
// counts nothing.
type Traffic struct {
	// Sent and Received are the bytes written to and read from all connections.
	Sent     atomic.Int64
	Received atomic.Int64
}

// wrapConn returns a connection that adds its bytes to t.
func (t *Traffic) wrapConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countingConn{c, t}
}

// countingConn adds the bytes read from and written to a connection to a Traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
