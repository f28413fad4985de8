package main

import (
	"debug/elf"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/io/standin/fleet"
)

// runCommand runs the program with args and returns its output (standard output and standard error)
// and its exit code. It replaces os.Stdout and os.Stderr meanwhile, so tests that use it can't run in
// parallel. The output must fit into the buffer of a pipe.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	oldOut, oldErr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = w, w
	code := run(args)
	os.Stdout, os.Stderr = oldOut, oldErr
	w.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), code
}

// writeFile writes text to a file in a temporary folder of its own and returns the path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCheckAcceptsExamples checks that the example configurations and settings are valid.
func TestCheckAcceptsExamples(t *testing.T) {
	for _, team := range []string{"kalinis", "kirjapiiri"} {
		for _, args := range [][]string{
			{"check", "../../examples/" + team + "/config.json"},
			{"check", "--settings", "../../examples/" + team + "/settings.json"},
		} {
			if text, code := runCommand(t, args...); code != exitOK {
				t.Errorf("%v: exit code %d, want %d: %s", args, code, exitOK, text)
			}
		}
	}
}

// TestCheckNamesBadFields checks that invalid files and command lines are refused with a message that
// names each bad field, file, flag or command.
func TestCheckNamesBadFields(t *testing.T) {
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"check", writeFile(t, "c.json", `{"services":{"a":{"floorSlots":3}}}`)}, []string{"services.a.floorSlots"}},
		{[]string{"check", writeFile(t, "c.json", `{"service":{}}`)}, []string{"service"}},
		{[]string{"check", writeFile(t, "c.json", `{`)}, []string{"patch"}},
		{[]string{"check", "--settings", writeFile(t, "s.json", `{"vm":"a b","callerAddress":"host:1","stopSeconds":0}`)}, []string{"vm", "callerAddress", "stopSeconds", "adminKeyFile"}},
		{[]string{"check", "--settings", writeFile(t, "s.json", `{"vn":"a"}`)}, []string{"vn"}},
		{[]string{"check", "nowhere.json"}, []string{"nowhere.json"}},
		{[]string{"serve"}, []string{"settings"}},
		{[]string{"dance"}, []string{"dance"}},
	} {
		text, code := runCommand(t, c.args...)
		if code != exitUsage {
			t.Errorf("%v: exit code %d, want %d", c.args, code, exitUsage)
		}
		for _, want := range c.want {
			if !strings.Contains(text, want) {
				t.Errorf("%v: output %q does not contain %q", c.args, text, want)
			}
		}
	}
}

// TestHelpHasExamples checks that the help text of every command with a long description contains an
// example call.
func TestHelpHasExamples(t *testing.T) {
	for _, c := range commands() {
		text, code := runCommand(t, c.name, "--help")
		if code != exitOK || (c.long != "" && !strings.Contains(text, "bilberrymux "+c.name)) {
			t.Errorf("%s --help: exit code %d, want %d and an example call:\n%s", c.name, code, exitOK, text)
		}
	}
}

// TestOperatorsCommands runs the operators' commands against a daemon and checks their exit codes, and
// that a patch and a rollback take effect.
func TestOperatorsCommands(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := fleet.Start(fleet.Options{
		Regions: []ident.RegionID{"north"}, Daemons: 1, Seed: 1, Log: log,
		Services: []fleet.ServiceSpec{{Name: "orders", ServersPerRegion: 2, Slots: 2, WorkMedian: time.Millisecond, Config: config.Service{FloorSlots: 2}}},
		Routes:   map[string]config.Route{"r": {Prefix: "/orders", Service: "orders", Rank: ident.Urgent, Idempotent: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	if err := f.WaitReady(time.Minute); err != nil {
		t.Fatal(err)
	}
	key := writeFile(t, "key", "stand-in-operators-key\n")
	admin := []string{"-a", f.Settings[0].AdminAddress, "-k", key}
	patch := writeFile(t, "p.json", `{"services":{"orders":{"floorSlots":3}}}`)
	invalidPatch := writeFile(t, "b.json", `{"services":{"orders":{"floorSlots":30}}}`)
	wrongKey := writeFile(t, "wrong", "not the operators' key\n")
	got := map[string]int{}
	for name, args := range map[string][]string{
		"wrong key":       {"show", "-a", f.Settings[0].AdminAddress, "-k", wrongKey, "status"},
		"unknown subject": append([]string{"show"}, append(admin, "moon")...),
		"servers":         append([]string{"show"}, append(admin, "servers")...),
		"json":            append([]string{"show", "--json"}, append(admin, "shards")...),
		"locate":          {"locate", "-d", f.Settings[0].CallerAddress, "orders"},
		"invalid patch":   append([]string{"patch", "--base", "1"}, append(admin, invalidPatch)...),
		"dry run":         append([]string{"patch", "--dry-run", "--base", "1"}, append(admin, patch)...),
	} {
		_, got[name] = runCommand(t, args...)
	}
	// These commands depend on each other's changes of the configuration, so they run in this order.
	for _, c := range []struct {
		name string
		args []string
	}{
		{"patch", append([]string{"patch", "--base", "1", "--id", "a"}, append(admin, patch)...)},
		{"same id", append([]string{"patch", "--base", "1", "--id", "a"}, append(admin, patch)...)},
		{"stale", append([]string{"patch", "--base", "1", "--id", "b"}, append(admin, patch)...)},
		{"diff", append([]string{"diff"}, append(admin, "1", "2")...)},
		{"rollback", append([]string{"rollback"}, append(admin, "1")...)},
		{"history", append([]string{"history"}, admin...)},
	} {
		_, got[c.name] = runCommand(t, c.args...)
	}
	want := map[string]int{
		"wrong key": exitFailed, "unknown subject": exitUsage, "servers": 0, "json": 0, "locate": 0, "invalid patch": exitUsage, "dry run": 0,
		"patch": 0, "same id": 0, "stale": exitStale, "diff": 0, "rollback": 0, "history": 0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("exit codes (-want +got):\n%s", diff)
	}
	if v := f.Daemons[0].ConfigVersion(); v != 3 {
		t.Fatalf("configuration version %d after a patch and a rollback, want 3", v)
	}
	if floor := f.Daemons[0].Versions().Current().Service("orders").FloorSlots; floor != 2 {
		t.Fatalf("floor of %d slots after the rollback, want 2", floor)
	}
}

// TestLinksLibcDynamically checks that the program links the C library dynamically. It examines the
// test binary, which is built with the same linker settings.
func TestLinksLibcDynamically(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Fatalf("the test binary imports the libraries %v, want libc.so among them", libraries)
	}
}
