package httpread_test

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/internal/headcases"
	"bilberrymux/internal/headserver"
	"bilberrymux/io/httpread"
)

// newHostClient returns a client with a Transport, and the number of connections that it opened.
func newHostClient(address string) (client *fasthttp.HostClient, dials *int) {
	dials = new(int)
	return &fasthttp.HostClient{
		Addr: address, Transport: httpread.Transport{},
		Dial: func(a string) (net.Conn, error) {
			*dials++
			return net.Dial("tcp", a)
		},
	}, dials
}

// do sends a request and returns the body of its response.
func do(client *fasthttp.HostClient, method string, timeout time.Duration) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + client.Addr + "/")
	req.Header.SetMethod(method)
	err := client.DoTimeout(&req, &resp, timeout)
	return string(resp.Body()), err
}

// TestTransportKeepsConnections checks that a connection carries further requests, unless a response ended it or was
// malformed.
func TestTransportKeepsConnections(t *testing.T) {
	server := headserver.Start(t, "body")
	client, dials := newHostClient(server.Address)
	for _, step := range []struct {
		headCase string
		failed   bool
		dials    int
	}{
		{"plain", false, 1},
		{"chunked", false, 1},
		{"trailer", false, 1},
		{"interimResponse", false, 1},
		{"withoutLength", false, 1},
		{"plain", false, 2},
		{"blankInName", true, 2},
		{"plain", false, 3},
		{"blankInNameOfTrailer", true, 3},
		{"plain", false, 4},
	} {
		c, _ := headcases.Find(step.headCase)
		server.SetCase(c)
		body, err := do(client, fasthttp.MethodPost, 10*time.Second)
		if (err != nil) != step.failed || err == nil && body != "body" || *dials != step.dials {
			t.Errorf("%s: got body %q, error %v after %d dials, want failed %v after %d", step.headCase, body, err, *dials, step.failed, step.dials)
		}
	}
}

// TestTransportErrors checks the errors for a response that does not come, and for a body that is too large.
func TestTransportErrors(t *testing.T) {
	server := headserver.Start(t, strings.Repeat("x", 100))
	client, _ := newHostClient(server.Address)
	client.MaxResponseBodySize = 99
	for _, name := range []string{"plain", "chunked", "withoutLength"} {
		c, _ := headcases.Find(name)
		server.SetCase(c)
		if body, err := do(client, fasthttp.MethodPost, 10*time.Second); !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			t.Errorf("%s: got %d bytes, error %v; want ErrBodyTooLarge", name, len(body), err)
		}
	}
	server.SetCase(headcases.Case{})
	if _, err := do(client, fasthttp.MethodPost, 50*time.Millisecond); !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("no response: got error %v, want ErrTimeout", err)
	}
	server.SetCase(headcases.Case{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"})
	if body, err := do(client, fasthttp.MethodHead, 10*time.Second); err != nil || body != "" {
		t.Errorf("HEAD: got body %q, error %v", body, err)
	}
}
