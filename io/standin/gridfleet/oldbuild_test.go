package gridfleet

import (
	"context"
	"net"
	"testing"
	"time"

	"bilberrymux/io/news"
)

// TestPeersOfOlderBuildGetWhatTheyCanRead guards against a rolling update in which daemons of the previous build, which
// know no packed data, get nothing from those of this one.
func TestPeersOfOlderBuildGetWhatTheyCanRead(t *testing.T) {
	f, _ := start(t, Options{})
	peer := news.New(news.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, unpacks := range []bool{false, true} {
		s, err := peer.Fetch(ctx, f.Daemons[0].Edge.PeerAddress(), &news.StateRequest{Unpacks: unpacks})
		if err != nil {
			t.Fatal(err)
		}
		data := &news.Payload{Config: s.Config, Changes: s.Changes}
		if unpacks {
			if data, err = news.Unpack(s.Packed); err != nil {
				t.Fatal(err)
			}
		}
		if len(data.Config) == 0 || data.Changes == nil || len(data.Changes.Servers) != 4 {
			t.Errorf("unpacks %v: got %d bytes of configuration and changes %+v, want the configuration and 4 servers", unpacks, len(data.Config), data.Changes)
		}
		if !unpacks && len(s.Packed) > 0 {
			t.Error("a peer that can't read packed data got some")
		}
	}
}
