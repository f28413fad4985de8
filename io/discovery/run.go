package discovery

import (
	"context"
	"time"

	"bilberrymux/io/loop"

	"bilberrymux/core/event"
)

// The pace of reading.
const (
	// readPart is how old the list of servers may become before the first reader
	// of a zone reads it again, as a part of the time in which a leaving server
	// must get no more work.
	readPart = 0.4
	// readSlack is how much longer the second reader waits, and readStep how
	// much longer each further one.
	readSlack = 300 * time.Millisecond
	readStep  = 150 * time.Millisecond
	// firstRead is how long a new daemon waits for news from its zone.
	firstRead = 400 * time.Millisecond
	// readTick is how often the age is looked at.
	readTick = 50 * time.Millisecond
	// A failed read is tried again after leastPause, doubled up to mostPause.
	leastPause = 300 * time.Millisecond
	mostPause  = 3 * time.Second
)

// readerKey and followerKey order the daemons of a zone as readers of the list and
// as followers of the configuration.
const (
	readerKey   = "reader"
	followerKey = "follower"
)

// readAfter returns the age of the list from which the daemon of a rank reads.
func (k *Watcher) readAfter(rank int) time.Duration {
	period := time.Duration(readPart * float64(k.options.DrainDelay))
	if rank == 0 {
		return period
	}
	return period + readSlack + time.Duration(rank-1)*readStep
}

// FollowServers reads the list whenever it is this daemon's turn, until the
// context ends.
func (k *Watcher) FollowServers(ctx context.Context) {
	if k.options.Zone.Rank(readerKey) > 0 {
		k.nextRead = time.Now().Add(firstRead)
	}
	loop.Every(ctx, readTick, func(now time.Time) {
		_, servers := k.ages(now)
		if servers < k.readAfter(k.options.Zone.Rank(readerKey)) || now.Before(k.nextRead) {
			return
		}
		k.outcome(k.ReadServers(ctx))
	})
}

// outcome paces the reads by how the last one went.
func (k *Watcher) outcome(err error) {
	if err == nil {
		if k.away {
			k.options.Log.Info(event.StoreRegained)
		}
		k.away, k.pause, k.nextRead = false, 0, time.Time{}
		return
	}
	if !k.away {
		k.options.Log.WithError(err).Warn(event.StoreLost)
	}
	k.away = true
	k.pause = min(max(2*k.pause, leastPause), mostPause)
	k.nextRead = time.Now().Add(k.pause)
}

// followers is the number of daemons of a zone that wait at the store for changes
// of the configuration; the others hear of them from these.
const followers = 4

// followTick is how often a daemon that does not follow looks whether it should.
const followTick = 200 * time.Millisecond

// follows reports whether it is this daemon's turn to follow the configuration.
func (k *Watcher) follows() bool {
	config, _ := k.ages(time.Now())
	return config > feedWait+feedSlack || k.options.Zone.Rank(followerKey) < followers
}

// FollowConfig keeps the configuration up to date until the context ends.
func (k *Watcher) FollowConfig(ctx context.Context) {
	pause := leastPause
	for ctx.Err() == nil {
		if !k.follows() {
			if !loop.Sleep(ctx, followTick) {
				return
			}
			continue
		}
		if err := k.followConfig(ctx); err == nil {
			pause = leastPause
			continue
		} else if ctx.Err() == nil {
			k.options.Log.WithError(err).Warn("configuration not followed")
		}
		if !loop.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, mostPause)
	}
}
