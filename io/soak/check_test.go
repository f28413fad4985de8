package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time that many seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// successfulRequest returns a non-idempotent request that was answered correctly.
func successfulRequest(id string) Request {
	return Request{ID: id, Daemon: "d", NonIdempotent: true, Begun: at(1), Ended: at(1.1), Status: 200, IDMatches: true, Complete: true, Signed: true}
}

// TestCheckReportsEachBrokenPromise checks histories that break one promise each, and expects
// exactly this promise to be reported. It guards against a check that never fails.
func TestCheckReportsEachBrokenPromise(t *testing.T) {
	historyWith := func(change func(r *Request)) History {
		r := successfulRequest("r")
		change(&r)
		return History{Requests: []Request{r}, Executions: []Execution{{"r", "s", at(1)}}}
	}
	manyRepeats := History{}
	for n := range 60 {
		id := fmt.Sprint(n)
		manyRepeats.Arrivals = append(manyRepeats.Arrivals, Arrival{id, "s", "s-1", at(1)}, Arrival{id, "s", "s-2", at(1.1)})
	}
	requestAt := func(id string, begun float64) Request {
		r := successfulRequest(id)
		r.Begun, r.Ended = at(begun), at(begun+0.1)
		return r
	}
	leavingIgnored := History{
		Requests: []Request{requestAt("r", 1), requestAt("q", 3.2)}, Statements: []Statement{{ID: "r", Server: "s", At: at(1), Leaving: true}},
		Arrivals: []Arrival{{"r", "v", "s", at(1)}, {"q", "v", "s", at(3.2)}},
	}
	pauseIgnored := History{Statements: []Statement{{ID: "r", Server: "s", At: at(1), Pause: time.Second}}}
	for n, id := range []string{"r", "q", "p", "o"} {
		pauseIgnored.Requests = append(pauseIgnored.Requests, requestAt(id, 1+0.55*float64(min(n, 1))))
		pauseIgnored.Arrivals = append(pauseIgnored.Arrivals, Arrival{id, "v", "s", at(1 + 0.55*float64(min(n, 1)))})
	}
	for want, h := range map[Promise]History{
		OwnCompleteResponse:  historyWith(func(r *Request) { r.Complete = false }),
		NotExecutedIsTrue:    historyWith(func(r *Request) { r.Status = 503 }),
		GracefulStop:         historyWith(func(r *Request) { r.Status, r.StopRequestedAt, r.Ended = 0, at(0.5), at(1.2) }),
		AtMostOnce:           {Requests: []Request{successfulRequest("r")}, Executions: []Execution{{"r", "s", at(1)}, {"r", "t", at(1)}}},
		NoWorkAfterDrain:     {Requests: []Request{successfulRequest("r")}, Drains: []Drain{{Server: "s", At: at(0)}}, Executions: []Execution{{"r", "s", at(2.1)}}},
		VersionMonotonic:     {ObservedVersions: []ObservedVersion{{"d", 1, 6, at(1)}, {"d", 1, 3, at(2)}}},
		VersionAppliedInTime: {AcceptedVersions: []AcceptedVersion{{6, at(0)}}, ObservedVersions: []ObservedVersion{{"d", 1, 3, at(-1)}, {"d", 1, 3, at(2.1)}}},
		ExtraAttemptBudget:   manyRepeats,
		NothingAfterLeaving:  leavingIgnored,
		NothingInPause:       pauseIgnored,
		ServiceRecovers:      {FaultsEnded: at(0), Requests: []Request{{ID: "r", Begun: at(16), Status: 502}}},
	} {
		got := map[Promise]bool{}
		for _, v := range Check(&h, DocumentedBounds) {
			got[v.Promise] = true
		}
		if diff := cmp.Diff(map[Promise]bool{want: true}, got); diff != "" {
			t.Errorf("history that breaks only %q: reported promises differ (-want +got):\n%s", want, diff)
		}
	}
}

// TestCheckAcceptsValidHistory checks a history in which every suspicious observation is permitted:
// a refusal of a request that was not executed, an execution within the drain delay, a response that
// was lost or a version that was missed while the daemon was impaired, and a version that starts
// again after a restart.
func TestCheckAcceptsValidHistory(t *testing.T) {
	var fewRepeats []Arrival
	for n := range 56 {
		id := fmt.Sprint(n)
		fewRepeats = append(fewRepeats, Arrival{id, "s", "s-1", at(1)}, Arrival{id, "s", "s-2", at(1.1)}, Arrival{id, "t", "t-1", at(1)})
	}
	h := History{
		Requests: []Request{
			successfulRequest("r"),
			{ID: "q", Status: 503, NonIdempotent: true},
			{ID: "p", Daemon: "h", Begun: at(1), Ended: at(2), StopRequestedAt: at(0)},
			{ID: "o", Daemon: "h", Begun: at(4), Ended: at(5), Status: 502},
		},
		Executions:       []Execution{{"r", "s", at(1)}, {"p", "s", at(1)}, {"o", "s", at(4)}},
		Drains:           []Drain{{Server: "s", At: at(0)}},
		AcceptedVersions: []AcceptedVersion{{6, at(1)}},
		ObservedVersions: []ObservedVersion{{"d", 1, 3, at(1)}, {"d", 1, 6, at(2)}, {"d", 2, 0, at(3)}, {"h", 1, 3, at(1)}, {"h", 1, 3, at(4)}},
		Arrivals:         fewRepeats,
		Impairments:      map[string][]Span{"h": {{at(1.5), at(3)}}},
		FaultsEnded:      at(0),
	}
	if v := Check(&h, DocumentedBounds); v != nil {
		t.Errorf("expected no violations, got %v", v)
	}
}
