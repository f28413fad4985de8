package experiment_test

import (
	"strings"
	"testing"

	"bilberrymux/internal/testfiles"
	"bilberrymux/io/experiment"
)

// TestScriptsHoldInvariants runs every script with bilberrymux's own policy and fails if the healthy
// capacity falls below the floor, a non-idempotent request runs twice, or a request that ran is
// reported as not run.
func TestScriptsHoldInvariants(t *testing.T) {
	testfiles.Each(t, "../../experiments/*.json", func(t *testing.T, path string, _ []byte) {
		t.Parallel()
		s, err := experiment.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		r := experiment.Run(t, s, experiment.Policies()[0], 1).Finalise()
		if violations := r.Violations(); len(violations) > 0 {
			t.Fatalf("violations: %s, want none\nreplay: go run ./cmd/experiment --policy bilberrymux %s", strings.Join(violations, ", "), path)
		}
		if r.Requests == 0 {
			t.Fatal("no request was sent, want at least one")
		}
	})
}
