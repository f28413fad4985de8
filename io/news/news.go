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

// maxDatagram bounds what is read from one datagram, in bytes.
const maxDatagram = 8 << 10

// Options are the dependencies of a Post. Every function must be set.
type Options struct {
	// Datagrams is the socket for messages.
	Datagrams net.PacketConn
	// Dial opens a connection to a peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnMessage is told of each message, one at a time.
	OnMessage func(m *Message)
	// StateFor returns what a peer lacks.
	StateFor func(r *StateRequest) *State
	// Count adds one to the counter of that name.
	Count func(name string)
}

// Transport sends and receives news. It is safe for concurrent use.
type Transport struct {
	options Options
}

// New returns a post that receives nothing before Receive.
func New(o Options) *Transport {
	return &Transport{options: o}
}

// Send sends a message to each address. A datagram that can't be sent is
// counted and lost.
func (p *Transport) Send(m *Message, addresses []string) {
	body, err := cbor.Marshal(m)
	if err != nil {
		p.options.Count("news.unencodable")
		return
	}
	for _, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			p.options.Count("news.badAddress")
			continue
		}
		if _, err := p.options.Datagrams.WriteTo(body, net.UDPAddrFromAddrPort(to)); err != nil {
			p.options.Count("news.unsent")
			continue
		}
		p.options.Count("news.sent")
	}
}

// Receive hands on messages until the socket is closed.
func (p *Transport) Receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.options.Datagrams.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.Count("news.unread")
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			p.options.Count("news.undecodable")
			continue
		}
		p.options.Count("news.received")
		p.options.OnMessage(&m)
	}
}

// stateCall names the call that returns a state.
const stateCall = "/news/State"

// Fetch asks a peer for what this daemon lacks.
func (p *Transport) Fetch(ctx context.Context, address string, r *StateRequest) (*State, error) {
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	var s State
	if err := conn.Invoke(ctx, stateCall, encoding{}, r, &s); err != nil {
		return nil, fmt.Errorf("news: %s: %w", address, err)
	}
	return &s, nil
}

// Serve answers the calls of peers until the context ends or the listener is
// closed.
func (p *Transport) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(&server{p.options.StateFor}, description{}); err != nil {
		return fmt.Errorf("news: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}
