// Package explain reconstructs what happened to a request from the log lines of all daemons, and
// determines the cause of its outcome.
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
	"bilberrymux/io/backend"
)

// Line is a log line, reduced to the fields that explanations need.
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
	Floor             bool      `json:"floor,omitempty"`
	EvidenceAgeMillis int64     `json:"evidenceAgeMillis,omitempty"`
	TookMillis        int64     `json:"tookMillis,omitempty"`
	Status            int       `json:"status,omitempty"`
	Attempts          int       `json:"attempts,omitempty"`
	Version           uint64    `json:"version,omitempty"`
	// Connection is the use of the connection to the server, or the zero value if there was none.
	Connection backend.Use `json:"connection"`
}

// Cause is the reason why a request ended as it did.
type Cause string

// Causes of a request's outcome. Operators read the texts, so they must not change.
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
	MemoryFull           Cause = "the daemon had no memory left for the body"
	CauseUnknown         Cause = "the lines do not tell"
)

// Explanation describes what happened to a single request.
type Explanation struct {
	Request string `json:"request"`
	Cause   Cause  `json:"cause"`
	// Lines are the log lines of the request, ordered by time.
	Lines []Line `json:"lines"`
	// Context holds related log lines without a request ID from the daemons that handled the request,
	// from contextWindow before its first line up to its last: changes in the health estimates and
	// states of the servers that it was sent to, and events that affect the whole daemon, such as the
	// loss of the store.
	Context []Line `json:"context"`
}

// contextWindow is how long before a request's first line its context begins.
const contextWindow = 10 * time.Second

// maxLineBytes is the maximum length of a log line in bytes. Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read reads log lines as JSON. Text before the first brace of a line is skipped, as are lines that
// are not JSON or have no message.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		return nil, fmt.Errorf("explain: read log lines: %w", err)
	}
	return lines, nil
}

// Request explains what happened to the request with the given ID. It returns an error if no line
// has that ID.
func Request(id string, lines []Line) (*Explanation, error) {
	e := &Explanation{Request: id}
	servers, daemons := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == id {
			e.Lines = append(e.Lines, l)
			servers[l.Server], daemons[l.VM] = true, true
		}
	}
	if len(e.Lines) == 0 {
		return nil, fmt.Errorf("explain: no log line for request %q", id)
	}
	sortByTime(e.Lines)
	from, to := e.Lines[0].Time.Add(-contextWindow), e.Lines[len(e.Lines)-1].Time
	for _, l := range lines {
		if l.Request == "" && !l.Time.Before(from) && !l.Time.After(to) && daemons[l.VM] && relevant(&l, servers) {
			e.Context = append(e.Context, l)
		}
	}
	sortByTime(e.Context)
	e.Cause = cause(e.Lines)
	return e, nil
}

// sortByTime sorts lines by time, then by VM. Lines that are equal in both keep their order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
}

// relevant reports whether a line without a request ID belongs to the context of a request that was
// sent to the given servers.
func relevant(l *Line, servers map[string]bool) bool {
	switch l.Message {
	case event.BeliefChanged, event.BeliefReceived, event.ServerChanged:
		return l.Server != "" && servers[l.Server]
	case event.StoreLost, event.StoreRegained, event.ConfigApplied, event.Stopping, event.DaemonDown, event.Started:
		return true
	}
	return false
}

// cause determines the cause of a request's outcome from its lines, ordered by time. If the lines do
// not contain a known end, it returns CauseUnknown.
func cause(lines []Line) Cause {
	end, budgetExhausted, lastAttemptOutcome := Line{}, false, ""
	for _, l := range lines {
		switch l.Message {
		case event.Answered, event.Refused:
			end = l
		case event.NoBudget:
			budgetExhausted = true
		case event.AttemptFailed:
			lastAttemptOutcome = l.Outcome
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
		if budgetExhausted {
			return RetryBudgetExhausted
		}
		return ServersOverloaded
	case "deadlineInQueue", "serversUnreachable":
		return Unreachable
	case "noServer":
		if lastAttemptOutcome == "shed" {
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
	case "memoryFull":
		return MemoryFull
	}
	return CauseUnknown
}

// Print writes the explanation as text for operators.
func (e *Explanation) Print(w io.Writer) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "request %s: %s\n", e.Request, e.Cause)
	for _, l := range e.Lines {
		fmt.Fprintf(&out, "  %s %s  %s\n", l.Time.Format("15:04:05.000"), l.VM, l.text())
	}
	if len(e.Context) > 0 {
		fmt.Fprintln(&out, "shortly before, at the same daemons:")
	}
	for _, l := range e.Context {
		fmt.Fprintf(&out, "  %s %s  %s\n", l.Time.Format("15:04:05.000"), l.VM, l.text())
	}
	if _, err := out.WriteTo(w); err != nil {
		return fmt.Errorf("explain: write explanation: %w", err)
	}
	return nil
}

// text returns a one-line description of the event without its time and VM.
func (l *Line) text() string {
	switch l.Message {
	case event.AttemptFailed:
		return fmt.Sprintf("%s at server %s after %d ms (believed sick %.2f, evidence %d ms old)%s %s",
			l.Outcome, l.Server, l.TookMillis, l.Risk, l.EvidenceAgeMillis, l.connectionText(), l.Error)
	case event.Answered:
		return fmt.Sprintf("answered %d by server %s after %d ms, %d attempts, version %d%s", l.Status, l.Server, l.TookMillis, l.Attempts, l.Version, l.connectionText())
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

// connectionText describes the use of the connection to the server. It is empty if there was none.
func (l *Line) connectionText() string {
	if l.Connection.Conn == 0 {
		return ""
	}
	text := fmt.Sprintf(" on connection %d, exchange %d", l.Connection.Conn, l.Connection.Exchange)
	if l.Connection.Avoided {
		text += ", not on one that had carried this request"
	}
	return text
}
