// Package chaosproxy is a TCP proxy on loopback that injects network faults into the connections
// that it forwards.
package chaosproxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode selects the fault that a Proxy injects.
type Mode string

// Modes of a Proxy.
const (
	// Pass forwards data unchanged.
	Pass Mode = "pass"
	// Delay forwards each chunk after chunkDelay, in both directions.
	Delay Mode = "delay"
	// Reset resets the open connections and each new one.
	Reset Mode = "reset"
	// Blackhole discards data in both directions, on open and new connections, without closing them.
	Blackhole Mode = "silence"
	// DropReplies discards data from the target and forwards data to it.
	DropReplies Mode = "oneWay"
)

// chunkDelay is the delay of each chunk in mode Delay.
const chunkDelay = 60 * time.Millisecond

// chunkBytes is the largest number of bytes that are read and forwarded at once.
const chunkBytes = 16 << 10

// Proxy forwards TCP connections to one target address. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	mode     atomic.Pointer[Mode]

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New listens on a free port of loopback and forwards connections to the target, a host and port,
// until Close. Its mode is Pass.
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

// Address returns the host and port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the fault that is injected from now on, into open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(&m)
	if m == Reset {
		p.abortAll()
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.abortAll()
}

// abortAll resets all open connections.
func (p *Proxy) abortAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// accept forwards each accepted connection in its own goroutine until the listener is closed.
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
		go p.forward(c)
	}
}

// forward connects to the target and copies data in both directions until both have ended.
func (p *Proxy) forward(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyChunks(upstream, c, false) })
	wg.Go(func() { p.copyChunks(c, upstream, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copyChunks copies one direction, subject to the mode, until reading or writing fails. It then
// closes the destination, with a reset if reading failed with another error than io.EOF. fromTarget
// tells the direction from the target to the client.
func (p *Proxy) copyChunks(to, from net.Conn, fromTarget bool) {
	defer to.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		switch m := *p.mode.Load(); {
		case m == Delay:
			time.Sleep(chunkDelay)
		case m == Blackhole || (m == DropReplies && fromTarget):
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
