// Package peer carries calls between the daemons of a fleet over drpc.
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

// The keeping of connections between daemons.
const (
	// idleExpiration is how long an unused connection is kept.
	idleExpiration = 30 * time.Second
	// idlePerPeer bounds the idle connections to one peer.
	idlePerPeer = 16
	// maxMessage bounds one message.
	maxMessage = 16 << 20
)

// Client calls peers by address. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// Sent and Received count bytes of control traffic and forwards.
	bytes *Traffic
}

// NewClient returns a client that opens connections by dial and counts their
// bytes in traffic, which may be nil.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error), traffic *Traffic) *Client {
	return &Client{
		dial:  dial,
		bytes: traffic,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idlePerPeer,
		}),
	}
}

// DialError marks a call that reached no peer, so that nothing was run.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("peer: dial: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Peer returns the calls of the daemon at an address.
func (c *Client) Peer(ctx context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address, c.open))
}

func (c *Client) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, &DialError{err}
	}
	return drpcconn.NewWithOptions(c.bytes.count(conn), drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		SoftCancel: true,
	}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}
