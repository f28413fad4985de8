package news

import (
	"context"
	"fmt"

	"storj.io/drpc"
)

// stateServer implements the drpc service that peers call, for one connection, which carries one call at a
// time.
type stateServer struct {
	stateFor func(r *StateRequest) (*State, func())
	// sent holds the functions to call when the connection is closed.
	sent []func()
}

// State returns the reply to one state request.
func (s *stateServer) State(_ context.Context, r *StateRequest) (*State, error) {
	state, sent := s.stateFor(r)
	s.sent = append(s.sent, sent)
	return state, nil
}

// finish records that the connection is closed, and all replies have been sent.
func (s *stateServer) finish() {
	for _, sent := range s.sent {
		sent()
	}
}

// description describes the methods of stateServer to drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		r, ok := in1.(*StateRequest)
		if !ok {
			return nil, fmt.Errorf("news: unexpected message %T", in1)
		}
		return srv.(*stateServer).State(ctx, r)
	}
	return stateMethod, cborEncoding{}, receive, (*stateServer).State, true
}
