package platform_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/store"
	"bilberrymux/io/platform"
)

// startFixedPlatform starts a platform that answers every call with the body.
func startFixedPlatform(t *testing.T, body string) *store.Store {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return platform.New(l.Addr().String(), dial)
}

// TestRepeatedResponseIsNotTakenForNextTransaction guards against a claim that counts as written by the response to
// another transaction.
func TestRepeatedResponseIsNotTakenForNextTransaction(t *testing.T) {
	s := startFixedPlatform(t, `{"revision":7}`)
	write := []store.Write{{Key: "a", Expect: store.Absent}}
	if _, err := s.Transact(context.Background(), write); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Transact(context.Background(), write); !errors.Is(err, store.ErrNoResponse) {
		t.Errorf("the same revision again: got error %v, want ErrNoResponse", err)
	}
}

// TestRowsOfOtherScanAreNotTaken guards against the rows of another scan.
func TestRowsOfOtherScanAreNotTaken(t *testing.T) {
	s := startFixedPlatform(t, `{"rows":[{"key":"a/1","value":"","revision":1}]}`)
	for _, from := range []struct{ prefix, after string }{{"b/", ""}, {"a/", "a/1"}} {
		if rows, err := s.Scan(context.Background(), from.prefix, from.after, 10); !errors.Is(err, store.ErrNoResponse) {
			t.Errorf("scan of %q after %q: got rows %v, error %v, want ErrNoResponse", from.prefix, from.after, rows, err)
		}
	}
}
