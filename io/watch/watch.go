// Package watch finds out that a caller left while its request runs.
package watch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchAfter is how long a request runs before its connection is watched.
// Most requests end sooner and cost nothing.
const watchAfter = 25 * time.Millisecond

// Watch finds out that a caller closed its connection while its request runs.
type Watch struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	running chan struct{}
}

// New watches the connection of a request and calls cancel once when its caller
// closed it. Stop must be called when the request is over.
func New(conn net.Conn, cancel context.CancelFunc) *Watch {
	w := &Watch{conn: conn, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchAfter, w.start)
	return w
}

// start waits until the connection has something to read: the end of it, or
// the caller's next request, which ends the watch.
func (w *Watch) start() {
	w.mu.Lock()
	sc, ok := w.conn.(syscall.Conn)
	if w.stopped || !ok {
		w.mu.Unlock()
		return
	}
	running := make(chan struct{})
	w.running = running
	w.mu.Unlock()
	defer close(running)
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN {
			return false
		}
		gone = err != nil || n == 0
		return true
	})
	if err == nil && gone {
		w.cancel()
	}
}

// Stop ends the watch and leaves the connection as it was.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.mu.Lock()
	w.stopped = true
	running := w.running
	w.mu.Unlock()
	if running == nil {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-running
	_ = w.conn.SetReadDeadline(time.Time{})
}
