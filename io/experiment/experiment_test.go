package experiment_test

import (
	"path/filepath"
	"strings"
	"testing"

	"bilberrymux/io/experiment"
)

// TestScriptsKeepWhatMustHold runs every script with the product's policy: no
// floor break, no second run, no untrue not run.
func TestScriptsKeepWhatMustHold(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.json")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d scripts: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			s, err := experiment.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			r := experiment.Run(t, s, experiment.Policies()[0], 1).Close()
			if broken := r.Broken(); len(broken) > 0 {
				t.Fatalf("%s\nreplay: go run ./cmd/experiment --policy bilberrymux %s", strings.Join(broken, ", "), file)
			}
			if r.Attempts == 0 {
				t.Fatal("nothing was sent")
			}
		})
	}
}
