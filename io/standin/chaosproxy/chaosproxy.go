// Package chaosproxy is a TCP proxy on loopback that harms the connections which
// pass through it.
package chaosproxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how connections are harmed.
type Mode string

// The modes.
const (
	// Pass harms nothing.
	Pass Mode = "pass"
	// Delay holds back each piece in both directions.
	Delay Mode = "delay"
	// Reset resets new connections and those that are open.
	Reset Mode = "reset"
	// Blackhole swallows everything, also on open connections.
	Blackhole Mode = "silence"
	// DropReplies swallows what comes back.
	DropReplies Mode = "oneWay"
)

// delay is how long Delay holds back a piece.
const delay = 60 * time.Millisecond

// pieceBytes is the size of a piece.
const pieceBytes = 16 << 10

// Proxy forwards one address. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	mode     atomic.Pointer[Mode]

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New forwards connections to the target until Close.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("chaosproxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	p.SetMode(Pass)
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes how connections are harmed from now on.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(&m)
	if m == Reset {
		p.cut()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.cut()
}

func (p *Proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if *p.mode.Load() == Reset {
			abort(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, c, false) })
	wg.Go(func() { p.copy(c, out, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy forwards one direction until it ends, and ends the other with it.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		switch m := *p.mode.Load(); {
		case m == Delay:
			time.Sleep(delay)
		case m == Blackhole || (m == DropReplies && back):
			n = 0
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(to)
			}
			return
		}
	}
}
