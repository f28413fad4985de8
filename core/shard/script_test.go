package shard_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/escrow"
	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/core/shard"
	"bilberrymux/internal/testfiles"
)

// player runs the lines of a script against a shard and writes what happens.
type player struct {
	t       *testing.T
	now     time.Time
	shard   *shard.Shard
	service config.Service
	purse   *escrow.PermitPool
	poison  *poison.Quarantine
	tickets map[string]*admit.Ticket
	running map[string]*admit.Attempt
	order   []string
	out     strings.Builder
	checks  []string
}

// TestScripts plays the data files: lines that begin with "> " are events, the
// others are what must come of them.
func TestScripts(t *testing.T) {
	testfiles.Each(t, "testdata/scripts/*.txt", func(t *testing.T, path string, body []byte) {
		got := play(t, string(body))
		if os.Getenv("BILBERRYMUX_WRITE_SCRIPTS") != "" {
			if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(strings.Split(string(body), "\n"), strings.Split(got, "\n")); diff != "" {
			t.Fatalf("transcript (-want +got):\n%s", diff)
		}
	})
}

func play(t *testing.T, script string) string {
	p := &player{
		t: t, now: time.Unix(1_800_000_000, 0), tickets: map[string]*admit.Ticket{},
		running: map[string]*admit.Attempt{}, purse: escrow.NewPermitPool(), poison: poison.New(),
	}
	for line := range strings.SplitSeq(script, "\n") {
		if strings.HasPrefix(line, "#") {
			fmt.Fprintln(&p.out, line)
			continue
		}
		event, ok := strings.CutPrefix(line, "> ")
		if !ok {
			continue
		}
		fmt.Fprintln(&p.out, line)
		p.event(strings.Fields(event))
		p.replies()
	}
	return p.out.String()
}

// say writes one line of the transcript.
func (p *player) say(format string, args ...any) {
	fmt.Fprintf(&p.out, format+"\n", args...)
}

// options reads name=value words.
func options(words []string) map[string]string {
	out := map[string]string{}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		out[name] = value
	}
	return out
}

func number(o map[string]string, name string, fallback int) int {
	if n, err := strconv.Atoi(o[name]); err == nil {
		return n
	}
	return fallback
}

func (p *player) event(words []string) {
	o := options(words[1:])
	switch words[0] {
	case "service":
		p.start(o)
	case "change":
		p.change(o)
	case "offer":
		p.offer(words[1], words[2], o)
	case "work":
		p.work(number(o, "n", 1), number(o, "ms", 10), shard.End(words[1]), words[2])
	case "finish":
		p.finish(words[1], shard.End(words[2]))
	case "wait":
		p.wait(time.Duration(number(o, "ms", 100)) * time.Millisecond)
	case "probe":
		p.shard.Probed(p.now, ident.ServerID(words[1]), report(words[2]))
	case "path":
		p.shard.PathChecked(p.now, ident.ServerID(words[1]), words[2] == "reached")
	case "died":
		p.shard.ServerDied(p.now, ident.ServerID(words[1]))
	case "show":
		p.show()
	default:
		p.t.Fatalf("unknown event %q", words[0])
	}
}

func report(word string) shard.Report {
	return shard.Report{Reached: word != "down", Healthy: word == "ok" || word == "draining", Draining: word == "draining"}
}

// start makes the service and a shard that holds permits.
func (p *player) start(o map[string]string) {
	p.service = config.Service{
		Servers:   map[ident.ServerID]config.Server{},
		Detector:  config.Detector{Name: "cusum", FalseAlarmRate: 1e-6, SlowFactor: 3},
		Picker:    "roundRobin",
		Admission: config.Admission{Name: "rankShares", QueueLimit: number(o, "queue", 100), Shares: config.Shares{Urgent: 0.5, Normal: 0.25, Background: 0.25}},
		Retry:     config.Retry{Name: "budget", ExtraFraction: 0.1, MaxAttempts: 3},
	}
	p.service.FloorSlots = number(o, "floor", 0)
	for i := range number(o, "servers", 4) {
		id := ident.ServerID(fmt.Sprint("s", i+1))
		p.service.Servers[id] = config.Server{Address: string(id), Region: "r", Zone: "z", Slots: number(o, "slots", 2)}
	}
	p.shard = shard.New(shard.Options{
		ID: ident.ShardID{Service: "a", Region: "r"}, Permits: p.purse, Poison: p.poison,
		Changed: func(e shard.Event) { p.say("  %s %s -> %s: %s", e.Server, e.From, e.To, e.Reason) },
		Count: func(name string) {
			if strings.HasPrefix(name, "alarm.") || name == "eject.denied" || strings.HasPrefix(name, "poison") {
				p.say("  count %s", name)
			}
		},
		CheckPath: func(id ident.ServerID, _ string) { p.say("  asks others for %s", id) },
	})
	p.update()
	if permits := number(o, "permits", -1); permits >= 0 {
		p.purse.SetHold(escrow.Hold{VM: "vm", Slots: permits, Total: p.total()})
	} else {
		p.purse.SetHold(escrow.Hold{VM: "vm", Slots: p.total(), Total: p.total()})
	}
}

func (p *player) total() int {
	return max(0, p.service.Capacity()-p.service.FloorSlots)
}

func (p *player) update() {
	p.purse.SetTotal(p.total())
	service := p.service
	if err := p.shard.Update(p.now, &service); err != nil {
		p.t.Fatal(err)
	}
}

// change edits the service: a floor, or a server that leaves or goes.
func (p *player) change(o map[string]string) {
	p.service.FloorSlots = number(o, "floor", p.service.FloorSlots)
	servers := map[ident.ServerID]config.Server{}
	for id, s := range p.service.Servers {
		if string(id) == o["leaving"] {
			s.Leaving = true
		}
		if string(id) == o["back"] {
			s.Leaving = false
		}
		if string(id) != o["gone"] {
			servers[id] = s
		}
	}
	p.service.Servers = servers
	p.update()
}

func (p *player) offer(name, rank string, o map[string]string) {
	t := &admit.Ticket{
		Rank: ident.Rank(rank), Organisation: ident.OrganisationID(o["org"]), Weight: 1,
		Deadline:   p.now.Add(time.Duration(number(o, "deadline", 10_000)) * time.Millisecond),
		Idempotent: o["once"] != "true", Ready: make(chan admit.Reply, 1),
		Fingerprint: ident.Fingerprint(number(o, "print", 0)),
	}
	p.tickets[name] = t
	p.order = append(p.order, name)
	a, refused := p.shard.Offer(p.now, t)
	switch {
	case a != nil:
		p.granted(name, a)
	case refused != "":
		p.say("  %s refused: %s", name, refused)
	default:
		p.say("  %s waits", name)
	}
}

func (p *player) granted(name string, a *admit.Attempt) {
	a.Sent.Store(true)
	p.running[name] = a
	p.say("  %s on %s", name, a.Server.ID)
}

// replies writes what waiting tickets were told.
func (p *player) replies() {
	for _, name := range p.order {
		select {
		case reply := <-p.tickets[name].Ready:
			if reply.Attempt != nil {
				p.granted(name, reply.Attempt)
			} else {
				p.say("  %s refused: %s", name, reply.Refused)
			}
		default:
		}
	}
}

func (p *player) finish(name string, end shard.End) {
	p.shard.Finish(p.now, p.running[name], end)
}

// work runs requests one after another and lets those on a server end in a way;
// requests on other servers end well.
func (p *player) work(n, ms int, end shard.End, server string) {
	for hits := 0; hits < n; {
		t := &admit.Ticket{
			Rank: ident.Normal, Weight: 1, Deadline: p.now.Add(time.Minute), Idempotent: true,
			Ready: make(chan admit.Reply, 1),
		}
		a, refused := p.shard.Offer(p.now, t)
		if a == nil {
			p.say("  work stops: %s", refused)
			return
		}
		a.Sent.Store(true)
		hit := string(a.Server.ID) == server || server == "*"
		if hit {
			p.now = p.now.Add(time.Duration(ms) * time.Millisecond)
			hits++
			p.shard.Finish(p.now, a, end)
			continue
		}
		p.now = p.now.Add(10 * time.Millisecond)
		p.shard.Finish(p.now, a, shard.Good)
		if !p.inWork(server) {
			p.say("  work stops after %d: %s gets none", hits, server)
			return
		}
	}
}

// inWork reports whether a server may get work at all.
func (p *player) inWork(server string) bool {
	for _, s := range p.shard.View().Servers {
		if string(s.ID) == server {
			return s.State == "active" || s.State == "trial"
		}
	}
	return server == "*"
}

// wait lets time pass with its ticks.
func (p *player) wait(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(min(shard.TickPeriod, end.Sub(p.now)))
		p.shard.Tick(p.now)
		p.replies()
	}
}

func (p *player) show() {
	v := p.shard.View()
	used, allowed := p.purse.Usage()
	p.say("  capacity %d, permits %d of %d", v.Capacity, used, allowed)
	for _, s := range v.Servers {
		p.say("  %s %s busy %d/%d weight %d", s.ID, s.State, s.Busy, s.Limit, s.Weight)
	}
}
