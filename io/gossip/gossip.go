// Package gossip spreads news between the daemons of a fleet: members, versions
// of the shared configuration and quarantined requests. News goes at once to a
// few random peers, which hand on what is new to them; a periodic comparison
// with one random peer heals what got lost.
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
	"bilberrymux/io/loop"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/versions"
)

// The spreading of news.
const (
	// fanout is the number of peers that get a piece of news from each daemon.
	fanout = 6
	// gatherTime is how long news waits for more news.
	gatherTime = 50 * time.Millisecond
	// comparePeriod is the mean time between two comparisons.
	comparePeriod = 5 * time.Second
	// downPart is the part of comparisons that go to a daemon thought down, so
	// that the parts of a split fleet find each other again.
	downPart = 0.2
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
	// maxRecords bounds the versions in one message.
	maxRecords = 64
)

// Options are the dependencies of a Gossip.
type Options struct {
	Members  *member.Table
	Versions *versions.Keeper
	Poison   *poison.Quarantine
	Client   *peer.Client
	// Count adds to the counter of that name.
	Count func(name string, n int64)
}

// Gossip is safe for concurrent use.
type Gossip struct {
	options Options

	mu      sync.Mutex
	members map[ident.VMID]member.Entry
	records map[ident.Version]versions.Record
	poison  []poison.Entry
	wake    chan struct{}
}

// New returns a gossip that does nothing before Start.
func New(o Options) *Gossip {
	if o.Count == nil {
		o.Count = func(string, int64) {}
	}
	return &Gossip{
		options: o,
		members: map[ident.VMID]member.Entry{},
		records: map[ident.Version]versions.Record{},
		wake:    make(chan struct{}, 1),
	}
}

// Start runs the spreading, comparing and probing until the context ends.
func (g *Gossip) Start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { g.spreadLoop(ctx) })
	wg.Go(func() { g.compareLoop(ctx) })
	wg.Go(func() { g.probeLoop(ctx) })
}

// SpreadMembers queues entries as news.
func (g *Gossip) SpreadMembers(entries ...member.Entry) {
	g.mu.Lock()
	for _, e := range entries {
		g.members[e.VM] = e
	}
	g.mu.Unlock()
	g.poke()
}

// SpreadConfig queues versions as news.
func (g *Gossip) SpreadConfig(records []versions.Record) {
	g.mu.Lock()
	for _, r := range records {
		g.records[r.Number] = r
	}
	g.mu.Unlock()
	g.poke()
}

// SpreadPoison queues a quarantined fingerprint as news.
func (g *Gossip) SpreadPoison(e poison.Entry) {
	g.mu.Lock()
	g.poison = append(g.poison, e)
	g.mu.Unlock()
	g.poke()
}

func (g *Gossip) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Gossip) spreadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if !loop.Sleep(ctx, gatherTime) {
			return
		}
		g.Flush(ctx)
	}
}

// Flush sends the queued news to random peers and waits for their answers.
func (g *Gossip) Flush(ctx context.Context) {
	news := g.takeNews()
	if news == nil {
		return
	}
	var wg conc.WaitGroup
	for _, e := range g.randomLive(fanout) {
		wg.Go(func() {
			if reply, err := g.exchange(ctx, e.PeerAddress, news); err == nil {
				g.absorb(reply)
			}
		})
	}
	wg.Wait()
}

// takeNews builds the message of all queued news, or nil.
func (g *Gossip) takeNews() *peerpb.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.members)+len(g.records)+len(g.poison) == 0 {
		return nil
	}
	news := g.header()
	for _, e := range g.members {
		news.Members = append(news.Members, toMember(&e))
	}
	news.Config = toRecords(sortedRecords(g.records))
	for i := range g.poison {
		news.Poison = append(news.Poison, toPoison(&g.poison[i]))
	}
	clear(g.members)
	clear(g.records)
	g.poison = nil
	return news
}

// header is what every message says of its sender.
func (g *Gossip) header() *peerpb.News {
	return &peerpb.News{
		From:          string(g.options.Members.Self().VM),
		ConfigVersion: uint64(g.options.Versions.Current().Version),
		MemberDigest:  g.options.Members.View().Digest(),
	}
}

func (g *Gossip) exchange(ctx context.Context, address string, news *peerpb.News) (*peerpb.News, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.options.Count("gossip.messages", 1)
	reply, err := g.options.Client.Peer(ctx, address).Exchange(ctx, news)
	if err != nil {
		g.options.Count("gossip.failed", 1)
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return reply, nil
}

// randomLive returns up to n live daemons other than this one.
func (g *Gossip) randomLive(n int) []*member.Entry {
	return g.random(n, func(e *member.Entry) bool { return e.State != member.Down })
}

func (g *Gossip) random(n int, fits func(*member.Entry) bool) []*member.Entry {
	entries := g.options.Members.View().Entries
	self := g.options.Members.Self().VM
	var out []*member.Entry
	if len(entries) == 0 {
		return nil
	}
	start := rand.IntN(len(entries))
	step := coprime(len(entries))
	for i := 0; i < len(entries) && len(out) < n; i++ {
		e := entries[(start+i*step)%len(entries)]
		if e.VM != self && fits(e) {
			out = append(out, e)
		}
	}
	return out
}

// coprime returns a random step that visits all of n positions.
func coprime(n int) int {
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

// absorb takes over what is new in a message and queues it for others.
func (g *Gossip) absorb(news *peerpb.News) {
	if learned := g.options.Members.Merge(time.Now(), fromMembers(news.GetMembers())); len(learned) > 0 {
		g.SpreadMembers(learned...)
	}
	// The keeper's own callback spreads what came into force.
	if _, err := g.options.Versions.Learn(fromRecords(news.GetConfig())); err != nil {
		g.options.Count("gossip.badConfig", 1)
	}
	for _, p := range news.GetPoison() {
		if e := fromPoison(p); g.options.Poison.Merge(e) {
			g.SpreadPoison(e)
		}
	}
}

// Exchange answers a peer's message.
func (g *Gossip) Exchange(_ context.Context, news *peerpb.News) (*peerpb.News, error) {
	g.absorb(news)
	reply := g.header()
	if ident.Version(news.GetConfigVersion()) < g.options.Versions.Current().Version {
		reply.Config = g.recordsAfter(ident.Version(news.GetConfigVersion()))
	}
	view := g.options.Members.View()
	if want := news.GetWantBuckets(); len(want) > 0 {
		reply.Members = toMembers(view.InBuckets(want))
	} else if news.GetMemberDigest() != view.Digest() && len(news.GetMembers()) == 0 {
		reply.BucketDigests = view.BucketDigests()
	}
	return reply, nil
}

func (g *Gossip) recordsAfter(number ident.Version) []*peerpb.ConfigVersion {
	records, ok := g.options.Versions.After(number)
	if !ok {
		return nil
	}
	return toRecords(records[:min(len(records), maxRecords)])
}

func (g *Gossip) compareLoop(ctx context.Context) {
	for {
		jitter := time.Duration(rand.Int64N(int64(comparePeriod)))
		if !loop.Sleep(ctx, comparePeriod/2+jitter) {
			return
		}
		peers := g.randomLive(1)
		if rand.Float64() < downPart {
			if down := g.random(1, func(e *member.Entry) bool { return e.State == member.Down }); len(down) > 0 {
				peers = down
			}
		}
		for _, e := range peers {
			_ = g.Compare(ctx, e.PeerAddress)
		}
	}
}

// Compare exchanges with one peer whatever the two see differently.
func (g *Gossip) Compare(ctx context.Context, address string) error {
	reply, err := g.exchange(ctx, address, g.header())
	if err != nil {
		return err
	}
	g.absorb(reply)
	if err := g.fetchIfBehind(ctx, address, reply); err != nil {
		return err
	}
	second := g.header()
	theirs := ident.Version(reply.GetConfigVersion())
	if theirs < g.options.Versions.Current().Version {
		second.Config = g.recordsAfter(theirs)
	}
	if digests := reply.GetBucketDigests(); len(digests) == member.Buckets {
		view := g.options.Members.View()
		second.WantBuckets = differing(view.BucketDigests(), digests)
		second.Members = toMembers(view.InBuckets(second.WantBuckets))
	}
	if len(second.Config) == 0 && len(second.WantBuckets) == 0 {
		return nil
	}
	reply, err = g.exchange(ctx, address, second)
	if err != nil {
		return err
	}
	g.absorb(reply)
	return nil
}

func differing(ours, theirs []uint32) []uint32 {
	var out []uint32
	for i := range ours {
		if ours[i] != theirs[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// fetchIfBehind loads the whole configuration of a peer that is ahead by more
// than it can send as patches.
func (g *Gossip) fetchIfBehind(ctx context.Context, address string, reply *peerpb.News) error {
	behind := ident.Version(reply.GetConfigVersion()) > g.options.Versions.Current().Version
	if !behind || len(reply.GetConfig()) > 0 {
		return nil
	}
	return g.FetchConfig(ctx, address)
}
