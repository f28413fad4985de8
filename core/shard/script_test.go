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

// scriptRunner runs the events of a script against a shard and records a transcript.
type scriptRunner struct {
	t        *testing.T
	now      time.Time
	shard    *shard.Shard
	service  config.Service
	permits  *escrow.PermitPool
	poison   *poison.Quarantine
	tickets  map[string]*admit.Ticket
	attempts map[string]*admit.Attempt
	names    []string
	out      strings.Builder
	checks   []string
}

// TestScripts runs the scripts in testdata. Lines that begin with "> " are events, lines that begin
// with "#" are comments, and the other lines are the expected output of the event above them. If
// BILBERRYMUX_WRITE_SCRIPTS is set, it also overwrites the scripts with the actual transcripts.
func TestScripts(t *testing.T) {
	testfiles.Each(t, "testdata/scripts/*.txt", func(t *testing.T, path string, body []byte) {
		got := runScript(t, string(body))
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

// runScript runs a script and returns its transcript.
func runScript(t *testing.T, script string) string {
	r := &scriptRunner{
		t: t, now: time.Unix(1_800_000_000, 0), tickets: map[string]*admit.Ticket{},
		attempts: map[string]*admit.Attempt{}, permits: escrow.NewPermitPool(), poison: poison.New(),
	}
	for line := range strings.SplitSeq(script, "\n") {
		if strings.HasPrefix(line, "#") {
			fmt.Fprintln(&r.out, line)
			continue
		}
		event, ok := strings.CutPrefix(line, "> ")
		if !ok {
			continue
		}
		fmt.Fprintln(&r.out, line)
		r.runEvent(strings.Fields(event))
		r.printReplies()
	}
	return r.out.String()
}

// printf appends a line to the transcript.
func (r *scriptRunner) printf(format string, args ...any) {
	fmt.Fprintf(&r.out, format+"\n", args...)
}

// parseOptions parses name=value words.
func parseOptions(words []string) map[string]string {
	out := map[string]string{}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		out[name] = value
	}
	return out
}

// intOption returns an option as an integer, or fallback if it is missing or no integer.
func intOption(o map[string]string, name string, fallback int) int {
	if n, err := strconv.Atoi(o[name]); err == nil {
		return n
	}
	return fallback
}

// runEvent runs one event, given as its words.
func (r *scriptRunner) runEvent(words []string) {
	o := parseOptions(words[1:])
	switch words[0] {
	case "service":
		r.startService(o)
	case "change":
		r.change(o)
	case "offer":
		r.offer(words[1], words[2], o)
	case "work":
		r.work(intOption(o, "n", 1), intOption(o, "ms", 10), shard.Outcome(words[1]), words[2])
	case "finish":
		r.finish(words[1], shard.Outcome(words[2]))
	case "wait":
		r.wait(time.Duration(intOption(o, "ms", 100)) * time.Millisecond)
	case "probe":
		r.shard.RecordProbe(r.now, ident.ServerID(words[1]), probeResult(words[2]))
	case "path":
		r.shard.RecordPathCheck(r.now, ident.ServerID(words[1]), words[2] == "reached")
	case "died":
		r.shard.RecordUnreachable(r.now, ident.ServerID(words[1]))
	case "show":
		r.show()
	default:
		r.t.Fatalf("unknown event %q", words[0])
	}
}

// probeResult returns the probe result for "ok", "draining", "down" or any word for an unhealthy server.
func probeResult(word string) shard.ProbeResult {
	return shard.ProbeResult{Reached: word != "down", Healthy: word == "ok" || word == "draining", Draining: word == "draining"}
}

// startService creates the service and its shard, with permits for all ejectable slots unless the option
// permits says otherwise.
func (r *scriptRunner) startService(o map[string]string) {
	r.service = config.Service{
		Servers:   map[ident.ServerID]config.Server{},
		Detector:  config.Detector{Name: "cusum", FalseAlarmRate: 1e-6, SlowFactor: 3},
		Picker:    "roundRobin",
		Admission: config.Admission{Name: "rankShares", QueueLimit: intOption(o, "queue", 100), Shares: config.Shares{Urgent: 0.5, Normal: 0.25, Background: 0.25}},
		Retry:     config.Retry{Name: "budget", ExtraFraction: 0.1, MaxAttempts: 3},
	}
	r.service.FloorSlots = intOption(o, "floor", 0)
	for i := range intOption(o, "servers", 4) {
		id := ident.ServerID(fmt.Sprint("s", i+1))
		r.service.Servers[id] = config.Server{Address: string(id), Region: "r", Zone: "z", Slots: intOption(o, "slots", 2)}
	}
	r.shard = shard.New(shard.Options{
		ID: ident.ShardID{Service: "a", Region: "r"}, Permits: r.permits, Poison: r.poison,
		StateChanged: func(e shard.Event) { r.printf("  %s %s -> %s: %s", e.Server, e.From, e.To, e.Reason) },
		Count: func(name string) {
			if strings.HasPrefix(name, "alarm.") || name == "eject.denied" || strings.HasPrefix(name, "poison") {
				r.printf("  count %s", name)
			}
		},
		CheckPath: func(id ident.ServerID, _ string) { r.printf("  requests a path check for %s", id) },
	})
	r.update()
	if permits := intOption(o, "permits", -1); permits >= 0 {
		r.permits.SetHold(escrow.Hold{VM: "vm", Slots: permits, Total: r.ejectableSlots()})
	} else {
		r.permits.SetHold(escrow.Hold{VM: "vm", Slots: r.ejectableSlots(), Total: r.ejectableSlots()})
	}
}

// ejectableSlots returns the number of slots above the service's floor.
func (r *scriptRunner) ejectableSlots() int {
	return max(0, r.service.Capacity()-r.service.FloorSlots)
}

// update applies the service's configuration to the permits and the shard.
func (r *scriptRunner) update() {
	r.permits.SetTotal(r.ejectableSlots())
	service := r.service
	if err := r.shard.Update(r.now, &service); err != nil {
		r.t.Fatal(err)
	}
}

// change changes the service: its floor, or a server that is leaving, coming back or removed.
func (r *scriptRunner) change(o map[string]string) {
	r.service.FloorSlots = intOption(o, "floor", r.service.FloorSlots)
	servers := map[ident.ServerID]config.Server{}
	for id, s := range r.service.Servers {
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
	r.service.Servers = servers
	r.update()
}

// offer requests a slot for a named request and records whether it is admitted, refused or queued.
func (r *scriptRunner) offer(name, rank string, o map[string]string) {
	t := &admit.Ticket{
		Rank: ident.Rank(rank), Organisation: ident.OrganisationID(o["org"]), Weight: 1,
		Deadline:   r.now.Add(time.Duration(intOption(o, "deadline", 10_000)) * time.Millisecond),
		Idempotent: o["once"] != "true", Ready: make(chan admit.Reply, 1),
		Fingerprint: ident.Fingerprint(intOption(o, "print", 0)),
	}
	r.tickets[name] = t
	r.names = append(r.names, name)
	a, refused := r.shard.Acquire(r.now, t)
	switch {
	case a != nil:
		r.recordAttempt(name, a)
	case refused != "":
		r.printf("  %s refused: %s", name, refused)
	default:
		r.printf("  %s waits", name)
	}
}

// recordAttempt stores an admitted attempt and records its server.
func (r *scriptRunner) recordAttempt(name string, a *admit.Attempt) {
	a.Sent.Store(true)
	r.attempts[name] = a
	r.printf("  %s on %s", name, a.Server.ID)
}

// printReplies records the replies that queued requests have received.
func (r *scriptRunner) printReplies() {
	for _, name := range r.names {
		select {
		case reply := <-r.tickets[name].Ready:
			if reply.Attempt != nil {
				r.recordAttempt(name, reply.Attempt)
			} else {
				r.printf("  %s refused: %s", name, reply.Refused)
			}
		default:
		}
	}
}

// finish ends the attempt of a named request.
func (r *scriptRunner) finish(name string, outcome shard.Outcome) {
	r.shard.Finish(r.now, r.attempts[name], outcome)
}

// work runs requests one after another until n of them ran on the server, or on any server if it is
// "*". Those take ms milliseconds and finish with the given outcome; requests on other servers take 10
// ms and succeed.
func (r *scriptRunner) work(n, ms int, outcome shard.Outcome, server string) {
	for hits := 0; hits < n; {
		t := &admit.Ticket{
			Rank: ident.Normal, Weight: 1, Deadline: r.now.Add(time.Minute), Idempotent: true,
			Ready: make(chan admit.Reply, 1),
		}
		a, refused := r.shard.Acquire(r.now, t)
		if a == nil {
			r.printf("  work stops: %s", refused)
			return
		}
		a.Sent.Store(true)
		hit := string(a.Server.ID) == server || server == "*"
		if hit {
			r.now = r.now.Add(time.Duration(ms) * time.Millisecond)
			hits++
			r.shard.Finish(r.now, a, outcome)
			continue
		}
		r.now = r.now.Add(10 * time.Millisecond)
		r.shard.Finish(r.now, a, shard.Good)
		if !r.mayReceiveWork(server) {
			r.printf("  work stops after %d: %s gets none", hits, server)
			return
		}
	}
}

// mayReceiveWork reports whether a server is in a state in which it may receive work.
func (r *scriptRunner) mayReceiveWork(server string) bool {
	for _, s := range r.shard.View().Servers {
		if string(s.ID) == server {
			return s.State == "active" || s.State == "trial"
		}
	}
	return server == "*"
}

// wait advances the time by d and runs the ticks that fall into it.
func (r *scriptRunner) wait(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(shard.TickPeriod, end.Sub(r.now)))
		r.shard.Tick(r.now)
		r.printReplies()
	}
}

// show records the capacity, the permits, and the state of each server.
func (r *scriptRunner) show() {
	v := r.shard.View()
	used, allowed := r.permits.Usage()
	r.printf("  capacity %d, permits %d of %d", v.Capacity, used, allowed)
	for _, s := range v.Servers {
		r.printf("  %s %s busy %d/%d weight %d", s.ID, s.State, s.Busy, s.Limit, s.Weight)
	}
}
