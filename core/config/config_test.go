package config_test

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	_ "bilberrymux/core/admit"
	"bilberrymux/core/config"
	_ "bilberrymux/core/detect"
	_ "bilberrymux/core/pool"
	_ "bilberrymux/core/retry"
	"bilberrymux/internal/testfiles"
)

// patchScript is the content of a test data file: a sequence of patches and the expected result of
// the last one. All earlier patches must be valid.
type patchScript struct {
	About   string            `json:"about"`
	Patches []json.RawMessage `json:"patches"`
	// Problems lists the paths of the fields that the last patch must be refused for, sorted.
	Problems []string `json:"problems"`
	// Routes maps a method and path, separated by a space, to the name of the service that must
	// serve them, or to an empty string if no route may match.
	Routes map[string]string `json:"routes"`
}

// TestPatchScripts applies the patches of each test data file and checks the reported problems and
// the routes of the resulting configuration.
func TestPatchScripts(t *testing.T) {
	testfiles.EachJSON(t, "testdata/patches/*.json", runPatchScript)
}

func runPatchScript(t *testing.T, s *patchScript) {
	c := config.Empty()
	var last error
	for i, raw := range s.Patches {
		next, err := apply(c, raw)
		last = err
		if err != nil {
			if i < len(s.Patches)-1 {
				t.Fatalf("patch %d was refused, only the last one may be: %v", i, err)
			}
			break
		}
		c = next
	}
	if diff := cmp.Diff(s.Problems, problemPaths(last)); diff != "" {
		t.Fatalf("paths of the problems (-want +got):\n%s\nerror: %v", diff, last)
	}
	got := map[string]string{}
	for route := range s.Routes {
		var method, path string
		for i := range route {
			if route[i] == ' ' {
				method, path = route[:i], route[i+1:]
			}
		}
		if r := c.Match(method, path); r != nil {
			got[route] = string(r.Service)
		} else {
			got[route] = ""
		}
	}
	if diff := cmp.Diff(s.Routes, got); len(s.Routes) > 0 && diff != "" {
		t.Fatalf("services of the routes (-want +got):\n%s", diff)
	}
}

// apply parses the patch and applies it to c.
func apply(c *config.Config, raw json.RawMessage) (*config.Config, error) {
	p, err := config.ParsePatch(raw)
	if err != nil {
		return nil, err
	}
	return c.Apply(p)
}

// problemPaths returns the sorted paths of the problems in err, or nil if err is not an
// *InvalidError.
func problemPaths(err error) []string {
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	var out []string
	for _, p := range invalid.Problems {
		out = append(out, p.Path)
	}
	slices.Sort(out)
	return out
}

// TestDiffRollsBackToOlderVersion checks that applying a diff to a newer version restores the
// entries of the older one, and that routes of the newer version no longer match.
func TestDiffRollsBackToOlderVersion(t *testing.T) {
	first := mustApply(t, config.Empty(), `{"services":{"a":{"floorSlots":1,"servers":{"s":{"address":"127.0.0.1:1","region":"r","zone":"z","slots":2}}}},
		"routes":{"r1":{"prefix":"/a","service":"a","rank":"urgent","idempotent":true}}}`)
	second := mustApply(t, first, `{"services":{"a":{"floorSlots":2},"b":{"floorSlots":0}},"routes":{"r1":null,"r2":{"prefix":"/b","service":"b","rank":"normal","idempotent":false}},"organisations":{"o":{"weight":3}}}`)
	diff, err := first.Diff(second)
	if err != nil {
		t.Fatal(err)
	}
	rolledBack, err := second.Apply(diff)
	if err != nil {
		t.Fatal(err)
	}
	want, got := encode(t, first), encode(t, rolledBack)
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("snapshot after the rollback (-want +got):\n%s", d)
	}
	if r := rolledBack.Match("GET", "/b"); r != nil {
		t.Fatalf("Match after the rollback returned a route of the newer version, want nil: %v", r)
	}
}

func mustApply(t *testing.T, c *config.Config, raw string) *config.Config {
	t.Helper()
	next, err := apply(c, json.RawMessage(raw))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func encode(t *testing.T, c *config.Config) string {
	t.Helper()
	p, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// FuzzPatch checks that the snapshot of every accepted configuration is accepted again.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"services":{"a":{"floorSlots":1}}}`))
	f.Add([]byte(`{"routes":{"r":null}}`))
	f.Add([]byte(`{"services":{"a":null},"organisations":{"o":{"weight":-1}}}`))
	f.Add([]byte(`{"services":{"a":[]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := config.ParsePatch(body)
		if err != nil {
			return
		}
		next, err := config.Empty().Apply(p)
		if err != nil {
			return
		}
		snapshot, err := next.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Empty().Apply(snapshot); err != nil {
			t.Fatalf("the snapshot of an accepted configuration was refused: %v", err)
		}
	})
}
