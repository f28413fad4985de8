package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
)

var now = time.Unix(1_800_000_000, 0)

func entry(vm int, run int64, seq uint64, state member.State) member.Entry {
	id := ident.VMID(fmt.Sprintf("vm-%d", vm))
	return member.Entry{
		VM: id, Incarnation: ident.Incarnation(fmt.Sprintf("%s~%d", id, run)), Region: "r",
		State: state, Sequence: seq, Started: run,
	}
}

func drawEntry(t *rapid.T) member.Entry {
	state := rapid.SampledFrom([]member.State{member.Live, member.Leaving, member.Down}).Draw(t, "state")
	return entry(rapid.IntRange(1, 4).Draw(t, "vm"), rapid.Int64Range(1, 3).Draw(t, "run"), uint64(rapid.IntRange(0, 2).Draw(t, "seq")), state)
}

// TestMergeOrderDoesNotMatter gives the same news to two tables in different
// orders and with repeats; both must see the same fleet.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "news")
		a, b := member.New(entry(0, 1, 0, member.Live), nil), member.New(entry(0, 1, 0, member.Live), nil)
		for i := range news {
			a.Merge(now, news[i:i+1])
		}
		for _, i := range rapid.Permutation(indexes(len(news))).Draw(t, "order") {
			b.Merge(now, news[i:i+1])
			b.Merge(now, news[i:i+1])
		}
		if a.View().Digest() != b.View().Digest() {
			t.Fatalf("views differ:\n%s", cmp.Diff(a.View().Entries, b.View().Entries))
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestOwnersMoveLittle removes one daemon: only its own shards may move. The
// incremental assignment must agree with a fresh computation.
func TestOwnersMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "daemons")
		table := member.New(entry(0, 1, 0, member.Live), nil)
		for i := 1; i < n; i++ {
			table.Merge(now, []member.Entry{entry(i, 1, 0, member.Live)})
		}
		var shards []ident.ShardID
		for i := range 50 {
			shards = append(shards, ident.ShardID{Service: ident.ServiceID(fmt.Sprint("s", i)), Region: "r"})
		}
		a := member.NewAssignment("r")
		a.SetShards(table.View(), shards)
		a.SetView(table.View())
		before := owners(table.View(), shards)
		gone := rapid.IntRange(1, n-1).Draw(t, "gone")
		table.Merge(now, []member.Entry{entry(gone, 1, 0, member.Down)})
		a.SetView(table.View())
		after := owners(table.View(), shards)
		for s, vm := range before {
			if vm != ident.VMID(fmt.Sprintf("vm-%d", gone)) && after[s] != vm {
				t.Fatalf("%v moved from %s to %s though %d went", s, vm, after[s], gone)
			}
		}
		table.Merge(now, []member.Entry{entry(gone, 2, 0, member.Live)})
		a.SetView(table.View())
		checkAssignment(t, a, owners(table.View(), shards))
	})
}

func owners(v *member.View, shards []ident.ShardID) map[ident.ShardID]ident.VMID {
	out := map[ident.ShardID]ident.VMID{}
	for _, s := range shards {
		out[s] = v.Owners("r", s.String(), 1)[0].VM
	}
	return out
}

func checkAssignment(t *rapid.T, a *member.Assignment, want map[ident.ShardID]ident.VMID) {
	got := map[ident.ShardID]ident.VMID{}
	for _, vm := range want {
		for _, s := range a.Owned(vm) {
			got[s] = vm
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("assignment (-want +got):\n%s", diff)
	}
}

// TestRestartAfterTheClockWentBack starts a daemon whose clock is behind that of
// its former run: it must supersede that run everywhere.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	other := member.New(entry(2, 1, 0, member.Live), nil)
	other.Merge(now, []member.Entry{entry(1, 9, 4, member.Down)})
	own := member.New(entry(1, 3, 0, member.Live), nil)
	if news := own.Merge(now, []member.Entry{*other.View().ByVM("vm-1")}); len(news) != 1 {
		t.Fatalf("news %v", news)
	}
	other.Merge(now, []member.Entry{own.Self()})
	if diff := cmp.Diff(own.Self(), *other.View().ByVM("vm-1")); diff != "" {
		t.Fatal(diff)
	}
	if news := own.Merge(now, []member.Entry{entry(1, 9, 4, member.Down)}); news != nil {
		t.Errorf("old news is answered again: %v", news)
	}
}

// TestWrongNewsIsRefuted lets a daemon hear that it is down: it must come back
// with a state that supersedes that news everywhere.
func TestWrongNewsIsRefuted(t *testing.T) {
	self := entry(1, 1, 0, member.Live)
	own, other := member.New(self, nil), member.New(entry(2, 1, 0, member.Live), nil)
	other.Merge(now, []member.Entry{self})
	down, ok := other.MarkDown(now, self.Incarnation)
	if !ok {
		t.Fatal("the daemon was not known")
	}
	news := own.Merge(now, []member.Entry{down})
	if len(news) != 1 || news[0].State != member.Live {
		t.Fatalf("refutation is %v", news)
	}
	other.Merge(now, news)
	if got := other.View().ByVM(self.VM).State; got != member.Live {
		t.Fatalf("the other daemon sees %s after the refutation", got)
	}
}

// TestLeavingIsNotRefuted lets the platform take a VM away.
func TestLeavingIsNotRefuted(t *testing.T) {
	self := entry(1, 1, 0, member.Live)
	own := member.New(self, nil)
	leaving := self
	leaving.State = member.Leaving
	own.Merge(now, []member.Entry{leaving})
	if got := own.Self().State; got != member.Leaving {
		t.Fatalf("state %s, want leaving", got)
	}
}
