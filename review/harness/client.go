//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and what the client saw of it.
type attempt struct {
	id     string
	daemon *daemon
	// reused reports whether the connection had carried an earlier request.
	reused bool
	sent   time.Time
	ended  time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	err    error
	body   string
}

// clients sends requests like the clients of the pages and keeps what they saw.
type clients struct {
	fleet *fleet
	host  string
	// deadline is the time that a client waits.
	deadline time.Duration
	next     atomic.Int64

	mu       sync.Mutex
	attempts map[string]*attempt
}

func newClients(f *fleet, host string, deadline time.Duration) *clients {
	return &clients{fleet: f, host: host, deadline: deadline, attempts: map[string]*attempt{}}
}

// byAddress returns the daemon with a caller address, or nil.
func (f *fleet) byAddress(address string) *daemon {
	for _, d := range f.daemons {
		if d.at(portCallers) == address {
			return d
		}
	}
	return nil
}

// do sends one request over a transport and records it.
func (c *clients) do(rt http.RoundTripper, address, method, path string, body io.Reader, length int64) *attempt {
	a := &attempt{id: fmt.Sprintf("%s-%06d", strings.Split(c.host, ".")[0], c.next.Add(1)), daemon: c.fleet.byAddress(address), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	if body != nil {
		req.ContentLength = length
	}
	req.Header.Set("Bilberrymux-Request-Id", a.id)
	req.Header.Set("Bilberrymux-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.reused = info.Reused },
	}))
	resp, err := rt.RoundTrip(req)
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.body = resp.StatusCode, string(text)
		}
		resp.Body.Close()
	}
	a.ended, a.err = time.Now(), err
	c.mu.Lock()
	c.attempts[a.id] = a
	c.mu.Unlock()
	c.fleet.log("client %s: %s at %s, sent at %.3f, status %d, error %v", a.id, method, a.daemon.name, c.fleet.seconds(a.sent), a.status, a.err)
	return a
}

// freshTransport opens a new connection for each request.
func freshTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}
