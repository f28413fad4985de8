package belief

import (
	"fmt"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// probePlay holds a daemon's view of a large service whose servers have all just answered.
type probePlay struct {
	now     time.Time
	tracker *Tracker
	servers []*roster.Server
}

func newProbePlay(servers int) *probePlay {
	p := &probePlay{now: time.Unix(1_000_000, 0)}
	p.tracker = New(Options{
		Zone: "a", Regions: map[ident.ZoneID]ident.RegionID{"a": "r"}, FloorShare: 0.7, OnChange: func(roster.Server, float64, Outcome) {},
	})
	var list []roster.Server
	for i := range servers {
		s := roster.Server{ID: ident.ServerID(fmt.Sprintf("s%03d", i)), Service: "s", Zone: "a", Slots: 3, StartMillis: 1}
		list = append(list, s)
		p.servers = append(p.servers, &s)
	}
	p.tracker.Sync(p.now, roster.New(ident.StoreVersion{Number: 1}, list))
	for range 5 {
		p.answerAll()
	}
	return p
}

// answerAll sends a request to each server, which answers it at once.
func (p *probePlay) answerAll() {
	for _, s := range p.servers {
		p.end(p.pick(s), Good)
	}
}

// pick starts an attempt at a server.
func (p *probePlay) pick(s *roster.Server) *Attempt {
	return p.tracker.Pick(p.now, &PickInfo{Servers: []*roster.Server{s}, Route: "r", TargetLatency: time.Second, Last: true})
}

func (p *probePlay) end(a *Attempt, o Outcome) {
	p.tracker.End(p.now, a, o, 100*time.Millisecond)
}

// fail makes an attempt at a server fail.
func (p *probePlay) fail(s *roster.Server) {
	p.end(p.pick(s), Broken)
}

// hang makes an attempt at a server wait for its answer in vain.
func (p *probePlay) hang(s *roster.Server) *Attempt {
	a := p.pick(s)
	p.now = p.now.Add(p.tracker.OverdueAfter(a))
	p.tracker.Overdue(p.now, a)
	p.now = p.now.Add(time.Second)
	p.end(a, Silent)
	return a
}

// TestUnansweredAttemptsCountAsFailures guards against servers that hang and get requests as if they had recovered.
func TestUnansweredAttemptsCountAsFailures(t *testing.T) {
	p := newProbePlay(20)
	// The more servers hang, the sooner an attempt that waits says all that its end will say.
	for _, s := range p.servers[1:] {
		p.hang(s)
		p.answerAll()
	}
	for failures := 1; failures <= 3; failures++ {
		a := p.hang(p.servers[0])
		if got := p.tracker.state(p.now, a.Server.Key()).failures; got != failures {
			t.Errorf("after %d attempts without an answer: got %d failures", failures, got)
		}
	}
}

// TestReportsOfFailedServersAreNotLeftOut guards against failures that other daemons don't hear of in a large service.
func TestReportsOfFailedServersAreNotLeftOut(t *testing.T) {
	const limit = 10
	p := newProbePlay(100)
	p.now = p.now.Add(10 * time.Millisecond)
	for _, s := range p.servers[20:] {
		p.tracker.Merge(p.now, "other", Report{ID: s.ID, StartMillis: s.StartMillis, Risk: riskScale, AgeMillis: 0})
	}
	p.now = p.now.Add(10 * time.Millisecond)
	for _, s := range p.servers[:limit/2] {
		p.fail(s)
	}
	reported := map[ident.ServerID]bool{}
	for _, r := range p.tracker.Reports(p.now, time.Second, limit) {
		reported[r.ID] = true
	}
	for i, s := range p.servers {
		if (i < limit/2 && !reported[s.ID]) || (i >= 20 && reported[s.ID]) {
			t.Errorf("%s: reported %v; want the %d that failed, and none that others reported", s.ID, reported[s.ID], limit/2)
		}
	}
}

// TestServersInDoubtGetOneProbeAtATime guards against daemons that lose requests at the same server in the same moment.
func TestServersInDoubtGetOneProbeAtATime(t *testing.T) {
	p := newProbePlay(20)
	doubtful := p.servers[0]
	p.fail(doubtful)
	p.fail(doubtful)
	p.end(p.pick(doubtful), Good)
	for range 12 {
		p.now = p.now.Add(recoveredIdleTime / 10)
		for _, s := range p.servers[1:] {
			p.end(p.pick(s), Good)
		}
	}
	info := &PickInfo{Servers: p.servers, Route: "r", TargetLatency: time.Second, Last: true}
	key := doubtful.Key()
	report := p.tracker.Report(p.now, key)
	report.Active = 1
	p.tracker.Merge(p.now, "other", report)
	if a := p.tracker.Pick(p.now, info); a.Server.Key() == key {
		t.Error("a second daemon probes the server, while the probe of another one is in flight")
	}
	report.Active = 0
	p.tracker.Merge(p.now, "other", report)
	if a := p.tracker.Pick(p.now, info); a.Server.Key() != key {
		t.Errorf("got %s, want the server in doubt, which no daemon probes", a.Server.ID)
	}
}

// TestServersAreTriedAgainAfterMisdirections guards against servers that a daemon never uses again after one 421 each.
func TestServersAreTriedAgainAfterMisdirections(t *testing.T) {
	p := newProbePlay(4)
	info := &PickInfo{Servers: p.servers, Route: "r", TargetLatency: time.Second, Last: true}
	misdirectAll := func() {
		for range p.servers {
			p.end(p.tracker.Pick(p.now, info), Misdirected)
		}
		if a := p.tracker.Pick(p.now, info); a != nil {
			t.Errorf("got %s, want no server: others answer at all addresses", a.Server.ID)
		}
	}
	for _, pause := range []time.Duration{misdirectedBackoff, 2 * misdirectedBackoff, 4 * misdirectedBackoff} {
		misdirectAll()
		p.now = p.now.Add(pause - time.Millisecond)
		if a := p.tracker.Pick(p.now, info); a != nil {
			t.Errorf("got %s within %v", a.Server.ID, pause)
		}
		p.now = p.now.Add(time.Millisecond)
	}
	p.answerAll()
	misdirectAll()
	p.now = p.now.Add(misdirectedBackoff)
	if a := p.tracker.Pick(p.now, info); a == nil {
		t.Errorf("got no server %v after the first misdirection since good responses", misdirectedBackoff)
	}
}
