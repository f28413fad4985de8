package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/refusal"
	"bilberrymux/internal/peerserver"
	"bilberrymux/io/peer"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/standin/fleet"
)

// startFailingOwner starts a peer server that accepts forwarded requests and then fails them without
// saying whether they ran. It returns the server's address.
func startFailingOwner(t *testing.T) string {
	t.Helper()
	return peerserver.Start(t, peer.Handlers{
		Forward: func(*peerpb.ForwardRequest, peerpb.DRPCPeer_ForwardStream) error {
			return errors.New("connection lost, the request may have run")
		},
		Exchange: func(context.Context, *peerpb.News) (*peerpb.News, error) { return &peerpb.News{}, nil },
		Probe: func(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
			return &peerpb.ProbeReply{Reached: true}, nil
		},
		FetchConfig: func(*peerpb.FetchRequest, peerpb.DRPCPeer_FetchConfigStream) error {
			return errors.New("no configuration")
		},
	})
}

// vmThatWouldOwn returns the name of a VM that owns the shard of the service orders in region north in
// a fleet of that VM and the first daemon.
func vmThatWouldOwn(f *fleet.Fleet) ident.VMID {
	self := member.Entry{VM: f.Settings[0].VM, Incarnation: "a", Region: "north", State: member.Live}
	shard := ident.ShardID{Service: "orders", Region: "north"}
	for i := 0; ; i++ {
		vm := ident.VMID(fmt.Sprint("other-", i))
		table := member.New(self, nil)
		table.Merge(time.Now(), []member.Entry{{VM: vm, Incarnation: "b", Region: "north", State: member.Live}})
		if table.View().Owners("north", shard.String(), 1)[0].VM == vm {
			return vm
		}
	}
}

// TestLostForwardHasUnknownOutcome checks the refusal when a daemon forwards an idempotent request,
// the owner fails it without saying whether it ran, and the daemon itself reaches no server. Since
// the owner may have run the request, the refusal's outcome must be unknown, not "not run".
func TestLostForwardHasUnknownOutcome(t *testing.T) {
	f := start(t, options(1))
	vm, address := vmThatWouldOwn(f), startFailingOwner(t)
	client := peer.NewClient(func(ctx context.Context, a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a)
	}, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := client.Peer(ctx, f.Settings[0].PeerAddress).Exchange(ctx, &peerpb.News{Members: []*peerpb.Member{{
		Vm: string(vm), Incarnation: "b", PeerAddress: address, CallerAddress: "127.0.0.1:1", Region: "north", State: "live", Started: 1,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range f.Servers["orders"] {
		s.Stop()
	}
	resp := send(t, f.Entries()[0], call{"GET", "/orders", "", nil})
	if r := decodeRefusal(t, resp); r.Outcome != refusal.Unknown {
		t.Fatalf("got refusal %+v for a request that the owner may have run, want outcome %s", r, refusal.Unknown)
	}
	if f.Daemons[0].Counter("forward.unreached") == 0 {
		t.Fatalf("counter forward.unreached is 0, want the request to be forwarded: body %s", resp.Body())
	}
}
