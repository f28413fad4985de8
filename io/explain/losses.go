package explain

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"

	"bilberrymux/core/event"
)

// Loss is the cause of a request without a good response, as it appears in the table of losses.
type Loss string

// The causes of losses, by the last attempt of the request.
const (
	LostToError       Loss = "server error"
	LostToHang        Loss = "no answer in time"
	LostToBreak       Loss = "exchange broken"
	LostToShed        Loss = "servers shed"
	LostToUnreachable Loss = "no server reached"
	LostInDaemon      Loss = "not sent to a server"
)

// Knowledge is what the daemon believed about the server of the last attempt when it was picked.
type Knowledge string

// The classes of knowledge.
const (
	PickedForFloor Knowledge = "picked for the floor"
	BelievedSound  Knowledge = "believed sound"
	Suspected      Knowledge = "suspect"
	KnownSick      Knowledge = "known sick"
	NoAttempt      Knowledge = "-"
)

// suspectRisk and sickRisk are the risks from which a server is reported as suspect and as sick.
const (
	suspectRisk = 0.1
	sickRisk    = 0.5
)

// LossRow counts the lost requests of one route with the same cause.
type LossRow struct {
	Route     string    `json:"route"`
	Cause     Loss      `json:"cause"`
	Knowledge Knowledge `json:"knowledge"`
	// WithoutBudget reports whether a further attempt was denied by the budget.
	WithoutBudget bool `json:"withoutBudget"`
	Count         int  `json:"count"`
	// Requests is the number of all requests of the route.
	Requests int `json:"requests"`
}

// story collects the lines of one request.
type story struct {
	end, lastAttempt Line
	withoutBudget    bool
}

// Losses counts the requests without a good response by route, cause and knowledge, the greatest
// count first. Requests without a route are left out.
func Losses(lines []Line) []LossRow {
	requests := map[string]int{}
	counts := map[LossRow]int{}
	for _, s := range stories(lines) {
		if s.end.Route == "" {
			continue
		}
		requests[s.end.Route]++
		if s.end.Message == event.Answered && s.end.Status < 500 {
			continue
		}
		counts[LossRow{Route: s.end.Route, Cause: s.loss(), Knowledge: s.knowledge(), WithoutBudget: s.withoutBudget}]++
	}
	out := make([]LossRow, 0, len(counts))
	for row, n := range counts {
		row.Count, row.Requests = n, requests[row.Route]
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b LossRow) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Knowledge, b.Knowledge))
	})
	return out
}

// stories returns the lines of each request, by its ID.
func stories(lines []Line) map[string]*story {
	out := map[string]*story{}
	for _, l := range lines {
		if l.Request == "" {
			continue
		}
		s := out[l.Request]
		if s == nil {
			s = &story{}
			out[l.Request] = s
		}
		switch l.Message {
		case event.Answered, event.Refused:
			s.end = l
		case event.AttemptFailed:
			s.lastAttempt = l
		case event.NoBudget:
			s.withoutBudget = true
		}
	}
	return out
}

// loss returns the cause of a lost request.
func (s *story) loss() Loss {
	switch s.lastAttempt.Outcome {
	case "failed":
		if s.end.Status == 504 {
			return LostToHang
		}
		return LostToError
	case "silent", "neutral":
		return LostToHang
	case "broken":
		return LostToBreak
	case "shed", "misdirected":
		return LostToShed
	case "unreachable":
		return LostToUnreachable
	}
	return LostInDaemon
}

// knowledge returns what was believed about the server of the last attempt.
func (s *story) knowledge() Knowledge {
	a := &s.lastAttempt
	switch {
	case a.Message == "":
		return NoAttempt
	case a.Floor:
		return PickedForFloor
	case a.Risk >= sickRisk:
		return KnownSick
	case a.Risk >= suspectRisk:
		return Suspected
	}
	return BelievedSound
}

// PrintLosses writes the rows as a table, at most limit of them.
func PrintLosses(w io.Writer, rows []LossRow, limit int) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%8s %9s  %-14s %-22s %-22s %s\n", "lost", "of", "route", "cause", "server", "budget")
	for _, r := range rows[:min(limit, len(rows))] {
		budget := ""
		if r.WithoutBudget {
			budget = "exhausted"
		}
		fmt.Fprintf(&out, "%8d %9d  %-14s %-22s %-22s %s\n", r.Count, r.Requests, r.Route, r.Cause, r.Knowledge, budget)
	}
	if _, err := out.WriteTo(w); err != nil {
		return fmt.Errorf("explain: write losses: %w", err)
	}
	return nil
}
