//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client with what came back.
type sent struct {
	id, daemon   string
	path         string
	safe         bool
	at, answered time.Time
	// status is 0 if the connection ended without a whole answer.
	status int
	limit  string
	signed bool
	err    error
}

// order reports whether the request is one of those that the second version of the manifest splits off.
func (x *sent) order() bool { return strings.HasPrefix(x.path, "/list/order/") }

// clients are the callers of one zone.
type clients struct {
	rec       *record
	directory func() []string
	region    string
	zone      string

	mu        sync.Mutex
	idle      map[string][]*clientConn
	addresses map[string][]string
	resolved  map[string]time.Time
	// failed holds the addresses that could not be reached since the last resolve answer.
	failed  map[string]bool
	all     []*sent
	count   int
	pending sync.WaitGroup
}

type clientConn struct {
	net.Conn
	br   *bufio.Reader
	used time.Time
}

func newClients(rec *record, region, zone string, directory func() []string) *clients {
	return &clients{
		rec: rec, region: region, zone: zone, directory: directory,
		idle: map[string][]*clientConn{}, addresses: map[string][]string{}, resolved: map[string]time.Time{}, failed: map[string]bool{},
	}
}

// resolve asks the daemons in turn where to connect, and keeps the answer for two seconds.
func (c *clients) resolve(host string) []string {
	c.mu.Lock()
	known, at := c.addresses[host], c.resolved[host]
	c.mu.Unlock()
	if time.Since(at) < 2*time.Second {
		return known
	}
	asker := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range c.directory() {
		resp, err := asker.Get(fmt.Sprintf("http://%s/-/resolve?name=%s&region=%s&zone=%s", address, host, c.region, c.zone))
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		if err != nil || len(body.Addresses) == 0 {
			continue
		}
		known = body.Addresses
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[host], c.resolved[host] = known, time.Now()
	clear(c.failed)
	return known
}

// choose returns the addresses for a host that have not failed the clients.
func (c *clients) choose(host string) []string {
	known := c.resolve(host)
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(known), func(a string) bool { return c.failed[a] })
}

// conn returns an idle connection or opens one.
func (c *clients) conn(address string) (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle[address]) > 0 {
		l := c.idle[address]
		x := l[len(l)-1]
		c.idle[address] = l[:len(l)-1]
		if time.Since(x.used) < 5*time.Second {
			c.mu.Unlock()
			return x, nil
		}
		x.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.mu.Lock()
		c.failed[address] = true
		c.mu.Unlock()
		return nil, err
	}
	return &clientConn{Conn: raw, br: bufio.NewReader(raw)}, nil
}

// send sends one request to a daemon and waits for its answer.
func (c *clients) send(daemon, method, host, path, body string, deadline time.Duration) *sent {
	c.mu.Lock()
	c.count++
	x := &sent{id: fmt.Sprintf("%s%06x%04x", c.zone[:1], c.count, rand.IntN(1<<16)), daemon: daemon, path: path, safe: method == "GET", at: time.Now()}
	c.all = append(c.all, x)
	c.mu.Unlock()
	c.rec.add(x.at, "sent %s %s %s to %s", x.id, method, path, daemon)
	status, header, err := c.exchange(x, method, host, path, body, deadline)
	c.mu.Lock()
	x.answered, x.status, x.err = time.Now(), status, err
	x.limit, x.signed = header.Get("Server-Limit"), header.Get("Bilberrymux-Response-Signature") != ""
	c.mu.Unlock()
	c.rec.add(x.answered, "answered %s: status %d, signed %v, limit %q, error %v", x.id, status, x.signed, x.limit, err)
	return x
}

func (c *clients) exchange(x *sent, method, host, path, body string, deadline time.Duration) (int, http.Header, error) {
	conn, err := c.conn(x.daemon)
	if err != nil {
		return 0, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBilberrymux-Request-Id: %s\r\nBilberrymux-Deadline-Ms: %d\r\n", method, path, host, x.id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := conn.Write([]byte(b.String())); err != nil {
		conn.Close()
		return 0, nil, err
	}
	resp, err := http.ReadResponse(conn.br, &http.Request{Method: method})
	if err != nil {
		conn.Close()
		return 0, nil, err
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		conn.Close()
		return 0, nil, err
	}
	if resp.Close {
		conn.Close()
		return resp.StatusCode, resp.Header, nil
	}
	conn.used = time.Now()
	c.mu.Lock()
	c.idle[x.daemon] = append(c.idle[x.daemon], conn)
	c.mu.Unlock()
	return resp.StatusCode, resp.Header, nil
}

// load sends requests at a rate until the time until.
func (c *clients) load(perSecond float64, until time.Time, method, host, prefix string, deadline time.Duration) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		for n := 0; time.Now().Before(until); n++ {
			time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
			path, body := fmt.Sprintf("%s%x", prefix, n), ""
			if method == "POST" {
				body = fmt.Sprintf(`{"booking":%d}`, n)
			}
			c.pending.Add(1)
			go func() {
				defer c.pending.Done()
				addresses := c.choose(host)
				if len(addresses) > 0 {
					c.send(addresses[rand.IntN(len(addresses))], method, host, path, body, deadline)
				}
			}()
		}
	}()
}

// list returns a copy of all requests.
func (c *clients) list() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []sent
	for _, x := range c.all {
		out = append(out, *x)
	}
	return out
}
