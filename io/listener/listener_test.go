package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// scriptedListener returns the given errors, then a connection.
type scriptedListener struct {
	net.Listener
	errors []error
	conn   net.Conn
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.conn, nil
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// TestAcceptOutlastsShortages guards against daemons that end, and cut all requests, because descriptors
// were short for a moment.
func TestAcceptOutlastsShortages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		shortage := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		aborted := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}
		conn := &net.TCPConn{}
		l := New(&scriptedListener{errors: []error{shortage, shortage, aborted}, conn: conn}, log.WithField("vm", "a"))
		got, err := l.Accept()
		if err != nil || got != net.Conn(conn) {
			t.Errorf("Accept after temporary errors: got %v, %v, want the connection", got, err)
		}
		closed := New(&scriptedListener{errors: []error{net.ErrClosed}}, log.WithField("vm", "a"))
		_, err = closed.Accept()
		if diff := cmp.Diff(true, errors.Is(err, net.ErrClosed)); diff != "" {
			t.Errorf("Accept of a closed listener reports that (-want +got):\n%s", diff)
		}
	})
}
