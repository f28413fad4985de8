package versions_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

func accept(t *testing.T, k *versions.Replica, n int) {
	t.Helper()
	for i := range n {
		patch := json.RawMessage(fmt.Sprintf(`{"organisations":{"o%d":{"weight":1}}}`, i))
		base := k.Current().Version
		got, err := k.Submit(context.Background(), versions.Submission{ID: fmt.Sprint("p", base), Base: base, Patch: patch})
		if err != nil || got != base+1 {
			t.Fatalf("version %d: got %d, %v", base+1, got, err)
		}
	}
}

// TestLateStarterCatchesUp starts a daemon after many versions: it reads a
// snapshot and what follows it.
func TestLateStarterCatchesUp(t *testing.T) {
	tab := table.New(1)
	first := versions.New(tab.Store(), nil)
	accept(t, first, 250)
	reads := tab.Counts().Reads
	late := versions.New(tab.Store(), nil)
	if err := late.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ident.Version(250), late.Current().Version); diff != "" {
		t.Fatalf("version (-want +got):\n%s", diff)
	}
	if n := tab.Counts().Reads - reads; n > 4 {
		t.Errorf("%d reads to catch up, want at most 4", n)
	}
	if got := late.Current().Organisations.Len(); got != 250 {
		t.Errorf("%d organisations, want 250", got)
	}
}

// TestSameIDSameVersion submits one patch twice.
func TestSameIDSameVersion(t *testing.T) {
	k := versions.New(table.New(1).Store(), nil)
	s := versions.Submission{ID: "same", Patch: json.RawMessage(`{"organisations":{"o":{"weight":1}}}`)}
	for range 2 {
		if n, err := k.Submit(context.Background(), s); err != nil || n != 1 {
			t.Fatalf("got %d, %v", n, err)
		}
	}
}

// TestStaleAndInvalidLeaveNothing refuses patches and changes nothing.
func TestStaleAndInvalidLeaveNothing(t *testing.T) {
	k := versions.New(table.New(1).Store(), nil)
	accept(t, k, 2)
	var stale *versions.StaleError
	_, err := k.Submit(context.Background(), versions.Submission{ID: "a", Base: 1, Patch: json.RawMessage(`{}`)})
	if !errors.As(err, &stale) || stale.Current != 2 {
		t.Fatalf("stale patch: %v", err)
	}
	var invalid *config.InvalidError
	_, err = k.Submit(context.Background(), versions.Submission{ID: "b", Base: 2, Patch: json.RawMessage(`{"organisations":{"x":{"weight":0}}}`)})
	if !errors.As(err, &invalid) || invalid.Problems[0].Path != "organisations.x.weight" {
		t.Fatalf("invalid patch: %v", err)
	}
	if v := k.Current().Version; v != 2 {
		t.Fatalf("version %d, want 2", v)
	}
}

// TestRollback puts an older content in force as a new version.
func TestRollback(t *testing.T) {
	k := versions.New(table.New(1).Store(), nil)
	accept(t, k, 5)
	n, err := k.Rollback(context.Background(), 2, "back", "me")
	if err != nil || n != 6 {
		t.Fatalf("rollback: %d, %v", n, err)
	}
	if got := k.Current().Organisations.Keys(); !cmp.Equal(got, []string{"o0", "o1"}) {
		t.Fatalf("organisations after the rollback: %v", got)
	}
	records, err := k.History(context.Background(), 3)
	if err != nil || len(records) != 3 || records[0].ID != "back" {
		t.Fatalf("history: %v, %v", records, err)
	}
}

// TestBigPatchGoesThroughObjectStore accepts a patch that is too big for a row.
func TestBigPatchGoesThroughObjectStore(t *testing.T) {
	tab := table.New(1)
	k := versions.New(tab.Store(), nil)
	organisations := map[string]config.Organisation{}
	for i := range 5000 {
		organisations[fmt.Sprint("organisation-", i)] = config.Organisation{Weight: 1}
	}
	patch, err := json.Marshal(map[string]any{"organisations": organisations})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := k.Submit(context.Background(), versions.Submission{ID: "big", Patch: patch}); err != nil {
		t.Fatal(err)
	}
	other := versions.New(tab.Store(), nil)
	if err := other.Poll(context.Background()); err != nil || other.Current().Organisations.Len() != 5000 {
		t.Fatalf("the other daemon has %d organisations, %v", other.Current().Organisations.Len(), err)
	}
}

// TestNeverBack ignores old versions from peers and stale reads.
func TestNeverBack(t *testing.T) {
	tab := table.New(1)
	k := versions.New(tab.Store(), nil)
	accept(t, k, 3)
	old, _ := k.RecordsAfter(0)
	if n, err := k.Apply(old); n != 0 || err != nil {
		t.Fatalf("old versions were applied: %d, %v", n, err)
	}
	if err := k.InstallSnapshot(2, []byte(`{}`)); err != nil || k.Current().Version != 3 {
		t.Fatalf("version %d after an old snapshot, %v", k.Current().Version, err)
	}
	tab.SetFaults(table.Faults{StaleReads: 1})
	if err := k.Poll(context.Background()); err != nil || k.Current().Version != 3 {
		t.Fatalf("version %d after a stale read, %v", k.Current().Version, err)
	}
}
