// Package testfiles runs scripted tests from data files.
package testfiles

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// Each runs f as a subtest for each file that the pattern matches. It fails the
// test where there is none.
func Each(t *testing.T, pattern string, f func(t *testing.T, path string, body []byte)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts match %s: %v", pattern, err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			body, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			f(t, path, body)
		})
	}
}

// EachJSON is Each for files that hold a JSON value.
func EachJSON[T any](t *testing.T, pattern string, f func(t *testing.T, script *T)) {
	t.Helper()
	Each(t, pattern, func(t *testing.T, path string, body []byte) {
		script := new(T)
		if err := json.Unmarshal(body, script); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		f(t, script)
	})
}
