// Package silentconn opens TCP connections that tests can make silent: they stay open, but
// nothing that the peer sends arrives any more.
package silentconn

import (
	"context"
	"net"
	"sync/atomic"
)

// Dialer opens connections. The zero value is ready for use. It is safe for concurrent use.
type Dialer struct {
	// silences is the number of calls of Silence.
	silences atomic.Int64
}

// Dial opens a connection to an IP address and port.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{c, d, d.silences.Load()}, nil
}

// Silence makes all connections silent that were opened before.
func (d *Dialer) Silence() {
	d.silences.Add(1)
}

// conn loses what it receives once Silence was called after its dial.
type conn struct {
	net.Conn
	dialer *Dialer
	// openedAt is the number of calls of Silence before the dial.
	openedAt int64
}

// Read receives bytes, or discards them until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.dialer.silences.Load() == c.openedAt {
			return n, err
		}
	}
}
