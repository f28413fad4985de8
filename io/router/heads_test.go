package router

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/refusal"
	"bilberrymux/internal/headcases"
	"bilberrymux/internal/peerserver"
	"bilberrymux/io/httpread"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
)

// startAnsweringPeer starts a daemon that answers all forwarded calls with the chunk, and returns the address.
func startAnsweringPeer(t *testing.T, chunk *peerpb.ForwardChunk) string {
	return peerserver.Start(t, peer.Handlers{
		Forward: func(_ *peerpb.ForwardRequest, s peerpb.DRPCPeer_ForwardStream) error { return s.Send(chunk) },
	})
}

// forwardTo forwards a call to a daemon and returns the reply.
func forwardTo(t *testing.T, address string, idempotent bool) Reply {
	t.Helper()
	client := peer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, nil)
	defer client.Close()
	r := New(Options{Members: member.New(member.Entry{VM: "own"}, nil), Client: client, Count: func(string, int64) {}})
	req := &fasthttp.Request{}
	req.SetRequestURI("http://server/")
	c := &Call{HTTP: req, Idempotent: idempotent, Deadline: time.Now().Add(10 * time.Second)}
	reply, err := r.forward(context.Background(), &member.Entry{VM: "other", PeerAddress: address}, c, ident.ShardID{Service: "orders", Region: "north"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestMalformedHeadOfPeerIsNoAnswer guards against an answer that another daemon, for instance one of an older build, hands
// on with a head that a lenient parser accepts. The call may have run.
func TestMalformedHeadOfPeerIsNoAnswer(t *testing.T) {
	for _, c := range headcases.Load().Malformed {
		for _, idempotent := range []bool{false, true} {
			chunk := &peerpb.ForwardChunk{Head: []byte(c.Expand("", "")), Body: []byte("body"), BodySize: 4, Last: true}
			reply := forwardTo(t, startAnsweringPeer(t, chunk), idempotent)
			if reply.Refused == nil || reply.Refused.Kind != refusal.PeerLost || !reply.Refused.MayHaveRun {
				t.Errorf("%s, idempotent %v: got %+v, want peerLost with unknown outcome", c.Name, idempotent, reply)
			}
		}
	}
}

// TestUnusualHeadOfPeerIsAnAnswer checks that answers which are well-formed arrive, as a daemon hands them on.
func TestUnusualHeadOfPeerIsAnAnswer(t *testing.T) {
	for _, c := range headcases.Load().Ordinary {
		r := bufio.NewReader(strings.NewReader(c.Expand("", "body")))
		var resp fasthttp.Response
		if err := httpread.ReadWhole(r, &resp, 0); err != nil {
			t.Fatal(err)
		}
		resp.Header.SetContentLength(4)
		chunk := &peerpb.ForwardChunk{Head: resp.Header.Header(), Body: resp.Body(), BodySize: 4, Last: true}
		reply := forwardTo(t, startAnsweringPeer(t, chunk), false)
		if reply.Answer == nil || string(reply.Answer.Response.Body()) != "body" || reply.Answer.Response.StatusCode() != resp.StatusCode() {
			t.Errorf("%s: got %+v", c.Name, reply)
		}
	}
}

// TestMalformedHeadIsNoStoredAnswer guards against the stored answer of an idempotency key with a head that a lenient
// parser accepts.
func TestMalformedHeadIsNoStoredAnswer(t *testing.T) {
	cases := headcases.Load()
	for _, c := range slices.Concat(cases.Malformed, cases.MalformedTrailers) {
		if answer, err := decodeAnswer([]byte(c.Expand("", "body"))); err == nil {
			t.Errorf("%s: got the answer %q", c.Name, answer.Response)
		}
	}
	for _, c := range cases.Ordinary {
		answer, err := decodeAnswer([]byte(c.Expand("", "body")))
		if err != nil || string(answer.Response.Body()) != "body" {
			t.Errorf("%s: got %+v, error %v", c.Name, answer, err)
		}
	}
}
