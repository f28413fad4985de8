package refresh

import (
	"sync"
	"time"
)

const (
	// replyLease is the time after which a reply counts as ended although its connection is open, so
	// that peers which do not read can't block the others.
	replyLease = 2 * time.Second
	// mbpsPerReply is the bandwidth of the daemon's link, in Mbit/s, for each reply at a time.
	mbpsPerReply = 20
	// maxReplies is the maximum number of replies at a time.
	maxReplies = 8
)

// Replies limits the number of large replies that a daemon sends to its peers at a time, by the bandwidth
// of its link. Peers that are told to come back fetch from those that have got theirs, so that data which
// one daemon has read spreads over the links of all. Replies is safe for concurrent use.
type Replies struct {
	limit int

	mu sync.Mutex
	// startedAt holds the start of each reply in progress by its number.
	startedAt map[uint64]time.Time
	last      uint64
}

// NewReplies returns a Replies for a daemon whose link has the given bandwidth in Mbit/s.
func NewReplies(linkMbps float64) *Replies {
	return &Replies{limit: int(min(max(linkMbps/mbpsPerReply, 1), maxReplies)), startedAt: map[uint64]time.Time{}}
}

// Begin reports whether a reply may be sent now. After it was sent, End must be called with the number that
// Begin returned.
func (r *Replies) Begin(now time.Time) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, at := range r.startedAt {
		if now.Sub(at) >= replyLease {
			delete(r.startedAt, n)
		}
	}
	if len(r.startedAt) >= r.limit {
		return 0, false
	}
	r.last++
	r.startedAt[r.last] = now
	return r.last, true
}

// End records that a reply has ended.
func (r *Replies) End(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.startedAt, number)
}
