package backend

import (
	"slices"
	"sync"
	"time"
)

// connPool holds the idle connections to one address, the most recently used last. It
// is safe for concurrent use.
type connPool struct {
	mu    sync.Mutex
	conns []*serverConn
	// generation is incremented by invalidate. Connections of earlier generations are
	// not returned to the pool.
	generation uint64
	// onClose is called with the reason for each connection that the pool closes.
	onClose func(CloseReason)
}

// closeConn closes a connection and reports the reason to onClose.
func (p *connPool) closeConn(c *serverConn, reason CloseReason) {
	c.Close()
	p.onClose(reason)
}

// take removes and returns the most recently used connection that has not carried the ID and passes the checks
// for idle time and liveness, or returns nil. It closes the connections that fail the checks. avoided reports whether
// one was left out because it had carried the ID.
func (p *connPool) take(now time.Time, limit time.Duration, id idHash) (c *serverConn, avoided bool) {
	for {
		c, left := p.pop(id)
		avoided = avoided || left
		if c == nil {
			return nil, avoided
		}
		if now.Sub(c.idleSince) > min(limit, c.keepAlive) {
			p.closeConn(c, CloseIdle)
			continue
		}
		if c.alive() {
			return c, avoided
		}
		p.closeConn(c, CloseStale)
	}
}

// pop removes and returns the most recently used connection that has not carried the ID, or returns nil. avoided
// reports whether one that was used later was left out.
func (p *connPool) pop(id idHash) (c *serverConn, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.conns) {
		if !c.hasCarried(id) {
			p.conns = slices.Delete(p.conns, i, i+1)
			return c, avoided
		}
		avoided = true
	}
	return nil, avoided
}

// put returns a connection to the pool. It closes the connection if the pool was
// invalidated since the dial or is full.
func (p *connPool) put(now time.Time, c *serverConn) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.generation != p.generation:
		p.closeConn(c, CloseInvalidated)
		return
	case len(p.conns) >= maxIdleConns:
		p.closeConn(c, CloseSurplus)
		return
	}
	p.conns = append(p.conns, c)
}

// invalidate closes all idle connections and prevents those in use from returning to
// the pool.
func (p *connPool) invalidate() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.generation++
	p.mu.Unlock()
	for _, c := range conns {
		p.closeConn(c, CloseInvalidated)
	}
}

// expire closes connections that were idle for longer than their keepAlive.
func (p *connPool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.conns[:0]
	for _, c := range p.conns {
		if now.Sub(c.idleSince) > c.keepAlive {
			p.closeConn(c, CloseIdle)
			continue
		}
		kept = append(kept, c)
	}
	p.conns = kept
}
