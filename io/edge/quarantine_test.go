package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/poison"
	"bilberrymux/platform"
)

// TestRowsOfQuarantinedRequests checks what is read from rows of the store, some of them of other writers.
func TestRowsOfQuarantinedRequests(t *testing.T) {
	const clock = 100 * time.Second
	now := time.Unix(1000, 0)
	entry := func(left time.Duration) *poison.Entry {
		return &poison.Entry{Service: "s", Fingerprint: 0xab, Version: 7, Until: now.Add(left), Servers: []ident.ServerID{"1", "2"}}
	}
	for _, test := range []struct {
		name, key, value string
		want             *poison.Entry
	}{
		{"running", "ab", `{"service":"s","version":7,"untilSeconds":130,"servers":["1","2"]}`, entry(30 * time.Second)},
		{"ended", "ab", `{"service":"s","version":7,"untilSeconds":90,"servers":["1","2"]}`, entry(-10 * time.Second)},
		{"far future", "ab", `{"service":"s","version":7,"untilSeconds":1e300,"servers":["1","2"]}`, entry(poison.MaxDuration)},
		{"far past", "ab", `{"service":"s","version":7,"untilSeconds":-1e300,"servers":["1","2"]}`, entry(-2 * poison.EntryTTL)},
		{"no fingerprint", "i-7", `{}`, nil},
		{"too long a key", "aaaaaaaaaaaaaaaaa", `{}`, nil},
		{"no JSON", "ab", `{"service`, nil},
		{"other type", "ab", `{"service":7}`, nil},
		{"negative version", "ab", `{"version":-1}`, nil},
	} {
		got, err := decodeQuarantineRow(now, clock, platform.Row{Key: test.key, Value: []byte(test.value)})
		if test.want == nil {
			if err == nil {
				t.Errorf("%s: got %+v, want an error", test.name, got)
			}
			continue
		}
		if diff := cmp.Diff(*test.want, got); err != nil || diff != "" {
			t.Errorf("%s: error %v (-want +got):\n%s", test.name, err, diff)
		}
	}
}

// TestCallersAreServedOnceQuarantineIsKnown checks that a daemon waits for what it must know, but not for ever.
func TestCallersAreServedOnceQuarantineIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newQuarantineNews(now)
	if n.isSettled(now.Add(quarantineWait - 1)) {
		t.Error("settled before anybody answered")
	}
	if !n.isSettled(now.Add(quarantineWait)) {
		t.Error("not settled although nobody answers")
	}
	n.known.Store(true)
	if !n.isSettled(now) {
		t.Error("not settled although the quarantine is known")
	}
}
