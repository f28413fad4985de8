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

// submitPatches submits n patches, of which patch i creates the organisation "o<i>", and expects each
// to be accepted as the next version.
func submitPatches(t *testing.T, replica *versions.Replica, n int) {
	t.Helper()
	for i := range n {
		patch := json.RawMessage(fmt.Sprintf(`{"organisations":{"o%d":{"weight":1}}}`, i))
		base := replica.Current().Version
		got, err := replica.Submit(context.Background(), versions.Submission{ID: fmt.Sprint("p", base), Base: base, Patch: patch})
		if err != nil || got != base+1 {
			t.Fatalf("submit: got version %d, error %v, want version %d", got, err, base+1)
		}
	}
}

// TestNewReplicaCatchesUpFromSnapshot checks that a replica created after 250 versions reads the
// latest snapshot and only the versions after it, not every version.
func TestNewReplicaCatchesUpFromSnapshot(t *testing.T) {
	tab := table.New(1)
	first := versions.New(tab.Store(), nil)
	submitPatches(t, first, 250)
	reads := tab.Counts().Reads
	late := versions.New(tab.Store(), nil)
	if err := late.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ident.Version(250), late.Current().Version); diff != "" {
		t.Fatalf("version (-want +got):\n%s", diff)
	}
	if n := tab.Counts().Reads - reads; n > 4 {
		t.Errorf("catching up took %d reads, want at most 4", n)
	}
	if got := late.Current().Organisations.Len(); got != 250 {
		t.Errorf("got %d organisations, want 250", got)
	}
}

// TestSubmitIsIdempotent checks that submitting the same ID twice returns the same version.
func TestSubmitIsIdempotent(t *testing.T) {
	replica := versions.New(table.New(1).Store(), nil)
	s := versions.Submission{ID: "same", Patch: json.RawMessage(`{"organisations":{"o":{"weight":1}}}`)}
	for range 2 {
		if n, err := replica.Submit(context.Background(), s); err != nil || n != 1 {
			t.Fatalf("got version %d, error %v, want version 1", n, err)
		}
	}
}

// TestRejectedPatchesChangeNothing checks that a stale and an invalid patch are rejected with their
// error types and that the version in force stays the same.
func TestRejectedPatchesChangeNothing(t *testing.T) {
	replica := versions.New(table.New(1).Store(), nil)
	submitPatches(t, replica, 2)
	var stale *versions.StaleError
	_, err := replica.Submit(context.Background(), versions.Submission{ID: "a", Base: 1, Patch: json.RawMessage(`{}`)})
	if !errors.As(err, &stale) || stale.Current != 2 {
		t.Fatalf("stale patch: got error %v, want a StaleError with current version 2", err)
	}
	var invalid *config.InvalidError
	_, err = replica.Submit(context.Background(), versions.Submission{ID: "b", Base: 2, Patch: json.RawMessage(`{"organisations":{"x":{"weight":0}}}`)})
	if !errors.As(err, &invalid) || invalid.Problems[0].Path != "organisations.x.weight" {
		t.Fatalf("invalid patch: got error %v, want an InvalidError for organisations.x.weight", err)
	}
	if v := replica.Current().Version; v != 2 {
		t.Fatalf("got version %d, want 2", v)
	}
}

// TestRollback checks that a rollback creates a new version with the content of the older one and
// appears in the history.
func TestRollback(t *testing.T) {
	replica := versions.New(table.New(1).Store(), nil)
	submitPatches(t, replica, 5)
	n, err := replica.Rollback(context.Background(), 2, "back", "me")
	if err != nil || n != 6 {
		t.Fatalf("rollback: got version %d, error %v, want version 6", n, err)
	}
	if got := replica.Current().Organisations.Keys(); !cmp.Equal(got, []string{"o0", "o1"}) {
		t.Fatalf("organisations after the rollback: got %v, want [o0 o1]", got)
	}
	records, err := replica.History(context.Background(), 3)
	if err != nil || len(records) != 3 || records[0].ID != "back" {
		t.Fatalf("history: got %v, error %v, want 3 records, the newest with ID \"back\"", records, err)
	}
}

// TestLargePatchIsStoredAsObject checks that a patch too large for a row is accepted and that another
// replica reads it.
func TestLargePatchIsStoredAsObject(t *testing.T) {
	tab := table.New(1)
	replica := versions.New(tab.Store(), nil)
	organisations := map[string]config.Organisation{}
	for i := range 5000 {
		organisations[fmt.Sprint("organisation-", i)] = config.Organisation{Weight: 1}
	}
	patch, err := json.Marshal(map[string]any{"organisations": organisations})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := replica.Submit(context.Background(), versions.Submission{ID: "big", Patch: patch}); err != nil {
		t.Fatal(err)
	}
	other := versions.New(tab.Store(), nil)
	if err := other.Poll(context.Background()); err != nil || other.Current().Organisations.Len() != 5000 {
		t.Fatalf("other replica: got %d organisations, error %v, want 5000 organisations", other.Current().Organisations.Len(), err)
	}
}

// TestVersionNeverDecreases checks that old records and snapshots from peers and a stale read of the
// head leave the version in force unchanged.
func TestVersionNeverDecreases(t *testing.T) {
	tab := table.New(1)
	replica := versions.New(tab.Store(), nil)
	submitPatches(t, replica, 3)
	old, _ := replica.RecordsAfter(0)
	if n, err := replica.Apply(old); n != 0 || err != nil {
		t.Fatalf("apply old records: got %d applied, error %v, want none", n, err)
	}
	if err := replica.InstallSnapshot(2, []byte(`{}`)); err != nil || replica.Current().Version != 3 {
		t.Fatalf("got version %d after an old snapshot, error %v, want 3", replica.Current().Version, err)
	}
	tab.SetFaults(table.Faults{StaleReadFraction: 1})
	if err := replica.Poll(context.Background()); err != nil || replica.Current().Version != 3 {
		t.Fatalf("got version %d after a stale read, error %v, want 3", replica.Current().Version, err)
	}
}
