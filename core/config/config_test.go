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

// patchScript is a data file: patches in a row, and what the last one gives.
type patchScript struct {
	About   string            `json:"about"`
	Patches []json.RawMessage `json:"patches"`
	// Problems are the paths of the fields that the last patch gets wrong.
	Problems []string `json:"problems"`
	// Routes maps a method and path to the service that must serve it.
	Routes map[string]string `json:"routes"`
}

// TestPatchScripts applies the patches of each data file.
func TestPatchScripts(t *testing.T) {
	testfiles.EachJSON(t, "testdata/patches/*.json", runPatches)
}

func runPatches(t *testing.T, s *patchScript) {
	c := config.Empty()
	var last error
	for i, raw := range s.Patches {
		next, err := apply(c, raw)
		last = err
		if err != nil {
			if i < len(s.Patches)-1 {
				t.Fatalf("patch %d: %v", i, err)
			}
			break
		}
		c = next
	}
	if diff := cmp.Diff(s.Problems, paths(last)); diff != "" {
		t.Fatalf("problems (-want +got):\n%s\n%v", diff, last)
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
		t.Fatalf("routes (-want +got):\n%s", diff)
	}
}

func apply(c *config.Config, raw json.RawMessage) (*config.Config, error) {
	p, err := config.ParsePatch(raw)
	if err != nil {
		return nil, err
	}
	return c.Apply(p)
}

func paths(err error) []string {
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

// TestSnapshotAndDiffRebuild rebuilds a configuration from its snapshot, and an
// older version from the difference.
func TestSnapshotAndDiffRebuild(t *testing.T) {
	first := mustApply(t, config.Empty(), `{"services":{"a":{"floorSlots":1,"servers":{"s":{"address":"127.0.0.1:1","region":"r","zone":"z","slots":2}}}},
		"routes":{"r1":{"prefix":"/a","service":"a","rank":"urgent","idempotent":true}}}`)
	second := mustApply(t, first, `{"services":{"a":{"floorSlots":2},"b":{"floorSlots":0}},"routes":{"r1":null,"r2":{"prefix":"/b","service":"b","rank":"normal","idempotent":false}},"organisations":{"o":{"weight":3}}}`)
	diff, err := first.Diff(second)
	if err != nil {
		t.Fatal(err)
	}
	back, err := second.Apply(diff)
	if err != nil {
		t.Fatal(err)
	}
	want, got := encode(t, first), encode(t, back)
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("rollback (-want +got):\n%s", d)
	}
	if r := back.Match("GET", "/b"); r != nil {
		t.Fatalf("a route of the newer version still serves: %v", r)
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
		// What was accepted must survive being written and read.
		snapshot, err := next.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Empty().Apply(snapshot); err != nil {
			t.Fatalf("an accepted configuration is refused when read again: %v", err)
		}
	})
}
