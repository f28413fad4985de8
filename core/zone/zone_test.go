package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
)

func member(zone, n string, run int64) Member {
	return Member{
		VM: ident.VMID(zone + n), Incarnation: ident.Incarnation(fmt.Sprint(zone, n, "~", run)), Zone: ident.ZoneID(zone),
		Ready: true, Capacity: 0.3,
	}
}

func names(ms []Member) []ident.VMID {
	var out []ident.VMID
	for _, m := range ms {
		out = append(out, m.VM)
	}
	return out
}

func TestSilentDaemonIsDownUntilHeardAgain(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	table.RecordMessage(now, member("b", "1", 1))
	if gone := table.Expire(now.Add(SilenceTimeout)); gone != nil {
		t.Errorf("gone too soon: %v", names(gone))
	}
	late := now.Add(SilenceTimeout + time.Millisecond)
	if diff := cmp.Diff([]ident.VMID{"a2"}, names(table.Expire(late))); diff != "" {
		t.Error(diff)
	}
	if live := table.Live(); live != nil {
		t.Errorf("live: %v", names(live))
	}
	if !table.RecordMessage(late, member("a", "2", 1)) {
		t.Error("a daemon that is heard again is no news")
	}
}

// TestFormerIncarnationIsNotBelieved checks that what a former run of a daemon
// said, or others say of it, changes nothing once the next run was heard.
func TestFormerIncarnationIsNotBelieved(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	if !table.RecordMessage(now, member("a", "2", 2)) {
		t.Error("a new incarnation is no news")
	}
	for range 2 {
		if table.RecordMessage(now, member("a", "2", 1)) || table.AddReported(member("a", "2", 1)) || table.AddReported(member("a", "2", 3)) {
			t.Error("what is late or second-hand is believed")
		}
		if diff := cmp.Diff(member("a", "2", 2), table.Live()[0]); diff != "" {
			t.Error(diff)
		}
		// The same holds once the second run fell silent.
		table.Expire(now.Add(2 * SilenceTimeout))
		if table.AddReported(member("a", "2", 1)) {
			t.Error("a former run is believed while the daemon is silent")
		}
		table.RecordMessage(now, member("a", "2", 2))
	}
}

// TestSilentDaemonIsLearnedAnew checks that a run which others tell of takes the
// place of one that is silent.
func TestSilentDaemonIsLearnedAnew(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	table.Expire(now.Add(2 * SilenceTimeout))
	if !table.AddReported(member("a", "2", 2)) {
		t.Error("the next run is not learned")
	}
	if diff := cmp.Diff([]Member{member("a", "2", 2)}, table.Peers()); diff != "" {
		t.Error(diff)
	}
}

// TestOwnersAgree checks that all daemons with the same view name the same
// owners, that those who are not ready are left out, and that the loss of one
// moves only its own hosts.
func TestOwnersAgree(t *testing.T) {
	now := time.Unix(100, 0)
	var all []Member
	for n := range 12 {
		all = append(all, member("a", fmt.Sprint(n), 1))
	}
	view := func(self int, without int) *Table {
		table := New(all[self])
		for i, m := range all {
			if i != without {
				table.RecordMessage(now, m)
			}
		}
		return table
	}
	moved, lost := 0, 0
	for host := range 200 {
		key := fmt.Sprint("host", host)
		want := names(view(0, -1).Owners(key, 2))
		if diff := cmp.Diff(want, names(view(7, -1).Owners(key, 2))); diff != "" {
			t.Fatal(diff)
		}
		after := names(view(0, 5).Owners(key, 2))
		if want[0] == "a5" || want[1] == "a5" {
			lost++
		} else if !cmp.Equal(want, after) {
			moved++
		}
	}
	if moved > 0 || lost == 0 {
		t.Errorf("%d hosts moved without need, %d were lost", moved, lost)
	}
}

func TestOwnersByCapacity(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(member("a", "1", 1))
	strong := member("a", "2", 1)
	strong.Capacity = 0.9
	table.RecordMessage(now, strong)
	first := 0
	for host := range 2000 {
		if table.Owners(fmt.Sprint(host), 1)[0].VM == "a2" {
			first++
		}
	}
	if first < 1400 || first > 1600 {
		t.Errorf("the VM with three quarters of the capacity owns %d of 2000 hosts", first)
	}
}

// TestReadersHandOverAtOnce checks the order of readers: each daemon has a place of
// its own, strong VMs come first, and one that stops goes last.
func TestReadersHandOverAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	all := []Member{member("a", "1", 1), member("a", "2", 1), member("a", "3", 1)}
	all[1].Capacity = 0.9
	ranks := func() []int {
		var out []int
		for i := range all {
			table := New(all[i])
			for _, m := range all {
				table.RecordMessage(now, m)
			}
			out = append(out, table.Rank("reader"))
		}
		return out
	}
	if got := ranks(); got[1] != 0 || got[0]+got[2] != 3 {
		t.Errorf("ranks %v", got)
	}
	all[1].Ready = false
	if got := ranks(); got[1] != 2 || got[0]+got[2] != 1 {
		t.Errorf("ranks while the strongest stops: %v", got)
	}
}

func TestUnreadyDaemonStandsInAlone(t *testing.T) {
	self := member("a", "1", 1)
	self.Ready = false
	table := New(self)
	if diff := cmp.Diff([]ident.VMID{"a1"}, names(table.Owners("h", 2))); diff != "" {
		t.Error(diff)
	}
	table.RecordMessage(time.Unix(1, 0), member("a", "2", 1))
	if diff := cmp.Diff([]ident.VMID{"a2"}, names(table.Owners("h", 2))); diff != "" {
		t.Error(diff)
	}
}

func TestGatewaysOfOtherZones(t *testing.T) {
	table := New(member("a", "1", 1))
	for _, m := range []Member{member("a", "2", 1), member("b", "1", 1), member("b", "2", 1), member("b", "3", 1), member("c", "1", 1)} {
		table.AddReported(m)
	}
	zones := map[ident.ZoneID]int{}
	for _, m := range table.Gateways(2) {
		zones[m.Zone]++
	}
	if diff := cmp.Diff(map[ident.ZoneID]int{"b": 2, "c": 1}, zones); diff != "" {
		t.Error(diff)
	}
}
