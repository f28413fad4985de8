package once_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	coreonce "bilberrymux/core/once"
	"bilberrymux/core/store"
	"bilberrymux/io/once"
	"bilberrymux/io/standin/table"
)

// TestCleanerAppliesRetention checks that the cleaner removes expired answers, deletes expired rows
// and leaves other rows as they are, also if two daemons clean the same partition.
func TestCleanerAppliesRetention(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	retention := coreonce.Retention{Records: time.Hour, Answers: 24 * time.Hour, Keys: 240 * time.Hour}
	tab := table.New(1)
	for name, age := range map[string]time.Duration{
		"claim/00/young": time.Hour, "claim/00/old": 48 * time.Hour, "claim/00/ancient": 300 * time.Hour,
	} {
		row, err := json.Marshal(coreonce.Claim{Time: now.Add(-age), Ended: true, Answer: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tab.Store().Transact(context.Background(), []store.Write{{Key: name, Value: row, Expect: store.Anything}}); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		c := once.Cleaner{Store: tab.Store(), Retention: retention, Count: func(string, int64) {}}
		if err := c.CleanPartition(context.Background(), "claim/00/", now); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := tab.Store().ScanAll(context.Background(), "claim/")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]bool{}
	for _, row := range rows {
		var claim coreonce.Claim
		if err := json.Unmarshal(row.Value, &claim); err != nil {
			t.Fatal(err)
		}
		got[row.Key] = claim.AnswerDropped
	}
	if diff := cmp.Diff(map[string]bool{"claim/00/young": false, "claim/00/old": true}, got); diff != "" {
		t.Fatalf("remaining rows and whether their answer was dropped (-want +got):\n%s", diff)
	}
}
