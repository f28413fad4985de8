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
	"bilberrymux/io/front"
	"bilberrymux/io/loop"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
)

// The periods of background work.
const (
	// connectionSweep is how often idle connections to servers are closed.
	connectionSweep = 5 * time.Second
	// reconcileGather is how long changes wait for more before shards follow.
	reconcileGather = 20 * time.Millisecond
	// forgetPeriod is how often members that were down for long are dropped.
	forgetPeriod = 30 * time.Second
)

// Start listens and joins the fleet. It returns an error where an address can't
// be had; everything else that fails is tried again in the background.
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
		return fmt.Errorf("daemon: %w", err)
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
	cleaner := &once.Cleaner{Store: d.store, Windows: d.windows(), Owns: d.ownsSlice, Count: d.add}
	d.background.Go(func() { cleaner.Run(ctx) })
	d.pokeReconcile()
	d.serve("callers", func() error { return d.front.Serve(callers) })
	d.log.WithField("incarnation", d.Incarnation()).Info("serving")
	return nil
}

func (d *Daemon) listen(address string) (net.Listener, error) {
	l, err := d.options.Listen(address)
	if err != nil {
		for _, open := range d.listeners {
			open.Close()
		}
		return nil, fmt.Errorf("daemon: listen on %s: %w", address, err)
	}
	d.listeners = append(d.listeners, l)
	return l, nil
}

// serve runs one listener in the background.
func (d *Daemon) serve(name string, f func() error) {
	d.background.Go(func() {
		err := f()
		if err != nil && !d.stopping.Load() && !errors.Is(err, context.Canceled) {
			d.failed <- fmt.Errorf("daemon: serve %s: %w", name, err)
		}
	})
}

// Failed gives the error of a listener that ended by itself.
func (d *Daemon) Failed() <-chan error {
	return d.failed
}

// StopRequested gives a signal when an operator asked for a planned stop.
func (d *Daemon) StopRequested() <-chan struct{} {
	return d.stopAsked
}

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

func (d *Daemon) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reconcile:
			if !loop.Sleep(ctx, reconcileGather) {
				return
			}
		case <-ticker.C:
		}
		d.shards.Reconcile(time.Now())
	}
}

// idleCheck is how often shards that are not used any more are looked for.
const idleCheck = 15 * time.Second

func (d *Daemon) tickLoop(ctx context.Context) {
	loop.Every(ctx, tickPeriod, d.shards.Tick)
}

func (d *Daemon) housekeeping(ctx context.Context) {
	d.background.Go(func() { loop.Every(ctx, connectionSweep, d.backend.Expire) })
	loop.Every(ctx, forgetPeriod, func(now time.Time) { d.members.PurgeDown(now, d.platform.gone) })
}

// locateCount is the number of addresses in a locate answer.
const locateCount = 3

// locate tells a caller where to connect: the owner of its region's shard
// first, then its successors.
func (d *Daemon) locate(service ident.ServiceID) (front.Location, *refusal.Error) {
	c := d.versions.Current()
	s := c.Service(service)
	if s == nil {
		return front.Location{}, refusal.New(refusal.NoRoute, "service %s", service)
	}
	self := d.members.Self()
	view := d.members.View()
	region := self.Region
	if !servedIn(s, region) {
		region = anyRegion(s, region)
	}
	id := ident.ShardID{Service: service, Region: region}
	owners := view.Owners(region, id.String(), locateCount)
	if len(owners) == 0 {
		owners = view.Owners(self.Region, id.String(), locateCount)
	}
	out := front.Location{Service: service, Version: c.Version, TTLSeconds: d.settings.LocateTTLSeconds}
	now := time.Now()
	for _, e := range owners {
		out.Addresses = append(out.Addresses, addressOf(e, now))
	}
	if len(out.Addresses) == 0 {
		out.Addresses = append(out.Addresses, addressOf(&self, now))
	}
	return out, nil
}

func addressOf(e *member.Entry, now time.Time) front.Address {
	return front.Address{
		Address: e.CallerAddress, Region: e.Region, Zone: e.Zone,
		Permit: permitOf(e.Incarnation, now),
	}
}

// Stop is a planned stop: the daemon leaves, goes on serving what still comes,
// lets what is in flight end, and hands back what it holds. It is bounded by
// the settings, and returns the number of requests that it had to leave.
func (d *Daemon) Stop() int64 {
	if !d.stopping.CompareAndSwap(false, true) {
		return 0
	}
	limit := time.Duration(d.settings.StopSeconds) * time.Second
	deadline := time.Now().Add(limit)
	d.log.Info("stopping")
	d.gossip.BroadcastMembers(d.members.SetState(member.Leaving))
	d.front.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.gossip.Flush(ctx)
	d.announce(ctx)
	// Callers keep their locate answer for a while, and are served meanwhile.
	d.linger(deadline)
	_ = d.front.Stop(time.Until(deadline))
	d.flushOutcomes(deadline)
	d.permits.Release(ctx)
	left := d.front.InFlight()
	d.gossip.BroadcastMembers(d.goDown())
	d.gossip.Flush(ctx)
	d.shutdown(deadline)
	d.log.WithField("left", left).Info("stopped")
	return left
}

// goDown marks the own entry as ended.
func (d *Daemon) goDown() member.Entry {
	return d.members.SetState(member.Down)
}

// Quiet times of a planned stop.
const (
	// quietTime is how long no caller may have come before the listener closes.
	quietTime  = time.Second
	lingerStep = 50 * time.Millisecond
)

// linger waits until no callers come any more, for at most the time that they
// keep a locate answer.
func (d *Daemon) linger(deadline time.Time) {
	ttl := time.Duration(d.settings.LocateTTLSeconds) * time.Second
	end := time.Now().Add(ttl)
	if half := time.Now().Add(time.Until(deadline) / 2); half.Before(end) {
		end = half
	}
	last, since := d.Counter("requests"), time.Now()
	for time.Now().Before(end) {
		time.Sleep(lingerStep)
		if n := d.Counter("requests"); n != last || d.front.InFlight() > 0 {
			last, since = n, time.Now()
		}
		if time.Since(since) > quietTime {
			return
		}
	}
}

// flushOutcomes waits for the outcomes of runs to be written.
func (d *Daemon) flushOutcomes(deadline time.Time) {
	d.once.Flush()
	for d.once.Pending() > 0 && time.Now().Before(deadline) {
		time.Sleep(lingerStep)
	}
}

// shutdown ends all background work.
func (d *Daemon) shutdown(deadline time.Time) {
	for d.forwardsInFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(lingerStep)
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

// forwardsInFlight counts the attempts that run for other daemons.
func (d *Daemon) forwardsInFlight() int64 {
	return d.router.Serving()
}

// Kill ends the daemon at once, as a crash would. It is for tests.
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
