package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func good(id string) Send {
	return Send{ID: id, Daemon: "d", Once: true, Begun: at(1), Ended: at(1.1), Status: 200, Own: true, Whole: true, Signed: true}
}

// TestEveryCheckFailsOnABrokenHistory breaks one promise at a time.
func TestEveryCheckFailsOnABrokenHistory(t *testing.T) {
	spoil := func(change func(s *Send)) History {
		s := good("r")
		change(&s)
		return History{Sends: []Send{s}, Runs: []Run{{"r", "s", at(1)}}}
	}
	manyExtra := History{}
	for n := range 60 {
		id := fmt.Sprint(n)
		manyExtra.Runs = append(manyExtra.Runs, Run{id, "s", at(1)}, Run{id, "t", at(1.1)})
	}
	for want, h := range map[Promise]History{
		OwnAnswer:   spoil(func(s *Send) { s.Whole = false }),
		TrueNotRun:  spoil(func(s *Send) { s.Status = 503 }),
		StopCutsNo:  spoil(func(s *Send) { s.Status, s.DaemonStops, s.Ended = 0, at(0.5), at(1.2) }),
		AtMostOnce:  {Sends: []Send{good("r")}, Runs: []Run{{"r", "s", at(1)}, {"r", "t", at(1)}}},
		LeavingIdle: {Sends: []Send{good("r")}, Leaves: []Leave{{Server: "s", At: at(0)}}, Runs: []Run{{"r", "s", at(2.1)}}},
		NeverBack:   {Versions: []VersionSeen{{"d", 1, 6, at(1)}, {"d", 1, 3, at(2)}}},
		InForce:     {Configured: []Configured{{6, at(0)}}, Versions: []VersionSeen{{"d", 1, 3, at(-1)}, {"d", 1, 3, at(2.1)}}},
		Budget:      manyExtra,
		Recovers:    {Healed: at(0), Sends: []Send{{ID: "r", Begun: at(16), Status: 502}}},
	} {
		got := map[Promise]bool{}
		for _, v := range Check(&h, PageBounds) {
			got[v.Promise] = true
		}
		if diff := cmp.Diff(map[Promise]bool{want: true}, got); diff != "" {
			t.Errorf("%s: %s", want, diff)
		}
	}
}

func TestSoundHistoryBreaksNothing(t *testing.T) {
	h := History{
		Sends: []Send{
			good("r"),
			{ID: "q", Status: 503, Once: true},
			{ID: "p", Daemon: "h", Begun: at(1), Ended: at(2), DaemonStops: at(0)},
			{ID: "o", Daemon: "h", Begun: at(4), Ended: at(5), Status: 502},
		},
		Runs:       []Run{{"r", "s", at(1)}, {"p", "s", at(1)}, {"o", "s", at(4)}},
		Leaves:     []Leave{{Server: "s", At: at(0)}},
		Configured: []Configured{{6, at(1)}},
		Versions:   []VersionSeen{{"d", 1, 3, at(1)}, {"d", 1, 6, at(2)}, {"d", 2, 0, at(3)}, {"h", 1, 3, at(1)}, {"h", 1, 3, at(4)}},
		Harms:      map[string][]Span{"h": {{at(1.5), at(3)}}},
		Healed:     at(0),
	}
	if v := Check(&h, PageBounds); v != nil {
		t.Errorf("%v", v)
	}
}
