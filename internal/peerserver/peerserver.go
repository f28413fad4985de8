// Package peerserver starts stand-ins of daemons that serve the calls of their peers.
package peerserver

import (
	"context"
	"net"
	"testing"

	"bilberrymux/io/peer"
)

// Start serves the handlers on loopback until the end of the test, and returns the host and port.
func Start(t testing.TB, handlers peer.Handlers) string {
	t.Helper()
	server, err := peer.NewServer(handlers, nil)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		l.Close()
		<-done
	})
	return l.Addr().String()
}
