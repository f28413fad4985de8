package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/event"
	"bilberrymux/core/refresh"
	"bilberrymux/core/zone"
	"bilberrymux/io/news"
)

// fetchTimeout bounds one fetch of state from a peer. A fetch on a slow link goes on beside others until then.
const fetchTimeout = 2 * time.Second

// fetchState fetches and applies state that is newer at a peer. It does nothing if refresh.Fetches allows no
// fetch now.
func (e *Edge) fetchState(from zone.Member, r *news.StateRequest, announced refresh.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	if !e.fetches.Begin(time.Now(), from.VM, announced, cancel) {
		cancel()
		return
	}
	r.Unpacks = true
	e.tasks.Go(func() {
		defer cancel()
		started := time.Now()
		s, err := e.transport.Fetch(ctx, from.PeerAddress, r)
		took := time.Since(started)
		log := e.log.WithFields(logrus.Fields{"daemon": from.VM, "tookMillis": took.Milliseconds()})
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			e.fetches.Fail(from.VM)
			e.count("news.superseded")
		case err != nil:
			e.fetches.Fail(from.VM)
			e.count("news.unfetched")
			log.WithError(err).Warn("failed to fetch state from a peer")
		case s.Busy:
			e.fetches.Busy(time.Now(), from.VM)
			e.count("news.busyPeers")
		default:
			e.metrics.Observe("news.fetchMicros", took)
			log.WithFields(logrus.Fields{"version": s.Version, "revision": s.Revision, "era": s.Era, "bytes": len(s.Packed) + len(s.Config)}).Info(event.StateFetched)
			e.applyState(from, s)
		}
	})
}

// applyState applies the state that was fetched from a peer.
func (e *Edge) applyState(from zone.Member, s *news.State) {
	for _, m := range s.Members {
		e.members.AddReported(m)
	}
	e.watcher.ApplyState(time.Now(), s, from.VM)
	e.fetches.Succeed(from.VM, refresh.Target{Version: s.Version, Revision: s.ListVersion()})
}

// smallReplyBytes is the size of a packed payload up to which a reply is sent at any time.
const smallReplyBytes = 4 << 10

// stateForPeer returns the state that a peer requests, or one that says that this daemon is busy, and a
// function that is called when the reply has been sent.
func (e *Edge) stateForPeer(r *news.StateRequest) (*news.State, func()) {
	s, key := e.watcher.StateFor(r)
	if r.Members {
		s.Members = append(e.members.All(), e.members.Self())
	}
	if !r.Unpacks || key == (news.PayloadKey{}) {
		return s, func() {}
	}
	if err := e.watcher.Pack(s, key); err != nil {
		e.log.WithError(err).Warn("could not pack data for a peer")
		return s, func() {}
	}
	if len(s.Packed) <= smallReplyBytes {
		return s, func() {}
	}
	number, ok := e.replies.Begin(time.Now())
	if !ok {
		e.count("news.busy")
		return &news.State{Busy: true}, func() {}
	}
	return s, func() { e.replies.End(number) }
}

// helperKey is the key for the rank of the daemons of a zone that send data to those that are behind.
const helperKey = "helper"

// sendMissingData sends data to the sender of a message that lacks it, if refresh.CatchUp asks for that.
func (e *Edge) sendMissingData(now time.Time, m *news.Message) {
	age, lacks := e.watcher.DataAge(now, m)
	if !lacks || !e.catchUp.Due(now, m.From.VM, age, e.members.Rank(helperKey, m.From.VM)) {
		return
	}
	reply := e.message(now)
	reply.Packed = e.watcher.PayloadFor(m)
	if reply.Packed == nil {
		return
	}
	e.count("news.caughtUp")
	e.transport.Send(reply, []string{m.From.PeerAddress})
}
