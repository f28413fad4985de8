package refresh

import (
	"sync"
	"time"

	"bilberrymux/core/ident"
)

const (
	// fetchPatience is how long a daemon waits for a peer before it fetches from another one
	// as well.
	fetchPatience = 300 * time.Millisecond
	// maxFetches is the maximum number of fetches at a time.
	maxFetches = 3
)

// Fetches decides whether a daemon fetches data from a peer while earlier fetches are in
// progress, so that a peer which does not answer delays the data of others only by
// fetchPatience. Fetches is safe for concurrent use.
type Fetches struct {
	mu sync.Mutex
	// startedAt holds the start of each fetch in progress by the peer.
	startedAt map[ident.VMID]time.Time
}

// NewFetches returns a Fetches without fetches in progress.
func NewFetches() *Fetches {
	return &Fetches{startedAt: map[ident.VMID]time.Time{}}
}

// Begin reports whether a fetch from the peer may start now. After each fetch that Begin
// allowed, End must be called.
func (f *Fetches) Begin(now time.Time, peer ident.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, busy := f.startedAt[peer]; busy || len(f.startedAt) >= maxFetches {
		return false
	}
	for _, at := range f.startedAt {
		if now.Sub(at) < fetchPatience {
			return false
		}
	}
	f.startedAt[peer] = now
	return true
}

// End records that the fetch from the peer has ended.
func (f *Fetches) End(peer ident.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.startedAt, peer)
}
