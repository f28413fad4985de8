package main

import (
	"slices"
	"strings"
	"testing"

	"bilberrymux/internal/headcases"
	"bilberrymux/internal/headserver"
)

// TestMalformedHeadOfDaemonIsNoAnswer guards against a command that reports success, or a failure without effect, by a
// response whose head a lenient parser accepts.
func TestMalformedHeadOfDaemonIsNoAnswer(t *testing.T) {
	daemon := headserver.Start(t, `{"vm":"vm-1","version":7,"addresses":[]}`)
	key := writeFile(t, "key", "stand-in-operators-key\n")
	patch := writeFile(t, "p.json", `{"services":{"orders":{"floorSlots":3}}}`)
	cases := headcases.Load()
	for _, command := range []struct {
		args []string
		// code is the exit code if no response arrived.
		code int
	}{
		{[]string{"drain", "-a", daemon.Address, "-k", key}, exitUnknown},
		{[]string{"patch", "-a", daemon.Address, "-k", key, "--base", "1", patch}, exitUnknown},
		{[]string{"show", "-a", daemon.Address, "-k", key, "--json", "status"}, exitUnknown},
		{[]string{"locate", "-d", daemon.Address, "orders"}, exitFailed},
	} {
		for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers) {
			daemon.SetCase(c)
			if text, code := runCommand(t, command.args...); code != command.code || !strings.Contains(text, "malformed") {
				t.Errorf("%s, %s: got exit code %d and %q, want %d", command.args[0], c.Name, code, text, command.code)
			}
		}
		for _, c := range cases.Ordinary {
			daemon.SetCase(c)
			// Daemons locate with no other success than 200.
			if command.args[0] == "locate" && !strings.Contains(c.Text, " 200") {
				continue
			}
			if text, code := runCommand(t, command.args...); code != exitOK {
				t.Errorf("%s, %s: got exit code %d and %q, want %d", command.args[0], c.Name, code, text, exitOK)
			}
		}
	}
}
