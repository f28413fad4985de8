package discovery

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// rowOf returns the encoded row of server n. state varies its capacity and sequence.
func rowOf(n, state int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.%d:1","zone":"z","version":"v","capacity":%d,"state":"ready","warmup_left_s":0,"sequence":%d,"born":1}`, n, state+1, state)
}

// TestChangesUpdatePeer checks that a peer at any earlier revision has the same servers
// as the reader after it applies the changes since that revision, for random sequences
// of writes, deletions and updates.
func TestChangesUpdatePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, peer := newRowSet(), newRowSet()
		store := map[string][]byte{}
		peerAt := uint64(0)
		version := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			for range rapid.IntRange(0, 3).Draw(t, "writes") {
				n := rapid.IntRange(0, 5).Draw(t, "server")
				if rapid.Bool().Draw(t, "delete") {
					delete(store, fmt.Sprint(n))
				} else {
					store[fmt.Sprint(n)] = rowOf(n, rapid.IntRange(0, 3).Draw(t, "state"))
				}
			}
			var rows []platform.Row
			for _, key := range slices.Sorted(maps.Keys(store)) {
				rows = append(rows, platform.Row{Key: key, Value: store[key]})
			}
			reader.apply(reader.difference(rows, version))
			if rapid.Bool().Draw(t, "update peer") {
				peer.apply(reader.since(peerAt, version))
				peerAt = version
			}
		}
		peer.apply(reader.since(peerAt, version))
		want, got := map[string]any{}, map[string]any{}
		for k, r := range reader.rows {
			want[k] = r.server
		}
		for k, r := range peer.rows {
			got[k] = r.server
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestRepeatedReportsAreUnchanged checks that a row counts as unchanged if it decodes
// to the same server, or if neither the old nor the new value can be decoded.
func TestRepeatedReportsAreUnchanged(t *testing.T) {
	s := newRowSet()
	s.apply(s.difference([]platform.Row{{Key: "1", Value: rowOf(1, 0)}, {Key: "odd", Value: []byte("x")}}, 1))
	again := []byte(`{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v2","capacity":1,"state":"ready","warmup_left_s":0,"sequence":99,"born":1}`)
	c := s.difference([]platform.Row{{Key: "1", Value: again}, {Key: "odd", Value: []byte("y")}}, 2)
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
	if s := w.StateFor(&news.StateRequest{Revision: base}); s.Changes == nil || len(s.Changes.Servers["3"]) != len(large) {
		t.Error("the state for a peer lacks the large row")
	}
}
