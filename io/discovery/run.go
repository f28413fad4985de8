package discovery

import (
	"context"
	"time"

	"bilberrymux/core/event"
	"bilberrymux/io/periodic"
)

// Intervals of the reads from the store.
const (
	// readAgeFraction is the age of the list, as a fraction of Options.DrainDelay, at
	// which the first reader of a zone reads it again.
	readAgeFraction = 0.4
	// secondReaderDelay is how much longer than the first reader the second reader of
	// a zone waits, and readerRankDelay how much longer each further one waits than
	// the reader before it.
	secondReaderDelay = 300 * time.Millisecond
	readerRankDelay   = 150 * time.Millisecond
	// initialReadDelay is how long a newly started daemon that is not the first reader
	// waits for a list from peers before it reads the store.
	initialReadDelay = 400 * time.Millisecond
	// ageCheckInterval is the interval at which the age of the list is checked.
	ageCheckInterval = 50 * time.Millisecond
	// A failed read is retried after minBackoff, which is doubled with every further
	// failure up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// listReaderKey and configFollowerKey are the keys by which the daemons of a zone are
// ranked as readers of the list and as followers of the configuration.
const (
	listReaderKey     = "reader"
	configFollowerKey = "follower"
)

// maxListAge returns the age of the list at which the daemon with a rank in its zone
// reads it again. Rank 0 is the first reader.
func (w *Watcher) maxListAge(rank int) time.Duration {
	period := time.Duration(readAgeFraction * float64(w.options.DrainDelay))
	if rank == 0 {
		return period
	}
	return period + secondReaderDelay + time.Duration(rank-1)*readerRankDelay
}

// FollowServers keeps the list up to date until the context ends. It reads the store
// whenever the list reaches the maximum age for this daemon's rank.
func (w *Watcher) FollowServers(ctx context.Context) {
	if w.options.Members.Rank(listReaderKey) > 0 {
		w.nextRead = time.Now().Add(initialReadDelay)
	}
	periodic.Every(ctx, ageCheckInterval, func(now time.Time) {
		_, servers := w.ages(now)
		if servers < w.maxListAge(w.options.Members.Rank(listReaderKey)) || now.Before(w.nextRead) {
			return
		}
		w.recordRead(w.ReadServers(ctx))
	})
}

// recordRead updates the backoff by the result of a read, and logs when the store
// becomes unreachable or reachable again.
func (w *Watcher) recordRead(err error) {
	if err == nil {
		if w.storeDown {
			w.options.Log.Info(event.StoreRegained)
		}
		w.storeDown, w.backoff, w.nextRead = false, 0, time.Time{}
		return
	}
	if !w.storeDown {
		w.options.Log.WithError(err).Warn(event.StoreLost)
	}
	w.storeDown = true
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.nextRead = time.Now().Add(w.backoff)
}

// configFollowers is the number of daemons of a zone that follow the configuration
// feed of the store. They announce changes to the other daemons.
const configFollowers = 4

// followCheckInterval is the interval at which a daemon that does not follow the
// configuration checks whether it should.
const followCheckInterval = 200 * time.Millisecond

// shouldFollowConfig reports whether this daemon is one of the followers of the
// configuration in its zone, or the configuration was not confirmed for so long that
// the followers must have failed.
func (w *Watcher) shouldFollowConfig() bool {
	config, _ := w.ages(time.Now())
	return config > feedWait+feedGrace || w.options.Members.Rank(configFollowerKey) < configFollowers
}

// FollowConfig keeps the configuration up to date until the context ends. It follows
// the configuration feed of the store while shouldFollowConfig reports true.
func (w *Watcher) FollowConfig(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		if !w.shouldFollowConfig() {
			if !periodic.Sleep(ctx, followCheckInterval) {
				return
			}
			continue
		}
		if err := w.pollConfig(ctx); err == nil {
			pause = minBackoff
			continue
		} else if ctx.Err() == nil {
			w.options.Log.WithError(err).Warn("could not follow the configuration")
		}
		if !periodic.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxBackoff)
	}
}
