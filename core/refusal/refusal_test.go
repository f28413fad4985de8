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

// TestTableIsClosed compares the declared kinds with the table's rows.
func TestTableIsClosed(t *testing.T) {
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
		t.Fatalf("table against declarations (-declared +table):\n%s", diff)
	}
}

// TestRanOverridesNotRun never lets a refusal after a possible run say not run.
func TestRanOverridesNotRun(t *testing.T) {
	for _, k := range refusal.Kinds() {
		e := &refusal.Error{Kind: k, MayHaveRun: true}
		if e.Outcome() != refusal.Unknown {
			t.Errorf("%s after a run is %s", k, e.Outcome())
		}
		if a := refusal.ResponseFor(k); a.Status < 400 || a.Text == "" {
			t.Errorf("%s has no usable answer: %+v", k, a)
		}
	}
}
