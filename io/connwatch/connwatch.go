// Package connwatch detects that a caller closed its connection while its request is in progress.
package connwatch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchDelay is how long a request runs before its connection is watched. Most requests end sooner,
// which saves the cost of watching.
const watchDelay = 25 * time.Millisecond

// Watch observes the connection of a request in progress and cancels the request when the caller
// closes the connection.
type Watch struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// done is closed when start has finished; nil if start is not watching.
	done chan struct{}
}

// New starts to watch the connection of a request after watchDelay and calls cancel, at most once,
// when the caller closes it. Connections that do not implement syscall.Conn are not watched. Stop
// must be called when the request has ended.
func New(conn net.Conn, cancel context.CancelFunc) *Watch {
	w := &Watch{conn: conn, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchDelay, w.start)
	return w
}

// start waits until the connection becomes readable, and peeks at the data without consuming it. An
// end of stream or an error means that the caller closed the connection. Data means that the caller
// has sent its next request, which ends the watch without cancelling.
func (w *Watch) start() {
	w.mu.Lock()
	sc, ok := w.conn.(syscall.Conn)
	if w.stopped || !ok {
		w.mu.Unlock()
		return
	}
	done := make(chan struct{})
	w.done = done
	w.mu.Unlock()
	defer close(done)
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	if err == nil && closed {
		w.cancel()
	}
}

// Stop ends the watch, waits until it no longer reads from the connection, and removes the read
// deadline from the connection. An expired deadline is used to interrupt the pending read.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.mu.Lock()
	w.stopped = true
	done := w.done
	w.mu.Unlock()
	if done == nil {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = w.conn.SetReadDeadline(time.Time{})
}
