package discovery

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// rowOf returns the encoded row of server n. state varies its capacity and sequence.
func rowOf(n, state int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.%d:1","zone":"z","version":"v","capacity":%d,"state":"ready","warmup_left_s":0,"sequence":%d,"born":1}`, n, state+1, state)
}

// TestChangesUpdatePeers checks that each daemon's list is that of the store at the list's
// revision, for random sequences of writes and deletions, of reads of the store, of changes that
// daemons take from each other, and of restarts of daemons.
func TestChangesUpdatePeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []rowSet{newRowSet(), newRowSet(), newRowSet()}
		drawDaemon := func(label string) *rowSet {
			return &daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, label)]
		}
		store, version := map[string][]byte{}, uint64(1)
		history := map[uint64]map[string][]byte{version: maps.Clone(store)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "delete", "read", "exchange", "exchange", "restart"}).Draw(t, "step") {
			case "write":
				n := rapid.IntRange(0, 5).Draw(t, "server")
				store[fmt.Sprint(n)] = rowOf(n, rapid.IntRange(0, 3).Draw(t, "state"))
			case "delete":
				delete(store, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server")))
			case "read":
				drawDaemon("reader").apply(time.Time{}, wholeList(storedRows(store), at(version)))
			case "exchange":
				from, to := drawDaemon("from"), drawDaemon("to")
				// A datagram may carry changes from an older base than the receiver's list.
				bases := append([]ident.StoreVersion{to.revision}, from.exactAt...)
				c := from.since(rapid.SampledFrom(bases).Draw(t, "base"))
				if from.revision.After(to.revision) && to.accepts(c) {
					to.apply(time.Time{}, c)
				}
			case "restart":
				*drawDaemon("restarted") = newRowSet()
			}
			version++
			history[version] = maps.Clone(store)
			for i := range daemons {
				want := newRowSet()
				want.apply(time.Time{}, wholeList(storedRows(history[daemons[i].revision.Number]), daemons[i].revision))
				if diff := cmp.Diff(serversOf(&want), serversOf(&daemons[i])); diff != "" {
					t.Fatalf("daemon %d at revision %v (-store +daemon):\n%s", i, daemons[i].revision, diff)
				}
			}
		}
	})
}

// at returns a version of a store that names no era.
func at(number uint64) ident.StoreVersion { return ident.StoreVersion{Number: number} }

// storedRows returns the rows of a store, sorted by key.
func storedRows(store map[string][]byte) []platform.Row {
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(store)) {
		rows = append(rows, platform.Row{Key: key, Value: store[key]})
	}
	return rows
}

// serversOf returns the servers of a set by key.
func serversOf(s *rowSet) map[string]roster.Server {
	out := map[string]roster.Server{}
	for key, r := range s.rows {
		out[key] = r.server
	}
	return out
}

// TestRemovalsBeforePeerStartedAreLearned guards against lists that keep servers which left before
// the daemon that sends the changes had started.
func TestRemovalsBeforePeerStartedAreLearned(t *testing.T) {
	server, store := startStore(t)
	survivor, started := newTestWatcher(t, store), newTestWatcher(t, store)
	read := func(w *Watcher) {
		t.Helper()
		if err := w.ReadServers(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	server.Put("servers", "1", rowOf(1, 0))
	server.Put("servers", "2", rowOf(2, 0))
	read(survivor)
	base := survivor.Roster().Revision
	server.Delete("servers", "1")
	read(started)
	server.Put("servers", "3", rowOf(3, 0))
	read(started)
	if c := started.Changes(base); c != nil {
		t.Errorf("changes for a datagram from a revision before the daemon's first list: got %+v, want nil", c)
	}
	state, _ := started.StateFor(&news.StateRequest{Revision: base.Number, Era: base.Era})
	survivor.ApplyState(time.Now(), state, "started")
	if diff := cmp.Diff(started.Roster().Servers(), survivor.Roster().Servers()); diff != "" {
		t.Errorf("servers (-sender +receiver):\n%s", diff)
	}
}

// TestServersBetweenReadsAreRemoved guards against lists that keep a server which joined and left between two
// reads of the daemon that sends the changes.
func TestServersBetweenReadsAreRemoved(t *testing.T) {
	reader, peer := newRowSet(), newRowSet()
	reader.apply(time.Time{}, wholeList(nil, at(1)))
	peer.apply(time.Time{}, wholeList([]platform.Row{{Key: "1", Value: rowOf(1, 0)}}, at(2)))
	reader.apply(time.Time{}, wholeList([]platform.Row{{Key: "2", Value: rowOf(2, 0)}}, at(3)))
	if c := reader.since(at(1)); peer.accepts(c) {
		t.Errorf("changes %+v were accepted by a list that knows of a further one", c)
	}
	peer.apply(time.Time{}, reader.since(peer.revision))
	if diff := cmp.Diff(serversOf(&reader), serversOf(&peer)); diff != "" {
		t.Errorf("servers (-sender +receiver):\n%s", diff)
	}
}

// TestForgottenRemovalsAreLearned checks that a peer learns of removals which the sender has
// forgotten, since it keeps a limited number.
func TestForgottenRemovalsAreLearned(t *testing.T) {
	reader, peer := newRowSet(), newRowSet()
	version := uint64(1)
	for n := range 3 * maxHistory {
		version++
		reader.apply(time.Time{}, wholeList([]platform.Row{{Key: fmt.Sprint(n), Value: rowOf(n%250, 0)}}, at(version)))
		if n == 0 {
			peer.apply(time.Time{}, reader.since(ident.StoreVersion{}))
		}
	}
	if len(reader.removed) > maxHistory {
		t.Errorf("removals that are kept: got %d, want at most %d", len(reader.removed), maxHistory)
	}
	peer.apply(time.Time{}, reader.since(peer.revision))
	if diff := cmp.Diff(serversOf(&reader), serversOf(&peer)); diff != "" {
		t.Errorf("servers (-sender +receiver):\n%s", diff)
	}
}

// TestRepeatedReportsAreUnchanged checks that a row counts as unchanged if it decodes
// to the same server, or if neither the old nor the new value can be decoded.
func TestRepeatedReportsAreUnchanged(t *testing.T) {
	s := newRowSet()
	s.apply(time.Time{}, wholeList([]platform.Row{{Key: "1", Value: rowOf(1, 0)}, {Key: "odd", Value: []byte("x")}}, at(1)))
	again := []byte(`{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v2","capacity":1,"state":"ready","warmup_left_s":0,"sequence":99,"born":1}`)
	s.apply(time.Time{}, wholeList([]platform.Row{{Key: "1", Value: again}, {Key: "odd", Value: []byte("y")}}, at(2)))
	c := s.since(at(1))
	if len(c.Servers)+len(c.Removed) != 0 {
		t.Errorf("changes after a repeated report: got servers %v and removed %v, want none", c.Servers, c.Removed)
	}
}

// TestLargeRowsAreNotSentInDatagrams checks that rows which would not fit a datagram are left to the
// peers' fetches, and that the text of unreadable rows is not passed on at all.
func TestLargeRowsAreNotSentInDatagrams(t *testing.T) {
	server, store := startStore(t)
	w := newTestWatcher(t, store)
	read := func() {
		t.Helper()
		if err := w.ReadServers(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	server.Put("servers", "1", rowOf(1, 0))
	read()
	base := w.Roster().Revision
	server.Put("servers", "odd", bytes.Repeat([]byte("["), 60_000))
	server.Put("servers", "2", rowOf(2, 0))
	read()
	if c := w.Changes(base); c == nil || len(c.Servers["2"]) == 0 || len(c.Servers["odd"]) > 0 {
		t.Errorf("changes with an unreadable row: got %v, want the row of server 2 and an empty one", c)
	}
	large := slices.Concat(rowOf(3, 0)[:len(rowOf(3, 0))-1], []byte(`,"note":"`), bytes.Repeat([]byte("x"), 60_000), []byte(`"}`))
	base = w.Roster().Revision
	server.Put("servers", "3", large)
	read()
	if len(w.Roster().Servers()) != 3 {
		t.Fatalf("servers: got %v, want 3", w.Roster().Servers())
	}
	if c := w.Changes(base); c != nil {
		t.Errorf("changes of more than a datagram: got %d bytes, want none", len(c.Servers["3"]))
	}
	if s, _ := w.StateFor(&news.StateRequest{Revision: base.Number, Era: base.Era}); s.Changes == nil || len(s.Changes.Servers["3"]) != len(large) {
		t.Error("the state for a peer lacks the large row")
	}
}

// TestChangesFromBaseBeforeOwnHistoryAreNotAccepted guards against a list that lacks a server whose row was missing when the
// daemon first read the store, and is back: the changes of a peer that never saw it missing don't contain it.
func TestChangesFromBaseBeforeOwnHistoryAreNotAccepted(t *testing.T) {
	reader, peer := newRowSet(), newRowSet()
	rows := []platform.Row{{Key: "1", Value: rowOf(1, 0)}}
	reader.apply(time.Time{}, wholeList(rows, at(1)))
	peer.apply(time.Time{}, wholeList(nil, at(2)))
	reader.apply(time.Time{}, wholeList(rows, at(3)))
	if c := reader.since(at(1)); peer.accepts(c) {
		t.Errorf("changes %+v were accepted by a list that knows nothing of their base", c)
	}
	peer.apply(time.Time{}, reader.since(peer.revision))
	if diff := cmp.Diff(serversOf(&reader), serversOf(&peer)); diff != "" {
		t.Errorf("servers (-sender +receiver):\n%s", diff)
	}
}
