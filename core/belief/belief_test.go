package belief

import (
	"bufio"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/ratelimit"
	"bilberrymux/core/roster"
)

// TestScripts runs the scripts in testdata. Each line is one step. A "#" starts a comment.
//
//	servers ID:ZONE:SLOTS[:draining] ...  sets the registered servers
//	after DURATION                        advances the clock
//	end ID OUTCOME [TOOK]                 ends an attempt at a server
//	hear ID RISK AGE                      merges a report of another daemon
//	lost N / served N                     records N lost or served requests
//	begin ID N                            starts N attempts that stay in flight
//	overdue ID [N]                        records that the N-th attempt in flight is overdue
//	finish ID OUTCOME                     ends the first attempt in flight
//	hear-losses VM LOST TOTAL             merges the losses that another daemon reports
//	hear-active ID N                      merges a report of N attempts in flight at another daemon
//	limit ID RATE SHARE                   sets a server's limit, of which the daemon may use SHARE
//	pick KIND [tried ID]... = ID          checks the server of the next attempt; KIND is
//	                                      once (not idempotent), idempotent or last; the
//	                                      ID * stands for no server
//	health ID = HEALTH                    checks the health of a server
//	risk ID < X, risk ID > X              checks the risk of a server
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test scripts found in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { newScript(t).run(file) })
	}
}

// script is the state of a running test script.
type script struct {
	t       *testing.T
	now     time.Time
	tracker *Tracker
	roster  *roster.Roster
	changes []string
	limits  *ratelimit.Limits
}

func newScript(t *testing.T) *script {
	s := &script{t: t, now: time.Unix(1_000_000, 0), limits: ratelimit.New()}
	s.tracker = New(Options{
		Zone: "a1", Regions: map[ident.ZoneID]ident.RegionID{"a1": "a", "a2": "a", "b1": "b"}, FloorShare: 0.7,
		OnChange: func(r roster.Server, _ float64, o Outcome) { s.changes = append(s.changes, string(r.ID)+" "+string(o)) },
	})
	return s
}

func (s *script) run(file string) {
	f, err := os.Open(file)
	if err != nil {
		s.t.Fatal(err)
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 && !s.step(words) {
			s.t.Errorf("%s:%d: check failed: %s", file, n, line)
		}
	}
}

func (s *script) server(id string) roster.Server {
	for _, r := range s.roster.Servers() {
		if string(r.ID) == id {
			return r
		}
	}
	s.t.Fatalf("server %q is not registered", id)
	return roster.Server{}
}

func (s *script) state(id string) *state {
	return s.tracker.states[s.keyOf(id)]
}

func (s *script) keyOf(id string) roster.Key {
	return roster.Key{ID: ident.ServerID(id), StartMillis: 1}
}

func (s *script) number(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return x
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// step runs one line. It returns false if the check of the line failed.
func (s *script) step(w []string) bool {
	switch w[0] {
	case "servers":
		s.setServers(w[1:])
	case "after":
		s.now = s.now.Add(s.duration(w[1]))
	case "end":
		took := 100 * time.Millisecond
		if len(w) > 3 {
			took = s.duration(w[3])
		}
		s.tracker.End(s.now, &Attempt{Server: s.server(w[1]), Started: s.now.Add(-took), route: "r", target: time.Second, crowding: 1}, Outcome(w[2]), took)
	case "hear":
		s.tracker.Merge(s.now, "other", Report{
			ID: ident.ServerID(w[1]), StartMillis: 1, Risk: uint8(s.number(w[2]) * riskScale),
			AgeMillis: uint32(s.duration(w[3]).Milliseconds()),
		})
	case "lost", "served":
		for range int(s.number(w[1])) {
			s.tracker.RecordRequest(s.now, "svc", w[0] == "served")
		}
	case "begin":
		st := s.state(w[1])
		for range int(s.number(w[2])) {
			crowding := max(1, float64(len(st.active)+1)/float64(s.server(w[1]).Slots))
			st.active = append(st.active, &Attempt{Server: s.server(w[1]), Started: s.now, route: "r", target: time.Second, crowding: crowding})
		}
	case "overdue":
		n := 1
		if len(w) > 2 {
			n = int(s.number(w[2]))
		}
		s.tracker.Overdue(s.now, s.state(w[1]).active[n-1])
	case "finish":
		a := s.state(w[1]).active[0]
		s.tracker.End(s.now, a, Outcome(w[2]), s.now.Sub(a.Started))
	case "hear-losses":
		s.tracker.MergeLosses(s.now, ident.VMID(w[1]), []LossReport{{Service: "svc", Lost: float32(s.number(w[2])), Total: float32(s.number(w[3]))}})
	case "hear-active":
		s.tracker.Merge(s.now, "other", Report{ID: ident.ServerID(w[1]), StartMillis: 1, AgeMillis: math.MaxUint32, Active: uint8(s.number(w[2]))})
	case "limit":
		s.limits.Learn(s.now, s.keyOf(w[1]), ratelimit.Statement{Limited: true, PerSecond: s.number(w[2]), At: s.now})
		s.limits.SetShares(s.now, func(roster.Key, float64) float64 { return s.number(w[3]) })
	case "pick":
		return s.pick(w[1:])
	case "health":
		return s.state(w[1]).health == Health(w[3])
	case "risk":
		risk := s.state(w[1]).riskAt(s.now)
		return (w[2] == "<") == (risk < s.number(w[3]))
	default:
		s.t.Fatalf("unknown step %q", w[0])
	}
	return true
}

func (s *script) setServers(words []string) {
	var servers []roster.Server
	for _, w := range words {
		p := strings.Split(w, ":")
		servers = append(servers, roster.Server{
			ID: ident.ServerID(p[0]), Service: "svc", Zone: ident.ZoneID(p[1]), Slots: int(s.number(p[2])), StartMillis: 1,
			Draining: len(p) > 3 && p[3] == "draining",
		})
	}
	s.roster = roster.New(ident.StoreVersion{Number: 1}, servers)
	s.tracker.Sync(s.now, s.roster)
	s.limits.Sync(s.now, s.roster)
}

func (s *script) pick(w []string) bool {
	info := &PickInfo{
		Servers: s.roster.ForService("svc"), Route: "r", TargetLatency: time.Second,
		Idempotent: w[0] != "once", Last: w[0] == "last", Limits: s.limits,
	}
	for i, word := range w {
		if word == "tried" {
			info.Tried = append(info.Tried, roster.Key{ID: ident.ServerID(w[i+1]), StartMillis: 1})
		}
	}
	want, got := w[len(w)-1], "*"
	if a := s.tracker.Pick(s.now, info); a != nil {
		got = string(a.Server.ID)
		s.tracker.End(s.now, a, Neutral, 0)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		s.t.Logf("unexpected server picked (-want +got):\n%s", diff)
		return false
	}
	return true
}

// TestNewerEvidenceWins checks that a report with older evidence changes nothing and that a
// report of another run of a server doesn't apply to the present one.
func TestNewerEvidenceWins(t *testing.T) {
	s := newScript(t)
	s.setServers([]string{"x:a1:2"})
	s.tracker.End(s.now, &Attempt{Server: s.server("x")}, Broken, 0)
	before := s.tracker.Views(s.now)
	s.tracker.Merge(s.now, "other", Report{ID: "x", StartMillis: 1, Risk: 1, AgeMillis: 50})
	s.tracker.Merge(s.now, "other", Report{ID: "x", StartMillis: 2, Risk: 1, AgeMillis: 0})
	if diff := cmp.Diff(before, s.tracker.Views(s.now)); diff != "" {
		t.Errorf("views changed by outdated reports (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"x broken"}, s.changes); diff != "" {
		t.Errorf("unexpected health changes (-want +got):\n%s", diff)
	}
}

// TestManyServersStayInUse checks that all servers in the floor of a large service get
// requests even though all servers are sound and no requests are lost.
func TestManyServersStayInUse(t *testing.T) {
	s := newScript(t)
	var list []string
	for n := range 24 {
		list = append(list, "s"+strconv.Itoa(n)+":a1:2")
	}
	s.setServers(list)
	s.tracker.End(s.now, &Attempt{Server: s.server("s0")}, Good, time.Millisecond)
	used := map[ident.ServerID]bool{}
	for range 100 {
		s.now = s.now.Add(20 * time.Millisecond)
		a := s.tracker.Pick(s.now, &PickInfo{Servers: s.roster.ForService("svc"), Route: "r", TargetLatency: time.Second})
		used[a.Server.ID] = true
		s.tracker.End(s.now, a, Good, time.Millisecond)
	}
	if len(used) < 17 {
		t.Errorf("%d of 24 servers got requests within 2 s, want at least 17", len(used))
	}
}

// TestFailedServersAreProbedRarelyUnlessServiceIsDegraded checks how often servers that always fail get
// requests. While the service is not degraded they are probed after 3, 6 and 8 s. A probe of a request that
// can't be retried costs the caller its answer.
func TestFailedServersAreProbedRarelyUnlessServiceIsDegraded(t *testing.T) {
	const sickServers = 6
	for _, test := range []struct {
		idempotent, lost bool
		// far is the number of servers in another zone, for which there is no evidence.
		far    int
		length time.Duration
		// least and most bound the number of requests that the sick servers get.
		least, most int
	}{
		{false, false, 0, 1900 * time.Millisecond, 0, 0},
		{true, false, 0, 1900 * time.Millisecond, 0, 0},
		{false, false, 0, 3800 * time.Millisecond, sickServers, sickServers},
		{true, false, 0, 3800 * time.Millisecond, sickServers, sickServers},
		{false, false, 72, 3800 * time.Millisecond, sickServers, sickServers},
		{false, false, 0, 20 * time.Second, 3 * sickServers, 3 * sickServers},
		{false, true, 0, 3800 * time.Millisecond, 8, 4 * sickServers},
		{true, true, 0, 3800 * time.Millisecond, 2 * sickServers, 4 * sickServers},
		{false, true, 72, 3800 * time.Millisecond, 8, 4 * sickServers},
	} {
		s := newScript(t)
		var list []string
		for n := range 24 {
			list = append(list, "s"+strconv.Itoa(n)+":a1:2")
		}
		for n := range test.far {
			list = append(list, "far"+strconv.Itoa(n)+":b1:2")
		}
		s.setServers(list)
		sick := map[ident.ServerID]bool{}
		for n := range 24 {
			outcome, id := Good, ident.ServerID("s"+strconv.Itoa(n))
			if n < sickServers {
				outcome, sick[id] = Broken, true
			}
			s.tracker.End(s.now, &Attempt{Server: s.server(string(id)), route: "r"}, outcome, time.Millisecond)
		}
		if test.lost {
			for range 20 {
				s.tracker.RecordRequest(s.now, "svc", false)
			}
		}
		probes := 0
		for start := s.now; s.now.Sub(start) < test.length; {
			s.now = s.now.Add(20 * time.Millisecond)
			a := s.tracker.Pick(s.now, &PickInfo{Servers: s.roster.ForService("svc"), Route: "r", TargetLatency: time.Second, Idempotent: test.idempotent})
			outcome := Good
			if sick[a.Server.ID] {
				outcome = Broken
				probes++
				if a.Reason != Probe {
					t.Errorf("%+v: sick server %s got a request that is no probe", test, a.Server.ID)
				}
			}
			s.tracker.End(s.now, a, outcome, time.Millisecond)
		}
		if probes < test.least || probes > test.most {
			t.Errorf("%+v: got %d requests at sick servers, want %d to %d", test, probes, test.least, test.most)
		}
	}
}

// TestServerIsInUseAgainAfterGoodProbe guards against servers that stay out of use after they have recovered.
func TestServerIsInUseAgainAfterGoodProbe(t *testing.T) {
	s := newScript(t)
	var list []string
	for n := range 24 {
		list = append(list, "s"+strconv.Itoa(n)+":a1:2")
	}
	s.setServers(list)
	for range 2 {
		s.tracker.End(s.now, &Attempt{Server: s.server("s0"), route: "r"}, Broken, time.Millisecond)
	}
	var picks []time.Duration
	for start := s.now; s.now.Sub(start) < 12*time.Second; {
		s.now = s.now.Add(20 * time.Millisecond)
		a := s.tracker.Pick(s.now, &PickInfo{Servers: s.roster.ForService("svc"), Route: "r", TargetLatency: time.Second})
		if a.Server.ID == "s0" {
			picks = append(picks, s.now.Sub(start))
		}
		s.tracker.End(s.now, a, Good, time.Millisecond)
	}
	if len(picks) < 4 || picks[0] < 2*failedIdleTime || picks[0] > 3*failedIdleTime || picks[1]-picks[0] > 3*time.Second || picks[2]-picks[1] > time.Second {
		t.Errorf("requests at a server that has recovered after two failures: got them after %v, want the first after 6 to 9 s, the second within 3 s and the third within 1 s", picks)
	}
}

func BenchmarkPick(b *testing.B) {
	tracker := New(Options{Zone: "a1", OnChange: func(roster.Server, float64, Outcome) {}})
	var servers []roster.Server
	for i := range 100 {
		servers = append(servers, roster.Server{ID: ident.ServerID(strconv.Itoa(i)), Service: "svc", Zone: "a1", Slots: 2})
	}
	r := roster.New(ident.StoreVersion{Number: 1}, servers)
	now := time.Now()
	tracker.Sync(now, r)
	info := &PickInfo{Servers: r.ForService("svc"), Route: "r", TargetLatency: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		a := tracker.Pick(now, info)
		tracker.End(now, a, Good, time.Millisecond)
	}
}

// TestWaitingIsEvidenceAfterLongCalm checks that an attempt without a response raises the risk of its
// server, and leaves it a probability, after a route had no hang or no silent fault for so long that
// the decayed counts vanish.
func TestWaitingIsEvidenceAfterLongCalm(t *testing.T) {
	for _, usual := range []Outcome{Good, Failed} {
		s := newScript(t)
		s.step([]string{"servers", "x:a1:2"})
		server := s.server("x")
		attempt := func(age time.Duration) *Attempt {
			return &Attempt{Server: server, Started: s.now.Add(-age), route: "r", target: time.Second, crowding: 1}
		}
		for range 300_000 {
			s.tracker.End(s.now, attempt(100*time.Millisecond), usual, 100*time.Millisecond)
		}
		s.tracker.End(s.now, attempt(100*time.Millisecond), Good, 100*time.Millisecond)
		before := s.state("x").riskAt(s.now)
		a := attempt(time.Hour)
		s.state("x").active = append(s.state("x").active, a)
		s.tracker.Overdue(s.now, a)
		if risk := s.tracker.currentRisk(s.now, s.state("x")); !(risk >= before && risk <= 1) {
			t.Errorf("calm of %s outcomes: got risk %v after an hour of waiting, want %v to 1", usual, risk, before)
		}
		s.tracker.End(s.now, a, Silent, time.Hour)
		if risk := s.state("x").riskAt(s.now); !(risk >= before && risk <= 1) {
			t.Errorf("calm of %s outcomes: got risk %v after an attempt without a response, want %v to 1", usual, risk, before)
		}
	}
}
