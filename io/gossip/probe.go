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
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/periodic"
)

// Failure detection parameters.
const (
	// probePeriod is the interval between the probes of a daemon.
	probePeriod = time.Second
	// probeTimeout is the timeout of a direct probe.
	probeTimeout = 500 * time.Millisecond
	// maxProbeTargets is the maximum number of daemons that each daemon probes in turn.
	maxProbeTargets = 3
	// indirectProbers is the number of peers that are asked to probe an address from their side
	// before it is considered unreachable.
	indirectProbers = 2
)

// probeLoop probes its targets in turn, one per probePeriod, until the context ends. All targets are
// in the daemon's own region, so that a network partition between regions marks no daemon as down.
func (g *Gossip) probeLoop(ctx context.Context) {
	for turn := 0; periodic.Sleep(ctx, probePeriod); turn++ {
		targets := g.probeTargets()
		if len(targets) == 0 {
			continue
		}
		g.ProbeMember(ctx, targets[turn%len(targets)])
	}
}

// ringPosition returns the position of a VM on the hash ring that assigns probe targets.
func ringPosition(vm ident.VMID) uint64 {
	return xxhash.Sum64String("ring/" + string(vm))
}

// probeTargets returns up to maxProbeTargets daemons of the own region that follow this one on the
// ring and are not down.
func (g *Gossip) probeTargets() []*member.Entry {
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
	return others[:min(maxProbeTargets, len(others))]
}

// ProbeMember probes a daemon and, if that fails, asks other daemons to probe it. If none of them
// reaches it, ProbeMember marks the daemon as down and broadcasts its new entry.
func (g *Gossip) ProbeMember(ctx context.Context, target *member.Entry) {
	if g.probe(ctx, target.PeerAddress, &peerpb.ProbeRequest{}) {
		return
	}
	g.options.Count("member.probeFailed", 1)
	if g.probeIndirectly(ctx, &peerpb.ProbeRequest{PeerAddress: target.PeerAddress}, target.VM) {
		g.options.Count("member.path", 1)
		return
	}
	if down, ok := g.options.Members.MarkDown(time.Now(), target.Incarnation); ok {
		g.options.Count("member.down", 1)
		g.BroadcastMembers(down)
	}
}

// ReachableFromPeers asks other daemons to connect to the backend server at the given address and
// reports whether at least one of them succeeded.
func (g *Gossip) ReachableFromPeers(ctx context.Context, address string) bool {
	return g.probeIndirectly(ctx, &peerpb.ProbeRequest{ServerAddress: address}, "")
}

// probeIndirectly sends the request to indirectProbers random live peers, other than the excluded VM,
// and reports whether at least one of them reached the address.
func (g *Gossip) probeIndirectly(ctx context.Context, req *peerpb.ProbeRequest, exclude ident.VMID) bool {
	var reached atomic.Bool
	var wg conc.WaitGroup
	for _, prober := range g.randomPeers(indirectProbers, func(e *member.Entry) bool {
		return e.State == member.Live && e.VM != exclude
	}) {
		wg.Go(func() {
			if g.probe(ctx, prober.PeerAddress, req) {
				reached.Store(true)
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// probe sends a probe request to the peer at the given address. It reports whether the peer answered
// and, for an indirect probe, whether the peer reached the address in the request.
func (g *Gossip) probe(ctx context.Context, address string, req *peerpb.ProbeRequest) bool {
	timeout := probeTimeout
	if req.PeerAddress != "" || req.ServerAddress != "" {
		// The peer needs time for its own probe.
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

// ServeProbe answers a peer's probe request. If the request names a backend server or another daemon,
// the reply tells whether that address was reached. The dial function reports whether a connection to
// a backend server succeeded.
func (g *Gossip) ServeProbe(ctx context.Context, req *peerpb.ProbeRequest, dial func(ctx context.Context, address string) bool) (*peerpb.ProbeReply, error) {
	self := g.options.Members.Self()
	reply := &peerpb.ProbeReply{Reached: true, Vm: string(self.VM), Incarnation: string(self.Incarnation)}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch {
	case req.GetServerAddress() != "":
		reply.Reached = dial(ctx, req.GetServerAddress())
	case req.GetPeerAddress() != "":
		reply.Reached = g.probe(ctx, req.GetPeerAddress(), &peerpb.ProbeRequest{})
	}
	return reply, nil
}
