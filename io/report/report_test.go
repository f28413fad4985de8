package report_test

import (
	"bytes"
	"strings"
	"testing"

	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/io/experiment"
	"bilberrymux/io/report"
)

// TestPageHasPlots writes the page of a result with an ejection and a fault, and checks that it has
// both plots and that the script's name is escaped.
func TestPageHasPlots(t *testing.T) {
	r := &experiment.Result{
		Script: "gray <script>", Policy: "p", Faults: []experiment.Fault{{From: 1, Until: 2}},
		Events: []experiment.StateChange{{At: 1.2, Server: "s", From: pool.Active, To: pool.Ejected}},
	}
	for i := range ident.Ranks {
		r.Timeline[i] = []experiment.SecondStats{{Sent: 2, OK: 2, MeanMS: 10}, {Sent: 2, OK: 1, MeanMS: 30}, {Sent: 0}}
	}
	var out bytes.Buffer
	if err := report.Write(&out, []*experiment.Result{r}); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "<svg"); n != 2 {
		t.Fatalf("the page has %d plots, want 2", n)
	}
	if strings.Contains(out.String(), "gray <script>") {
		t.Fatal("the page has the script's name unescaped, want it escaped")
	}
}
