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
	p.tracker.Sync(p.now, roster.New(1, list))
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
