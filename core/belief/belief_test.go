package belief

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// TestScripts runs the scripts in testdata. Each line is one step:
//
//	servers ID:ZONE:SLOTS ...     the registered servers
//	after DURATION                time passes
//	end ID OUTCOME [TOOK]         an attempt at the server ended
//	hear ID RISK AGE              another daemon reports the server
//	lost N / served N             requests were lost or served
//	begin ID N                    attempts begin and go on
//	pick KIND [tried ID] = ID     the server of the next attempt; KIND is once,
//	                              idempotent or last; a star stands for none
//	health ID = HEALTH            what the server counts as
//	risk ID < X, risk ID > X      the belief about a server
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { newScript(t).run(file) })
	}
}

type script struct {
	t       *testing.T
	now     time.Time
	book    *Book
	roster  *roster.Roster
	changes []string
}

func newScript(t *testing.T) *script {
	s := &script{t: t, now: time.Unix(1_000_000, 0)}
	s.book = New(Options{
		Zone: "a1", Regions: map[ident.ZoneID]ident.RegionID{"a1": "a", "a2": "a", "b1": "b"}, FloorShare: 0.7,
		Changed: func(r roster.Server, _ float64, o Outcome) { s.changes = append(s.changes, string(r.ID)+" "+string(o)) },
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
			s.t.Errorf("%s:%d: %s", file, n, line)
		}
	}
}

func (s *script) server(id string) roster.Server {
	for _, r := range s.roster.Servers() {
		if string(r.ID) == id {
			return r
		}
	}
	s.t.Fatalf("no server %q", id)
	return roster.Server{}
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

// step runs one line and reports whether it held.
func (s *script) step(w []string) bool {
	switch w[0] {
	case "servers":
		s.list(w[1:])
	case "after":
		s.now = s.now.Add(s.duration(w[1]))
	case "end":
		took := 100 * time.Millisecond
		if len(w) > 3 {
			took = s.duration(w[3])
		}
		s.book.End(s.now, &Attempt{Server: s.server(w[1]), route: "r"}, Outcome(w[2]), took)
	case "hear":
		s.book.Hear(s.now, "other", Report{
			ID: ident.ServerID(w[1]), Born: 1, Risk: uint8(s.number(w[2]) * riskScale),
			AgeMillis: uint32(s.duration(w[3]).Milliseconds()),
		})
	case "lost", "served":
		for range int(s.number(w[1])) {
			s.book.Settled(s.now, "svc", w[0] == "served")
		}
	case "begin":
		st := s.book.states[roster.Key{ID: ident.ServerID(w[1]), StartMillis: 1}]
		for range int(s.number(w[2])) {
			st.active = append(st.active, &Attempt{Server: s.server(w[1]), Started: s.now, route: "r"})
		}
	case "pick":
		return s.pick(w[1:])
	case "health":
		return s.book.states[roster.Key{ID: ident.ServerID(w[1]), StartMillis: 1}].health == Health(w[3])
	case "risk":
		risk := s.book.states[roster.Key{ID: ident.ServerID(w[1]), StartMillis: 1}].riskAt(s.now)
		return (w[2] == "<") == (risk < s.number(w[3]))
	default:
		s.t.Fatalf("unknown step %q", w[0])
	}
	return true
}

func (s *script) list(words []string) {
	var servers []roster.Server
	for _, w := range words {
		p := strings.Split(w, ":")
		servers = append(servers, roster.Server{
			ID: ident.ServerID(p[0]), Service: "svc", Zone: ident.ZoneID(p[1]), Slots: int(s.number(p[2])), StartMillis: 1,
			Draining: len(p) > 3 && p[3] == "draining",
		})
	}
	s.roster = roster.New(1, servers)
	s.book.Sync(s.now, s.roster)
}

func (s *script) pick(w []string) bool {
	ask := &Ask{
		Servers: s.roster.ForService("svc"), Route: "r", Target: time.Second,
		Idempotent: w[0] != "once", Last: w[0] == "last",
	}
	for i, word := range w {
		if word == "tried" {
			ask.Tried = append(ask.Tried, roster.Key{ID: ident.ServerID(w[i+1]), StartMillis: 1})
		}
	}
	want, got := w[len(w)-1], "*"
	if a := s.book.Pick(s.now, ask); a != nil {
		got = string(a.Server.ID)
		s.book.End(s.now, a, Neutral, 0)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		s.t.Log(diff)
		return false
	}
	return true
}

// TestNewerEvidenceWins checks that a report with older evidence changes nothing
// and that a later start of a server is another server.
func TestNewerEvidenceWins(t *testing.T) {
	s := newScript(t)
	s.list([]string{"x:a1:2"})
	s.book.End(s.now, &Attempt{Server: s.server("x")}, Broken, 0)
	before := s.book.Views(s.now)
	s.book.Hear(s.now, "other", Report{ID: "x", Born: 1, Risk: 1, AgeMillis: 50})
	s.book.Hear(s.now, "other", Report{ID: "x", Born: 2, Risk: 1, AgeMillis: 0})
	if diff := cmp.Diff(before, s.book.Views(s.now)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"x broken"}, s.changes); diff != "" {
		t.Error(diff)
	}
}

// TestManyServersStayInUse checks that with many sound servers none of the floor
// goes without work, although nothing is lost.
func TestManyServersStayInUse(t *testing.T) {
	s := newScript(t)
	var list []string
	for n := range 24 {
		list = append(list, "s"+strconv.Itoa(n)+":a1:2")
	}
	s.list(list)
	s.book.End(s.now, &Attempt{Server: s.server("s0")}, Good, time.Millisecond)
	used := map[ident.ServerID]bool{}
	for range 100 {
		s.now = s.now.Add(20 * time.Millisecond)
		a := s.book.Pick(s.now, &Ask{Servers: s.roster.ForService("svc"), Route: "r", Target: time.Second})
		used[a.Server.ID] = true
		s.book.End(s.now, a, Good, time.Millisecond)
	}
	if len(used) < 17 {
		t.Errorf("%d of 24 servers got work in 2 s", len(used))
	}
}

// TestSickServersOfALargeServiceAreLeftAloneWhileItIsWell checks that the floor does
// not send work to servers in doubt as long as the service is well, and that it does
// once the service loses requests.
func TestSickServersOfALargeServiceAreLeftAloneWhileItIsWell(t *testing.T) {
	for _, test := range []struct {
		idempotent, lost bool
		// far is the number of servers in another zone, of which nothing is known.
		far         int
		least, most int
	}{
		{false, false, 0, 0, 0},
		{true, false, 0, 0, 0},
		{false, true, 0, 4, 6},
		{true, true, 0, 6, 6},
		{false, false, 72, 0, 0},
		{false, true, 72, 4, 6},
	} {
		s := newScript(t)
		var list []string
		for n := range 24 {
			list = append(list, "s"+strconv.Itoa(n)+":a1:2")
		}
		for n := range test.far {
			list = append(list, "far"+strconv.Itoa(n)+":b1:2")
		}
		s.list(list)
		sick := map[ident.ServerID]bool{}
		for n := range 24 {
			outcome, id := Good, ident.ServerID("s"+strconv.Itoa(n))
			if n < 6 {
				outcome, sick[id] = Broken, true
			}
			s.book.End(s.now, &Attempt{Server: s.server(string(id)), route: "r"}, outcome, time.Millisecond)
		}
		if test.lost {
			for range 20 {
				s.book.Settled(s.now, "svc", false)
			}
		}
		tried := map[ident.ServerID]bool{}
		for range 190 {
			s.now = s.now.Add(20 * time.Millisecond)
			a := s.book.Pick(s.now, &Ask{Servers: s.roster.ForService("svc"), Route: "r", Target: time.Second, Idempotent: test.idempotent})
			outcome := Good
			if sick[a.Server.ID] {
				outcome, tried[a.Server.ID] = Broken, true
				if !a.Floor {
					t.Errorf("%+v: %s was picked for its cost", test, a.Server.ID)
				}
			}
			s.book.End(s.now, a, outcome, time.Millisecond)
		}
		if n := len(tried); n < test.least || n > test.most {
			t.Errorf("%+v: %d of 6 sick servers got work in 3.8 s", test, n)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	book := New(Options{Zone: "a1", Changed: func(roster.Server, float64, Outcome) {}})
	var servers []roster.Server
	for i := range 100 {
		servers = append(servers, roster.Server{ID: ident.ServerID(strconv.Itoa(i)), Service: "svc", Zone: "a1", Slots: 2})
	}
	r := roster.New(1, servers)
	now := time.Now()
	book.Sync(now, r)
	ask := &Ask{Servers: r.ForService("svc"), Route: "r", Target: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		a := book.Pick(now, ask)
		book.End(now, a, Good, time.Millisecond)
	}
}
