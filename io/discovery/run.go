package discovery

import (
	"context"
	"time"

	"bilberrymux/core/event"
	"bilberrymux/core/refresh"
	"bilberrymux/io/periodic"
)

const (
	// readAgeFraction is the age of the list and of the configuration at which the first
	// daemon of a zone reads them again, as a fraction of the time within which changes
	// must be in force.
	readAgeFraction = 0.4
	// secondReaderDelay and secondFollowerDelay are the delays of the second daemon of a
	// zone for the list and for the configuration.
	secondReaderDelay   = 300 * time.Millisecond
	secondFollowerDelay = 500 * time.Millisecond
	// initialReadDelay is how long a newly started daemon that is not the first of its zone
	// waits for data from peers before it reads the store.
	initialReadDelay = 400 * time.Millisecond
	// ageCheckInterval is the interval at which the ages of the list and of the
	// configuration are checked.
	ageCheckInterval = 50 * time.Millisecond
)

// listReaderKey and configFollowerKey are the keys by which the daemons of a zone are
// ranked as readers of the list and as followers of the configuration.
const (
	listReaderKey     = "reader"
	configFollowerKey = "follower"
)

// schedule returns the turns of a zone's daemons for data whose changes must be in force
// within limit.
func schedule(limit, secondDelay time.Duration) refresh.Schedule {
	return refresh.Schedule{Period: time.Duration(readAgeFraction * float64(limit)), SecondDelay: secondDelay}
}

// FollowServers keeps the list up to date until the context ends. It reads the store
// whenever the list reaches the maximum age for this daemon's rank.
func (w *Watcher) FollowServers(ctx context.Context) {
	w.awaitPeers(ctx, listReaderKey)
	periodic.Every(ctx, ageCheckInterval, func(now time.Time) {
		w.expireRows(now)
		_, servers := w.Ages(now)
		if servers < w.listSchedule.MaxAge(w.options.Members.Rank(listReaderKey)) || !w.beginCall(now) {
			return
		}
		w.endCall(w.listCalls.do(listPatience, func() error { return w.ReadServers(ctx) }))
	})
	w.listCalls.wait()
}

// FollowConfig keeps the configuration up to date until the context ends. The first
// daemon of a zone holds a call for changes open, but no longer than the configuration may
// go unconfirmed. The others call when the first one's confirmations are late.
func (w *Watcher) FollowConfig(ctx context.Context) {
	w.awaitPeers(ctx, configFollowerKey)
	for ctx.Err() == nil {
		now := time.Now()
		wait, due := w.configCall(now)
		if !due || !w.beginCall(now) {
			periodic.Sleep(ctx, ageCheckInterval)
			continue
		}
		err := w.configCalls.do(wait+configPatience, func() error { return w.pollConfig(ctx, wait) })
		w.endCall(err)
		if err != nil && ctx.Err() == nil {
			w.options.Log.WithError(err).Warn("could not follow the configuration")
		}
		// A store that answers at once without changes must not be called all the time.
		if time.Since(now) < ageCheckInterval {
			periodic.Sleep(ctx, ageCheckInterval)
		}
	}
	w.configCalls.wait()
}

// configCall returns whether this daemon is to ask the store for changes of the
// configuration, and how long the store may hold the call open.
func (w *Watcher) configCall(now time.Time) (wait time.Duration, due bool) {
	rank := w.options.Members.Rank(configFollowerKey)
	if rank == 0 && !w.calls.Down() {
		// A change arrives by a call that began long before. The zone needs a newer confirmation.
		if config, _ := w.storeAges(now); config >= w.configSchedule.Period/2 {
			return 0, true
		}
		return w.configSchedule.Period, true
	}
	config, _ := w.Ages(now)
	return 0, config >= w.configSchedule.MaxAge(rank)
}

// awaitPeers gives the peers of a newly started daemon time to send their data, unless it
// is the first of its zone.
func (w *Watcher) awaitPeers(ctx context.Context, key string) {
	if w.options.Members.Rank(key) > 0 {
		periodic.Sleep(ctx, initialReadDelay)
	}
}

// beginCall reports whether the store may be called now.
func (w *Watcher) beginCall(now time.Time) bool {
	return w.calls.Begin(now, len(w.options.Members.Live())+1)
}

// endCall records the result of a call, and logs when the store becomes unreachable or
// reachable again.
func (w *Watcher) endCall(err error) {
	if !w.calls.End(time.Now(), err == nil) {
		return
	}
	if err != nil {
		w.options.Log.WithError(err).Warn(event.StoreLost)
		return
	}
	w.options.Log.Info(event.StoreRegained)
}
