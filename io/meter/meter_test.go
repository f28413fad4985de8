package meter

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTextGroupsLabelsIntoFamilies checks that metrics of one name with different labels are
// exported as one family, that names are sorted, and that a separator in a label value is replaced.
func TestTextGroupsLabelsIntoFamilies(t *testing.T) {
	s := New()
	s.Count("refusal.noRoute")
	s.Add("attempt", 2)
	s.Count(Name("connections.closed", Label{"end", "idle"}))
	s.Count(Name("connections.closed", Label{"end", "broken"}))
	s.Count("connections.closed.x")
	s.Set("config.version", 7)
	s.Observe(Name("latencyMicros", Label{"service", "a;b"}, Label{"outcome", "answered"}), 3*time.Millisecond)
	text, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	want := `# TYPE bilberrymux_attempt counter
bilberrymux_attempt 2
# TYPE bilberrymux_config_version gauge
bilberrymux_config_version 7
# TYPE bilberrymux_connections_closed counter
bilberrymux_connections_closed{end="broken"} 1
bilberrymux_connections_closed{end="idle"} 1
# TYPE bilberrymux_connections_closed_x counter
bilberrymux_connections_closed_x 1
# TYPE bilberrymux_latencyMicros summary
bilberrymux_latencyMicros{service="a_b",outcome="answered",quantile="0.5"} 3000
bilberrymux_latencyMicros{service="a_b",outcome="answered",quantile="0.9"} 3000
bilberrymux_latencyMicros{service="a_b",outcome="answered",quantile="0.99"} 3000
bilberrymux_latencyMicros_sum{service="a_b",outcome="answered"} 3000
bilberrymux_latencyMicros_count{service="a_b",outcome="answered"} 1
# TYPE bilberrymux_refusal_noRoute counter
bilberrymux_refusal_noRoute 1
`
	if diff := cmp.Diff(strings.Split(want, "\n"), strings.Split(string(text), "\n")); diff != "" {
		t.Errorf("text differs (-want +got):\n%s", diff)
	}
}
