package edge

import (
	"context"
	"errors"
	"net"
	"time"

	"bilberrymux/core/event"
	"bilberrymux/core/shutdown"
)

// stopMargin is how long before the end of the grace period, when the process is killed, the shutdown
// must be complete.
const stopMargin = 700 * time.Millisecond

// errStopping is the cause of the end of a request that outlasts a planned stop.
var errStopping = errors.New("edge: the grace period ends")

// Stop shuts the daemon down gracefully. The daemon is no longer offered to callers. It serves the
// requests that still arrive and can end in time, refuses the others as not run, and waits for those
// in flight until shortly before the grace period ends, when it answers them itself. Stop returns the number of
// requests that were still in flight then, or 0 if the daemon was already stopping.
func (e *Edge) Stop() int64 {
	if !e.stopping.CompareAndSwap(false, true) {
		return 0
	}
	now := time.Now()
	plan := shutdown.NewPlan(now, now.Add(e.settings.Bounds.Grace.Duration()-stopMargin))
	e.gate.Begin(plan)
	e.log.WithField("inFlight", e.inFlight.Load()).Info(event.Stopping)
	e.triggerGossip()
	time.Sleep(time.Until(plan.AcceptUntil))
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	ending := time.AfterFunc(time.Until(plan.End)-responseTime, func() { e.endCallers(errStopping) })
	defer ending.Stop()
	if err := e.callerServer.app.ShutdownWithContext(ctx); err != nil {
		e.log.WithError(err).Warn("server for callers did not shut down in time")
	}
	left := e.awaitResponses()
	e.log.WithField("left", left).Info(event.Stopped)
	// The process exits next. Waiting for its background work would only use up the grace
	// period on a slow VM.
	e.closeAll()
	return left
}

// responseTime bounds the time in which the responses to requests that came at the end of a planned stop are
// written.
const responseTime = 100 * time.Millisecond

// awaitResponses waits until no request is in flight, for at most responseTime, and returns the number of those
// that still are. Those that come at the end are refused, which takes some time on a busy VM.
func (e *Edge) awaitResponses() int64 {
	for limit := time.Now().Add(responseTime); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if e.inFlight.Load() == 0 {
			return 0
		}
	}
	return e.inFlight.Load()
}

// Kill stops the daemon at once, as a crash would. Only tests use it.
func (e *Edge) Kill() {
	e.stopping.Store(true)
	if err := e.callerServer.app.ShutdownWithTimeout(time.Millisecond); err != nil {
		e.log.WithError(err).Warn("in-flight requests of callers were aborted")
	}
	e.closeAll()
	if err := e.infoServer.app.ShutdownWithTimeout(time.Millisecond); err != nil {
		e.log.WithError(err).Warn("in-flight status requests were aborted")
	}
	e.background.Wait()
	e.tasks.Wait()
}

// closeAll closes all listeners and the store client, and cancels the background work.
func (e *Edge) closeAll() {
	e.cancel()
	for _, c := range e.closers {
		if err := c(); err != nil && !errors.Is(err, net.ErrClosed) {
			e.log.WithError(err).Warn("failed to close a listener or the store client")
		}
	}
}
