package refresh

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

const (
	// catchUpDelay is the age of this daemon's data from which peers that lack it are sent it.
	catchUpDelay = 300 * time.Millisecond
	// catchUpPeriod is the minimum time between two messages that send it to the same peer.
	catchUpPeriod = 250 * time.Millisecond
	// maxCatchUpPeers is the number of peers from which all entries are forgotten, to bound their memory.
	maxCatchUpPeers = 1000
	// catchUpHelpers is the number of daemons of a zone that send data to a peer which lacks it.
	catchUpHelpers = 2
)

// CatchUp decides when a daemon sends data to a peer of its zone whose messages show that it is behind. A peer
// with a slow link may fail to fetch the data, while datagrams still reach it. CatchUp is safe for
// concurrent use.
type CatchUp struct {
	mu     sync.Mutex
	sentAt map[ident.VMID]time.Time
}

// NewCatchUp returns a CatchUp that has sent nothing.
func NewCatchUp() *CatchUp {
	return &CatchUp{sentAt: map[ident.VMID]time.Time{}}
}

// Due reports whether data is sent to the peer now, and records that it is. age is the time for which
// this daemon has had the data, and rank its position, from 0, among the live daemons of the zone but the peer.
func (c *CatchUp) Due(now time.Time, peer ident.VMID, age time.Duration, rank int) bool {
	if age < catchUpDelay || rank >= catchUpHelpers {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sentAt[peer]) < catchUpPeriod {
		return false
	}
	if len(c.sentAt) >= maxCatchUpPeers {
		clear(c.sentAt)
	}
	c.sentAt[peer] = now
	return true
}
