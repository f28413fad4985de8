package httphead_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/httphead"
	"bilberrymux/internal/headcases"
)

// TestParse checks which heads are taken for well-formed, and whether the end of the body is marked.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		text      string
		status    int
		framed    bool
		malformed bool
	}{
		{text: "HTTP/1.1 503 No\r\nContent-Length: 0", status: 503, framed: true},
		{text: "HTTP/1.1 503 \r\ncontent-length:0 ", status: 503, framed: true},
		{text: "HTTP/1.1 503 No\r\nTransfer-Encoding: Chunked", status: 503, framed: true},
		{text: "HTTP/1.1 503 No", status: 503},
		{text: "HTTP/1.1 503 No\r\nContent-Length: 0\r\nContent-Length: 0", status: 503},
		{text: "HTTP/1.1 503 No\r\nContent-Length: 0, 0", status: 503},
		{text: "HTTP/1.1 503 No\r\nContent-Length: +1", status: 503},
		{text: "HTTP/1.1 503 No\r\nContent-Length:", status: 503},
		{text: "HTTP/1.1 503 No\r\nContent-Length: 0\r\nTransfer-Encoding: chunked", status: 503},
		{text: "HTTP/1.1 503 No\r\nTransfer-Encoding: gzip, chunked", status: 503},
		{text: "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nTrailer: X", status: 503},
		{text: "HTTP/1.1 503", malformed: true},
		{text: "HTTP/1.1  503 No", malformed: true},
		{text: "HTTP/1.1 +50 No", malformed: true},
		{text: "HTTP/1.1 5030 No", malformed: true},
		{text: "HTTP/1.1 000 No", malformed: true},
		{text: "HTTP/1.1 099 No", malformed: true},
		{text: "HTTP/1.1 600 No", malformed: true},
		{text: "HTTP/1.1 100 No", status: 100},
		{text: "HTTP/1.1 599 No", status: 599},
		{text: "HTTP/1.0 503 No", malformed: true},
		{text: "\r\nHTTP/1.1 503 No", malformed: true},
		{text: "HTTP/1.1 503 No\x00", malformed: true},
		{text: "HTTP/1.1 503 No\r\nA : 1", malformed: true},
		{text: "HTTP/1.1 503 No\r\n: 1", malformed: true},
		{text: "HTTP/1.1 503 No\r\nA", malformed: true},
		{text: "HTTP/1.1 503 No\r\nA: 1\r\n 2", malformed: true},
		{text: "HTTP/1.1 503 No\r\nA: 1\nB: 2", malformed: true},
		{text: "HTTP/1.1 503 No\r\nA: 1\r2", malformed: true},
	} {
		head, err := httphead.Parse([]byte(test.text + "\r\n\r\n"))
		if test.malformed {
			if !errors.Is(err, httphead.ErrMalformed) {
				t.Errorf("%q: got %+v and error %v, want ErrMalformed", test.text, head, err)
			}
			continue
		}
		if err != nil || head.Status != test.status || head.Framed() != test.framed {
			t.Errorf("%q: got %+v and error %v, want status %d, framed %v", test.text, head, err, test.status, test.framed)
		}
	}
	if _, err := httphead.Parse([]byte("HTTP/1.1 503 No\r\nA: 1\r\n")); !errors.Is(err, httphead.ErrMalformed) {
		t.Errorf("without an empty line: got error %v, want ErrMalformed", err)
	}
}

func TestValues(t *testing.T) {
	head, err := httphead.Parse([]byte("HTTP/1.1 503 No\r\nA: 1\r\nB: 2\r\na:\t3 \r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"1", "3"}, head.Values("A")); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
	for name, want := range map[string]string{"b": "2", "A": "", "C": ""} {
		if got, ok := head.Only(name); got != want || ok != (want != "") {
			t.Errorf("Only(%q): got %q, %v, want %q", name, got, ok, want)
		}
	}
}

func TestEnd(t *testing.T) {
	text := "HTTP/1.1 503 No\r\nA: 1\r\n\r\nbody\r\n\r\n"
	want := strings.Index(text, "body")
	for n := range len(text) {
		if got := httphead.End([]byte(text[:n])); got != 0 && got != want || (got == 0) != (n < want) {
			t.Errorf("after %d bytes: got %d, want %d from there on", n, got, want)
		}
	}
}

// TestCheck checks that the heads of all malformed cases are found, as soon as their lines show it, and that no other head
// or begin of one is.
func TestCheck(t *testing.T) {
	cases := headcases.Load()
	for _, c := range cases.Malformed {
		if err := checkHeads(c.Expand("A: 1\r\n", "body")); !errors.Is(err, httphead.ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", c.Name, err)
		}
	}
	for _, c := range cases.Ordinary {
		if err := checkHeads(c.Expand("A: 1\r\n", "body")); err != nil {
			t.Errorf("%s: got error %v", c.Name, err)
		}
	}
}

// checkHeads checks the heads of interim responses in a text, if any, and the one after them, with all their begins.
func checkHeads(text string) error {
	for n := range len(text) + 1 {
		end := httphead.End([]byte(text[:n]))
		if end == 0 {
			if err := httphead.CheckBegin([]byte(text[:n])); err != nil {
				return err
			}
			continue
		}
		status, err := httphead.Check([]byte(text[:end]))
		if err != nil || status >= 200 {
			return err
		}
		return checkHeads(text[end:])
	}
	return errors.New("no head")
}

// FuzzCheck checks that Check accepts what Parse does and has a marked end, and CheckBegin all begins of what Check accepts.
func FuzzCheck(f *testing.F) {
	cases := headcases.Load()
	for _, c := range append(cases.Malformed, cases.Ordinary...) {
		f.Add([]byte(c.Expand("A: 1\r\n", "body")))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		raw := b[:httphead.End(b)]
		status, err := httphead.Check(raw)
		if head, parseErr := httphead.Parse(raw); parseErr == nil && head.Framed() && (err != nil || head.Status != status) {
			t.Fatalf("Check: got status %d, error %v; Parse: got status %d", status, err, head.Status)
		}
		for n := range raw {
			if beginErr := httphead.CheckBegin(raw[:n]); err == nil && beginErr != nil {
				t.Fatalf("CheckBegin of %q: got error %v", raw[:n], beginErr)
			}
		}
	})
}
