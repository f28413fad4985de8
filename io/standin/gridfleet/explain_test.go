package gridfleet

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/io/explain"
	"bilberrymux/io/standin/gridserver"
)

// logBuffer collects the lines of all daemons.
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

// warnings returns the lines about what went wrong.
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

// TestLinesAloneNameTheCause makes requests fail in each way and asks the log.
func TestLinesAloneNameTheCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault gridserver.Fault
		send  func(d *Daemon) answer
		want  explain.Cause
	}{
		{"served", gridserver.Healthy, book, explain.Served},
		{"reset", gridserver.ResetAtOnce, book, explain.ServerFailed},
		{"cut", gridserver.Cut, book, explain.ServerFailed},
		{"error", gridserver.Error, book, explain.ServerError},
		{"hang", gridserver.Hang, book, explain.ServerTimedOut},
		{"shed", gridserver.Shed, book, explain.RetryBudgetExhausted},
		{"noRoute", gridserver.Healthy, func(d *Daemon) answer {
			return send(d, http.MethodGet, "nowhere.example", "/", "")
		}, explain.NotAllowed},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := &logBuffer{}
			f, servers := start(t, Options{Log: log, DaemonsPerZone: 1})
			for _, id := range []string{"booker-1", "booker-2"} {
				servers[id].SetFault(test.fault)
			}
			a := test.send(f.Daemons[0])
			var story *explain.Explanation
			eventually(t, "the request in the log", func() bool {
				var err error
				story, err = explain.Request(a.ID, log.lines(t))
				return err == nil && story.Cause != explain.CauseUnknown
			})
			if diff := cmp.Diff(test.want, story.Cause); diff != "" {
				t.Errorf("%s\n%+v", diff, story)
			}
			for _, l := range story.Lines {
				if l.Time.IsZero() || l.VM == "" || l.Request == "" || (l.Server == "" && l.Outcome == "broken") {
					t.Errorf("a field is missing: %+v", l)
				}
			}
		})
	}
}

// TestChangesOfBeliefAreTold checks that a lost booking's story holds what was
// believed before, and that others are told.
func TestChangesOfBeliefAreTold(t *testing.T) {
	log := &logBuffer{}
	f, servers := start(t, Options{Log: log})
	for _, id := range []string{"booker-1", "booker-2"} {
		servers[id].SetFault(gridserver.ResetAtOnce)
	}
	book(f.Daemons[0])
	time.Sleep(50 * time.Millisecond)
	last := book(f.Daemons[0])
	eventually(t, "change of belief in the context", func() bool {
		story, err := explain.Request(last.ID, log.lines(t))
		if err != nil {
			return false
		}
		for _, l := range story.Context {
			if l.Server != "" && l.Risk > 0 {
				return true
			}
		}
		return false
	})
}
