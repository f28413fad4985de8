package news

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// maxDatagramBytes is the size of the receive buffer. The rest of a larger datagram is
// dropped.
const maxDatagramBytes = 16 << 10

// Options are the dependencies of a Transport. Every function must be set.
type Options struct {
	// Datagrams is the UDP socket for messages.
	Datagrams net.PacketConn
	// Dial opens a TCP connection to a peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnMessage is called for each received message, one call at a time.
	OnMessage func(m *Message)
	// StateFor returns the state that answers a peer's request, and a function that is called once the
	// connection of the reply is closed. It must be safe for concurrent use.
	StateFor func(r *StateRequest) (s *State, sent func())
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
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var conns conc.WaitGroup
	defer conns.Wait()
	for {
		conn, err := l.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("news: %w", err)
		}
		conns.Go(func() { t.serveConn(ctx, conn) })
	}
}

// serveConn answers the state requests on one connection until it is closed or the context ends.
func (t *Transport) serveConn(ctx context.Context, conn net.Conn) {
	s := &stateServer{stateFor: t.options.StateFor}
	defer s.finish()
	mux := drpcmux.New()
	if err := mux.Register(s, description{}); err != nil {
		panic(err)
	}
	// The error says how the peer closed the connection, which is its own affair.
	_ = drpcserver.New(mux).ServeOne(ctx, conn)
}
