package main

import (
	"strings"
	"testing"
)

const edgeSettings = `{"vm":"a-1","zone":"a","region":"north","zones":{"a":"north"},"ip":"127.0.0.1",
"callerAddress":"127.0.0.1:1","readyAddress":"127.0.0.1:2","locateAddress":"127.0.0.1:3","peerPorts":[7620,7635],
"seeds":[],"metricsPort":9464,"store":"127.0.0.1:4","memoryMb":284,"cpuShare":0.32,"linkMbps":1000,
"bounds":{"grace":6,"drain":2,"config":2,"locateLifetime":5,"furtherRatio":0.2,"furtherReserve":56,"furtherWindow":10,"floorShare":0.7}}`

func TestEdgeSettingsAreChecked(t *testing.T) {
	if text, code := output(t, "check", "--edge-settings", write(t, "s.json", edgeSettings)); code != exitOK {
		t.Errorf("exit %d: %s", code, text)
	}
	for field, spoil := range map[string][2]string{
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
		file := write(t, "s.json", strings.Replace(edgeSettings, spoil[0], spoil[1], 1))
		for _, args := range [][]string{{"check", "--edge-settings", file}, {"edge", "--settings", file}} {
			if field == "unexpected" {
				field = "invalid"
			}
			if text, code := output(t, args...); code != exitUsage || !strings.Contains(text, field) || strings.Count(text, "\n") != 1 {
				t.Errorf("%s: %v: exit %d: %s", field, args[0], code, text)
			}
		}
	}
	if _, code := output(t, "edge"); code != exitUsage {
		t.Errorf("without a settings file: exit %d", code)
	}
}

func TestEdgeConfigIsChecked(t *testing.T) {
	good := `{"version":"0000000c","routes":[{"name":"a","host":"h","prefix":"/a/","kind":"safe","timeout_s":1,"target_latency_s":1,"attempts":2,"service":"x"}],"services":[{"name":"x"}]}`
	if text, code := output(t, "check", "--edge-config", write(t, "c.json", good)); code != exitOK || !strings.Contains(text, "version 12") {
		t.Errorf("exit %d: %s", code, text)
	}
	bad := strings.Replace(good, `"service":"x"`, `"service":"y"`, 1)
	if text, code := output(t, "check", "--edge-config", write(t, "c.json", bad)); code != exitUsage || !strings.Contains(text, `"y"`) {
		t.Errorf("exit %d: %s", code, text)
	}
}

// TestExplainPrintsAStory checks the command on lines with the time and VM that the
// bench puts before them.
func TestExplainPrintsAStory(t *testing.T) {
	lines := `   1.0 edge-1 {"msg":"attempt failed","request":"r1","vm":"edge-1","server":"s1","outcome":"broken","risk":0.02,"evidenceAgeMillis":80,"tookMillis":1,"time":"2026-01-01T00:00:01Z"}
   1.1 edge-1 {"msg":"refused","request":"r1","vm":"edge-1","kind":"serverFailed","outcome":"unknown","time":"2026-01-01T00:00:01.1Z"}
   0.5 edge-1 {"msg":"belief about a server changed","server":"s1","vm":"edge-1","risk":0.1,"time":"2026-01-01T00:00:00.5Z"}
nothing
`
	file := write(t, "log", lines)
	text, code := output(t, "explain", "--request", "r1", file)
	if code != exitOK || !strings.Contains(text, "a sick server broke the exchange") || !strings.Contains(text, "believed sick 0.02, evidence 80 ms old") || !strings.Contains(text, "shortly before") {
		t.Errorf("exit %d: %s", code, text)
	}
	if text, code := output(t, "explain", "--request", "r1", "--json", file); code != exitOK || !strings.Contains(text, `"cause"`) {
		t.Errorf("exit %d: %s", code, text)
	}
	if _, code := output(t, "explain", "--request", "r2", file); code != exitFailed {
		t.Errorf("unknown request: exit %d", code)
	}
}
