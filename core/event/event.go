// Package event defines the messages of a daemon's log lines. Operators and the
// explain command match them, so they must not change. docs/OPERATIONS.md lists
// the fields of each message.
package event

// The messages of log lines.
const (
	Started        = "started"
	Stopping       = "stopping"
	Stopped        = "stopped"
	AttemptFailed  = "attempt failed"
	FurtherAttempt = "further attempt"
	NoBudget       = "no budget for a further attempt"
	Answered       = "answered"
	Refused        = "refused"
	BeliefChanged  = "belief about a server changed"
	BeliefReceived = "belief about a server heard"
	ServerHoldoff  = "backend server asks for no requests"
	LimitChanged   = "limit of a backend server"
	ServerChanged  = "backend server"
	ConfigApplied  = "configuration in force"
	// ConfigContradicted tells of a second content under the version that is in force.
	ConfigContradicted = "configuration differs under the same version"
	ConfigRead         = "configuration read"
	StateFetched       = "state fetched from a peer"
	DaemonUp           = "daemon up"
	DaemonDown         = "daemon down"
	StoreLost          = "store lost"
	StoreRegained      = "store regained"
	StoreEra           = "store came back from a copy"
	DaemonSlow         = "this daemon is slow"
	Quarantined        = "request quarantined"
)
