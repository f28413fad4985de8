package belief

import (
	"time"

	"bilberrymux/core/roster"
)

// Use says whether a server of the zone is in use, or why it is not.
type Use string

// The uses of a server. A server counts as the first of these that fits.
const (
	// UseRecent means that a daemon of the zone had evidence about the server within usageWindow, or
	// that this daemon picked it.
	UseRecent Use = "recent"
	// UseUnreachable means that this daemon avoids the server after a failed connection.
	UseUnreachable Use = "unreachable"
	// UseSuspect means that the server has failed since its last good response.
	UseSuspect Use = "suspect"
	// UseIdle means that nothing keeps requests from the server.
	UseIdle Use = "idle"
)

// Uses lists all uses.
var Uses = []Use{UseRecent, UseUnreachable, UseSuspect, UseIdle}

// usageWindow is the time within which a server must have been used to count as UseRecent.
const usageWindow = time.Second

// Usage counts the ready servers of this daemon's zone by their use.
func (t *Tracker) Usage(now time.Time, servers []*roster.Server) map[Use]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[Use]int{}
	for _, server := range servers {
		if !server.Draining && server.Zone == t.options.Zone {
			counts[t.state(now, server.Key()).use(now)]++
		}
	}
	return counts
}

func (s *state) use(now time.Time) Use {
	switch {
	case now.Sub(s.lastPicked) <= usageWindow || (s.hasEvidence && now.Sub(s.evidenceAt) <= usageWindow):
		return UseRecent
	case now.Before(s.unreachableUntil):
		return UseUnreachable
	case s.failures > 0:
		return UseSuspect
	}
	return UseIdle
}
