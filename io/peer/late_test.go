package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
)

// TestRepliesMeetTheirOwnCalls guards against the reply to a call that its caller has given up, taken for that of the
// next call on the connection.
func TestRepliesMeetTheirOwnCalls(t *testing.T) {
	server, err := peer.NewServer(peer.Handlers{
		Forward: func(r *peerpb.ForwardRequest, s peerpb.DRPCPeer_ForwardStream) error {
			time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
			for range 3 {
				if err := s.Send(&peerpb.ForwardChunk{Detail: r.GetRequestId()}); err != nil {
					return err
				}
			}
			return nil
		},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx, l) })
	defer serving.Wait()
	defer cancel()
	var dials, replies, givenUp int
	var mu sync.Mutex
	client := peer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		dials++
		mu.Unlock()
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, nil)
	defer client.Close()
	call := func(id string, limit time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		stream, err := client.Peer(ctx, l.Addr().String()).Forward(ctx, &peerpb.ForwardRequest{RequestId: id})
		if err != nil {
			return
		}
		defer stream.Close()
		for range 3 {
			chunk, err := stream.Recv()
			mu.Lock()
			if err != nil {
				givenUp++
			} else if replies++; chunk.GetDetail() != id {
				t.Errorf("%s: got the reply to %s", id, chunk.GetDetail())
			}
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 300 {
				call(fmt.Sprintf("%d-%d", n, i), time.Duration(1+rand.IntN(6))*time.Millisecond)
			}
		})
	}
	wg.Wait()
	t.Logf("%d replies, %d calls given up, %d connections", replies, givenUp, dials)
	if replies == 0 || givenUp == 0 {
		t.Errorf("%d replies and %d calls given up, want some of both", replies, givenUp)
	}
}
