package gossip_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	_ "bilberrymux/core/admit"
	_ "bilberrymux/core/detect"
	"bilberrymux/core/member"
	"bilberrymux/core/poison"
	_ "bilberrymux/core/pool"
	_ "bilberrymux/core/retry"
	"bilberrymux/io/gossip"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// newGossip returns a Gossip of the daemon "vm-1" with its member table and its replica of the
// configuration.
func newGossip() (*gossip.Gossip, *member.Table, *versions.Replica) {
	members := member.New(member.Entry{VM: "vm-1", Incarnation: "vm-1~1", Region: "r", State: member.Live}, nil)
	replica := versions.New(table.New(1).Store(), nil)
	return gossip.New(gossip.Options{Members: members, Versions: replica, Poison: poison.New()}), members, replica
}

// newGossipWithPoison returns a gossip with its quarantine.
func newGossipWithPoison() (*gossip.Gossip, *poison.Quarantine) {
	members := member.New(member.Entry{VM: "vm-1", Incarnation: "vm-1~1", Region: "r", State: member.Live}, nil)
	quarantine := poison.New()
	return gossip.New(gossip.Options{Members: members, Versions: versions.New(table.New(1).Store(), nil), Poison: quarantine}), quarantine
}

// FuzzNews sends arbitrary messages to a daemon. No message may change the daemon's own entry to
// down or to another incarnation, or decrease the configuration version.
func FuzzNews(f *testing.F) {
	for _, n := range []*peerpb.News{
		{},
		{Members: []*peerpb.Member{{Vm: "vm-1", Incarnation: "vm-1~1", State: "down", Sequence: 3}}},
		{Members: []*peerpb.Member{{Vm: "vm-2", Incarnation: "x", State: "live"}, {Vm: "vm-3", State: "odd"}}},
		{Config: []*peerpb.ConfigVersion{{Number: 1, Patch: []byte(`{"organisations":{"o":{"weight":1}}}`)}, {Number: 9, Patch: []byte(`{`)}}},
		{Config: []*peerpb.ConfigVersion{{Number: 1, Patch: []byte(`{"x":1}`)}}},
		{Poison: []*peerpb.PoisonEntry{{Service: "s", Fingerprint: 7}}, WantBuckets: []uint32{1, 300}},
	} {
		body, err := proto.Marshal(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		msg := &peerpb.News{}
		if proto.Unmarshal(body, msg) != nil {
			return
		}
		g, members, replica := newGossip()
		for range 2 {
			before := replica.Current().Version
			if _, err := g.Exchange(context.Background(), msg); err != nil {
				t.Fatal(err)
			}
			if replica.Current().Version < before {
				t.Fatalf("configuration version decreased from %d to %d", before, replica.Current().Version)
			}
		}
		if own := members.View().ByVM("vm-1"); own == nil || own.State == member.Down || own.Incarnation != "vm-1~1" {
			t.Fatalf("own entry after a peer's message: got %v, want incarnation vm-1~1 and not down", own)
		}
	})
}

// TestInvalidPatchFromPeerIsNotApplied checks that the versions before an invalid patch from a peer
// are applied and the invalid one is not.
func TestInvalidPatchFromPeerIsNotApplied(t *testing.T) {
	g, _, replica := newGossip()
	_, err := g.Exchange(context.Background(), &peerpb.News{Config: []*peerpb.ConfigVersion{
		{Number: 1, Patch: []byte(`{"organisations":{"o":{"weight":1}}}`), UnixMicros: time.Now().UnixMicro()},
		{Number: 2, Patch: []byte(`{"organisations":{"o":{"weight":-1}}}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if v := replica.Current().Version; v != 1 {
		t.Fatalf("got version %d in force, want 1, since the patch of version 2 is invalid", v)
	}
}
