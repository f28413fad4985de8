package refresh

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberrymux/internal/testfiles"
)

// TestLimiterScripts runs the scripts in testdata. Each line is one step. A "#" starts a
// comment.
//
//	random X             sets the random number that the next failed call draws
//	after DURATION       advances the clock
//	begin N = yes|no     checks whether a call may begin in a zone with N daemons
//	end ok|failed = none|changed  ends a call and checks whether the state of the store changed
func TestLimiterScripts(t *testing.T) {
	testfiles.Each(t, "testdata/*.txt", func(t *testing.T, path string, body []byte) {
		now, random := time.Unix(1000, 0), 1.0
		l := NewLimiter(func() float64 { return random })
		scanner := bufio.NewScanner(bytes.NewReader(body))
		for n := 1; scanner.Scan(); n++ {
			line, _, _ := strings.Cut(scanner.Text(), "#")
			words := strings.Fields(line)
			if len(words) == 0 {
				continue
			}
			got := ""
			switch words[0] {
			case "random":
				random = parse(t, words[1], func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
			case "after":
				now = now.Add(parse(t, words[1], time.ParseDuration))
			case "begin":
				got = map[bool]string{true: "yes", false: "no"}[l.Begin(now, parse(t, words[1], strconv.Atoi))]
			case "end":
				got = map[bool]string{true: "changed", false: "none"}[l.End(now, words[1] == "ok")]
			default:
				t.Fatalf("%s:%d: unknown step %q", path, n, words[0])
			}
			if want := words[len(words)-1]; got != "" && got != want {
				t.Errorf("%s:%d: %s: got %s", path, n, line, got)
			}
		}
	})
}

func parse[T any](t *testing.T, text string, f func(string) (T, error)) T {
	t.Helper()
	value, err := f(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestZoneNoticesStoreWithinStableWindow simulates the daemons of one zone during an outage
// in which each call fails after its timeout, and checks the longest time without the begin
// of a call after which the next answered call would end.
func TestZoneNoticesStoreWithinStableWindow(t *testing.T) {
	const (
		callTimeout  = 700 * time.Millisecond
		stableWindow = 3 * time.Second
		outage       = 60 * time.Second
		step         = 10 * time.Millisecond
	)
	for _, daemons := range []int{1, 2, 8, 11, 30, 100} {
		start := time.Unix(1000, 0)
		limiters, endAt := make([]*Limiter, daemons), make([]time.Time, daemons)
		seed := uint64(daemons)
		for i := range limiters {
			limiters[i] = NewLimiter(func() float64 {
				seed = seed*6364136223846793005 + 1442695040888963407
				return float64(seed>>11) / (1 << 53)
			})
		}
		lastBegin, longest := start, time.Duration(0)
		for now := start; now.Sub(start) < outage; now = now.Add(step) {
			for i, l := range limiters {
				if !endAt[i].IsZero() {
					if now.Before(endAt[i]) {
						continue
					}
					l.End(now, false)
					endAt[i] = time.Time{}
				}
				if l.Begin(now, daemons) {
					longest, lastBegin = max(longest, now.Sub(lastBegin)), now
					endAt[i] = now.Add(callTimeout)
				}
			}
		}
		if longest > stableWindow/2 {
			t.Errorf("%d daemons: longest time without a call %v, want at most %v", daemons, longest, stableWindow/2)
		}
	}
}

func TestLaterRanksReadLater(t *testing.T) {
	s := Schedule{Period: 800 * time.Millisecond, SecondDelay: 500 * time.Millisecond}
	for rank, want := range []time.Duration{800, 1300, 1375, 1450} {
		if got := s.MaxAge(rank); got != want*time.Millisecond {
			t.Errorf("rank %d: got %v, want %v", rank, got, want*time.Millisecond)
		}
	}
}

// TestMassKillLeavesTimeToRead guards against lists that are read too late to be in force in time when the
// first daemons of a zone have ended together.
func TestMassKillLeavesTimeToRead(t *testing.T) {
	const (
		limit = 2 * time.Second
		// margin is the share of the limit that is left for the read, the news of it, and requests under way.
		margin  = 0.25
		daemons = 12
		killed  = daemons * 55 / 100
	)
	s := Schedule{Period: 2 * limit / 5, SecondDelay: 300 * time.Millisecond}
	if got, most := s.MaxAge(killed), time.Duration((1-margin)*float64(limit)); got > most {
		t.Errorf("the first of %d daemons that is left after %d have ended reads at an age of %v, want at most %v", daemons, killed, got, most)
	}
}
