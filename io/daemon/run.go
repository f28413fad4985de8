package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shutdown"
	"bilberrymux/io/front"
	"bilberrymux/io/listener"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/periodic"
)

// Periods of background tasks.
const (
	// connectionSweepPeriod is how often idle connections to backend servers are closed.
	connectionSweepPeriod = 5 * time.Second
	// reconcileDebounce is how long a change waits for further ones before the shards are reconciled,
	// so that a burst of changes causes a single reconciliation.
	reconcileDebounce = 20 * time.Millisecond
	// downMemberPurgePeriod is how often the entries of members that are down are checked for removal.
	downMemberPurgePeriod = 30 * time.Second
)

// Start opens the listeners, joins the fleet and starts the background tasks, which run until the
// context ends or the daemon is stopped. Start returns an error if a listener cannot be opened or the
// peer server cannot be created; other failures are retried in the background.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	callers, err := d.listen(d.settings.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := d.listen(d.settings.PeerAddress)
	if err != nil {
		return err
	}
	operators, err := d.listen(d.settings.AdminAddress)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(d.handlers(), d.traffic)
	if err != nil {
		return fmt.Errorf("daemon: create peer server: %w", err)
	}
	d.serve("peers", func() error { return server.Serve(ctx, peers) })
	d.serve("operators", func() error { return d.admin.Serve(operators) })
	d.once.Start(ctx, &d.background)
	d.background.Go(func() { d.platformLoop(ctx) })
	d.join(ctx)
	d.gossip.Start(ctx, &d.background)
	d.permits.Start(ctx, &d.background)
	d.background.Go(func() { d.reconcileLoop(ctx) })
	d.background.Go(func() { d.tickLoop(ctx) })
	d.background.Go(func() { d.probeLoop(ctx) })
	d.background.Go(func() { d.housekeeping(ctx) })
	cleaner := &once.Cleaner{Store: d.store, Retention: d.retention(), Owns: d.ownsClaimPartition, Count: d.add}
	d.background.Go(func() { cleaner.Run(ctx) })
	d.triggerReconcile()
	d.serve("callers", func() error { return d.front.Serve(callers) })
	d.log.WithField("incarnation", d.Incarnation()).Info("serving")
	return nil
}

// listen opens a listener. On failure it closes the listeners that are already open.
func (d *Daemon) listen(address string) (net.Listener, error) {
	l, err := d.options.Listen(address)
	if err != nil {
		for _, open := range d.listeners {
			open.Close()
		}
		return nil, fmt.Errorf("daemon: listen on %s: %w", address, err)
	}
	d.listeners = append(d.listeners, l)
	return listener.New(l, d.log), nil
}

// serve runs the server of one listener in the background. An error that is not caused by a stop is
// sent to the channel that Failed returns.
func (d *Daemon) serve(name string, f func() error) {
	d.background.Go(func() {
		err := f()
		if err != nil && !d.stopping.Load() && !errors.Is(err, context.Canceled) {
			d.failed <- fmt.Errorf("daemon: serve %s: %w", name, err)
		}
	})
}

// Failed returns the channel that receives the error of a listener that ended while the daemon was
// running.
func (d *Daemon) Failed() <-chan error {
	return d.failed
}

// StopRequested returns the channel that signals a request for a planned stop by an operator, or
// that the platform is about to remove the VM.
func (d *Daemon) StopRequested() <-chan struct{} {
	return d.stopRequested
}

// handlers returns the handlers of the calls from other daemons.
func (d *Daemon) handlers() peer.Handlers {
	return peer.Handlers{
		Forward:  d.router.ServeForward,
		Exchange: d.gossip.Exchange,
		Probe: func(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
			return d.gossip.ServeProbe(ctx, req, d.backend.Reachable)
		},
		FetchConfig: d.gossip.ServeConfig,
	}
}

// reconcileLoop reconciles the shards after each change of the members or the configuration, and
// every reconcilePeriod.
func (d *Daemon) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reconcile:
			if !periodic.Sleep(ctx, reconcileDebounce) {
				return
			}
		case <-ticker.C:
		}
		d.shards.Reconcile(time.Now())
	}
}

// reconcilePeriod is how often the shards are reconciled without a change, which removes shards that
// are no longer used.
const reconcilePeriod = 15 * time.Second

// tickLoop updates the time-dependent state of the shards every shardTickPeriod.
func (d *Daemon) tickLoop(ctx context.Context) {
	periodic.Every(ctx, shardTickPeriod, d.shards.Tick)
}

// housekeeping closes idle connections and removes the entries of members that are down, until the
// context ends.
func (d *Daemon) housekeeping(ctx context.Context) {
	d.background.Go(func() { periodic.Every(ctx, connectionSweepPeriod, d.backend.Expire) })
	periodic.Every(ctx, downMemberPurgePeriod, func(now time.Time) { d.members.PurgeDown(now, d.platform.removed) })
}

// maxLocateAddresses is the maximum number of addresses in a locate answer.
const maxLocateAddresses = 3

// locate returns the addresses to which a caller of a service should connect: the owner of the shard
// in this daemon's region first, then its successors. If the service has no backend servers in this
// region, the shard of the region that firstServerRegion returns is used. If no daemon is live in that
// region, daemons of this daemon's region are chosen, and if none is live here either, the answer has
// this daemon's own address.
func (d *Daemon) locate(service ident.ServiceID) (front.Location, *refusal.Error) {
	c := d.versions.Current()
	s := c.Service(service)
	if s == nil {
		return front.Location{}, refusal.New(refusal.NoRoute, "service %s", service)
	}
	self := d.members.Self()
	view := d.members.View()
	region := self.Region
	if !hasServersIn(s, region) {
		region = firstServerRegion(s, region)
	}
	id := ident.ShardID{Service: service, Region: region}
	owners := view.Owners(region, id.String(), maxLocateAddresses)
	if len(owners) == 0 {
		owners = view.Owners(self.Region, id.String(), maxLocateAddresses)
	}
	out := front.Location{Service: service, Version: c.Version, TTLSeconds: d.settings.LocateTTLSeconds}
	now := time.Now()
	for _, e := range owners {
		out.Addresses = append(out.Addresses, locateAddress(e, now))
	}
	if len(out.Addresses) == 0 {
		out.Addresses = append(out.Addresses, locateAddress(&self, now))
	}
	return out, nil
}

// locateAddress returns the entry of a daemon in a locate answer, with a new permit.
func locateAddress(e *member.Entry, now time.Time) front.Address {
	return front.Address{
		Address: e.CallerAddress, Region: e.Region, Zone: e.Zone,
		Permit: newKeyPermit(e.Incarnation, now),
	}
}

// Stop performs a planned stop. The daemon announces that it is leaving, keeps serving the requests
// that still arrive, waits for requests in flight, writes pending outcomes, releases its permits and
// then stops all background tasks. The time limit is StopSeconds of the settings. Stop returns the
// number of requests that were still in flight when it gave up waiting; a second call returns 0 at
// once.
func (d *Daemon) Stop() int64 {
	if !d.stopping.CompareAndSwap(false, true) {
		return 0
	}
	now := time.Now()
	deadline := now.Add(time.Duration(d.settings.StopSeconds) * time.Second)
	plan := shutdown.NewPlan(now, deadline.Add(-backgroundStopTime))
	d.log.Info("stopping")
	d.gossip.BroadcastMembers(d.members.SetState(member.Leaving))
	d.front.Drain(plan)
	d.router.Drain(plan)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.gossip.Flush(ctx)
	d.writeOwnRow(ctx)
	// Callers may use a cached locate answer until its TTL ends, so requests are still served here.
	d.awaitQuietCallers(deadline)
	if err := d.front.Stop(time.Until(plan.End)); err != nil {
		d.log.WithError(err).Warn("server for callers did not shut down in time")
	}
	d.flushOutcomes(deadline)
	d.permits.Release(ctx)
	unfinished := d.front.InFlight()
	d.gossip.BroadcastMembers(d.markSelfDown())
	d.gossip.Flush(ctx)
	d.stopBackground(deadline)
	d.log.WithField("left", unfinished).Info("stopped")
	return unfinished
}

// markSelfDown sets this daemon's own state to down and returns the new entry.
func (d *Daemon) markSelfDown() member.Entry {
	return d.members.SetState(member.Down)
}

// Waits of a planned stop.
const (
	// quietPeriod is how long no request may arrive or be in flight before the listener closes.
	quietPeriod = time.Second
	// drainPollPeriod is the time between two checks of whether work in progress has ended.
	drainPollPeriod = 50 * time.Millisecond
	// backgroundStopTime is the time that is left for outcomes, permits and background tasks after the
	// last request has ended.
	backgroundStopTime = 200 * time.Millisecond
)

// awaitQuietCallers waits until no requests have arrived for quietPeriod and none is in flight. It
// waits for at most the TTL of locate answers, and at most half the time until the deadline.
func (d *Daemon) awaitQuietCallers(deadline time.Time) {
	ttl := time.Duration(d.settings.LocateTTLSeconds) * time.Second
	limit := time.Now().Add(ttl)
	if half := time.Now().Add(time.Until(deadline) / 2); half.Before(limit) {
		limit = half
	}
	last, quietSince := d.Counter("requests"), time.Now()
	for time.Now().Before(limit) {
		time.Sleep(drainPollPeriod)
		if n := d.Counter("requests"); n != last || d.front.InFlight() > 0 {
			last, quietSince = n, time.Now()
		}
		if time.Since(quietSince) > quietPeriod {
			return
		}
	}
}

// flushOutcomes waits until the pending outcomes of executed requests are written, or until the
// deadline.
func (d *Daemon) flushOutcomes(deadline time.Time) {
	d.once.Flush()
	for d.once.Pending() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
}

// stopBackground waits for forwarded requests until the deadline, then closes the listeners and ends
// all background tasks.
func (d *Daemon) stopBackground(deadline time.Time) {
	for d.forwardsInFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollPeriod)
	}
	d.cancel()
	_ = d.admin.Stop()
	for _, l := range d.listeners {
		l.Close()
	}
	d.background.Wait()
	d.tasks.Wait()
	_ = d.peers.Close()
}

// forwardsInFlight returns the number of requests that this daemon is executing for other daemons.
func (d *Daemon) forwardsInFlight() int64 {
	return d.router.ForwardsInFlight()
}

// Kill stops the daemon immediately, without announcing it, to simulate a crash in tests.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cancel()
	for _, l := range d.listeners {
		l.Close()
	}
	_ = d.front.Stop(time.Millisecond)
	_ = d.admin.Stop()
	d.background.Wait()
	d.tasks.Wait()
	_ = d.peers.Close()
}
