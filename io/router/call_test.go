package router

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
)

// FuzzForwardedRequest decodes arbitrary bytes as a forwarded request. A request that can be decoded
// and encoded again must keep its body.
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
		again, err := encodeMessage(req)
		if err != nil {
			return
		}
		back, err := decodeRequest(again)
		if err != nil {
			t.Fatalf("decoding a re-encoded request failed: %v\n%q", err, again)
		}
		if diff := cmp.Diff(string(req.Body()), string(back.Body())); diff != "" {
			t.Fatalf("body differs after encoding and decoding (-before +after):\n%s", diff)
		}
	})
}

// FuzzStoredAnswer decodes arbitrary bytes as the stored answer of an idempotency key. A decoded
// answer must have a status code.
func FuzzStoredAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer, err := decodeAnswer(raw)
		if err == nil && answer.Response.StatusCode() == 0 {
			t.Fatal("decoded answer has no status code, want an error or a status code")
		}
	})
}

// TestStoredAnswerRoundTrip checks that an answer keeps its status code, header and body when it is
// encoded and decoded.
func TestStoredAnswerRoundTrip(t *testing.T) {
	resp := &fasthttp.Response{}
	resp.SetStatusCode(fasthttp.StatusCreated)
	resp.Header.Set("X-Order", "17")
	resp.SetBodyString("two parcels")
	raw, err := encodeMessage(resp)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeAnswer(raw)
	if err != nil {
		t.Fatal(err)
	}
	got := []string{string(back.Response.Body()), string(back.Response.Header.Peek("X-Order"))}
	if diff := cmp.Diff([]string{"two parcels", "17"}, got); diff != "" || back.Response.StatusCode() != fasthttp.StatusCreated {
		t.Fatalf("status code %d, want %d; body and header (-want +got):\n%s",
			back.Response.StatusCode(), fasthttp.StatusCreated, diff)
	}
}
