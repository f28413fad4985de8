package gridfleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrymux/core/settings"
)

// TestUploadsBeyondMemoryAreRefusedAsNotRun guards against a daemon that many large uploads take above its memory.
func TestUploadsBeyondMemoryAreRefusedAsNotRun(t *testing.T) {
	const uploads, size = 16, 1 << 20
	f, servers := start(t, Options{DaemonsPerZone: 1, Adjust: func(s *settings.Edge) { s.MemoryMB = 16 }})
	d := f.Daemons[0]
	for _, s := range servers {
		s.SetServiceTime(500 * time.Millisecond)
	}
	body := strings.Repeat("x", size)
	responses := make(chan response, uploads)
	var wg sync.WaitGroup
	for range uploads {
		wg.Go(func() { responses <- send(d, http.MethodPost, bookHost, "/b/upload", body) })
	}
	wg.Wait()
	close(responses)
	refused := 0
	for r := range responses {
		checkResponse(t, servers, r)
		switch {
		case r.valid():
			if got := servers["booker-1"].Body(r.ID) + servers["booker-2"].Body(r.ID); got != body {
				t.Errorf("%s: the server got %d bytes, want %d", r.ID, len(got), size)
			}
		case r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, "memoryFull"):
			refused++
		default:
			t.Errorf("got %d, error %v, %.100q, want a valid response or a refusal for lack of memory", r.Status, r.Err, r.Body)
		}
	}
	// 0.45 of 16 MiB have room for seven bodies.
	if refused < uploads-7 || refused == uploads {
		t.Errorf("%d of %d uploads were refused, want between %d and %d", refused, uploads, uploads-7, uploads-1)
	}
	if got := gauge(t, d, "bilberrymux_requests_bodyBytes"); got != 0 {
		t.Errorf("after all uploads %d bytes are held, want 0", got)
	}
	if r := send(d, http.MethodPost, bookHost, "/b/upload", body); !r.valid() {
		t.Errorf("after the burst: got %d, error %v, want a valid response", r.Status, r.Err)
	}
}

// TestUploadsThatBreakOffDoNotRun guards against servers that run a part of an upload whose caller has left.
func TestUploadsThatBreakOffDoNotRun(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	d := f.Daemons[0]
	const sent = 100_000
	for _, framing := range []string{"Content-Length: 500000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n7a120\r\n"} {
		for _, c := range openConns(t, d, 10) {
			id := fmt.Sprintf("left-%d", lastRequestID.Add(1))
			fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\n%s%s", bookHost, id, framing, strings.Repeat("x", sent))
			if err := c.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	eventually(t, "all connections of callers are closed", func() bool { return gauge(t, d, "bilberrymux_connections_callers") == 0 })
	for id, s := range servers {
		if runs := s.Runs(); len(runs) > 0 {
			t.Errorf("%s ran %v", id, runs)
		}
	}
}
