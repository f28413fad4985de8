package gridfleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrymux/core/settings"
	"bilberrymux/io/standin/gridserver"
)

// rawExchange writes the bytes on a new connection to a daemon, and returns the responses: at most the given number,
// and those that come within the time limit.
func rawExchange(t *testing.T, d *Daemon, text string, most int, limit time.Duration) []response {
	t.Helper()
	c, err := net.Dial("tcp", d.Settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(c, text) }() // the daemon may close before it has read all
	var out []response
	for r := bufio.NewReader(c); len(out) < most; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		var got response
		got.read(resp)
		out = append(out, got)
	}
	return out
}

// TestRefusedUploadsAreNotReadAsRequests guards against a body that the daemon does not hold, and whose rest it takes for
// the next request of the connection.
func TestRefusedUploadsAreNotReadAsRequests(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1, Adjust: func(s *settings.Edge) { s.MemoryMB = 1 }})
	const smuggled = "smuggled"
	inner := fmt.Sprintf("POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", bookHost, smuggled)
	body := strings.Repeat(inner, 30_000)
	head := fmt.Sprintf("POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: upload\r\n", bookHost)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	next := fmt.Sprintf("POST /b/x HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: next\r\nContent-Length: 0\r\n\r\n", bookHost)
	for name, text := range map[string]string{
		"memory":           head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) + next,
		"memoryChunked":    head + "Transfer-Encoding: chunked\r\n\r\n" + chunked + next,
		"tooLarge":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 100<<20, body),
		"noRoute":          strings.Replace(head, "/b/x", "/none/", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) + next,
		"twoLengths":       head + fmt.Sprintf("Content-Length: 5\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"lengthAndChunks":  head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked + next,
		"badChunk":         head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body,
		"getWithBody":      strings.Replace(head, "POST", "GET", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) + next,
		"expectation":      head + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(body), body) + next,
		"negativeDeadline": head + fmt.Sprintf("Bilberrymux-Deadline-Ms: -5\r\nContent-Length: %d\r\n\r\n%s", len(body), body) + next,
	} {
		t.Run(name, func(t *testing.T) {
			// A response to a request inside the body would come after the others.
			for _, r := range rawExchange(t, f.Daemons[0], text, 5, time.Second) {
				if got := r.Header.Get("Bilberrymux-Request-Id"); got == smuggled {
					t.Errorf("a request inside the body was answered: %+v", r)
				}
			}
			for id, s := range servers {
				if n := s.Runs()[smuggled]; n > 0 {
					t.Fatalf("%s ran the request inside the body %d times", id, n)
				}
			}
		})
	}
}

// TestPipelinedRequestsGetTheirOwnAnswers guards against an answer or a refusal that meets another request of its
// caller's connection.
func TestPipelinedRequestsGetTheirOwnAnswers(t *testing.T) {
	f, servers := start(t, Options{DaemonsPerZone: 1})
	servers["booker-1"].SetFault(gridserver.ShedOnce)
	servers["booker-1"].SetCopiesRefusals(true)
	servers["booker-2"].SetFault(gridserver.ExtraResponse)
	for round := range 20 {
		var text strings.Builder
		var ids []string
		for n := range 10 {
			id := fmt.Sprintf("pipelined-%d-%d", round, n)
			ids = append(ids, id)
			path := "/b/x"
			if n%3 == 2 {
				path = "/none/"
			}
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\nContent-Length: 3\r\n\r\nabc", path, bookHost, id)
		}
		got := rawExchange(t, f.Daemons[0], text.String(), len(ids), 10*time.Second)
		if len(got) != len(ids) {
			t.Errorf("got %d responses to %d requests", len(got), len(ids))
		}
		for n, r := range got {
			if n%3 == 2 {
				if r.Status != http.StatusNotFound {
					t.Errorf("%s: got status %d, want 404", ids[n], r.Status)
				}
				continue
			}
			r.ID = ids[n]
			checkResponse(t, servers, r)
		}
	}
}
