// Package peer implements calls between the daemons of a fleet over DRPC.
package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"bilberrymux/io/peer/peerpb"
)

// Limits of the connections between daemons.
const (
	// idleConnExpiration is the time after which an idle connection is closed.
	idleConnExpiration = 30 * time.Second
	// maxIdleConnsPerPeer is the largest number of idle connections to one peer.
	maxIdleConnsPerPeer = 16
	// maxMessageBytes is the largest size of a received message in bytes.
	maxMessageBytes = 16 << 20
)

// Client calls peers by their address and reuses idle connections. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// traffic counts the bytes of control traffic and forwarded requests. It may be nil.
	traffic *Traffic
}

// NewClient returns a client that opens connections with dial and adds their bytes to traffic, which may
// be nil.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error), traffic *Traffic) *Client {
	return &Client{
		dial:    dial,
		traffic: traffic,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnExpiration,
			KeyCapacity: maxIdleConnsPerPeer,
		}),
	}
}

// DialError means that no connection to the peer could be opened, so that the call did not run.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("peer: dial: %v", e.Err) }

// Unwrap returns the error of the dial function.
func (e *DialError) Unwrap() error { return e.Err }

// Peer returns a client of the daemon at an address. Its calls open connections as needed and fail with
// a DialError if that is not possible.
func (c *Client) Peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address, c.openConn))
}

// openConn opens a connection for the pool.
func (c *Client) openConn(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, &DialError{err}
	}
	return drpcconn.NewWithOptions(c.traffic.wrapConn(conn), drpcconn.Options{Manager: managerOptions()}), nil
}

// managerOptions returns the settings of DRPC connections that clients and servers share. With
// SoftCancel, canceling a call does not close its connection if that can be avoided.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Close closes the pool with all its idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}
