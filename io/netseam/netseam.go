// Package netseam wraps dialling so that tests and the stand-ins can delay or
// lose traffic in either direction between two named processes. The dialling
// side applies the rules of both directions.
package netseam

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Rule is what happens to bytes from one process to another.
type Rule struct {
	// From and To are names of processes. An empty name matches all.
	From string `json:"from"`
	To   string `json:"to"`
	// Drop drops the bytes silently.
	Drop bool `json:"lose,omitempty"`
	// DelayMillis holds the bytes back.
	DelayMillis int `json:"delayMillis,omitempty"`
}

// Rules is a set of rules that connections consult on every write. It is safe
// for concurrent use. The nil *Rules has no rules.
type Rules struct {
	current atomic.Pointer[[]Rule]
}

// Set replaces all rules.
func (r *Rules) Set(rules []Rule) {
	r.current.Store(&rules)
}

// between returns what applies to bytes from one process to another.
func (r *Rules) between(from, to string) (lose bool, delay time.Duration) {
	if r == nil {
		return false, 0
	}
	rules := r.current.Load()
	if rules == nil {
		return false, 0
	}
	for _, rule := range *rules {
		if (rule.From != "" && rule.From != from) || (rule.To != "" && rule.To != to) {
			continue
		}
		lose = lose || rule.Drop
		delay = max(delay, time.Duration(rule.DelayMillis)*time.Millisecond)
	}
	return lose, delay
}

// Dialer opens TCP connections from one named process.
type Dialer struct {
	// Self is the name of this process in the rules.
	Self string
	// Rules may be nil.
	Rules *Rules
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
	// NameOf returns the name of the process at an address. A nil NameOf uses
	// the address itself.
	NameOf func(address string) string
}

// userTimeout is how long sent bytes may stay unacknowledged before the kernel
// gives a connection up. It finds connections that went silent.
const userTimeout = 3 * time.Second

// keepAlive is the period of keep-alive probes on idle connections.
const keepAlive = 15 * time.Second

// Dial opens a connection to an IP address and port.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	peer := address
	if d.NameOf != nil {
		peer = d.NameOf(address)
	}
	out, _ := d.Rules.between(d.Self, peer)
	back, delay := d.Rules.between(peer, d.Self)
	if out || back {
		return nil, d.silence(ctx, address)
	}
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: keepAlive, Control: setUserTimeout}
	if delay > 0 {
		time.Sleep(delay)
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("netseam: %w", err)
	}
	if d.Rules == nil {
		return c, nil
	}
	return &conn{Conn: c, rules: d.Rules, self: d.Self, peer: peer}, nil
}

// silence waits as long as a dial into nothing would.
func (d *Dialer) silence(ctx context.Context, address string) error {
	timer := time.NewTimer(d.Timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return fmt.Errorf("netseam: dial %s: timeout", address)
}

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
	// silenced and deaf say that bytes to or from the peer were lost.
	silenced, deaf atomic.Bool
}

// Write sends, holds back or loses bytes. Once bytes were lost the connection
// stays silent for good, as a TCP stream with a gap would.
func (c *conn) Write(p []byte) (int, error) {
	lose, delay := c.rules.between(c.self, c.peer)
	if lose {
		c.silenced.Store(true)
	}
	if c.silenced.Load() {
		return len(p), nil
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return c.Conn.Write(p)
}

// Read receives, holds back or loses bytes of the other direction. What was lost
// leaves a gap, so that nothing more can come.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		lose, delay := c.rules.between(c.peer, c.self)
		if lose {
			c.deaf.Store(true)
		}
		if c.deaf.Load() {
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		return n, nil
	}
}

// SyscallConn gives access to the socket for liveness checks.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("netseam: no socket")
	}
	return sc.SyscallConn()
}
