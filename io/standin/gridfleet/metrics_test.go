package gridfleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/io/standin/gridserver"
	"bilberrymux/io/standin/rowstore"
)

// fetchMetrics returns the lines of a daemon's metrics endpoint.
func fetchMetrics(t *testing.T, d *Daemon) []string {
	t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", d.Settings.IP, d.Settings.MetricsPort))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(text), "\n")
}

// TestMetricsShowFailureCause makes requests fail in several ways and checks the
// metrics that operators use to find the cause.
func TestMetricsShowFailureCause(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	d := f.Daemons[0]
	sendBooking(d)
	servers["booker-1"].SetFault(gridserver.ResetBeforeRun)
	servers["booker-2"].SetFault(gridserver.ResetBeforeRun)
	sendBooking(d)
	send(d, http.MethodGet, "nowhere.example", "/", "")
	lines := fetchMetrics(t, d)
	var missing []string
	for _, want := range []string{
		`bilberrymux_attempts{outcome="good"} 1`,
		`bilberrymux_attempts{outcome="broken"} 1`,
		`bilberrymux_refusals{kind="serverFailed"} 1`,
		`bilberrymux_refusals{kind="noRoute"} 1`,
		`bilberrymux_belief_changes{to="sick",cause="broken"} 1`,
		`bilberrymux_connections_closed{end="broken"} 1`,
		`bilberrymux_latencyMicros_count{kind="once",priority="1",service="booker",outcome="answered"} 1`,
		`bilberrymux_latencyMicros_count{kind="once",priority="1",service="booker",outcome="refused"} 1`,
		`bilberrymux_store_calls{call="transact",result="200"} 1`,
		`bilberrymux_daemons_live 1`,
	} {
		found := false
		for _, l := range lines {
			found = found || l == want
		}
		if !found {
			missing = append(missing, want)
		}
	}
	if diff := cmp.Diff([]string(nil), missing); diff != "" {
		t.Errorf("metrics missing (-want none +missing):\n%s\ngot:\n%s", diff, strings.Join(lines, "\n"))
	}
}

// gauge returns the value of a daemon's gauge.
func gauge(t *testing.T, d *Daemon, name string) int {
	t.Helper()
	for _, l := range fetchMetrics(t, d) {
		var value int
		if _, err := fmt.Sscanf(l, name+" %d", &value); err == nil {
			return value
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

func TestMetricsShowAgeOfConfiguration(t *testing.T) {
	f, _ := start(t, Options{DaemonsPerZone: 1})
	f.Store.SetFaults(rowstore.Faults{Down: rowstore.Ignore})
	age := func() int { return gauge(t, f.Daemons[0], "bilberrymux_config_ageMillis") }
	bound := f.Daemons[0].Settings.Bounds.Config.Duration()
	eventually(t, "the age passes the bound", func() bool { return age() > int(bound.Milliseconds()) })
	f.Store.SetFaults(rowstore.Faults{})
	eventually(t, "the age is within the bound again", func() bool { return age() <= int(bound.Milliseconds()) })
}
