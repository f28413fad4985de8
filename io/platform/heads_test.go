package platform_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"bilberrymux/core/store"
	"bilberrymux/internal/headcases"
	"bilberrymux/internal/headserver"
	"bilberrymux/io/platform"
)

// call is one call of the platform, with the body of a successful response to it.
type call struct {
	body string
	do   func(ctx context.Context, s *store.Store) error
}

var calls = map[string]call{
	"read": {`{"key":"a/1","value":"","revision":1}`, func(ctx context.Context, s *store.Store) error {
		_, found, err := s.Read(ctx, "a/1")
		if err == nil && !found {
			return errors.New("no row")
		}
		return err
	}},
	"scan": {`{"rows":[{"key":"a/1","value":"","revision":1}]}`, func(ctx context.Context, s *store.Store) error {
		_, err := s.Scan(ctx, "a/", "", 10)
		return err
	}},
	"transact": {`{"revision":7}`, func(ctx context.Context, s *store.Store) error {
		_, err := s.Transact(ctx, []store.Write{{Key: "a/1", Expect: store.Absent}})
		return err
	}},
	"putObject": {`{}`, func(ctx context.Context, s *store.Store) error { return s.PutObject(ctx, "o", []byte("content")) }},
	"getObject": {`content`, func(ctx context.Context, s *store.Store) error {
		body, err := s.GetObject(ctx, "o")
		if err == nil && string(body) != "content" {
			return fmt.Errorf("got content %q", body)
		}
		return err
	}},
	"listVMs": {`{"vms":[]}`, func(ctx context.Context, s *store.Store) error {
		_, err := s.ListVMs(ctx)
		return err
	}},
}

// TestMalformedHeadOfPlatformIsNoAnswer guards against a write that counts as done, or data that count as read, by a
// response whose head a lenient parser accepts, on a new connection and on one that was used before.
func TestMalformedHeadOfPlatformIsNoAnswer(t *testing.T) {
	cases := headcases.Load()
	ordinary := cases.Ordinary[0]
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := headserver.Start(t, call.body)
			for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers) {
				// The revision of a second transaction must differ, so that each case has a client of its own.
				s := platform.New(server.Address, dial)
				server.SetCase(c)
				if err := call.do(t.Context(), s); !errors.Is(err, store.ErrNoResponse) {
					t.Errorf("%s, new connection: got error %v, want ErrNoResponse", c.Name, err)
				}
				server.SetCase(ordinary)
				if err := call.do(t.Context(), s); err != nil {
					t.Errorf("after %s: %v", c.Name, err)
				}
				server.SetCase(c)
				if err := call.do(t.Context(), s); !errors.Is(err, store.ErrNoResponse) {
					t.Errorf("%s, used connection: got error %v, want ErrNoResponse", c.Name, err)
				}
			}
		})
	}
}

// TestUnusualHeadOfPlatformIsAnAnswer checks that the responses of the platform which are well-formed count.
func TestUnusualHeadOfPlatformIsAnAnswer(t *testing.T) {
	for name, call := range calls {
		server := headserver.Start(t, call.body)
		for _, c := range headcases.Load().Ordinary {
			// The platform has no other success than 200.
			if !strings.Contains(c.Text, " 200") {
				continue
			}
			server.SetCase(c)
			if err := call.do(t.Context(), platform.New(server.Address, dial)); err != nil {
				t.Errorf("%s, %s: %v", name, c.Name, err)
			}
		}
	}
}
