package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/shard"
	"bilberrymux/core/store"
	"bilberrymux/io/periodic"
)

// vmPrefix is the key prefix of the rows in which VMs publish their member entries.
const vmPrefix = "vm/"

// shardTickPeriod is how often the time-dependent state of the shards is updated.
const shardTickPeriod = shard.TickPeriod

// Periods and limits of access to the platform.
const (
	// configPollPeriod is the mean time between two reads of the configuration's head by a poller.
	configPollPeriod = time.Second
	// memberPollPeriod is how often a poller reads the platform's VM list and the VMs' rows.
	memberPollPeriod = 15 * time.Second
	// ownRowRefreshPeriod is how often a daemon rewrites the row of its own VM.
	ownRowRefreshPeriod = 5 * time.Minute
	// pollersPerRegion is the number of daemons per region that poll the platform on behalf of the
	// others.
	pollersPerRegion = 4
	// nonPollerPeriod is how often a daemon that is not a poller reads the VM list and the rows.
	nonPollerPeriod = 10 * time.Minute
	// joinTimeout bounds the whole join, including the calls to the store and to the seeds.
	joinTimeout = 5 * time.Second
)

// platformView holds the VM list that was last read from the platform. It is safe for concurrent
// use.
type platformView struct {
	mu  sync.RWMutex
	vms map[ident.VMID]store.VM
	// everListed holds every VM that was on any list so far.
	everListed map[ident.VMID]bool
}

// update replaces the VM list.
func (p *platformView) update(list []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = make(map[ident.VMID]store.VM, len(list))
	if p.everListed == nil {
		p.everListed = map[ident.VMID]bool{}
	}
	for _, vm := range list {
		p.vms[vm.ID] = vm
		p.everListed[vm.ID] = true
	}
}

// removed reports whether a VM was on the platform's list earlier and is not on the latest one. The
// list lags behind, so a VM that was never on it may be new and does not count as removed.
func (p *platformView) removed(vm ident.VMID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.vms == nil {
		return false
	}
	_, listed := p.vms[vm]
	return !listed && p.everListed[vm]
}

// leaving returns the sorted IDs of the VMs that the platform is about to remove.
func (p *platformView) leaving() []ident.VMID {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []ident.VMID
	for id, vm := range p.vms {
		if vm.Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// join adds this daemon to the fleet. It writes the daemon's row and reads the members and the
// configuration from the store. If that yields no other live daemon, it contacts the seeds; if the
// configuration cannot be read, it is fetched from other daemons.
func (d *Daemon) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	d.writeOwnRow(ctx)
	d.readMembers(ctx)
	if d.members.View().LiveCount() <= 1 {
		d.contactSeeds(ctx)
	}
	if err := d.versions.Poll(ctx); err != nil {
		d.log.WithError(err).Warn("could not read the configuration from the store")
		d.fetchConfigFromPeers(ctx)
	}
	d.gossip.BroadcastMembers(d.members.Self())
}

// contactSeeds exchanges members and configuration with daemons at known addresses until this daemon
// knows another live daemon and has a configuration. The addresses are the seeds of the settings,
// and those of the VMs on the platform's list combined with this daemon's own peer port.
func (d *Daemon) contactSeeds(ctx context.Context) {
	for _, address := range append(slices.Clone(d.settings.SeedPeers), d.platformPeerAddresses(ctx)...) {
		if address == d.settings.PeerAddress || ctx.Err() != nil {
			continue
		}
		if err := d.gossip.Reconcile(ctx, address); err != nil {
			d.count("member.seedFailed")
			continue
		}
		if d.members.View().LiveCount() > 1 && d.ConfigVersion() > 0 {
			return
		}
	}
}

// platformPeerAddresses returns the likely peer addresses of the VMs on the platform's list. It
// assumes that all daemons use the same peer port as this one. VMs about to be removed are left out.
func (d *Daemon) platformPeerAddresses(ctx context.Context) []string {
	list, err := d.store.ListVMs(ctx)
	_, port, splitErr := net.SplitHostPort(d.settings.PeerAddress)
	if err != nil || splitErr != nil {
		return nil
	}
	var out []string
	for _, vm := range list {
		if vm.Address != "" && !vm.Leaving {
			out = append(out, net.JoinHostPort(vm.Address, port))
		}
	}
	return out
}

// writeOwnRow writes this daemon's member entry to the row of its VM. A failure is only counted;
// platformLoop writes the row again after ownRowRefreshPeriod.
func (d *Daemon) writeOwnRow(ctx context.Context) {
	row, err := json.Marshal(d.members.Self())
	if err != nil {
		return
	}
	_, err = d.store.Transact(ctx, []store.Write{{
		Key: vmPrefix + string(d.settings.VM), Value: row, Expect: store.Anything,
	}})
	if err != nil {
		d.count("member.announceFailed")
	}
}

// readMembers merges the member entries in all VMs' rows into the member table, marks those of
// removed VMs as down and deletes their rows, and broadcasts what changed.
func (d *Daemon) readMembers(ctx context.Context) {
	rows, err := d.store.ScanAll(ctx, vmPrefix)
	if err != nil {
		d.count("member.readFailed")
		return
	}
	list, err := d.store.ListVMs(ctx)
	if err != nil {
		d.count("member.readFailed")
		return
	}
	d.platform.update(list)
	var entries []member.Entry
	for _, row := range rows {
		var e member.Entry
		if json.Unmarshal(row.Value, &e) != nil || e.VM == "" {
			continue
		}
		if d.platform.removed(e.VM) {
			e.State = member.Down
			d.deleteRemovedVMRow(ctx, row)
		}
		entries = append(entries, e)
	}
	if changed := d.members.Merge(time.Now(), entries); len(changed) > 0 {
		d.gossip.BroadcastMembers(changed...)
	}
	d.propagateDepartures()
}

// deleteRemovedVMRow deletes the row of a VM that no longer exists. Only the first poller of each
// region does so, and only if the row is unchanged since it was read.
func (d *Daemon) deleteRemovedVMRow(ctx context.Context, row store.Row) {
	self := d.members.Self()
	first := d.members.View().Owners(self.Region, "poll", 1)
	if len(first) == 0 || first[0].VM != self.VM {
		return
	}
	_, _ = d.store.Transact(ctx, []store.Write{{
		Key: row.Key, Delete: true, Expect: store.AtRevision, Revision: row.Revision,
	}})
}

// ownsClaimPartition reports whether this daemon cleans up a partition of the claim rows. One daemon
// of the fleet's first region is responsible for each partition.
func (d *Daemon) ownsClaimPartition(partition string) bool {
	self := d.members.Self()
	regions := d.members.View().Regions()
	if len(regions) == 0 || regions[0] != self.Region {
		return false
	}
	first := d.members.View().Owners(self.Region, partition, 1)
	return len(first) > 0 && first[0].VM == self.VM
}

// propagateDepartures broadcasts which VMs the platform is about to remove and which it has removed.
// If this daemon's own VM is about to be removed, it requests a planned stop.
func (d *Daemon) propagateDepartures() {
	view := d.members.View()
	now := time.Now()
	for _, vm := range d.platform.leaving() {
		if e := view.ByVM(vm); e != nil && e.State == member.Live {
			leaving := *e
			leaving.State = member.Leaving
			if vm == d.settings.VM {
				d.RequestStop()
				continue
			}
			d.gossip.BroadcastMembers(d.members.Merge(now, []member.Entry{leaving})...)
		}
	}
	for _, e := range view.Entries {
		if e.State != member.Down && d.platform.removed(e.VM) && e.VM != d.settings.VM {
			if down, ok := d.members.MarkDown(now, e.Incarnation); ok {
				d.gossip.BroadcastMembers(down)
			}
		}
	}
}

// RequestStop requests a planned stop of this process without blocking. The signal arrives on the
// channel that StopRequested returns.
func (d *Daemon) RequestStop() {
	select {
	case d.stopRequested <- struct{}{}:
	default:
	}
}

// fetchConfigFromPeers fetches the configuration from the first daemon that can provide one.
func (d *Daemon) fetchConfigFromPeers(ctx context.Context) {
	for _, e := range d.members.View().Entries {
		if e.VM == d.settings.VM || ctx.Err() != nil {
			continue
		}
		if d.gossip.FetchConfig(ctx, e.PeerAddress) == nil && d.versions.Current().Version > 0 {
			return
		}
	}
}

// isPoller reports whether this daemon polls the platform on behalf of its region.
func (d *Daemon) isPoller() bool {
	self := d.members.Self()
	for _, e := range d.members.View().Owners(self.Region, "poll", pollersPerRegion) {
		if e.VM == self.VM {
			return true
		}
	}
	return false
}

// platformLoop polls the platform until the context ends. A poller reads the configuration's head
// every configPollPeriod and the VM list and rows every memberPollPeriod. Other daemons read only the
// list and the rows, every nonPollerPeriod. All rewrite their own row every ownRowRefreshPeriod. A
// daemon that knows no configuration or no other live daemon polls like a poller and also contacts
// the seeds. The wait between rounds has a jitter of half of configPollPeriod in both directions.
func (d *Daemon) platformLoop(ctx context.Context) {
	var listRead, rowWritten time.Time
	rowWritten = time.Now()
	for periodic.Sleep(ctx, configPollPeriod/2+rand.N(configPollPeriod)) {
		poller := d.isPoller()
		isolated := d.versions.Current().Version == 0 || d.members.View().LiveCount() <= 1
		if isolated {
			d.contactSeeds(ctx)
		}
		if poller || isolated {
			if err := d.versions.Poll(ctx); err != nil {
				d.handlePollError(ctx, err)
			}
		}
		period := nonPollerPeriod
		if poller || isolated {
			period = memberPollPeriod
		}
		if time.Since(listRead) > period {
			d.readMembers(ctx)
			listRead = time.Now()
		}
		if time.Since(rowWritten) > ownRowRefreshPeriod {
			d.writeOwnRow(ctx)
			rowWritten = time.Now()
		}
	}
}

// handlePollError counts a failed poll and logs it unless the store is unavailable. If there is no
// configuration yet, it tries to get one from other daemons.
func (d *Daemon) handlePollError(ctx context.Context, err error) {
	d.count("config.pollFailed")
	if !errors.Is(err, store.ErrNoResponse) {
		d.log.WithError(err).Warn("could not poll the configuration")
	}
	if d.versions.Current().Version == 0 {
		d.fetchConfigFromPeers(ctx)
	}
}

// incarnationEnded reports whether an incarnation has ended for good: a later one runs on its VM, or
// the platform has removed the VM. A daemon that is only unreachable does not count as ended. An ID
// that contains no VM does.
func (d *Daemon) incarnationEnded(inc ident.Incarnation) bool {
	vm, _, ok := strings.Cut(string(inc), "~")
	if !ok {
		return true
	}
	e := d.members.View().ByVM(ident.VMID(vm))
	if e != nil && e.Incarnation != inc {
		return true
	}
	return d.platform.removed(ident.VMID(vm))
}

// newKeyPermit returns a permit, which is the prefix of the idempotency keys that the incarnation
// decides.
func newKeyPermit(inc ident.Incarnation, now time.Time) string {
	return coreonce.NewKeyPermit(inc, now)
}

// hasServersIn reports whether a service has backend servers in a region.
func hasServersIn(s *config.Service, region ident.RegionID) bool {
	for _, srv := range s.Servers {
		if srv.Region == region {
			return true
		}
	}
	return false
}

// firstServerRegion returns the alphabetically first region in which a service has backend servers,
// or fallback if it has none.
func firstServerRegion(s *config.Service, fallback ident.RegionID) ident.RegionID {
	best := ident.RegionID("")
	for _, srv := range s.Servers {
		if best == "" || srv.Region < best {
			best = srv.Region
		}
	}
	if best == "" {
		return fallback
	}
	return best
}
