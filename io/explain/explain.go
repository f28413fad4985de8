// Package explain tells what happened to one request, from the log lines of all
// daemons.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"bilberrymux/core/event"
)

// Line is one log line with the fields that explanations need.
type Line struct {
	Time              time.Time `json:"time"`
	VM                string    `json:"vm"`
	Message           string    `json:"msg"`
	Request           string    `json:"request,omitempty"`
	Route             string    `json:"route,omitempty"`
	Service           string    `json:"service,omitempty"`
	Server            string    `json:"server,omitempty"`
	Outcome           string    `json:"outcome,omitempty"`
	Kind              string    `json:"kind,omitempty"`
	Reason            string    `json:"reason,omitempty"`
	Error             string    `json:"error,omitempty"`
	Change            string    `json:"change,omitempty"`
	Risk              float64   `json:"risk,omitempty"`
	EvidenceAgeMillis int64     `json:"evidenceAgeMillis,omitempty"`
	TookMillis        int64     `json:"tookMillis,omitempty"`
	Status            int       `json:"status,omitempty"`
	Attempts          int       `json:"attempts,omitempty"`
	Version           uint64    `json:"version,omitempty"`
}

// Cause is what a request failed of.
type Cause string

// The causes.
const (
	Served               Cause = "served"
	ServerFailed         Cause = "a sick server broke the exchange"
	ServerError          Cause = "the server answered with an error"
	ServerTimedOut       Cause = "the server gave no answer in time"
	ServersOverloaded    Cause = "the servers had no room"
	RetryBudgetExhausted Cause = "the budget for further attempts was used up"
	Unreachable          Cause = "no server could be reached"
	NoServer             Cause = "the service had no usable server"
	NoConfig             Cause = "the daemon knew no configuration"
	NotAllowed           Cause = "the configuration does not allow the request"
	CallerDisconnected   Cause = "the caller left"
	RequestQuarantined   Cause = "the request is quarantined"
	CauseUnknown         Cause = "the lines do not tell"
)

// Explanation is what happened to one request.
type Explanation struct {
	Request string `json:"request"`
	Cause   Cause  `json:"cause"`
	// Lines are those of the request, in the order of time.
	Lines []Line `json:"lines"`
	// Context are the changes of belief about the servers that it was sent to,
	// and of what the daemon depends on, shortly before.
	Context []Line `json:"context"`
}

// before is how long before a request changes are told as its context.
const before = 10 * time.Second

// maxLine bounds one line in bytes.
const maxLine = 1 << 20

// Read returns the log lines of a file. Text before a line's JSON is skipped, and
// so is what is no log line.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(scanner.Bytes()[start:], &l); err == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return lines, nil
}

// Request tells the story of one request. It returns an error where no line names
// it.
func Request(id string, lines []Line) (*Explanation, error) {
	s := &Explanation{Request: id}
	servers, daemons := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == id {
			s.Lines = append(s.Lines, l)
			servers[l.Server], daemons[l.VM] = true, true
		}
	}
	if len(s.Lines) == 0 {
		return nil, fmt.Errorf("explain: no line of request %q", id)
	}
	byTime(s.Lines)
	from, to := s.Lines[0].Time.Add(-before), s.Lines[len(s.Lines)-1].Time
	for _, l := range lines {
		if l.Request == "" && !l.Time.Before(from) && !l.Time.After(to) && daemons[l.VM] && relevant(&l, servers) {
			s.Context = append(s.Context, l)
		}
	}
	byTime(s.Context)
	s.Cause = cause(s.Lines)
	return s, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
}

func relevant(l *Line, servers map[string]bool) bool {
	switch l.Message {
	case event.BeliefChanged, event.BeliefReceived, event.ServerChanged:
		return l.Server != "" && servers[l.Server]
	case event.StoreLost, event.StoreRegained, event.ConfigApplied, event.Stopping, event.DaemonDown, event.Started:
		return true
	}
	return false
}

// cause finds why a request ended as it did.
func cause(lines []Line) Cause {
	end, budget, outcome := Line{}, false, ""
	for _, l := range lines {
		switch l.Message {
		case event.Answered, event.Refused:
			end = l
		case event.NoBudget:
			budget = true
		case event.AttemptFailed:
			outcome = l.Outcome
		}
	}
	if end.Message == event.Answered {
		if end.Status >= 500 {
			return ServerError
		}
		return Served
	}
	switch end.Kind {
	case "serverFailed":
		return ServerFailed
	case "deadlineRunning":
		return ServerTimedOut
	case "serversShed":
		if budget {
			return RetryBudgetExhausted
		}
		return ServersOverloaded
	case "deadlineInQueue", "serversUnreachable":
		return Unreachable
	case "noServer":
		if outcome == "shed" {
			return ServersOverloaded
		}
		return NoServer
	case "notReady":
		return NoConfig
	case "noRoute", "badRequest", "bodyTooLarge":
		return NotAllowed
	case "callerGone":
		return CallerDisconnected
	case "poison":
		return RequestQuarantined
	}
	return CauseUnknown
}

// Print writes the story for people.
func (s *Explanation) Print(w io.Writer) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "request %s: %s\n", s.Request, s.Cause)
	for _, l := range s.Lines {
		fmt.Fprintf(&out, "  %s %s  %s\n", l.Time.Format("15:04:05.000"), l.VM, l.text())
	}
	if len(s.Context) > 0 {
		fmt.Fprintln(&out, "shortly before, at the same daemons:")
	}
	for _, l := range s.Context {
		fmt.Fprintf(&out, "  %s %s  %s\n", l.Time.Format("15:04:05.000"), l.VM, l.text())
	}
	if _, err := out.WriteTo(w); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return nil
}

func (l *Line) text() string {
	switch l.Message {
	case event.AttemptFailed:
		return fmt.Sprintf("%s at server %s after %d ms (believed sick %.2f, evidence %d ms old) %s",
			l.Outcome, l.Server, l.TookMillis, l.Risk, l.EvidenceAgeMillis, l.Error)
	case event.Answered:
		return fmt.Sprintf("answered %d by server %s after %d ms, %d attempts, version %d", l.Status, l.Server, l.TookMillis, l.Attempts, l.Version)
	case event.Refused:
		return fmt.Sprintf("refused: %s, outcome %s, after %d ms, version %d", l.Kind, l.Outcome, l.TookMillis, l.Version)
	case event.FurtherAttempt, event.NoBudget:
		return l.Message + ": " + l.Reason
	case event.BeliefChanged, event.BeliefReceived:
		return fmt.Sprintf("%s: %s, sick %.2f %s", l.Message, l.Server, l.Risk, l.Outcome)
	case event.ServerChanged:
		return fmt.Sprintf("server %s %s", l.Server, l.Change)
	}
	return l.Message + " " + l.Error
}
