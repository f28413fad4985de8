package httpread_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
	"bilberrymux/internal/headcases"
	"bilberrymux/io/httpread"
)

// TestNext checks the heads of all cases, which arrive whole or byte by byte.
func TestNext(t *testing.T) {
	cases := headcases.Load()
	for _, c := range cases.Malformed {
		for name, r := range readers(c) {
			if head, err := httpread.Next(r); !errors.Is(err, httphead.ErrMalformed) {
				t.Errorf("%s, %s: got %+v, error %v; want ErrMalformed", c.Name, name, head, err)
			}
		}
	}
	for _, c := range cases.Ordinary {
		for name, r := range readers(c) {
			head, err := httpread.Next(r)
			if err != nil || head.Status < 200 || head.Status > 299 || head.AfterInterim != strings.Contains(c.Name, "nterim") {
				t.Errorf("%s, %s: got %+v, error %v", c.Name, name, head, err)
				continue
			}
			raw := string(head.Raw)
			rest, err := io.ReadAll(r)
			if err != nil || !strings.HasPrefix(string(rest), raw) {
				t.Errorf("%s, %s: %q is left to read, want the final response", c.Name, name, rest)
			}
		}
	}
}

// readers returns readers of a case.
func readers(c headcases.Case) map[string]*bufio.Reader {
	text := c.Expand("A: 1\r\n", "body")
	return map[string]*bufio.Reader{
		"whole":        bufio.NewReader(strings.NewReader(text)),
		"byte by byte": bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))),
	}
}

// TestNextEndsEarly checks the errors for responses whose head does not end.
func TestNextEndsEarly(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: 1\r\n"
	for _, test := range []struct {
		text string
		want error
	}{
		{"", io.EOF},
		{"HTTP", io.ErrUnexpectedEOF},
		{head, io.ErrUnexpectedEOF},
		{"HTTP/1.1 100 Continue\r\n\r\n", io.EOF},
		{"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: 1\r\n", 1000), httphead.ErrMalformed},
	} {
		if _, err := httpread.Next(bufio.NewReader(strings.NewReader(test.text))); !errors.Is(err, test.want) {
			t.Errorf("%.60q: got error %v, want %v", test.text, err, test.want)
		}
	}
	if _, err := httpread.Next(bufio.NewReader(strings.NewReader(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 102)))); err == nil {
		t.Error("got no error after 102 interim responses")
	}
}

// TestReadStream checks the bodies of all cases, which arrive whole or byte by byte.
func TestReadStream(t *testing.T) {
	cases := headcases.Load()
	for _, c := range cases.MalformedTrailers {
		for name, r := range readers(c) {
			if body, err := readStream(r); !errors.Is(err, httphead.ErrMalformed) {
				t.Errorf("%s, %s: got body %q, error %v; want ErrMalformed", c.Name, name, body, err)
			}
		}
	}
	for _, c := range cases.Ordinary {
		for name, r := range readers(c) {
			if body, err := readStream(r); err != nil || body != "body" || r.Buffered() > 0 {
				t.Errorf("%s, %s: got body %q, error %v, and %d more bytes", c.Name, name, body, err, r.Buffered())
			}
		}
	}
}

// TestReadStreamOfLongTrailers checks that trailers which don't fit into the buffer are malformed.
func TestReadStreamOfLongTrailers(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + strings.Repeat("A: 1\r\n", 1000)
	if body, err := readStream(bufio.NewReader(strings.NewReader(text))); !errors.Is(err, httphead.ErrMalformed) {
		t.Errorf("got body %q, error %v; want ErrMalformed", body, err)
	}
}

// readStream reads a response and returns its body.
func readStream(r *bufio.Reader) (string, error) {
	if _, err := httpread.Next(r); err != nil {
		return "", err
	}
	var resp fasthttp.Response
	if err := httpread.ReadStream(r, &resp); err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.BodyStream())
	return string(body), err
}

// TestReadStreamEndsEarly checks that a body in chunks which breaks off is no complete one.
func TestReadStreamEndsEarly(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\r\n\r\n"
	for n := strings.Index(whole, "4\r\n"); n < len(whole); n++ {
		if body, err := readStream(bufio.NewReader(strings.NewReader(whole[:n]))); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: got body %q, error %v; want io.ErrUnexpectedEOF", whole[:n], body, err)
		}
	}
}

// TestCheckRequest checks the fields of requests as the library has received them.
func TestCheckRequest(t *testing.T) {
	cases := headcases.Load()
	check := func(c headcases.Case) error {
		var req fasthttp.Request
		text := "POST /x HTTP/1.1\r\nHost: h\r\n" + c.Expand("", "") + "\r\n"
		if err := req.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
			return httphead.ErrMalformed
		}
		return httpread.CheckRequest(&req.Header)
	}
	for _, c := range cases.MalformedRequestFields {
		if err := check(c); !errors.Is(err, httphead.ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", c.Name, err)
		}
	}
	for _, c := range cases.OrdinaryRequestFields {
		if err := check(c); err != nil {
			t.Errorf("%s: got error %v", c.Name, err)
		}
	}
	if err := httpread.CheckRequest(&fasthttp.RequestHeader{}); err != nil {
		t.Errorf("without fields: got error %v", err)
	}
}

// BenchmarkCheckRequest measures the check of a request with eight fields.
func BenchmarkCheckRequest(b *testing.B) {
	var req fasthttp.Request
	const text = "POST /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nBilberrymux-Request-Id: 9c41d07be2a35f68\r\nBilberrymux-Deadline-Ms: 6000\r\n" +
		"User-Agent: bookings/4.2\r\nAccept: application/json\r\nContent-Type: application/json\r\nTraceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-01\r\nContent-Length: 0\r\n\r\n"
	if err := req.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := httpread.CheckRequest(&req.Header); err != nil {
			b.Fatal(err)
		}
	}
}
