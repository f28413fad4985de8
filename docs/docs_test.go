package docs

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"bilberrymux/core/refusal"
	"bilberrymux/core/settings"
)

func page(t *testing.T, name string) string {
	t.Helper()
	body, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestOperationsNamesEverySetting compares the settings with their page.
func TestOperationsNamesEverySetting(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for field := range reflect.TypeFor[settings.Settings]().Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !strings.Contains(text, "`"+name+"`") || !strings.Contains(text, "--"+field.Tag.Get("long")) {
			t.Errorf("OPERATIONS.md lacks %s or --%s", name, field.Tag.Get("long"))
		}
	}
}

// TestOperationsNamesEveryEdgeSetting compares the platform's settings with their
// page.
func TestOperationsNamesEveryEdgeSetting(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for _, kind := range []reflect.Type{reflect.TypeFor[settings.Edge](), reflect.TypeFor[settings.Bounds]()} {
		for field := range kind.Fields() {
			if name := field.Tag.Get("json"); name != "bounds" && !strings.Contains(text, "`"+name+"`") && !strings.Contains(text, "."+name+"`") {
				t.Errorf("OPERATIONS.md lacks %s", name)
			}
		}
	}
}

// TestCallersNamesEveryRefusal compares the refusals that callers get with
// their page.
func TestCallersNamesEveryRefusal(t *testing.T) {
	text := page(t, "CALLERS.md")
	for _, kind := range refusal.Kinds() {
		if kind != refusal.CallerDisconnected && !strings.Contains(text, string(kind)) {
			t.Errorf("CALLERS.md lacks %s", kind)
		}
	}
}

// TestSchemaIsJSON reads the schema of the shared configuration.
func TestSchemaIsJSON(t *testing.T) {
	if !json.Valid([]byte(page(t, "config.schema.json"))) {
		t.Fatal("config.schema.json is no JSON")
	}
}
