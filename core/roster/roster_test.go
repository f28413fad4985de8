package roster

import (
	"testing"

	"bilberrymux/core/ident"
)

func TestFind(t *testing.T) {
	r := New(ident.StoreVersion{Number: 1}, []Server{{ID: "c"}, {ID: "a", Slots: 2}, {ID: "b"}})
	if s := r.Find("a"); s == nil || s.Slots != 2 {
		t.Errorf("server a: got %+v, want one with 2 slots", s)
	}
	for _, id := range []ident.ServerID{"", "aa", "d"} {
		if s := r.Find(id); s != nil {
			t.Errorf("server %q: got %+v, want none", id, s)
		}
	}
}
