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

// entry returns the entry of a VM in region r. The argument run is the start time and part of the
// incarnation.
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

// TestMergeIsCommutativeAndIdempotent merges the same entries into two tables, in different
// orders and with duplicates in one of them. Both tables must end with the same view; otherwise
// daemons that receive the same entries would disagree on the owners.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 30).Draw(t, "entries")
		a, b := member.New(entry(0, 1, 0, member.Live), nil), member.New(entry(0, 1, 0, member.Live), nil)
		for i := range updates {
			a.Merge(now, updates[i:i+1])
		}
		for _, i := range rapid.Permutation(indexes(len(updates))).Draw(t, "order") {
			b.Merge(now, updates[i:i+1])
			b.Merge(now, updates[i:i+1])
		}
		if a.View().Digest() != b.View().Digest() {
			t.Fatalf("views differ after merging the same entries (-first +second):\n%s", cmp.Diff(a.View().Entries, b.View().Entries))
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

// TestRemovalMovesOnlyOwnShards marks one daemon as down and checks that only the shards of that
// daemon change their owner. After the daemon has restarted, the incremental Assignment must
// agree with the owners computed from scratch.
func TestRemovalMovesOnlyOwnShards(t *testing.T) {
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
		removedVM := rapid.IntRange(1, n-1).Draw(t, "gone")
		table.Merge(now, []member.Entry{entry(removedVM, 1, 0, member.Down)})
		a.SetView(table.View())
		after := owners(table.View(), shards)
		for s, vm := range before {
			if vm != ident.VMID(fmt.Sprintf("vm-%d", removedVM)) && after[s] != vm {
				t.Fatalf("shard %v moved from %s to %s, want no move since only vm-%d went down", s, vm, after[s], removedVM)
			}
		}
		table.Merge(now, []member.Entry{entry(removedVM, 2, 0, member.Live)})
		a.SetView(table.View())
		checkAssignment(t, a, owners(table.View(), shards))
	})
}

// owners returns the owner of each shard, computed from scratch.
func owners(v *member.View, shards []ident.ShardID) map[ident.ShardID]ident.VMID {
	out := map[ident.ShardID]ident.VMID{}
	for _, s := range shards {
		out[s] = v.Owners("r", s.String(), 1)[0].VM
	}
	return out
}

// checkAssignment compares the owners in the assignment with the expected ones.
func checkAssignment(t *rapid.T, a *member.Assignment, want map[ident.ShardID]ident.VMID) {
	got := map[ident.ShardID]ident.VMID{}
	for _, vm := range want {
		for _, s := range a.Owned(vm) {
			got[s] = vm
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("owners in the assignment (-want +got):\n%s", diff)
	}
}

// TestRestartAfterClockStepBack restarts a daemon whose clock has stepped back behind the start
// of its former run. The new incarnation must supersede the former one in every table; otherwise
// the other daemons would keep considering it down.
func TestRestartAfterClockStepBack(t *testing.T) {
	other := member.New(entry(2, 1, 0, member.Live), nil)
	other.Merge(now, []member.Entry{entry(1, 9, 4, member.Down)})
	own := member.New(entry(1, 3, 0, member.Live), nil)
	if updates := own.Merge(now, []member.Entry{*other.View().ByVM("vm-1")}); len(updates) != 1 {
		t.Fatalf("Merge of the former run's entry returned %v, want one refuting entry", updates)
	}
	other.Merge(now, []member.Entry{own.Self()})
	if diff := cmp.Diff(own.Self(), *other.View().ByVM("vm-1")); diff != "" {
		t.Fatalf("entry in the other daemon's table (-want +got):\n%s", diff)
	}
	if updates := own.Merge(now, []member.Entry{entry(1, 9, 4, member.Down)}); updates != nil {
		t.Errorf("Merge of an outdated entry returned %v, want nothing", updates)
	}
}

// TestFalseDownReportIsRefuted marks a live daemon as down in the table of another daemon. After
// receiving the report, the daemon must produce an entry that supersedes it in the other table.
func TestFalseDownReportIsRefuted(t *testing.T) {
	self := entry(1, 1, 0, member.Live)
	own, other := member.New(self, nil), member.New(entry(2, 1, 0, member.Live), nil)
	other.Merge(now, []member.Entry{self})
	down, ok := other.MarkDown(now, self.Incarnation)
	if !ok {
		t.Fatal("MarkDown did not find the incarnation")
	}
	updates := own.Merge(now, []member.Entry{down})
	if len(updates) != 1 || updates[0].State != member.Live {
		t.Fatalf("refutation is %v, want one entry in state live", updates)
	}
	other.Merge(now, updates)
	if got := other.View().ByVM(self.VM).State; got != member.Live {
		t.Fatalf("state in the other daemon's table is %s after the refutation, want live", got)
	}
}

// TestLeavingIsNotRefuted checks that a daemon adopts the state Leaving from a received entry
// about itself. This state means that the platform is removing the VM, so it must not be refuted.
func TestLeavingIsNotRefuted(t *testing.T) {
	self := entry(1, 1, 0, member.Live)
	own := member.New(self, nil)
	leaving := self
	leaving.State = member.Leaving
	own.Merge(now, []member.Entry{leaving})
	if got := own.Self().State; got != member.Leaving {
		t.Fatalf("own state is %s, want leaving", got)
	}
}
