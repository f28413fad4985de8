package router

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
)

// FuzzForwardedRequest reads what another daemon may send.
func FuzzForwardedRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"))
	f.Add([]byte("\r\n"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		req, err := decodeRequest(raw)
		if err != nil {
			return
		}
		again, err := encode(req)
		if err != nil {
			return
		}
		back, err := decodeRequest(again)
		if err != nil {
			t.Fatalf("a request that was read can't be read again: %v\n%q", err, again)
		}
		if diff := cmp.Diff(string(req.Body()), string(back.Body())); diff != "" {
			t.Fatalf("body changed:\n%s", diff)
		}
	})
}

// FuzzKeptAnswer reads what a claim row may hold.
func FuzzKeptAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer, err := decodeAnswer(raw)
		if err == nil && answer.Response.StatusCode() == 0 {
			t.Fatal("an answer without a status")
		}
	})
}

// TestKeptAnswerIsTheSame keeps an answer and reads it again.
func TestKeptAnswerIsTheSame(t *testing.T) {
	resp := &fasthttp.Response{}
	resp.SetStatusCode(fasthttp.StatusCreated)
	resp.Header.Set("X-Order", "17")
	resp.SetBodyString("two parcels")
	raw, err := encode(resp)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeAnswer(raw)
	if err != nil {
		t.Fatal(err)
	}
	got := []string{string(back.Response.Body()), string(back.Response.Header.Peek("X-Order"))}
	if diff := cmp.Diff([]string{"two parcels", "17"}, got); diff != "" || back.Response.StatusCode() != fasthttp.StatusCreated {
		t.Fatalf("status %d, %s", back.Response.StatusCode(), diff)
	}
}
