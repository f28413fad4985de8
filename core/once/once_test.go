package once_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
)

var start = time.Unix(1_800_000_000, 0)

// TestPermitRunsAtMostOnce sends a few keys again and again at random times, with
// sweeps between, and counts the runs. Not-run refusals free a key, all else
// keeps it for ever.
func TestPermitRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := once.Retention{Records: time.Hour, Answers: time.Hour, Keys: 2 * time.Hour}
		table := once.NewTable(w)
		now := start
		runs := map[string]int{}
		var keys []once.Key
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			// The clock of a VM may also be set back.
			now = now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "minutes")) * time.Minute)
			if len(keys) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
				keys = append(keys, permitKey(t, now, len(keys)))
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
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
	})
}

func permitKey(t *rapid.T, now time.Time, n int) once.Key {
	skew := time.Duration(rapid.IntRange(-6, 6).Draw(t, "skew")) * time.Minute
	k, err := once.ParseKey("org", once.NewPermit("vm~1", now.Add(skew))+"."+string(rune('a'+n%26))+string(rune('a'+n/26)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestKeyForms reads keys of each form.
func TestKeyForms(t *testing.T) {
	permit := once.NewPermit("vm-1~ab", start)
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

// TestAnotherRequestIsRefused uses a key for a second request.
func TestAnotherRequestIsRefused(t *testing.T) {
	table := once.NewTable(once.DefaultRetention())
	k := once.Key{Scope: "org", Text: "k"}
	if _, role := table.Begin(start, &k, 1); role != once.First {
		t.Fatalf("first request is %s", role)
	}
	if _, role := table.Begin(start, &k, 2); role != once.Mismatch {
		t.Fatalf("another request is %s", role)
	}
	if _, role := table.Begin(start, &k, 1); role != once.Follower {
		t.Fatalf("resend is %s", role)
	}
}

// TestClaimVerdicts reads claim rows on behalf of an incarnation without a
// record of the key.
func TestClaimVerdicts(t *testing.T) {
	w := once.DefaultRetention()
	for _, c := range []struct {
		name  string
		claim once.Claim
		want  once.Decision
	}{
		{"own and young", once.Claim{Incarnation: "me", Fingerprint: 1, Time: start}, once.Run},
		{"own and older than memory", once.Claim{Incarnation: "me", Fingerprint: 1, Time: start.Add(-w.Records)}, once.OutcomeUnknown},
		{"another's", once.Claim{Incarnation: "you", Fingerprint: 1, Time: start}, once.AskHolder},
		{"answered", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true, Answer: []byte("x")}, once.Replay},
		{"ended without an answer", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true}, once.OutcomeUnknown},
		{"answer dropped", once.Claim{Incarnation: "you", Fingerprint: 1, Ended: true, AnswerDropped: true}, once.AnswerExpired},
		{"other request", once.Claim{Incarnation: "me", Fingerprint: 2, Time: start}, once.OtherRequest},
	} {
		if got := c.claim.Evaluate(start, "me", 1, w); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	for _, s := range []string{"", "a", "bbp1.", "bbp1.vm~1.1800000000.x", "bbp1.vm.99999999999999999999.x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := once.ParseKey("org", text)
		if err == nil && k.Text != text {
			t.Fatalf("key %q became %q", text, k.Text)
		}
		if err == nil && k.Decider == "" && len(text) >= 5 && text[:5] == "bbp1." {
			t.Fatalf("%q passes for a plain key", text)
		}
	})
}
