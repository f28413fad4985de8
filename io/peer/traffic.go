package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections between daemons. The nil *Traffic
// counts nothing.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

func (t *Traffic) count(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{c, t}
}

// countedConn adds what passes it to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
