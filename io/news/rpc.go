package news

import (
	"context"
	"fmt"

	"storj.io/drpc"
)

// server answers the calls of peers.
type server struct {
	answer func(r *StateRequest) *State
}

// State answers one call.
func (s *server) State(_ context.Context, r *StateRequest) (*State, error) {
	return s.answer(r), nil
}

// description tells drpc of the calls of a server.
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
		return srv.(*server).State(ctx, r)
	}
	return stateCall, encoding{}, receive, (*server).State, true
}
