package belief

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// The load that TestSoundServersGetRequestsInEverySecond plays: one zone of a large service with two daemons.
const (
	reachServers = 50
	reachRate    = 200.0 // requests per second
	reachLength  = 45 * time.Second
	// reachWindow is the time within which sound servers must get requests: what is left of two seconds when
	// all daemons end so late that half of the requests are still served.
	reachWindow = time.Second
	reachShare  = 0.7
	// soundAfterTrouble and soundAfterFailure are the times after which a server counts as sound: after trouble
	// from outside, and after a failure of its own.
	soundAfterTrouble = 8 * time.Second
	soundAfterFailure = 2 * time.Second
	// grayShare is the share of servers that fail half of their requests by themselves, for graySpell.
	grayShare = 0.07
	graySpell = 5 * time.Second
)

// trouble is a disturbance from outside, at the servers for which hits returns true.
type trouble struct {
	from, to time.Duration
	// loss is the share of their requests that the servers lose.
	loss float64
	hits func(server int) bool
}

// reachPlay plays requests to the servers of a zone. Its times are since the start.
type reachPlay struct {
	random   *rand.Rand
	events   playQueue
	trackers []*Tracker
	servers  []*roster.Server
	index    map[ident.ServerID]int
	troubles []trouble
	// slowObserver returns whether a daemon gets no answer in time, whatever the server does.
	slowObserver func(daemon int, at time.Duration) bool
	// sentAt, failedAt and grayUntil hold the times of each server's requests and failures of its own, and the end of
	// its gray spell.
	sentAt, failedAt [][]time.Duration
	grayUntil        []time.Duration
}

func newReachPlay(seed uint64) *reachPlay {
	p := &reachPlay{
		random: rand.New(rand.NewPCG(seed, 2)), index: map[ident.ServerID]int{}, slowObserver: func(int, time.Duration) bool { return false },
		sentAt: make([][]time.Duration, reachServers), failedAt: make([][]time.Duration, reachServers), grayUntil: make([]time.Duration, reachServers),
	}
	for i := range reachServers {
		id := ident.ServerID(fmt.Sprintf("s%02d", i))
		p.index[id] = i
		p.servers = append(p.servers, &roster.Server{ID: id, Service: "s", Zone: "a", Slots: playedSlots, StartMillis: 1})
	}
	for daemon := range playedDaemons {
		p.trackers = append(p.trackers, p.newTracker(daemon))
	}
	return p
}

func (p *reachPlay) newTracker(daemon int) *Tracker {
	return New(Options{
		Zone: "a", Regions: map[ident.ZoneID]ident.RegionID{"a": "r"}, Seed: uint64(daemon), FloorShare: reachShare,
		OnChange: func(roster.Server, float64, Outcome) {},
	})
}

func (p *reachPlay) schedule(at time.Duration, step func(now time.Time)) {
	heap.Push(&p.events, playEvent{at, step})
}

// restart replaces the tracker of a daemon by a new one, which has no evidence.
func (p *reachPlay) restart(at time.Duration, daemon int) {
	p.schedule(at, func(now time.Time) {
		p.trackers[daemon] = p.newTracker(daemon)
		p.trackers[daemon].Sync(now, roster.New(ident.StoreVersion{Number: 1}, p.list()))
	})
}

func (p *reachPlay) list() []roster.Server {
	var list []roster.Server
	for _, s := range p.servers {
		list = append(list, *s)
	}
	return list
}

func (p *reachPlay) run() {
	start := time.Unix(1_000_000, 0)
	for _, t := range p.trackers {
		t.Sync(start, roster.New(ident.StoreVersion{Number: 1}, p.list()))
	}
	for at := time.Duration(0); at < reachLength; at += graySpell {
		for i := range p.servers {
			if p.random.Float64() < grayShare {
				p.schedule(at, func(time.Time) { p.grayUntil[i] = at + graySpell })
			}
		}
	}
	for at := time.Duration(0); at < reachLength; at += time.Duration(p.random.ExpFloat64() / reachRate * float64(time.Second)) {
		p.schedule(at, func(now time.Time) { p.send(at, now) })
	}
	for at := time.Duration(0); at < reachLength; at += reportPeriod {
		p.schedule(at, func(now time.Time) { exchangeReports(p.trackers, now) })
	}
	p.events.play(start)
}

// send starts one request at a random daemon and schedules its end.
func (p *reachPlay) send(at time.Duration, now time.Time) {
	daemon := p.random.IntN(playedDaemons)
	tracker := p.trackers[daemon]
	a := tracker.Pick(now, &PickInfo{Servers: p.servers, Route: "r", TargetLatency: playedTarget, Last: true})
	i := p.index[a.Server.ID]
	p.sentAt[i] = append(p.sentAt[i], at)
	took, outcome := time.Duration(float64(playedMedian)*math.Exp(p.random.NormFloat64()*playedDeviation)), Good
	if at < p.grayUntil[i] && p.random.Float64() < 0.5 {
		outcome = Broken
		p.failedAt[i] = append(p.failedAt[i], at+took)
	}
	for _, t := range p.troubles {
		if t.from <= at && at < t.to && t.hits(i) && p.random.Float64() < t.loss {
			outcome = Broken
		}
	}
	if p.slowObserver(daemon, at) {
		took, outcome = playedDeadline, Silent
	}
	if overdue := tracker.OverdueAfter(a); overdue < took {
		p.schedule(at+overdue, func(now time.Time) { tracker.Overdue(now, a) })
	}
	p.schedule(at+took, func(now time.Time) {
		if tracker != p.trackers[daemon] {
			return
		}
		tracker.End(now, a, outcome, took)
		if a.Reason != Probe {
			tracker.RecordRequest(now, "s", outcome == Good)
		}
	})
}

// isSound reports whether a server counts as sound at a time.
func (p *reachPlay) isSound(i int, at time.Duration) bool {
	for _, t := range p.troubles {
		if t.hits(i) && t.from <= at && at < t.to+soundAfterTrouble {
			return false
		}
	}
	for _, failed := range p.failedAt[i] {
		if failed <= at && at < failed+soundAfterFailure {
			return false
		}
	}
	return true
}

// leastReach returns the smallest share of the servers that are sound from the beginning to the end of a window which get
// a request in it, over all windows from the time from on, and the beginning of that window.
func (p *reachPlay) leastReach(from time.Duration) (least float64, at time.Duration) {
	least = 1
	for begin := from; begin+reachWindow <= reachLength; begin += reachWindow / 10 {
		sound, reached := 0, 0
		for i := range p.servers {
			if !p.isSound(i, begin) || !p.isSound(i, begin+reachWindow) {
				continue
			}
			sound++
			first, _ := slices.BinarySearch(p.sentAt[i], begin)
			if first < len(p.sentAt[i]) && p.sentAt[i][first] < begin+reachWindow {
				reached++
			}
		}
		if share := float64(reached) / float64(sound); share < least {
			least, at = share, begin
		}
	}
	return least, at
}

// TestSoundServersGetRequestsInEverySecond guards against a service that is served by few of its sound servers
// when all daemons end suddenly.
func TestSoundServersGetRequestsInEverySecond(t *testing.T) {
	const warmUp = 3 * time.Second
	loses := func(p *reachPlay) {
		p.troubles = append(p.troubles, trouble{13 * time.Second, 17 * time.Second, 0.4, func(i int) bool { return i%5 < 3 }})
	}
	for _, test := range []struct {
		name  string
		setUp func(p *reachPlay)
	}{
		{"calm", func(*reachPlay) {}},
		{"losses at six servers of ten", loses},
		{"losses again and again", func(p *reachPlay) {
			for at := 10 * time.Second; at < reachLength; at += 12 * time.Second {
				p.troubles = append(p.troubles, trouble{at, at + 3*time.Second, 0.4, func(i int) bool { return i%2 == 0 }})
			}
		}},
		{"restarts of daemons after losses", func(p *reachPlay) {
			loses(p)
			p.restart(27*time.Second, 0)
			p.restart(34*time.Second, 1)
		}},
		{"slow observer", func(p *reachPlay) {
			p.slowObserver = func(daemon int, at time.Duration) bool {
				return daemon == 0 && at > 20*time.Second && at < 22*time.Second
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				p := newReachPlay(seed)
				test.setUp(p)
				p.run()
				if share, at := p.leastReach(warmUp); share < reachShare {
					t.Errorf("seed %d: %.2f of the sound servers get requests in the second from %v, want at least %.2f", seed, share, at, reachShare)
				}
			}
		})
	}
}
