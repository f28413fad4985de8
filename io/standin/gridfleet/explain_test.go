package gridfleet

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/io/explain"
	"bilberrymux/io/standin/gridserver"
)

// logBuffer collects the log lines of all daemons. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// warnings returns the log lines with level warning.
func (b *logBuffer) warnings() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out strings.Builder
	for line := range strings.Lines(b.out.String()) {
		if strings.Contains(line, `"level":"warning"`) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// linesOf returns the log lines of the given daemons.
func (b *logBuffer) linesOf(daemons []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out strings.Builder
	for line := range strings.Lines(b.out.String()) {
		if slices.ContainsFunc(daemons, func(vm string) bool { return strings.Contains(line, fmt.Sprintf("%q", vm)) }) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// lines returns all log lines, parsed.
func (b *logBuffer) lines(t *testing.T) []explain.Line {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, err := explain.Read(bytes.NewReader(b.out.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// TestLogLinesDetermineCause makes a request fail in several ways and checks that the cause
// can be determined from the daemon's log lines alone.
func TestLogLinesDetermineCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault gridserver.Fault
		send  func(d *Daemon) response
		want  explain.Cause
	}{
		{"served", gridserver.Healthy, sendBooking, explain.Served},
		{"reset", gridserver.ResetBeforeRun, sendBooking, explain.ServerFailed},
		{"cut", gridserver.TruncatedBody, sendBooking, explain.ServerFailed},
		{"error", gridserver.Error, sendBooking, explain.ServerError},
		{"hang", gridserver.Hang, sendBooking, explain.ServerTimedOut},
		{"shed", gridserver.Shed, sendBooking, explain.RetryBudgetExhausted},
		{"noRoute", gridserver.Healthy, func(d *Daemon) response {
			return send(d, http.MethodGet, "nowhere.example", "/", "")
		}, explain.NotAllowed},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := &logBuffer{}
			f, servers := start(t, Options{Log: log, DaemonsPerZone: 1})
			for _, id := range []string{"booker-1", "booker-2"} {
				servers[id].SetFault(test.fault)
			}
			r := test.send(f.Daemons[0])
			var explanation *explain.Explanation
			eventually(t, "the request's cause can be determined from the log", func() bool {
				var err error
				explanation, err = explain.Request(r.ID, log.lines(t))
				return err == nil && explanation.Cause != explain.CauseUnknown
			})
			if diff := cmp.Diff(test.want, explanation.Cause); diff != "" {
				t.Errorf("cause (-want +got):\n%s\nexplanation: %+v", diff, explanation)
			}
			for _, l := range explanation.Lines {
				if l.Time.IsZero() || l.VM == "" || l.Request == "" || (l.Server == "" && l.Outcome == "broken") {
					t.Errorf("log line lacks a required field: %+v", l)
				}
			}
		})
	}
}

// TestRiskChangesAppearInExplanation checks that the explanation of a failed request includes
// the log lines with the risk estimated for its servers before the request.
func TestRiskChangesAppearInExplanation(t *testing.T) {
	log := &logBuffer{}
	f, servers := start(t, Options{Log: log})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.ResetBeforeRun)
	}
	sendBooking(f.Daemons[0])
	time.Sleep(50 * time.Millisecond)
	lastResponse := sendBooking(f.Daemons[0])
	eventually(t, "the explanation's context contains a server with a risk above zero", func() bool {
		explanation, err := explain.Request(lastResponse.ID, log.lines(t))
		if err != nil {
			return false
		}
		for _, l := range explanation.Context {
			if l.Server != "" && l.Risk > 0 {
				return true
			}
		}
		return false
	})
}
