package news

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// maxDatagramBytes is the size of the receive buffer. The rest of a larger datagram is
// dropped.
const maxDatagramBytes = 8 << 10

// Options are the dependencies of a Transport. Every function must be set.
type Options struct {
	// Datagrams is the UDP socket for messages.
	Datagrams net.PacketConn
	// Dial opens a TCP connection to a peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnMessage is called for each received message, one call at a time.
	OnMessage func(m *Message)
	// StateFor returns the state that answers a peer's request. It must be safe for
	// concurrent use.
	StateFor func(r *StateRequest) *State
	// Count increments the named counter.
	Count func(name string)
}

// Transport sends and receives messages and state requests. It is safe for concurrent
// use.
type Transport struct {
	options Options
}

// New returns a Transport. It receives nothing until Receive and Serve are called.
func New(o Options) *Transport {
	return &Transport{options: o}
}

// Send sends a message to each address. Datagrams that can't be sent are counted and
// dropped.
func (t *Transport) Send(m *Message, addresses []string) {
	body, err := cbor.Marshal(m)
	if err != nil {
		t.options.Count("news.unencodable")
		return
	}
	for _, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			t.options.Count("news.badAddress")
			continue
		}
		if _, err := t.options.Datagrams.WriteTo(body, net.UDPAddrFromAddrPort(to)); err != nil {
			t.options.Count("news.unsent")
			continue
		}
		t.options.Count("news.sent")
	}
}

// Receive passes received messages to Options.OnMessage until the socket is closed.
// Datagrams that can't be decoded are counted and dropped.
func (t *Transport) Receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.options.Datagrams.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.options.Count("news.unread")
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			t.options.Count("news.undecodable")
			continue
		}
		t.options.Count("news.received")
		t.options.OnMessage(&m)
	}
}

// stateMethod is the name of the drpc method that returns a State.
const stateMethod = "/news/State"

// Fetch sends a state request to the peer at an address and returns its reply.
func (t *Transport) Fetch(ctx context.Context, address string, r *StateRequest) (*State, error) {
	raw, err := t.options.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	var s State
	if err := conn.Invoke(ctx, stateMethod, cborEncoding{}, r, &s); err != nil {
		return nil, fmt.Errorf("news: %s: %w", address, err)
	}
	return &s, nil
}

// Serve answers state requests of peers until the context ends or the listener is
// closed.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(&stateServer{t.options.StateFor}, description{}); err != nil {
		return fmt.Errorf("news: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}
