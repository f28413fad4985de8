// Package netfault simulates network faults on connections: tests and the stand-ins can delay or drop
// traffic between two named processes, separately for each direction. The dialling side applies the
// rules of both directions.
package netfault

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Rule delays or drops the bytes that one process sends to another.
type Rule struct {
	// From and To are the names of the sending and the receiving process. An empty name matches all
	// processes.
	From string `json:"from"`
	To   string `json:"to"`
	// Drop discards the bytes without an error.
	Drop bool `json:"lose,omitempty"`
	// DelayMillis delays the bytes, in milliseconds. If several rules match, the longest delay
	// applies.
	DelayMillis int `json:"delayMillis,omitempty"`
	// Link names a link whose bandwidth all rules of the same Link share. It may be empty.
	Link string `json:"link,omitempty"`
	// BytesPerSecond is the bandwidth of the link. It must be positive if Link is set.
	BytesPerSecond int `json:"bytesPerSecond,omitempty"`
}

// Rules is a set of rules that connections look up at every dial, write and read. It is safe for
// concurrent use. A nil *Rules has no rules.
type Rules struct {
	current atomic.Pointer[ruleSet]
}

// ruleSet holds rules with their links by name.
type ruleSet struct {
	rules []Rule
	links map[string]*link
}

// Set replaces all rules. The links of the new rules are idle.
func (r *Rules) Set(rules []Rule) {
	set := &ruleSet{rules: rules, links: map[string]*link{}}
	for _, rule := range rules {
		if rule.Link != "" {
			set.links[rule.Link] = &link{bytesPerSecond: rule.BytesPerSecond}
		}
	}
	r.current.Store(set)
}

// effectOn returns whether bytes from one process to another are dropped, and their delay if there are
// size bytes, which take their time on the links of the matching rules.
func (r *Rules) effectOn(from, to string, size int) (drop bool, delay time.Duration) {
	if r == nil {
		return false, 0
	}
	set := r.current.Load()
	if set == nil {
		return false, 0
	}
	for _, rule := range set.rules {
		if (rule.From != "" && rule.From != from) || (rule.To != "" && rule.To != to) {
			continue
		}
		drop = drop || rule.Drop
		delay = max(delay, time.Duration(rule.DelayMillis)*time.Millisecond)
		if l := set.links[rule.Link]; l != nil {
			delay = max(delay, l.send(time.Now(), size))
		}
	}
	return drop, delay
}

// link is a link of limited bandwidth, on which bytes wait for those sent before. It is safe for
// concurrent use.
type link struct {
	bytesPerSecond int

	mu sync.Mutex
	// freeAt is the time at which all bytes sent so far have left.
	freeAt time.Time
}

// send returns how long size further bytes take to leave the link.
func (l *link) send(now time.Time, size int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt.Sub(now)
}

// Dialer opens TCP connections on behalf of one named process.
type Dialer struct {
	// Self is the name of the dialling process in the rules.
	Self string
	// Rules may be nil.
	Rules *Rules
	// Timeout limits the time to open a connection.
	Timeout time.Duration
	// NameOf returns the name of the process that listens on an address. If NameOf is nil, the
	// address itself is the name.
	NameOf func(address string) string
}

// userTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection
// (TCP_USER_TIMEOUT). It detects peers that have become unreachable without closing the connection.
const userTimeout = 3 * time.Second

// keepAlive is the interval of TCP keep-alive probes on idle connections.
const keepAlive = 15 * time.Second

// Dial opens a connection to an IP address and port. If a rule drops the traffic in either
// direction, it fails after the timeout or at the end of ctx.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	peer := address
	if d.NameOf != nil {
		peer = d.NameOf(address)
	}
	dropSent, delaySent := d.Rules.effectOn(d.Self, peer, 0)
	dropReceived, delayReceived := d.Rules.effectOn(peer, d.Self, 0)
	delay := delaySent + delayReceived
	if dropSent || dropReceived || (d.Timeout > 0 && delay >= d.Timeout) {
		return nil, d.awaitTimeout(ctx, address)
	}
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: keepAlive, Control: setUserTimeout}
	if delay > 0 {
		time.Sleep(delay)
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("netfault: %w", err)
	}
	if d.Rules == nil {
		return c, nil
	}
	return &conn{Conn: c, rules: d.Rules, self: d.Self, peer: peer}, nil
}

// awaitTimeout waits as long as a dial to a host that doesn't respond, and returns its error.
func (d *Dialer) awaitTimeout(ctx context.Context, address string) error {
	timer := time.NewTimer(d.Timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return fmt.Errorf("netfault: dial %s: timeout", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn applies the rules to one connection.
type conn struct {
	net.Conn
	rules      *Rules
	self, peer string
	// writesLost and readsLost are set once bytes to or from the peer have been dropped.
	writesLost, readsLost atomic.Bool
}

// Write sends, delays or drops bytes. Once bytes have been dropped, it drops all further bytes and
// reports success, since a TCP stream can't continue after a gap.
func (c *conn) Write(p []byte) (int, error) {
	drop, delay := c.rules.effectOn(c.self, c.peer, len(p))
	if drop {
		c.writesLost.Store(true)
	}
	if c.writesLost.Load() {
		return len(p), nil
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return c.Conn.Write(p)
}

// Read receives, delays or drops bytes from the peer. Once bytes have been dropped, it drops all
// further bytes, since a TCP stream can't continue after a gap.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		drop, delay := c.rules.effectOn(c.peer, c.self, n)
		if drop {
			c.readsLost.Store(true)
		}
		if c.readsLost.Load() {
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		return n, nil
	}
}

// SyscallConn returns the raw connection of the socket, for liveness checks. It fails if the wrapped
// connection has no socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("netfault: connection of type %T has no socket", c.Conn)
	}
	return sc.SyscallConn()
}
