package ident

import "testing"

// TestStoreVersionsAreOrderedByEraFirst guards against an order by numbers that the store has given out again.
func TestStoreVersionsAreOrderedByEraFirst(t *testing.T) {
	ascending := []StoreVersion{{}, {0, 1}, {0, 9}, {1, 0}, {1, 7}, {2, 3}, {2, 4}}
	for i, a := range ascending {
		for j, b := range ascending {
			if got, want := a.After(b), i > j; got != want {
				t.Errorf("%v after %v: got %v, want %v", a, b, got, want)
			}
			if got, want := Later(a, b), ascending[max(i, j)]; got != want {
				t.Errorf("later of %v and %v: got %v, want %v", a, b, got, want)
			}
		}
		if got, want := a.IsZero(), i == 0; got != want {
			t.Errorf("%v is zero: got %v, want %v", a, got, want)
		}
	}
}
