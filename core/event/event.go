// Package event names the log lines of a daemon. The names are stable: operators
// and the explain command go by them. docs/OPERATIONS.md lists their fields.
package event

// The messages of log lines.
const (
	Started       = "started"
	Stopping      = "stopping"
	Stopped       = "stopped"
	AttemptFailed = "attempt failed"
	Further       = "further attempt"
	NoBudget      = "no budget for a further attempt"
	Answered      = "answered"
	Refused       = "refused"
	Belief        = "belief about a server changed"
	BeliefHeard   = "belief about a server heard"
	Server        = "backend server"
	Config        = "configuration in force"
	DaemonUp      = "daemon up"
	DaemonDown    = "daemon down"
	StoreLost     = "store lost"
	StoreRegained = "store regained"
	Quarantined   = "request quarantined"
)
