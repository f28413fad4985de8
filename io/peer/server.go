package peer

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bilberrymux/io/peer/peerpb"
)

// Handlers answer the calls of peers. Every function must be set.
type Handlers struct {
	Forward     func(*peerpb.ForwardRequest, peerpb.DRPCPeer_ForwardStream) error
	Exchange    func(context.Context, *peerpb.News) (*peerpb.News, error)
	Probe       func(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	FetchConfig func(*peerpb.FetchRequest, peerpb.DRPCPeer_FetchConfigStream) error
}

// service fits Handlers to the generated server.
type service struct {
	h Handlers
}

// Forward implements peerpb.DRPCPeerServer.
func (s *service) Forward(r *peerpb.ForwardRequest, st peerpb.DRPCPeer_ForwardStream) error {
	return s.h.Forward(r, st)
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *service) Exchange(ctx context.Context, n *peerpb.News) (*peerpb.News, error) {
	return s.h.Exchange(ctx, n)
}

// Probe implements peerpb.DRPCPeerServer.
func (s *service) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.h.Probe(ctx, r)
}

// FetchConfig implements peerpb.DRPCPeerServer.
func (s *service) FetchConfig(r *peerpb.FetchRequest, st peerpb.DRPCPeer_FetchConfigStream) error {
	return s.h.FetchConfig(r, st)
}

// Server answers peers on one listener.
type Server struct {
	drpc    *drpcserver.Server
	traffic *Traffic
}

// NewServer returns a server for the handlers.
func NewServer(h Handlers, traffic *Traffic) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{h}); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Server{
		drpc:    drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
		traffic: traffic,
	}, nil
}

// Serve answers until the context ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, &countedListener{l, s.traffic})
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.count(c), nil
}
