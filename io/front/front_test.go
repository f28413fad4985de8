package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/config"
	"bilberrymux/io/backend"
	"bilberrymux/io/router"
)

// TestKeyScopeOutlivesRequest checks that the organisation of an idempotency key stays the same
// after the connection has carried another request. The key is kept for longer than its request,
// while the memory of the request's headers is reused.
func TestKeyScopeOutlivesRequest(t *testing.T) {
	calls, address := startCallRecorder(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, organisation := range []string{"alpha", "bravo"} {
		if _, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nBilberrymux-Organisation: %s\r\nIdempotency-Key: k1\r\nContent-Length: 0\r\n\r\n", organisation); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	got := []string{}
	for range 2 {
		got = append(got, string((<-calls).Key.Scope))
	}
	if diff := cmp.Diff([]string{"alpha", "bravo"}, got); diff != "" {
		t.Errorf("scopes of the keys after both requests (-want +got):\n%s", diff)
	}
}

// TestServersDoNotSpeakForDaemon checks that the headers by which a daemon tells callers whether a request ran, reach
// them only from the daemon.
func TestServersDoNotSpeakForDaemon(t *testing.T) {
	f := New(Options{Count: func(string) {}})
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.All("/*", func(c *fiber.Ctx) error {
		resp := &fasthttp.Response{}
		resp.SetStatusCode(http.StatusServiceUnavailable)
		for _, name := range []string{RefusalHeader, OutcomeHeader, ReplayedHeader, OwnerHeader, backend.NotRunHeader, "X-Other"} {
			resp.Header.Set(name, "of the server")
		}
		f.writeAnswer(c, router.Reply{Answer: &backend.Answer{Response: resp}})
		return nil
	})
	resp, err := app.Test(httptest.NewRequest(http.MethodGet, "/", nil))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	var names []string
	for name, values := range resp.Header {
		if slices.Contains(values, "of the server") {
			names = append(names, name)
		}
	}
	if diff := cmp.Diff([]string{"X-Other"}, names); diff != "" {
		t.Errorf("headers of the server that reach the caller (-want +got):\n%s", diff)
	}
}

// startCallRecorder serves requests that are only parsed, and returns the parsed calls and the
// address.
func startCallRecorder(t *testing.T) (chan *router.Call, string) {
	p, err := config.ParsePatch([]byte(`{"services":{"a":{"floorSlots":1,"servers":{"s":{"address":"127.0.0.1:1","region":"r","zone":"z","slots":2}}}},
		"routes":{"x":{"prefix":"/x","service":"a","rank":"normal","timeoutMillis":1000}}}`))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Empty().Apply(p)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Version = 1
	f := New(Options{Config: func() *config.Config { return cfg }, MaxBodyBytes: 1000, Count: func(string) {}})
	calls := make(chan *router.Call, 2)
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.All("/*", func(c *fiber.Ctx) error {
		call, refused := f.newCall(c, time.Now())
		if refused != nil {
			t.Errorf("request was refused: %v", refused)
			return nil
		}
		calls <- call
		return nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = app.Listener(l) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return calls, l.Addr().String()
}
