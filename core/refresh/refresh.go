// Package refresh decides how shared data reaches all daemons: when a daemon reads it from the platform's store,
// how the daemons of a zone take turns and pause while the store does not answer, from which peer a daemon
// fetches it, how many peers it serves at a time, and when it sends data to a peer that is behind.
// It does no I/O and starts no goroutines.
package refresh

import "time"

// rankDelay is how much longer each daemon of a zone after the second one waits than the
// daemon before it. Where more than half of a zone's daemons end at once, the first one that
// is left must still read in time.
const rankDelay = 75 * time.Millisecond

// Schedule configures how the daemons of a zone take turns in reading one kind of data.
type Schedule struct {
	// Period is the age of the data at which the first daemon reads it again.
	Period time.Duration
	// SecondDelay is how much longer the second daemon waits than the first one. It must
	// cover the time until the second daemon hears of the first one's read.
	SecondDelay time.Duration
}

// MaxAge returns the age of the data at which the daemon with a rank in its zone reads it
// again. Rank 0 is the first daemon.
func (s Schedule) MaxAge(rank int) time.Duration {
	if rank == 0 {
		return s.Period
	}
	return s.Period + s.SecondDelay + time.Duration(rank-1)*rankDelay
}
