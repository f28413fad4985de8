// Package listener provides a TCP listener that survives temporary shortages of the machine. The HTTP
// library ends a server at the first error of Accept.
package listener

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// retryDelay is the pause after an error of Accept, in which other connections may be closed.
	retryDelay = 20 * time.Millisecond
	// logInterval is the minimum time between two log lines about errors of Accept.
	logInterval = time.Second
)

// temporaryErrors are the errors of Accept that concern one connection, or that pass when descriptors or
// memory are free again.
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPROTO,
}

// Listener is a net.Listener whose Accept waits and tries again after temporary errors. Accept must not
// be called concurrently.
type Listener struct {
	net.Listener
	log      *logrus.Entry
	loggedAt time.Time
}

// Listen returns a listener on a TCP address. It writes temporary errors to log.
func Listen(address string, log *logrus.Entry) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	return New(l, log), nil
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, log *logrus.Entry) *Listener {
	return &Listener{Listener: l, log: log.WithField("address", l.Addr().String())}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
			l.loggedAt = now
			l.log.WithError(err).Warn("could not accept a connection, trying again")
		}
		time.Sleep(retryDelay)
	}
}

func isTemporary(err error) bool {
	for _, t := range temporaryErrors {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
