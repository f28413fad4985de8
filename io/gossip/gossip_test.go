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

func newGossip() (*gossip.Gossip, *member.Table, *versions.Replica) {
	members := member.New(member.Entry{VM: "vm-1", Incarnation: "vm-1~1", Region: "r", State: member.Live}, nil)
	keeper := versions.New(table.New(1).Store(), nil)
	return gossip.New(gossip.Options{Members: members, Versions: keeper, Poison: poison.New()}), members, keeper
}

// FuzzNews gives a daemon whatever a peer may send: it must stay a member of its
// own fleet, and its version must never go back.
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
		news := &peerpb.News{}
		if proto.Unmarshal(body, news) != nil {
			return
		}
		g, members, keeper := newGossip()
		for range 2 {
			before := keeper.Current().Version
			if _, err := g.Exchange(context.Background(), news); err != nil {
				t.Fatal(err)
			}
			if keeper.Current().Version < before {
				t.Fatal("the version went back")
			}
		}
		if own := members.View().ByVM("vm-1"); own == nil || own.State == member.Down || own.Incarnation != "vm-1~1" {
			t.Fatalf("a peer's news changed the own entry to %v", own)
		}
	})
}

// TestBadVersionFromPeerIsNotApplied keeps the version in force when a peer's
// patch does not apply.
func TestBadVersionFromPeerIsNotApplied(t *testing.T) {
	g, _, keeper := newGossip()
	_, err := g.Exchange(context.Background(), &peerpb.News{Config: []*peerpb.ConfigVersion{
		{Number: 1, Patch: []byte(`{"organisations":{"o":{"weight":1}}}`), UnixMicros: time.Now().UnixMicro()},
		{Number: 2, Patch: []byte(`{"organisations":{"o":{"weight":-1}}}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if v := keeper.Current().Version; v != 1 {
		t.Fatalf("version %d is in force, want 1: the second does not apply", v)
	}
}
