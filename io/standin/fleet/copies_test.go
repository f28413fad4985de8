package fleet_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/refusal"
	"bilberrymux/io/front"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
)

// runsOf returns the number of runs of a test id at all servers.
func runsOf(f *fleet.Fleet, id string) int {
	runs := 0
	for _, s := range f.Servers["orders"] {
		runs += s.Runs()[id]
	}
	return runs
}

// checkOwnAnswer checks that a response to the order with the given id is that of a server to it, or a refusal that is
// true.
func checkOwnAnswer(t *testing.T, f *fleet.Fleet, id string, resp *fasthttp.Response) {
	t.Helper()
	runs := runsOf(f, id)
	if runs > 1 {
		t.Errorf("%s ran %d times, want at most once", id, runs)
	}
	if len(resp.Header.Peek(front.RefusalHeader)) > 0 {
		if r := decodeRefusal(t, resp); r.Outcome == refusal.NotRun && runs > 0 {
			t.Errorf("%s was refused as not run, and ran", id)
		}
		return
	}
	if got := string(resp.Header.Peek(backendserver.TestIDHeader)); got != id {
		t.Errorf("%s: got status %d and the response to %q", id, resp.StatusCode(), got)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return
	}
	var got backendserver.Reply
	if err := json.Unmarshal(resp.Body(), &got); err != nil || got.TestID != id {
		t.Errorf("%s: got the answer to %q", id, got.TestID)
	}
}

// TestRepeatedResponsesAreNotTakenForNextOnes guards against answers of other callers, second runs and false promises
// for orders whose connection carries a response too many.
func TestRepeatedResponsesAreNotTakenForNextOnes(t *testing.T) {
	for _, anonymous := range []bool{false, true} {
		t.Run(fmt.Sprintf("serversNameNoAttempts=%v", anonymous), func(t *testing.T) { testRepeatedResponses(t, anonymous) })
	}
}

func testRepeatedResponses(t *testing.T, anonymous bool) {
	o := options(1)
	// The servers shed at times, so that refusals are repeated as well.
	o.Services[0].Slots, o.Services[0].Config.FloorSlots = 2, 4
	f := start(t, o)
	for _, s := range f.Servers["orders"] {
		s.SetFaults(backendserver.Faults{RepeatResponses: true, NoAttemptIDs: anonymous})
	}
	address := f.Entries()[0]
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("order-%d-%d", n, i)
				checkOwnAnswer(t, f, id, send(t, address, call{"POST", "/orders", "an order", map[string]string{backendserver.TestIDHeader: id}}))
			}
		})
	}
	wg.Wait()
	var repeated int64
	for _, s := range f.Servers["orders"] {
		repeated += s.Repeated()
	}
	if repeated == 0 && !anonymous {
		t.Error("no response was repeated")
	}
	t.Logf("%d responses were repeated, %d connections opened", repeated, f.Daemons[0].Counter("connections.opened"))
}

// TestRepeatedRefusalIsNotTakenForNextAnswer guards against false promises for orders that follow a refused one on its
// connection.
func TestRepeatedRefusalIsNotTakenForNextAnswer(t *testing.T) {
	f := start(t, options(1))
	address := f.Entries()[0]
	setFaults := func(faults backendserver.Faults) {
		for _, s := range f.Servers["orders"] {
			s.SetFaults(faults)
		}
	}
	for n := range 20 {
		setFaults(backendserver.Faults{ShedAll: true})
		id := fmt.Sprintf("refused-%d", n)
		checkOwnAnswer(t, f, id, send(t, address, call{"POST", "/orders", "an order", map[string]string{backendserver.TestIDHeader: id}}))
		setFaults(backendserver.Faults{RepeatResponses: true})
		id = fmt.Sprintf("next-%d", n)
		checkOwnAnswer(t, f, id, send(t, address, call{"POST", "/orders", "an order", map[string]string{backendserver.TestIDHeader: id}}))
	}
}
