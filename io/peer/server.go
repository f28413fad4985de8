package peer

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bilberrymux/io/peer/peerpb"
)

// Handlers are the functions that serve the calls of peers. Each must be set and safe for concurrent
// use.
type Handlers struct {
	Forward     func(*peerpb.ForwardRequest, peerpb.DRPCPeer_ForwardStream) error
	Exchange    func(context.Context, *peerpb.News) (*peerpb.News, error)
	Probe       func(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	FetchConfig func(*peerpb.FetchRequest, peerpb.DRPCPeer_FetchConfigStream) error
}

// peerService adapts Handlers to the generated server interface.
type peerService struct {
	handlers Handlers
}

// Forward implements peerpb.DRPCPeerServer.
func (s *peerService) Forward(r *peerpb.ForwardRequest, st peerpb.DRPCPeer_ForwardStream) error {
	return s.handlers.Forward(r, st)
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *peerService) Exchange(ctx context.Context, n *peerpb.News) (*peerpb.News, error) {
	return s.handlers.Exchange(ctx, n)
}

// Probe implements peerpb.DRPCPeerServer.
func (s *peerService) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.handlers.Probe(ctx, r)
}

// FetchConfig implements peerpb.DRPCPeerServer.
func (s *peerService) FetchConfig(r *peerpb.FetchRequest, st peerpb.DRPCPeer_FetchConfigStream) error {
	return s.handlers.FetchConfig(r, st)
}

// Server serves the calls of peers.
type Server struct {
	drpc    *drpcserver.Server
	traffic *Traffic
}

// NewServer returns a server that calls the handlers and adds the bytes of its connections to traffic,
// which may be nil.
func NewServer(h Handlers, traffic *Traffic) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerService{h}); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Server{
		drpc:    drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
		traffic: traffic,
	}, nil
}

// Serve accepts connections and serves calls until the context ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, &countingListener{l, s.traffic})
}

// countingListener adds the bytes of accepted connections to a Traffic.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(c), nil
}
