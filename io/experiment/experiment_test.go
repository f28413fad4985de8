package experiment_test

import (
	"strings"
	"testing"

	"bilberrymux/internal/testfiles"
	"bilberrymux/io/experiment"
)

// TestScriptsKeepWhatMustHold runs every script with the product's policy: no
// floor break, no second run, no untrue not run.
func TestScriptsKeepWhatMustHold(t *testing.T) {
	testfiles.Each(t, "../../experiments/*.json", func(t *testing.T, path string, _ []byte) {
		t.Parallel()
		s, err := experiment.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		r := experiment.Run(t, s, experiment.Policies()[0], 1).Finalise()
		if broken := r.Violations(); len(broken) > 0 {
			t.Fatalf("%s\nreplay: go run ./cmd/experiment --policy bilberrymux %s", strings.Join(broken, ", "), path)
		}
		if r.Requests == 0 {
			t.Fatal("nothing was sent")
		}
	})
}
