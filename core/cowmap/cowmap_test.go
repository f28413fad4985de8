package cowmap_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bilberrymux/core/cowmap"
)

// TestMapAgainstModel applies random changes to a Map and to a built-in map and compares
// them at the end. It also checks that an old version of the Map is unchanged.
func TestMapAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m cowmap.Map[int]
		model := map[string]int{}
		var oldMap cowmap.Map[int]
		var oldModel map[string]int
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := rapid.StringMatching(`[a-e]{1,3}`).Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				m = m.With(key, i)
				model[key] = i
			} else {
				m = m.Without(key)
				delete(model, key)
			}
			if rapid.IntRange(0, 9).Draw(t, "keep") == 0 {
				oldMap, oldModel = m, maps.Clone(model)
			}
		}
		checkEqual(t, m, model)
		checkEqual(t, oldMap, oldModel)
	})
}

// checkEqual fails the test if the map and the model differ in length, entries or keys.
func checkEqual(t *rapid.T, m cowmap.Map[int], model map[string]int) {
	got := maps.Collect(m.All())
	if diff := cmp.Diff(len(model), m.Len()); diff != "" {
		t.Fatalf("length (-want +got):\n%s", diff)
	}
	if len(model) == 0 && len(got) == 0 {
		return
	}
	if diff := cmp.Diff(model, got); diff != "" {
		t.Fatalf("entries (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(slices.Sorted(maps.Keys(model)), m.Keys()); diff != "" {
		t.Fatalf("keys (-want +got):\n%s", diff)
	}
	for k, v := range model {
		if got, ok := m.Get(k); !ok || got != v {
			t.Fatalf("Get(%q) = %d, %v, want %d", k, got, ok, v)
		}
	}
}
