// Package testfiles runs a subtest for each data file, for instance each file of a testdata folder.
package testfiles

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each runs f as a subtest for each file that matches the glob pattern, with the path and the content
// of the file. It fails the test if no file matches, so that a wrong pattern can't pass unnoticed.
func Each(t *testing.T, pattern string, f func(t *testing.T, path string, body []byte)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no files match %q (glob error: %v)", pattern, err)
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

// EachJSON is like Each for files that hold one JSON value, and passes the decoded value to f. It
// fails the subtest if a file can't be decoded.
func EachJSON[T any](t *testing.T, pattern string, f func(t *testing.T, value *T)) {
	t.Helper()
	Each(t, pattern, func(t *testing.T, path string, body []byte) {
		value := new(T)
		if err := json.Unmarshal(body, value); err != nil {
			t.Fatalf("decode %s: %v", path, err)
		}
		f(t, value)
	})
}

// Lines returns the lines of a script that are neither empty nor comments, which begin with #.
func Lines(t *testing.T, path string) []string {
	t.Helper()
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for line := range strings.Lines(string(body)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}
