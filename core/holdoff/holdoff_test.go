package holdoff

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/internal/testfiles"
)

// script plays the lines of a script against Holdoffs.
type script struct {
	holdoffs *Holdoffs
	now      time.Time
}

// keyOf returns the key for a text such as x:2, the second run of server x.
func keyOf(text string) roster.Key {
	id, run, _ := strings.Cut(text, ":")
	return roster.Key{ID: ident.ServerID(id), StartMillis: int64(len(run)) * int64(run[0])}
}

func serversOf(texts []string) []*roster.Server {
	var out []*roster.Server
	for _, text := range texts {
		key := keyOf(text)
		out = append(out, &roster.Server{ID: key.ID, StartMillis: key.StartMillis})
	}
	return out
}

// play plays one line and returns what it says about the state.
func (s *script) play(t *testing.T, words []string) string {
	t.Helper()
	duration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	switch words[0] {
	case "after":
		s.now = s.now.Add(duration(words[1]))
	case "leave":
		s.holdoffs.Leave(keyOf(words[1]))
	case "pause":
		s.holdoffs.Pause(s.now, keyOf(words[1]), duration(words[2]))
	case "take":
		s.holdoffs.Take(s.now, keyOf(words[1]))
	case "answered":
		s.holdoffs.Answered(keyOf(words[1]), s.now)
	case "list":
		var servers []roster.Server
		for _, server := range serversOf(words[1:]) {
			servers = append(servers, *server)
		}
		s.holdoffs.Sync(s.now, roster.New(ident.StoreVersion{Number: 1}, servers))
	case "allows":
		if s.holdoffs.Allows(s.now, keyOf(words[1])) {
			return "yes"
		}
		return "no"
	case "wait":
		return s.holdoffs.Wait(s.now, serversOf(words[1:])).String()
	case "counts":
		leaving, paused := s.holdoffs.Counts(s.now)
		return fmt.Sprint(leaving, paused)
	default:
		t.Fatalf("unknown command %q", words[0])
	}
	return ""
}

// TestHoldoffs plays testdata/holdoffs.txt.
func TestHoldoffs(t *testing.T) {
	s := &script{holdoffs: New(), now: time.Unix(1000, 0)}
	for _, line := range testfiles.Lines(t, "testdata/holdoffs.txt") {
		command, want, _ := strings.Cut(line, "=")
		got := s.play(t, strings.Fields(command))
		if diff := cmp.Diff(strings.TrimSpace(want), got); diff != "" {
			t.Errorf("%s, %v after the start (-want +got):\n%s", line, s.now.Sub(time.Unix(1000, 0)), diff)
		}
	}
}

// BenchmarkAllows measures the check of a pick among 100 servers, half of which leave and half pause.
func BenchmarkAllows(b *testing.B) {
	h, now := New(), time.Unix(1000, 0)
	var keys []roster.Key
	for n := range 100 {
		key := roster.Key{ID: ident.ServerID(fmt.Sprint(n))}
		keys = append(keys, key)
		if n%2 == 0 {
			h.Leave(key)
		} else {
			h.Pause(now, key, time.Second)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, key := range keys {
			h.Allows(now, key)
		}
	}
}
