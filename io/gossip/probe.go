package gossip

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/io/loop"
	"bilberrymux/io/peer/peerpb"
)

// The watching of daemons by each other.
const (
	// probePeriod is the time between two probes that a daemon sends.
	probePeriod = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// watched is the number of daemons that each daemon watches.
	watched = 3
	// witnesses is the number of daemons that are asked before one is
	// believed to be down.
	witnesses = 2
)

// probeLoop probes the daemons that this one watches, in turn. Only daemons of
// the own region are watched, so that a split between regions makes no daemon
// look dead.
func (g *Gossip) probeLoop(ctx context.Context) {
	for turn := 0; loop.Sleep(ctx, probePeriod); turn++ {
		targets := g.successors()
		if len(targets) == 0 {
			continue
		}
		g.ProbeMember(ctx, targets[turn%len(targets)])
	}
}

// ringPosition orders the VMs of a region on a ring.
func ringPosition(vm ident.VMID) uint64 {
	return xxhash.Sum64String("ring/" + string(vm))
}

// successors returns the daemons that follow this one on the ring.
func (g *Gossip) successors() []*member.Entry {
	self := g.options.Members.Self()
	own := ringPosition(self.VM)
	var others []*member.Entry
	for _, e := range g.options.Members.View().Entries {
		if e.Region == self.Region && e.State != member.Down && e.VM != self.VM {
			others = append(others, e)
		}
	}
	distance := func(e *member.Entry) uint64 { return ringPosition(e.VM) - own }
	slices.SortFunc(others, func(a, b *member.Entry) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	})
	return others[:min(watched, len(others))]
}

// ProbeMember probes a daemon and, where that fails, asks others. Only if they
// can't reach it either it is taken for down, and that becomes news.
func (g *Gossip) ProbeMember(ctx context.Context, target *member.Entry) {
	if g.reach(ctx, target.PeerAddress, &peerpb.ProbeRequest{}) {
		return
	}
	g.options.Count("member.probeFailed", 1)
	if g.witnessed(ctx, &peerpb.ProbeRequest{PeerAddress: target.PeerAddress}, target.VM) {
		g.options.Count("member.path", 1)
		return
	}
	if down, ok := g.options.Members.MarkDown(time.Now(), target.Incarnation); ok {
		g.options.Count("member.down", 1)
		g.SpreadMembers(down)
	}
}

// ServerReached asks other daemons whether they can connect to a backend
// server. It reports true if one of them can.
func (g *Gossip) ServerReached(ctx context.Context, address string) bool {
	return g.witnessed(ctx, &peerpb.ProbeRequest{ServerAddress: address}, "")
}

func (g *Gossip) witnessed(ctx context.Context, req *peerpb.ProbeRequest, except ident.VMID) bool {
	var reached atomic.Bool
	var wg conc.WaitGroup
	for _, w := range g.random(witnesses, func(e *member.Entry) bool {
		return e.State == member.Live && e.VM != except
	}) {
		wg.Go(func() {
			if g.reach(ctx, w.PeerAddress, req) {
				reached.Store(true)
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// reach sends one probe and reports whether it came back well.
func (g *Gossip) reach(ctx context.Context, address string, req *peerpb.ProbeRequest) bool {
	timeout := probeTimeout
	if req.PeerAddress != "" || req.ServerAddress != "" {
		// The witness needs time for its own probe.
		timeout = 2 * probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := &peerpb.ProbeRequest{
		From:          string(g.options.Members.Self().VM),
		ServerAddress: req.GetServerAddress(),
		PeerAddress:   req.GetPeerAddress(),
	}
	reply, err := g.options.Client.Peer(ctx, address).Probe(ctx, call)
	return err == nil && reply.GetReached()
}

// ServeProbe answers a peer's probe. Dial connects to a backend server.
func (g *Gossip) ServeProbe(ctx context.Context, req *peerpb.ProbeRequest, dial func(ctx context.Context, address string) bool) (*peerpb.ProbeReply, error) {
	self := g.options.Members.Self()
	reply := &peerpb.ProbeReply{Reached: true, Vm: string(self.VM), Incarnation: string(self.Incarnation)}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch {
	case req.GetServerAddress() != "":
		reply.Reached = dial(ctx, req.GetServerAddress())
	case req.GetPeerAddress() != "":
		reply.Reached = g.reach(ctx, req.GetPeerAddress(), &peerpb.ProbeRequest{})
	}
	return reply, nil
}
