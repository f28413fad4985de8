package edge

import (
	"context"
	"errors"
	"net"
	"time"

	"bilberrymux/core/event"
)

// The phases of a planned stop.
const (
	// lingerPart is the part of the grace in which callers that still come are
	// served, since they keep a locate answer for a while. The rest is for the
	// requests under way.
	lingerPart = 0.5
	// stopMargin is how long before the end by force the daemon is gone.
	stopMargin = 700 * time.Millisecond
)

// Stop ends the daemon by plan: it is no longer offered to callers, answers what
// still comes, and cuts nothing. It returns the requests that were left.
func (e *Edge) Stop() int64 {
	if !e.stopping.CompareAndSwap(false, true) {
		return 0
	}
	begin, grace := time.Now(), e.settings.Bounds.Grace.Duration()
	e.log.WithField("inFlight", e.inFlight.Load()).Info(event.Stopping)
	e.hurry()
	time.Sleep(time.Duration(lingerPart * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(grace-stopMargin))
	defer cancel()
	if err := e.front.app.ShutdownWithContext(ctx); err != nil {
		e.log.WithError(err).Warn("callers' listener not closed in time")
	}
	left := e.inFlight.Load()
	e.log.WithField("left", left).Info(event.Stopped)
	// The process ends now; waiting for its background work would only use up the
	// grace on a slow VM.
	e.shut()
	return left
}

// Kill ends the daemon at once, as a crash would. It is for tests.
func (e *Edge) Kill() {
	e.stopping.Store(true)
	if err := e.front.app.ShutdownWithTimeout(time.Millisecond); err != nil {
		e.log.WithError(err).Warn("requests cut")
	}
	e.shut()
	if err := e.service.app.ShutdownWithTimeout(time.Millisecond); err != nil {
		e.log.WithError(err).Warn("questions cut")
	}
	e.background.Wait()
	e.tasks.Wait()
}

// shut closes all sockets and ends all background work.
func (e *Edge) shut() {
	e.cancel()
	for _, c := range e.closers {
		if err := c(); err != nil && !errors.Is(err, net.ErrClosed) {
			e.log.WithError(err).Warn("listener not closed")
		}
	}
}
