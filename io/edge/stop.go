package edge

import (
	"context"
	"time"
)

// The phases of a planned stop.
const (
	// stopMargin is how long before the end by force the daemon is gone.
	stopMargin = 700 * time.Millisecond
	// lastCalls is the time at the end in which no new request is read.
	lastCalls = 300 * time.Millisecond
	// stopTick is how often the state is looked at.
	stopTick = 50 * time.Millisecond
)

// Stop ends the daemon by plan: it is no longer offered to callers, answers what
// still comes, and cuts nothing. It returns the requests that were left.
func (e *Edge) Stop() int64 {
	if !e.stopping.CompareAndSwap(false, true) {
		return 0
	}
	end := time.Now().Add(e.settings.Bounds.Grace.Duration() - stopMargin)
	e.log.WithField("inFlight", e.inFlight.Load()).Info("stopping")
	e.tellZone(time.Now())
	e.linger(end.Add(-lastCalls))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := e.front.app.ShutdownWithContext(ctx); err != nil {
		e.log.WithError(err).Warn("callers' listener not closed in time")
	}
	left := e.inFlight.Load()
	e.log.WithField("left", left).Info("stopped")
	e.close()
	return left
}

// linger serves the callers that still come until the end.
func (e *Edge) linger(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(stopTick)
	}
}

// close ends all background work.
func (e *Edge) close() {
	e.cancel()
	for _, c := range e.closers {
		_ = c()
	}
}
