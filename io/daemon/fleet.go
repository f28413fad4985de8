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
	"bilberrymux/io/loop"
)

// vmPrefix starts the key of a VM's row.
const vmPrefix = "vm/"

// tickPeriod is how often shards are told the time.
const tickPeriod = shard.TickPeriod

// The periods of reading the platform.
const (
	// headPeriod is how often a poller reads the head of the configuration.
	headPeriod = time.Second
	// listPeriod is how often a poller reads the list of VMs and their rows.
	listPeriod = 15 * time.Second
	// rowPeriod is how often a VM refreshes its own row.
	rowPeriod = 5 * time.Minute
	// pollers is the number of daemons in a region that read for the others.
	pollers = 4
	// idlePoll is how often a daemon that is no poller reads the list.
	idlePoll = 10 * time.Minute
	// joinTimeout bounds the reading of the store at the start.
	joinTimeout = 5 * time.Second
)

// platformView is the last list of VMs that the platform gave.
type platformView struct {
	mu   sync.RWMutex
	vms  map[ident.VMID]store.VM
	seen map[ident.VMID]bool
}

// set records a list.
func (p *platformView) set(list []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = make(map[ident.VMID]store.VM, len(list))
	if p.seen == nil {
		p.seen = map[ident.VMID]bool{}
	}
	for _, vm := range list {
		p.vms[vm.ID] = vm
		p.seen[vm.ID] = true
	}
}

// gone reports whether the platform had a VM and has it no more. The list lags:
// a VM that was never on it may be new.
func (p *platformView) gone(vm ident.VMID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.vms == nil {
		return false
	}
	_, there := p.vms[vm]
	return !there && p.seen[vm]
}

// leaving lists the VMs that the platform takes away.
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

// join brings this daemon into the fleet: its row is written, and members and
// configuration are read from the store, or from peers while it is away.
func (d *Daemon) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	d.announce(ctx)
	d.readMembers(ctx)
	if d.members.View().LiveCount() <= 1 {
		d.askSeeds(ctx)
	}
	if err := d.versions.Poll(ctx); err != nil {
		d.log.WithError(err).Warn("configuration not read from the store")
		d.fetchFromPeers(ctx)
	}
	d.gossip.BroadcastMembers(d.members.Self())
}

// askSeeds learns members and configuration from daemons at known addresses:
// those of the settings, and those of the platform's list at the own port.
func (d *Daemon) askSeeds(ctx context.Context) {
	for _, address := range append(slices.Clone(d.settings.SeedPeers), d.listedPeers(ctx)...) {
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

// listedPeers guesses the peer addresses of the VMs on the platform's list.
func (d *Daemon) listedPeers(ctx context.Context) []string {
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

// announce writes the row of this VM.
func (d *Daemon) announce(ctx context.Context) {
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

// readMembers merges the rows of all VMs and the platform's list.
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
	d.platform.set(list)
	var entries []member.Entry
	for _, row := range rows {
		var e member.Entry
		if json.Unmarshal(row.Value, &e) != nil || e.VM == "" {
			continue
		}
		if d.platform.gone(e.VM) {
			e.State = member.Down
			d.dropRow(ctx, row)
		}
		entries = append(entries, e)
	}
	if news := d.members.Merge(time.Now(), entries); len(news) > 0 {
		d.gossip.BroadcastMembers(news...)
	}
	d.markLeaving()
}

// dropRow deletes the row of a VM that is gone, on one daemon of a region.
func (d *Daemon) dropRow(ctx context.Context, row store.Row) {
	self := d.members.Self()
	first := d.members.View().Owners(self.Region, "poll", 1)
	if len(first) == 0 || first[0].VM != self.VM {
		return
	}
	_, _ = d.store.Transact(ctx, []store.Write{{
		Key: row.Key, Delete: true, Expect: store.AtRevision, Revision: row.Revision,
	}})
}

// ownsSlice reports whether this daemon cleans a slice of the claim rows.
func (d *Daemon) ownsSlice(slice string) bool {
	self := d.members.Self()
	regions := d.members.View().Regions()
	if len(regions) == 0 || regions[0] != self.Region {
		return false
	}
	first := d.members.View().Owners(self.Region, slice, 1)
	return len(first) > 0 && first[0].VM == self.VM
}

// markLeaving passes on which VMs the platform takes away, and those it took.
func (d *Daemon) markLeaving() {
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
		if e.State != member.Down && d.platform.gone(e.VM) && e.VM != d.settings.VM {
			if down, ok := d.members.MarkDown(now, e.Incarnation); ok {
				d.gossip.BroadcastMembers(down)
			}
		}
	}
}

// RequestStop asks for a planned stop of this process.
func (d *Daemon) RequestStop() {
	select {
	case d.stopAsked <- struct{}{}:
	default:
	}
}

// fetchFromPeers takes the configuration from some daemon that answers.
func (d *Daemon) fetchFromPeers(ctx context.Context) {
	for _, e := range d.members.View().Entries {
		if e.VM == d.settings.VM || ctx.Err() != nil {
			continue
		}
		if d.gossip.FetchConfig(ctx, e.PeerAddress) == nil && d.versions.Current().Version > 0 {
			return
		}
	}
}

// polls reports whether this daemon reads the store for the others.
func (d *Daemon) polls() bool {
	self := d.members.Self()
	for _, e := range d.members.View().Owners(self.Region, "poll", pollers) {
		if e.VM == self.VM {
			return true
		}
	}
	return false
}

// platformLoop reads the configuration's head, the VM list and the rows, often
// where this daemon is a poller.
func (d *Daemon) platformLoop(ctx context.Context) {
	var listed, announced time.Time
	announced = time.Now()
	for loop.Sleep(ctx, headPeriod/2+rand.N(headPeriod)) {
		polls := d.polls()
		alone := d.versions.Current().Version == 0 || d.members.View().LiveCount() <= 1
		if alone {
			d.askSeeds(ctx)
		}
		if polls || alone {
			if err := d.versions.Poll(ctx); err != nil {
				d.pollFailed(ctx, err)
			}
		}
		period := idlePoll
		if polls || alone {
			period = listPeriod
		}
		if time.Since(listed) > period {
			d.readMembers(ctx)
			listed = time.Now()
		}
		if time.Since(announced) > rowPeriod {
			d.announce(ctx)
			announced = time.Now()
		}
	}
}

func (d *Daemon) pollFailed(ctx context.Context, err error) {
	d.count("config.pollFailed")
	if !errors.Is(err, store.ErrAway) {
		d.log.WithError(err).Warn("configuration not read")
	}
	if d.versions.Current().Version == 0 {
		d.fetchFromPeers(ctx)
	}
}

// incarnationGone reports whether an incarnation has ended for good: a later
// one runs on its VM, or the platform says that the VM is gone. A daemon that
// merely can't be reached is not gone.
func (d *Daemon) incarnationGone(inc ident.Incarnation) bool {
	vm, _, ok := strings.Cut(string(inc), "~")
	if !ok {
		return true
	}
	e := d.members.View().ByVM(ident.VMID(vm))
	if e != nil && e.Incarnation != inc {
		return true
	}
	return d.platform.gone(ident.VMID(vm))
}

func permitOf(inc ident.Incarnation, now time.Time) string {
	return coreonce.NewPermit(inc, now)
}

func servedIn(s *config.Service, region ident.RegionID) bool {
	for _, srv := range s.Servers {
		if srv.Region == region {
			return true
		}
	}
	return false
}

// anyRegion returns the first region with servers, or the fallback.
func anyRegion(s *config.Service, fallback ident.RegionID) ident.RegionID {
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
