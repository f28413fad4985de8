package headcases_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/internal/headcases"
)

// TestCases checks that each case has a name of its own.
func TestCases(t *testing.T) {
	cases := headcases.Load()
	seen := map[string]bool{}
	for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers, cases.Ordinary) {
		if c.Name == "" || c.Text == "" || seen[c.Name] {
			t.Errorf("case without a name of its own, or without a text: %+v", c)
		}
		seen[c.Name] = true
	}
	if len(cases.Malformed) == 0 || len(cases.MalformedTrailers) == 0 || len(cases.Ordinary) == 0 {
		t.Error("there are no cases")
	}
}

func TestExpand(t *testing.T) {
	c := headcases.Case{Text: "{fields}{length} {body} {chunk}"}
	if diff := cmp.Diff("A: 1\r\n12 twelve bytes c\r\ntwelve bytes\r\n", c.Expand("A: 1\r\n", "twelve bytes")); diff != "" {
		t.Errorf("expanded text (-want +got):\n%s", diff)
	}
}
