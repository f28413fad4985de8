package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/io/explain"
)

const edgeSettings = `{"vm":"a-1","zone":"a","region":"north","zones":{"a":"north"},"ip":"127.0.0.1",
"callerAddress":"127.0.0.1:1","readyAddress":"127.0.0.1:2","locateAddress":"127.0.0.1:3","peerPorts":[7620,7635],
"seeds":[],"metricsPort":9464,"store":"127.0.0.1:4","memoryMb":284,"cpuShare":0.32,"linkMbps":1000,
"bounds":{"grace":6,"drain":2,"config":2,"locateLifetime":5,"furtherRatio":0.2,"furtherReserve":56,"furtherWindow":10,"floorShare":0.7}}`

// TestEdgeSettingsAreChecked guards against invalid settings that are accepted, and against messages
// that don't name the bad field or span several lines. It breaks one field of valid settings at a
// time and passes the file to the check and edge commands.
func TestEdgeSettingsAreChecked(t *testing.T) {
	if text, code := runCommand(t, "check", "--edge-settings", writeFile(t, "s.json", edgeSettings)); code != exitOK {
		t.Errorf("check of valid settings: exit code %d, want %d: %s", code, exitOK, text)
	}
	for field, replacement := range map[string][2]string{
		"unknown field \"extra\"": {`"vm":"a-1"`, `"vm":"a-1","extra":1`},
		"vm":                      {`"vm":"a-1"`, `"vm":""`},
		"zones":                   {`"a":"north"`, `"a":"south"`},
		"ip":                      {`"ip":"127.0.0.1"`, `"ip":"here"`},
		"store":                   {`"store":"127.0.0.1:4"`, `"store":"127.0.0.1"`},
		"peerPorts":               {`[7620,7635]`, `[7635,7620]`},
		"bounds.grace":            {`"grace":6`, `"grace":0`},
		"memoryMb":                {`"memoryMb":284`, `"memoryMb":-1`},
		"bounds.furtherRatio":     {`"furtherRatio":0.2`, `"furtherRatio":-0.2`},
		"unexpected":              {`"bounds":{`, `"bounds"{`},
	} {
		file := writeFile(t, "s.json", strings.Replace(edgeSettings, replacement[0], replacement[1], 1))
		for _, args := range [][]string{{"check", "--edge-settings", file}, {"edge", "--settings", file}} {
			if field == "unexpected" {
				field = "invalid"
			}
			if text, code := runCommand(t, args...); code != exitUsage || !strings.Contains(text, field) || strings.Count(text, "\n") != 1 {
				t.Errorf("%s: exit code %d, want %d and one line that contains %q: %s", args[0], code, exitUsage, field, text)
			}
		}
	}
	if _, code := runCommand(t, "edge"); code != exitUsage {
		t.Errorf("edge without a settings file: exit code %d, want %d", code, exitUsage)
	}
}

// TestEdgeConfigIsChecked checks that the command reports the version of a valid configuration, and
// refuses a route to an unknown service and names that service.
func TestEdgeConfigIsChecked(t *testing.T) {
	valid := `{"version":"0000000c","routes":[{"name":"a","host":"h","prefix":"/a/","kind":"safe","timeout_s":1,"target_latency_s":1,"attempts":2,"service":"x"}],"services":[{"name":"x"}]}`
	if text, code := runCommand(t, "check", "--edge-config", writeFile(t, "c.json", valid)); code != exitOK || !strings.Contains(text, "version 12") {
		t.Errorf("valid configuration: exit code %d, want %d and version 12: %s", code, exitOK, text)
	}
	invalid := strings.Replace(valid, `"service":"x"`, `"service":"y"`, 1)
	if text, code := runCommand(t, "check", "--edge-config", writeFile(t, "c.json", invalid)); code != exitUsage || !strings.Contains(text, `"y"`) {
		t.Errorf("unknown service: exit code %d, want %d and the name \"y\": %s", code, exitUsage, text)
	}
}

// TestExplainPrintsCauseAndContext checks the explain command on log lines with a time and a VM in
// front of the JSON, as the test bench writes them, in the wrong order and with a line that is not a
// log entry. The output must name the cause, the belief about the server and earlier related changes.
func TestExplainPrintsCauseAndContext(t *testing.T) {
	lines := `   1.0 edge-1 {"msg":"attempt failed","request":"r1","vm":"edge-1","server":"s1","outcome":"broken","risk":0.02,"evidenceAgeMillis":80,"tookMillis":1,"time":"2026-01-01T00:00:01Z"}
   1.1 edge-1 {"msg":"refused","request":"r1","vm":"edge-1","kind":"serverFailed","outcome":"unknown","time":"2026-01-01T00:00:01.1Z"}
   0.5 edge-1 {"msg":"belief about a server changed","server":"s1","vm":"edge-1","risk":0.1,"time":"2026-01-01T00:00:00.5Z"}
nothing
`
	file := writeFile(t, "log", lines)
	text, code := runCommand(t, "explain", "--request", "r1", file)
	if code != exitOK || !strings.Contains(text, "a sick server broke the exchange") || !strings.Contains(text, "believed sick 0.02, evidence 80 ms old") || !strings.Contains(text, "shortly before") {
		t.Errorf("explain: exit code %d, want %d with cause, evidence and earlier changes: %s", code, exitOK, text)
	}
	if text, code := runCommand(t, "explain", "--request", "r1", "--json", file); code != exitOK || !strings.Contains(text, `"cause"`) {
		t.Errorf("explain --json: exit code %d, want %d and a field \"cause\": %s", code, exitOK, text)
	}
	if _, code := runCommand(t, "explain", "--request", "r2", file); code != exitFailed {
		t.Errorf("unknown request: exit code %d, want %d", code, exitFailed)
	}
}

// TestLossesCountsCauses checks the table of the losses command on a served request, two that hung at a
// server of the floor and at a sound one, and one that was shed when the budget was exhausted.
func TestLossesCountsCauses(t *testing.T) {
	file := writeFile(t, "log", `{"msg":"answered","request":"r1","route":"a","status":200}
{"msg":"attempt failed","request":"r2","outcome":"neutral","floor":true,"risk":0.2}
{"msg":"refused","request":"r2","route":"a","kind":"callerGone"}
{"msg":"attempt failed","request":"r3","outcome":"failed","risk":0.01}
{"msg":"answered","request":"r3","route":"a","status":504}
{"msg":"attempt failed","request":"r4","outcome":"shed","risk":0.01}
{"msg":"no budget for a further attempt","request":"r4"}
{"msg":"refused","request":"r4","route":"a","kind":"serversShed"}
`)
	text, code := runCommand(t, "losses", "--json", file)
	if code != exitOK {
		t.Fatalf("losses: exit code %d, want %d: %s", code, exitOK, text)
	}
	var got []explain.LossRow
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	want := []explain.LossRow{
		{Route: "a", Cause: explain.LostToHang, Knowledge: explain.BelievedSound, Count: 1, Requests: 4},
		{Route: "a", Cause: explain.LostToHang, Knowledge: explain.PickedForFloor, Count: 1, Requests: 4},
		{Route: "a", Cause: explain.LostToShed, Knowledge: explain.BelievedSound, WithoutBudget: true, Count: 1, Requests: 4},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("losses (-want +got):\n%s", diff)
	}
	if _, code := runCommand(t, "losses", "--rows", "0", file); code != exitUsage {
		t.Errorf("losses --rows 0: exit code %d, want %d", code, exitUsage)
	}
}
