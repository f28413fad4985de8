package refusal_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/refusal"
)

// TestEveryKindHasResponse compares the kinds declared in the source with the keys of the response
// table. A kind without a response would reach callers as an internal error.
func TestEveryKindHasResponse(t *testing.T) {
	var declared []refusal.Kind
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || fmt.Sprint(spec.Type) != "Kind" {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		declared = append(declared, refusal.Kind(text))
		return true
	})
	kinds := refusal.Kinds()
	slices.Sort(kinds)
	slices.Sort(declared)
	if diff := cmp.Diff(declared, kinds); diff != "" {
		t.Fatalf("kinds with a response differ from the declared kinds (-declared +got):\n%s", diff)
	}
}

// TestMayHaveRunOverridesOutcome checks that a refusal never tells the caller that the request did
// not run if an earlier attempt may have run. It also checks that every kind has an error status and
// a text.
func TestMayHaveRunOverridesOutcome(t *testing.T) {
	for _, k := range refusal.Kinds() {
		e := &refusal.Error{Kind: k, MayHaveRun: true}
		if e.Outcome() != refusal.Unknown {
			t.Errorf("outcome of %s with MayHaveRun = %s, want %s", k, e.Outcome(), refusal.Unknown)
		}
		if r := refusal.ResponseFor(k); r.Status < 400 || r.Text == "" {
			t.Errorf("response for %s = %+v, want a status of at least 400 and a text", k, r)
		}
	}
}
