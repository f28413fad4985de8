package refresh

import (
	"testing"
	"time"
)

func TestPeersThatStayBehindAreSentData(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		age  time.Duration
		rank int
		// after is the time since data was last sent to the peer.
		after time.Duration
		want  bool
	}{
		{"data that spreads still", catchUpDelay - 1, 0, time.Hour, false},
		{"peer is behind", catchUpDelay, 0, time.Hour, true},
		{"second helper", catchUpDelay, 1, time.Hour, true},
		{"not a helper", catchUpDelay, 2, time.Hour, false},
		{"again too soon", catchUpDelay, 0, catchUpPeriod - 1, false},
		{"again", catchUpDelay, 0, catchUpPeriod, true},
	} {
		c := NewCatchUp()
		c.Due(start, "peer", time.Hour, 0)
		if got := c.Due(start.Add(test.after), "peer", test.age, test.rank); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if !c.Due(start.Add(test.after), "other", catchUpDelay, 0) {
			t.Errorf("%s: nothing is sent to another peer", test.name)
		}
	}
}
