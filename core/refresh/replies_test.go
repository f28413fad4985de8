package refresh

import (
	"testing"
	"time"
)

func TestRepliesAtATimeFollowLink(t *testing.T) {
	for _, test := range []struct {
		linkMbps float64
		want     int
	}{{10, 1}, {30, 1}, {100, 5}, {200, 8}, {1000, 8}} {
		r, now, got := NewReplies(test.linkMbps), time.Unix(1000, 0), 0
		for range 2 * maxReplies {
			if _, ok := r.Begin(now); ok {
				got++
			}
		}
		if got != test.want {
			t.Errorf("replies at a time on a link of %v Mbit/s: got %d, want %d", test.linkMbps, got, test.want)
		}
	}
}

func TestPeersThatDoNotReadBlockOthersForLeaseOnly(t *testing.T) {
	r, now := NewReplies(10), time.Unix(1000, 0)
	number, ok := r.Begin(now)
	if !ok {
		t.Fatal("the first reply did not begin")
	}
	now = now.Add(replyLease)
	second, ok := r.Begin(now)
	if !ok {
		t.Fatal("a reply that does not end blocks others after its lease")
	}
	r.End(number)
	if _, ok := r.Begin(now); ok {
		t.Error("the late end of a reply made room for a second one")
	}
	r.End(second)
	if _, ok := r.Begin(now); !ok {
		t.Error("no reply begins although none is in progress")
	}
}
