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

// station is one end of the post in a test.
type station struct {
	post   *Transport
	socket net.PacketConn
	// address takes datagrams, calls takes calls.
	address, calls string
	heard          chan *Message

	mu     sync.Mutex
	counts map[string]int
}

func newStation(t *testing.T) *station {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The same number may be taken for TCP, so the calls have one of their own.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &station{socket: socket, address: socket.LocalAddr().String(), calls: listener.Addr().String(), heard: make(chan *Message, 9), counts: map[string]int{}}
	s.post = New(Options{
		Datagrams: socket,
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", a)
		},
		OnMessage: func(m *Message) { s.heard <- m },
		StateFor:  func(r *StateRequest) *State { return &State{Version: r.Version + 1, Config: []byte("new")} },
		Count: func(name string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counts[name]++
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(s.post.Receive)
	wg.Go(func() {
		if err := s.post.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		socket.Close()
		wg.Wait()
	})
	return s
}

func (s *station) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[name]
}

// TestDatagrams checks that a message arrives as it was sent, and that datagrams
// which are none do no harm.
func TestDatagrams(t *testing.T) {
	a, b := newStation(t), newStation(t)
	sent := &Message{
		From: zone.Member{VM: "a1", Zone: "a", PeerAddress: a.address, Ready: true}, Version: 7, Stamp: 9, Hello: true,
		Reports: []belief.Report{{ID: "s", Born: 1, Risk: 200, AgeMillis: 12}},
		Changes: &Changes{Base: 8, Stamp: 9, Servers: map[string][]byte{"s": []byte("{}")}, Removed: []string{"t"}},
	}
	for _, rubbish := range []string{"", "\xff\xff", "not a message"} {
		if _, err := a.socket.WriteTo([]byte(rubbish), b.socket.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	a.post.Send(sent, []string{"nowhere", b.address})
	select {
	case got := <-b.heard:
		if diff := cmp.Diff(sent, got); diff != "" {
			t.Error(diff)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no message came")
	}
	if n := b.count("news.undecodable"); n != 3 {
		t.Errorf("%d datagrams were refused, 3 were no messages", n)
	}
	if n := a.count("news.badAddress"); n != 1 {
		t.Errorf("%d bad addresses were counted", n)
	}
}

// TestFetch checks that a state comes from a peer, and an error from none.
func TestFetch(t *testing.T) {
	a, b := newStation(t), newStation(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got, err := a.post.Fetch(ctx, b.calls, &StateRequest{Version: 4})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&State{Version: 5, Config: []byte("new")}, got); diff != "" {
		t.Error(diff)
	}
	if _, err := a.post.Fetch(ctx, "127.0.0.1:1", &StateRequest{}); err == nil {
		t.Error("a state came from nowhere")
	}
}
