package news

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/belief"
	"bilberrymux/core/zone"
)

// testPeer is one daemon of a test. It records received messages and counters.
type testPeer struct {
	transport *Transport
	socket    net.PacketConn
	// address receives datagrams, callAddress accepts drpc calls.
	address, callAddress string
	received             chan *Message

	mu     sync.Mutex
	counts map[string]int
}

func newTestPeer(t *testing.T) *testPeer {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The port of the UDP socket may already be in use for TCP, so another one is taken.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{socket: socket, address: socket.LocalAddr().String(), callAddress: listener.Addr().String(), received: make(chan *Message, 9), counts: map[string]int{}}
	p.transport = New(Options{
		Datagrams: socket,
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", a)
		},
		OnMessage: func(m *Message) { p.received <- m },
		StateFor: func(r *StateRequest) (*State, func()) {
			return &State{Version: r.Version + 1, Config: []byte("new")}, func() {}
		},
		Count: func(name string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.counts[name]++
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(p.transport.Receive)
	wg.Go(func() {
		if err := p.transport.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		socket.Close()
		wg.Wait()
	})
	return p
}

func (p *testPeer) count(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[name]
}

// TestDatagrams checks that a message is received as it was sent, and that datagrams
// that can't be decoded and addresses that can't be parsed are only counted.
func TestDatagrams(t *testing.T) {
	a, b := newTestPeer(t), newTestPeer(t)
	sent := &Message{
		From: zone.Member{VM: "a1", Zone: "a", PeerAddress: a.address, Ready: true}, Version: 7, Revision: 9, Hello: true,
		Reports: []belief.Report{{ID: "s", StartMillis: 1, Risk: 200, AgeMillis: 12}},
		Changes: &Changes{BaseRevision: 8, Revision: 9, Servers: map[string][]byte{"s": []byte("{}")}, Removed: []string{"t"}},
	}
	for _, invalid := range []string{"", "\xff\xff", "not a message"} {
		if _, err := a.socket.WriteTo([]byte(invalid), b.socket.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	a.transport.Send(sent, []string{"nowhere", b.address})
	select {
	case got := <-b.received:
		if diff := cmp.Diff(sent, got); diff != "" {
			t.Error(diff)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no message was received within 20s")
	}
	if n := b.count("news.undecodable"); n != 3 {
		t.Errorf("undecodable datagrams counted: got %d, want 3", n)
	}
	if n := a.count("news.badAddress"); n != 1 {
		t.Errorf("bad addresses counted: got %d, want 1", n)
	}
}

// TestFetch checks that Fetch returns the state of a peer, and an error if no peer
// listens at the address.
func TestFetch(t *testing.T) {
	a, b := newTestPeer(t), newTestPeer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got, err := a.transport.Fetch(ctx, b.callAddress, &StateRequest{Version: 4})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&State{Version: 5, Config: []byte("new")}, got); diff != "" {
		t.Error(diff)
	}
	if _, err := a.transport.Fetch(ctx, "127.0.0.1:1", &StateRequest{}); err == nil {
		t.Error("Fetch from an address without a listener: got no error")
	}
}
