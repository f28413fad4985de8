package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
)

const page ident.Fingerprint = 7

// crashAt records a crash of a server that was running page.
func crashAt(q *Quarantine, now time.Time, service ident.ServiceID, server ident.ServerID) []Entry {
	return crashOf(q, now, Run{Service: service, Server: server, StartMillis: now.UnixMilli()})
}

// crashOf records a crash of a run that was running page.
func crashOf(q *Quarantine, now time.Time, run Run) []Entry {
	return q.RecordCrash(now, run, []ident.Fingerprint{page})
}

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// TestRequestIsQuarantinedWhateverItsServices guards against a request that crashes two servers of each service that its route
// moves to, or is split among.
func TestRequestIsQuarantinedWhateverItsServices(t *testing.T) {
	q := New()
	crashAt(q, start, "first", "1")
	if len(crashAt(q, start.Add(time.Second), "second", "1")) != 1 {
		t.Fatal("two crashes in two services: not quarantined")
	}
	for _, service := range []ident.ServiceID{"first", "second", "third"} {
		if q.Admit(start.Add(2*time.Second), service, page) {
			t.Errorf("service %s: the request was admitted", service)
		}
	}
	if !q.Admit(start.Add(2*time.Second), "first", page+1) {
		t.Error("another request was not admitted")
	}
}

// TestQuarantineOutlastsCrashes checks the time for which a request is kept off servers by the number of its crashes, and
// that it is tried by one request at a time afterwards.
func TestQuarantineOutlastsCrashes(t *testing.T) {
	q, now := New(), start
	crashAt(q, now, "s", "0")
	for n, want := range durations {
		now = now.Add(time.Second)
		// The server that crashed is back.
		if len(crashAt(q, now, "s", "1")) != 1 {
			t.Fatalf("crash %d: not quarantined", n+2)
		}
		if q.Admit(now.Add(want-time.Millisecond), "s", page) {
			t.Errorf("after %d crashes: admitted before %v", n+2, want)
		}
		now = now.Add(want)
		if !q.Admit(now, "s", page) {
			t.Errorf("after %d crashes: not admitted after %v", n+2, want)
		}
		if q.Admit(now.Add(trialInterval-time.Millisecond), "s", page) || q.Admit(now.Add(trialInterval-time.Millisecond), "other", page) {
			t.Errorf("after %d crashes: a second request was admitted beside the trial", n+2)
		}
		now = now.Add(trialInterval)
	}
}

// TestOneCrashIsReportedOnce guards against a quarantine, or a longer one, by several reports of one crash, which may come late:
// of a daemon that was frozen, or after the next crash.
func TestOneCrashIsReportedOnce(t *testing.T) {
	q := New()
	first, second := Run{"s", "1", 5}, Run{"s", "2", 5}
	for i := range 4 {
		if found := crashOf(q, start.Add(time.Duration(i)*3*time.Second), first); len(found) > 0 {
			t.Fatalf("report %d of a crash: got %+v, want nothing", i+1, found)
		}
	}
	found := crashOf(q, start.Add(10*time.Second), second)
	if len(found) != 1 {
		t.Fatal("crash of a second server: not quarantined")
	}
	peer := New()
	peer.Merge(start.Add(10*time.Second), found[0])
	for _, late := range []time.Duration{10 * time.Second, 11 * time.Second} {
		for _, run := range []Run{first, second} {
			if found := crashOf(q, start.Add(late), run); len(found) > 0 {
				t.Errorf("report of run %v after the quarantine: got %+v, want nothing", run, found)
			}
		}
		for _, run := range []Run{first, second} {
			if found := crashOf(peer, start.Add(late), run); len(found) > 0 {
				t.Errorf("report of run %v to a peer that has the entry: got %+v, want nothing", run, found)
			}
		}
	}
	if found := crashOf(q, start.Add(12*time.Second), Run{"s", "2", 6}); len(found) != 1 {
		t.Error("crash of the next run of a server: not counted")
	}
}

// TestAnswersClearRequests guards against a page in quarantine that servers answer, while two of them crashed by chance.
func TestAnswersClearRequests(t *testing.T) {
	t.Run("answered before", func(t *testing.T) {
		q := New()
		q.RecordCompletion(start, "s", page)
		crashAt(q, start.Add(time.Second), "s", "1")
		if found := crashAt(q, start.Add(5*time.Second), "s", "2"); len(found) > 0 {
			t.Errorf("got %+v, want no quarantine", found)
		}
	})
	t.Run("answered between", func(t *testing.T) {
		q := New()
		crashAt(q, start, "s", "1")
		q.RecordCompletion(start.Add(time.Second), "s", page)
		if found := crashAt(q, start.Add(completionTTL+2*time.Second), "s", "2"); len(found) > 0 {
			t.Errorf("got %+v, want no quarantine", found)
		}
	})
	t.Run("answered long ago", func(t *testing.T) {
		q := New()
		q.RecordCompletion(start, "s", page)
		crashAt(q, start.Add(completionTTL), "s", "1")
		if found := crashAt(q, start.Add(completionTTL), "s", "2"); len(found) != 1 {
			t.Error("not quarantined")
		}
	})
	t.Run("answered by another service", func(t *testing.T) {
		q := New()
		crashAt(q, start, "s", "1")
		q.RecordCompletion(start, "other", page)
		if found := crashAt(q, start, "s", "2"); len(found) != 1 {
			t.Error("not quarantined")
		}
	})
	t.Run("answered while quarantined", func(t *testing.T) {
		q := New()
		crashAt(q, start, "s", "1")
		crashAt(q, start, "s", "2")
		if _, lifted := q.RecordCompletion(start, "other", page); lifted || q.Admit(start, "other", page) {
			t.Error("lifted by the answer of a service whose servers did not crash")
		}
		after := start.Add(duration(2))
		if !q.Admit(after, "other", page) || !q.Admit(after, "other", page) {
			t.Error("a service that has answered was not admitted after the quarantine")
		}
		if e, lifted := q.RecordCompletion(start, "s", page); !lifted || !e.Released || !q.Admit(start, "s", page) {
			t.Errorf("not lifted by the answer of the service, entry %+v", e)
		}
	})
}

// TestNewestEntryWins checks that entries and releases spread whatever the order of their arrival.
func TestNewestEntryWins(t *testing.T) {
	from := New()
	crashAt(from, start, "s", "1")
	first := crashAt(from, start, "s", "2")[0]
	released, _ := from.RecordCompletion(start, "s", page)
	later := start.Add(2 * completionTTL)
	crashAt(from, later, "s", "1")
	again := crashAt(from, later, "s", "2")[0]
	entries := []Entry{first, released, again}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		to := New()
		for _, i := range order {
			to.Merge(later, entries[i])
			if to.Merge(later, entries[i]) {
				t.Errorf("order %v: an entry was new twice", order)
			}
		}
		if diff := cmp.Diff([]Entry{again}, to.Entries(later)); diff != "" {
			t.Errorf("order %v (-want +got):\n%s", order, diff)
		}
	}
}

// TestMemoryIsBounded checks that crashes of many requests take bounded memory.
func TestMemoryIsBounded(t *testing.T) {
	q := New()
	for f := range ident.Fingerprint(3 * maxEntries) {
		for n := range 1 + int(f%2) {
			q.RecordCrash(start, Run{Service: "s", Server: ident.ServerID(fmt.Sprint(n))}, []ident.Fingerprint{f})
		}
	}
	if len(q.suspects) > maxSuspects || len(q.quarantined) > maxEntries {
		t.Errorf("got %d suspects and %d entries, want at most %d and %d", len(q.suspects), len(q.quarantined), maxSuspects, maxEntries)
	}
}
