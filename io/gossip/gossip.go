// Package gossip disseminates updates between the daemons of a fleet: members, versions of the
// shared configuration and quarantined requests. An update is pushed to a few random peers, which
// forward it if it is new to them. Periodic anti-entropy with one random peer repairs losses. The
// daemons of a region also probe each other to detect failures.
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/poison"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/periodic"
	"bilberrymux/io/versions"
)

// Dissemination parameters.
const (
	// fanout is the number of peers to which each daemon sends an update.
	fanout = 6
	// batchDelay is the time for which an update waits to be sent together with later ones.
	batchDelay = 50 * time.Millisecond
	// antiEntropyPeriod is the mean time between two anti-entropy rounds.
	antiEntropyPeriod = 5 * time.Second
	// downPeerProbability is the probability that an anti-entropy round contacts a daemon believed
	// to be down, so that the sides of a healed network partition find each other again.
	downPeerProbability = 0.2
	// callTimeout is the timeout of one message exchange.
	callTimeout = 2 * time.Second
	// maxRecordsPerMessage is the maximum number of configuration versions that are sent to a peer
	// that is behind.
	maxRecordsPerMessage = 64
)

// Options are the dependencies of a Gossip.
type Options struct {
	Members  *member.Table
	Versions *versions.Replica
	Poison   *poison.Quarantine
	Client   *peer.Client
	// Count adds n to the counter with the given name. It may be nil.
	Count func(name string, n int64)
}

// Gossip exchanges updates with peers and detects failed peers. It is safe for concurrent use.
type Gossip struct {
	options Options

	mu sync.Mutex
	// The pending updates are sent by the next Flush.
	pendingMembers map[ident.VMID]member.Entry
	pendingRecords map[ident.Version]versions.Record
	pendingPoison  []poison.Entry

	// wake tells the broadcast loop that updates are pending.
	wake chan struct{}
}

// New returns a Gossip. It answers peers at once and contacts them on its own only after Start.
func New(o Options) *Gossip {
	if o.Count == nil {
		o.Count = func(string, int64) {}
	}
	return &Gossip{
		options:        o,
		pendingMembers: map[ident.VMID]member.Entry{},
		pendingRecords: map[ident.Version]versions.Record{},
		wake:           make(chan struct{}, 1),
	}
}

// Start runs the broadcast, anti-entropy and probe loops in wg until the context ends.
func (g *Gossip) Start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { g.broadcastLoop(ctx) })
	wg.Go(func() { g.antiEntropyLoop(ctx) })
	wg.Go(func() { g.probeLoop(ctx) })
}

// BroadcastMembers queues member entries for broadcast. A later entry of the same VM replaces an
// earlier one that is still queued.
func (g *Gossip) BroadcastMembers(entries ...member.Entry) {
	g.mu.Lock()
	for _, e := range entries {
		g.pendingMembers[e.VM] = e
	}
	g.mu.Unlock()
	g.wakeBroadcastLoop()
}

// BroadcastConfig queues configuration versions for broadcast.
func (g *Gossip) BroadcastConfig(records []versions.Record) {
	g.mu.Lock()
	for _, r := range records {
		g.pendingRecords[r.Number] = r
	}
	g.mu.Unlock()
	g.wakeBroadcastLoop()
}

// BroadcastPoison queues the entry of a quarantined request for broadcast.
func (g *Gossip) BroadcastPoison(e poison.Entry) {
	g.mu.Lock()
	g.pendingPoison = append(g.pendingPoison, e)
	g.mu.Unlock()
	g.wakeBroadcastLoop()
}

// wakeBroadcastLoop signals pending updates to the broadcast loop without blocking.
func (g *Gossip) wakeBroadcastLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// broadcastLoop sends pending updates, in batches, until the context ends.
func (g *Gossip) broadcastLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if !periodic.Sleep(ctx, batchDelay) {
			return
		}
		g.Flush(ctx)
	}
}

// Flush sends the queued updates to fanout random peers, merges their replies and returns when all
// have replied or timed out. An update is not queued again after a failure; anti-entropy repairs the
// loss.
func (g *Gossip) Flush(ctx context.Context) {
	msg := g.takePending()
	if msg == nil {
		return
	}
	var wg conc.WaitGroup
	for _, e := range g.randomLivePeers(fanout) {
		wg.Go(func() {
			if reply, err := g.exchange(ctx, e.PeerAddress, msg); err == nil {
				g.merge(reply)
			}
		})
	}
	wg.Wait()
}

// takePending empties the queues into one message. It returns nil if nothing is queued.
func (g *Gossip) takePending() *peerpb.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingMembers)+len(g.pendingRecords)+len(g.pendingPoison) == 0 {
		return nil
	}
	msg := g.newMessage()
	for _, e := range g.pendingMembers {
		msg.Members = append(msg.Members, toMember(&e))
	}
	msg.Config = toRecords(sortedRecords(g.pendingRecords))
	for i := range g.pendingPoison {
		msg.Poison = append(msg.Poison, toPoison(&g.pendingPoison[i]))
	}
	clear(g.pendingMembers)
	clear(g.pendingRecords)
	g.pendingPoison = nil
	return msg
}

// maxPoisonPerMessage is the maximum number of quarantined requests in each message.
const maxPoisonPerMessage = 64

// newMessage returns a message with the fields that describe its sender: the VM, its configuration
// version and the digest of its member table, and the quarantined requests, which a daemon that has started doesn't know.
func (g *Gossip) newMessage() *peerpb.News {
	entries := g.options.Poison.Entries(time.Now())
	var quarantined []*peerpb.PoisonEntry
	for i := range entries[:min(len(entries), maxPoisonPerMessage)] {
		quarantined = append(quarantined, toPoison(&entries[i]))
	}
	return &peerpb.News{
		Poison:        quarantined,
		From:          string(g.options.Members.Self().VM),
		ConfigVersion: uint64(g.options.Versions.Current().Version),
		MemberDigest:  g.options.Members.View().Digest(),
	}
}

// exchange sends a message to a peer and returns the reply.
func (g *Gossip) exchange(ctx context.Context, address string, msg *peerpb.News) (*peerpb.News, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.options.Count("gossip.messages", 1)
	reply, err := g.options.Client.Peer(ctx, address).Exchange(ctx, msg)
	if err != nil {
		g.options.Count("gossip.failed", 1)
		return nil, fmt.Errorf("gossip: exchange: %w", err)
	}
	return reply, nil
}

// randomLivePeers returns up to n random peers that are not down.
func (g *Gossip) randomLivePeers(n int) []*member.Entry {
	return g.randomPeers(n, func(e *member.Entry) bool { return e.State != member.Down })
}

// randomPeers returns up to n random daemons, other than this one, for which match returns true. It
// visits the members from a random start in steps of a random size.
func (g *Gossip) randomPeers(n int, match func(*member.Entry) bool) []*member.Entry {
	entries := g.options.Members.View().Entries
	self := g.options.Members.Self().VM
	var out []*member.Entry
	if len(entries) == 0 {
		return nil
	}
	start := rand.IntN(len(entries))
	step := coprimeStep(len(entries))
	for i := 0; i < len(entries) && len(out) < n; i++ {
		e := entries[(start+i*step)%len(entries)]
		if e.VM != self && match(e) {
			out = append(out, e)
		}
	}
	return out
}

// coprimeStep returns a random step that is coprime to n, so that repeated steps modulo n visit
// every position. n must be positive.
func coprimeStep(n int) int {
	for {
		step := 1 + rand.IntN(n)
		a, b := n, step
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}
}

// merge applies the updates of a message and queues those that were new for broadcast.
func (g *Gossip) merge(msg *peerpb.News) {
	if changed := g.options.Members.Merge(time.Now(), fromMembers(msg.GetMembers())); len(changed) > 0 {
		g.BroadcastMembers(changed...)
	}
	// The replica's onInstall callback queues the installed versions for broadcast.
	if _, err := g.options.Versions.Apply(fromRecords(msg.GetConfig())); err != nil {
		g.options.Count("gossip.badConfig", 1)
	}
	for _, p := range msg.GetPoison() {
		if e := fromPoison(p); g.options.Poison.Merge(time.Now(), e) {
			g.BroadcastPoison(e)
		}
	}
}

// Exchange merges a peer's message and returns the reply. The reply contains the configuration
// versions that the peer lacks and either the members of the buckets that the peer asked for, or, if
// the message has no members and the digests differ, the digest of each bucket.
func (g *Gossip) Exchange(_ context.Context, msg *peerpb.News) (*peerpb.News, error) {
	g.merge(msg)
	reply := g.newMessage()
	if ident.Version(msg.GetConfigVersion()) < g.options.Versions.Current().Version {
		reply.Config = g.recordsAfter(ident.Version(msg.GetConfigVersion()))
	}
	view := g.options.Members.View()
	if want := msg.GetWantBuckets(); len(want) > 0 {
		reply.Members = toMembers(view.InBuckets(want))
	} else if msg.GetMemberDigest() != view.Digest() && len(msg.GetMembers()) == 0 {
		reply.BucketDigests = view.BucketDigests()
	}
	return reply, nil
}

// recordsAfter returns up to maxRecordsPerMessage versions after the given one, or nil if the oldest
// of them is not cached.
func (g *Gossip) recordsAfter(number ident.Version) []*peerpb.ConfigVersion {
	records, ok := g.options.Versions.RecordsAfter(number)
	if !ok {
		return nil
	}
	return toRecords(records[:min(len(records), maxRecordsPerMessage)])
}

// antiEntropyLoop reconciles with one random peer per round until the context ends. The pauses are
// uniformly distributed between 0.5 and 1.5 times antiEntropyPeriod.
func (g *Gossip) antiEntropyLoop(ctx context.Context) {
	for {
		jitter := time.Duration(rand.Int64N(int64(antiEntropyPeriod)))
		if !periodic.Sleep(ctx, antiEntropyPeriod/2+jitter) {
			return
		}
		peers := g.randomLivePeers(1)
		if rand.Float64() < downPeerProbability {
			if down := g.randomPeers(1, func(e *member.Entry) bool { return e.State == member.Down }); len(down) > 0 {
				peers = down
			}
		}
		for _, e := range peers {
			_ = g.Reconcile(ctx, e.PeerAddress)
		}
	}
}

// Reconcile performs one anti-entropy round with the peer at the given address: both sides exchange
// the configuration versions that the other lacks and the members of all buckets that differ. It
// needs at most two exchanges and, if this daemon is far behind, a FetchConfig.
func (g *Gossip) Reconcile(ctx context.Context, address string) error {
	reply, err := g.exchange(ctx, address, g.newMessage())
	if err != nil {
		return err
	}
	g.merge(reply)
	if err := g.fetchIfBehind(ctx, address, reply); err != nil {
		return err
	}
	request := g.newMessage()
	peerVersion := ident.Version(reply.GetConfigVersion())
	if peerVersion < g.options.Versions.Current().Version {
		request.Config = g.recordsAfter(peerVersion)
	}
	if digests := reply.GetBucketDigests(); len(digests) == member.Buckets {
		view := g.options.Members.View()
		request.WantBuckets = differingBuckets(view.BucketDigests(), digests)
		request.Members = toMembers(view.InBuckets(request.WantBuckets))
	}
	if len(request.Config) == 0 && len(request.WantBuckets) == 0 {
		return nil
	}
	reply, err = g.exchange(ctx, address, request)
	if err != nil {
		return err
	}
	g.merge(reply)
	return nil
}

// differingBuckets returns the indexes of the buckets whose digests differ.
func differingBuckets(ours, theirs []uint32) []uint32 {
	var out []uint32
	for i := range ours {
		if ours[i] != theirs[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// fetchIfBehind fetches the complete configuration from a peer that has a newer version but sent no
// records, because its cache does not reach back to the version in force here.
func (g *Gossip) fetchIfBehind(ctx context.Context, address string, reply *peerpb.News) error {
	behind := ident.Version(reply.GetConfigVersion()) > g.options.Versions.Current().Version
	if !behind || len(reply.GetConfig()) > 0 {
		return nil
	}
	return g.FetchConfig(ctx, address)
}
