package news

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcwire"
)

const (
	// endlessFetches is the number of fetches at a time, as many as a daemon makes.
	endlessFetches = 6
	// maxFetchBytes is what one fetch may hold: the library's limit of 4 MiB for a message, in a buffer that has
	// just grown and the one before.
	maxFetchBytes = 3 * (4 << 20)
)

// servePeerEndlessly writes frames of a message that never ends to each connection, until it is closed.
func servePeerEndlessly(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, 32<<10), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage,
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				w := bufio.NewWriter(c)
				for {
					if _, err := w.Write(frame); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessPeersTakeBoundedMemory guards against a daemon that holds all that a faulty peer writes.
func TestEndlessPeersTakeBoundedMemory(t *testing.T) {
	address, peer := servePeerEndlessly(t), newTestPeer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var fetches conc.WaitGroup
	for range endlessFetches {
		fetches.Go(func() {
			if s, err := peer.transport.Fetch(ctx, address, &StateRequest{}); err == nil {
				t.Errorf("got %+v, want an error", s)
			}
		})
	}
	var peak uint64
	for ended := false; !ended; {
		select {
		case <-ctx.Done():
			ended = true
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&after)
			peak = max(peak, after.HeapAlloc)
		}
	}
	fetches.Wait()
	if held := int64(peak) - int64(before.HeapAlloc); held > endlessFetches*maxFetchBytes {
		t.Errorf("%d fetches from endless peers held %d bytes, want at most %d", endlessFetches, held, endlessFetches*maxFetchBytes)
	}
}
