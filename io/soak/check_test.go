package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func good(id string) Request {
	return Request{ID: id, Daemon: "d", NonIdempotent: true, Begun: at(1), Ended: at(1.1), Status: 200, IDMatches: true, Complete: true, Signed: true}
}

// TestEveryCheckFailsOnABrokenHistory breaks one promise at a time.
func TestEveryCheckFailsOnABrokenHistory(t *testing.T) {
	spoil := func(change func(s *Request)) History {
		s := good("r")
		change(&s)
		return History{Requests: []Request{s}, Executions: []Execution{{"r", "s", at(1)}}}
	}
	manyExtra := History{}
	for n := range 60 {
		id := fmt.Sprint(n)
		manyExtra.Executions = append(manyExtra.Executions, Execution{id, "s", at(1)}, Execution{id, "t", at(1.1)})
	}
	for want, h := range map[Promise]History{
		OwnCompleteResponse:  spoil(func(s *Request) { s.Complete = false }),
		NotExecutedIsTrue:    spoil(func(s *Request) { s.Status = 503 }),
		GracefulStop:         spoil(func(s *Request) { s.Status, s.StopRequestedAt, s.Ended = 0, at(0.5), at(1.2) }),
		AtMostOnce:           {Requests: []Request{good("r")}, Executions: []Execution{{"r", "s", at(1)}, {"r", "t", at(1)}}},
		NoWorkAfterDrain:     {Requests: []Request{good("r")}, Drains: []Drain{{Server: "s", At: at(0)}}, Executions: []Execution{{"r", "s", at(2.1)}}},
		VersionMonotonic:     {ObservedVersions: []ObservedVersion{{"d", 1, 6, at(1)}, {"d", 1, 3, at(2)}}},
		VersionAppliedInTime: {AcceptedVersions: []AcceptedVersion{{6, at(0)}}, ObservedVersions: []ObservedVersion{{"d", 1, 3, at(-1)}, {"d", 1, 3, at(2.1)}}},
		RetryBudget:          manyExtra,
		ServiceRecovers:      {FaultsEnded: at(0), Requests: []Request{{ID: "r", Begun: at(16), Status: 502}}},
	} {
		got := map[Promise]bool{}
		for _, v := range Check(&h, DocumentedBounds) {
			got[v.Promise] = true
		}
		if diff := cmp.Diff(map[Promise]bool{want: true}, got); diff != "" {
			t.Errorf("%s: %s", want, diff)
		}
	}
}

func TestSoundHistoryBreaksNothing(t *testing.T) {
	h := History{
		Requests: []Request{
			good("r"),
			{ID: "q", Status: 503, NonIdempotent: true},
			{ID: "p", Daemon: "h", Begun: at(1), Ended: at(2), StopRequestedAt: at(0)},
			{ID: "o", Daemon: "h", Begun: at(4), Ended: at(5), Status: 502},
		},
		Executions:       []Execution{{"r", "s", at(1)}, {"p", "s", at(1)}, {"o", "s", at(4)}},
		Drains:           []Drain{{Server: "s", At: at(0)}},
		AcceptedVersions: []AcceptedVersion{{6, at(1)}},
		ObservedVersions: []ObservedVersion{{"d", 1, 3, at(1)}, {"d", 1, 6, at(2)}, {"d", 2, 0, at(3)}, {"h", 1, 3, at(1)}, {"h", 1, 3, at(4)}},
		Impairments:      map[string][]Span{"h": {{at(1.5), at(3)}}},
		FaultsEnded:      at(0),
	}
	if v := Check(&h, DocumentedBounds); v != nil {
		t.Errorf("%v", v)
	}
}
