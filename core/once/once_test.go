package once_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
)

var start = time.Unix(1_800_000_000, 0)

// TestPermitRunsAtMostOnce sends a few permit keys repeatedly at random times, with sweeps in
// between and a clock that may step back, and checks that no key runs twice. A run could be
// repeated if a record were deleted while its key is still accepted. Only a refusal with the
// outcome "not run" allows another run.
func TestPermitRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := once.Retention{Records: time.Hour, Answers: time.Hour, Keys: 2 * time.Hour}
		table := once.NewTable(w, math.MaxInt64)
		now := start
		runs := map[string]int{}
		var keys []once.Key
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			// The clock of a VM may also step back.
			now = now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "minutes")) * time.Minute)
			if len(keys) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
				keys = append(keys, newPermitKey(t, now, len(keys)))
			}
			k := rapid.SampledFrom(keys).Draw(t, "key")
			record, role := table.Begin(now, &k, 1)
			if role == once.First {
				if rapid.Bool().Draw(t, "not run") {
					table.End(&k, record, once.Outcome{Refused: refusal.New(refusal.QueueFull, "")})
					continue
				}
				runs[k.Text]++
				table.End(&k, record, once.Outcome{Answer: []byte("x")})
			}
			table.Sweep(now)
		}
		for key, n := range runs {
			if n > 1 {
				t.Fatalf("key %s ran %d times, want at most once", key, n)
			}
		}
	})
}

// newPermitKey returns the n-th permit key, issued by a clock that is up to 6 minutes off.
func newPermitKey(t *rapid.T, now time.Time, n int) once.Key {
	skew := time.Duration(rapid.IntRange(-6, 6).Draw(t, "skew")) * time.Minute
	k, err := once.ParseKey("org", once.NewKeyPermit("vm~1", now.Add(skew))+"."+string(rune('a'+n%26))+string(rune('a'+n/26)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestParseKey parses valid and invalid keys of each form.
func TestParseKey(t *testing.T) {
	permit := once.NewKeyPermit("vm-1~ab", start)
	for _, c := range []struct {
		text    string
		decider ident.Incarnation
		ok      bool
	}{
		{"order-17", "", true},
		{permit + ".x", "vm-1~ab", true},
		{permit, "", false},
		{permit + ".", "", false},
		{"bbp1.vm.soon.x", "", false},
		{"", "", false},
	} {
		k, err := once.ParseKey("org", c.text)
		if (err == nil) != c.ok || k.Decider != c.decider {
			t.Errorf("ParseKey(%q) = decider %q, error %v; want decider %q, ok %v", c.text, k.Decider, err, c.decider, c.ok)
		}
	}
}

// TestKeyReuseForOtherRequest checks that a key is refused for a second request with a different
// fingerprint, while a resend of the first request becomes a follower.
func TestKeyReuseForOtherRequest(t *testing.T) {
	table := once.NewTable(once.DefaultRetention(), math.MaxInt64)
	k := once.Key{Scope: "org", Text: "k"}
	if _, role := table.Begin(start, &k, 1); role != once.First {
		t.Fatalf("role of the first request is %s, want first", role)
	}
	if _, role := table.Begin(start, &k, 2); role != once.Mismatch {
		t.Fatalf("role of a different request is %s, want mismatch", role)
	}
	if _, role := table.Begin(start, &k, 1); role != once.Follower {
		t.Fatalf("role of the resend is %s, want follower", role)
	}
}

// TestClaimEvaluate evaluates claim rows for an incarnation that has no record of the key.
func TestClaimEvaluate(t *testing.T) {
	w := once.DefaultRetention()
	for _, c := range []struct {
		name  string
		claim once.Claim
		want  once.Decision
	}{
		{"own and recent", once.Claim{Incarnation: "me", Fingerprint: 1, Time: start}, once.Run},
		{"own and older than the records", once.Claim{Incarnation: "me", Fingerprint: 1, Time: start.Add(-w.Records)}, once.OutcomeUnknown},
		{"of another incarnation", once.Claim{Incarnation: "you", Fingerprint: 1, Time: start}, once.AskHolder},
		{"with an answer", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true, Answer: []byte("x")}, once.Replay},
		{"ended without an answer", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true}, once.OutcomeUnknown},
		{"answer dropped", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true, AnswerDropped: true}, once.AnswerExpired},
		{"other request", once.Claim{Incarnation: "me", Fingerprint: 2, Time: start}, once.OtherRequest},
	} {
		if got := c.claim.Evaluate(start, "me", 1, w); got != c.want {
			t.Errorf("claim %s: decision is %s, want %s", c.name, got, c.want)
		}
	}
}

// FuzzParseKey checks that parsing keeps the text unchanged and that no text with the permit
// prefix is accepted as a plain key, since a plain key could be run by another incarnation.
func FuzzParseKey(f *testing.F) {
	for _, s := range []string{"", "a", "bbp1.", "bbp1.vm~1.1800000000.x", "bbp1.vm.99999999999999999999.x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := once.ParseKey("org", text)
		if err == nil && k.Text != text {
			t.Fatalf("ParseKey(%q) has text %q, want the text unchanged", text, k.Text)
		}
		if err == nil && k.Decider == "" && len(text) >= 5 && text[:5] == "bbp1." {
			t.Fatalf("ParseKey(%q) returned a plain key, want a permit key or an error", text)
		}
	})
}
