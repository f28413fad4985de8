package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
)

// member returns a ready daemon with the given number and incarnation in the zone.
func member(zone, n string, incarnation int64) Member {
	return Member{
		VM: ident.VMID(zone + n), Incarnation: ident.Incarnation(fmt.Sprint(zone, n, "~", incarnation)), Zone: ident.ZoneID(zone),
		Ready: true, Capacity: 0.3,
	}
}

func vmIDs(ms []Member) []ident.VMID {
	var out []ident.VMID
	for _, m := range ms {
		out = append(out, m.VM)
	}
	return out
}

// TestSilentDaemonIsDownUntilNextMessage checks that a daemon of the same zone is marked as
// down only after SilenceTimeout, and that its next message is reported as a change.
func TestSilentDaemonIsDownUntilNextMessage(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	table.RecordMessage(now, member("b", "1", 1))
	if down := table.Expire(now.Add(SilenceTimeout)); down != nil {
		t.Errorf("marked as down before the timeout: %v, want none", vmIDs(down))
	}
	late := now.Add(SilenceTimeout + time.Millisecond)
	if diff := cmp.Diff([]ident.VMID{"a2"}, vmIDs(table.Expire(late))); diff != "" {
		t.Errorf("daemons marked as down (-want +got):\n%s", diff)
	}
	if live := table.Live(); live != nil {
		t.Errorf("live daemons: %v, want none", vmIDs(live))
	}
	if !table.RecordMessage(late, member("a", "2", 1)) {
		t.Error("message of a daemon that was down: RecordMessage returned false, want true")
	}
}

// TestPreviousIncarnationIsIgnored checks that late messages of a previous incarnation, and
// reports about it, change nothing after a message of the next incarnation.
func TestPreviousIncarnationIsIgnored(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	if !table.RecordMessage(now, member("a", "2", 2)) {
		t.Error("message of a new incarnation: RecordMessage returned false, want true")
	}
	for range 2 {
		if table.RecordMessage(now, member("a", "2", 1)) || table.AddReported(member("a", "2", 1)) || table.AddReported(member("a", "2", 3)) {
			t.Error("a late message or a report about a live daemon was accepted, want it ignored")
		}
		if diff := cmp.Diff(member("a", "2", 2), table.Live()[0]); diff != "" {
			t.Errorf("state of the live daemon (-want +got):\n%s", diff)
		}
		// The same holds after the second incarnation is marked as down.
		table.Expire(now.Add(2 * SilenceTimeout))
		if table.AddReported(member("a", "2", 1)) {
			t.Error("a report of the previous incarnation was accepted while the daemon is down, want it ignored")
		}
		table.RecordMessage(now, member("a", "2", 2))
	}
}

// TestReportedIncarnationReplacesDownOne checks that a reported incarnation replaces one
// that is marked as down.
func TestReportedIncarnationReplacesDownOne(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	table.Expire(now.Add(2 * SilenceTimeout))
	if !table.AddReported(member("a", "2", 2)) {
		t.Error("report of the next incarnation: AddReported returned false, want true")
	}
	if diff := cmp.Diff([]Member{member("a", "2", 2)}, table.Peers()); diff != "" {
		t.Errorf("known daemons of the zone (-want +got):\n%s", diff)
	}
}

// TestOwnersAgree checks that daemons with the same view compute the same owners, and that
// the loss of a daemon changes the owners of only those hosts that it owned.
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
	movedUnnecessarily, ownedByLost := 0, 0
	for host := range 200 {
		key := fmt.Sprint("host", host)
		want := vmIDs(view(0, -1).Owners(key, 2, 2))
		if diff := cmp.Diff(want, vmIDs(view(7, -1).Owners(key, 2, 2))); diff != "" {
			t.Fatalf("owners computed by another daemon (-want +got):\n%s", diff)
		}
		after := vmIDs(view(0, 5).Owners(key, 2, 2))
		if want[0] == "a5" || want[1] == "a5" {
			ownedByLost++
		} else if !cmp.Equal(want, after) {
			movedUnnecessarily++
		}
	}
	if movedUnnecessarily > 0 || ownedByLost == 0 {
		t.Errorf("%d hosts that the lost daemon did not own changed owners, want 0; it owned %d hosts, want more than 0", movedUnnecessarily, ownedByLost)
	}
}

// TestOwnersByCapacity checks that each VM owns hosts in proportion to its capacity.
func TestOwnersByCapacity(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(member("a", "1", 1))
	larger := member("a", "2", 1)
	larger.Capacity = 0.9
	table.RecordMessage(now, larger)
	first := 0
	for host := range 2000 {
		if table.Owners(fmt.Sprint(host), 1, 1)[0].VM == "a2" {
			first++
		}
	}
	if first < 1400 || first > 1600 {
		t.Errorf("the VM with three quarters of the capacity owns %d of 2000 hosts, want 1400 to 1600", first)
	}
}

// TestRankOrder checks that each daemon has a distinct rank, that the VM with the highest
// capacity comes first, and that a daemon comes last as soon as it is not ready.
func TestRankOrder(t *testing.T) {
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
		t.Errorf("ranks %v, want 0 for the second daemon and 1 and 2 for the others", got)
	}
	all[1].Ready = false
	if got := ranks(); got[1] != 2 || got[0]+got[2] != 1 {
		t.Errorf("ranks %v while the second daemon is not ready, want 2 for it and 0 and 1 for the others", got)
	}
}

// TestUnreadyDaemonOwnsOnlyAlone checks that a daemon that is not ready is an owner only if
// no daemon of the zone is ready.
func TestUnreadyDaemonOwnsOnlyAlone(t *testing.T) {
	self := member("a", "1", 1)
	self.Ready = false
	table := New(self)
	if diff := cmp.Diff([]ident.VMID{"a1"}, vmIDs(table.Owners("h", 2, 2))); diff != "" {
		t.Errorf("owners without a ready daemon (-want +got):\n%s", diff)
	}
	table.RecordMessage(time.Unix(1, 0), member("a", "2", 1))
	if diff := cmp.Diff([]ident.VMID{"a2"}, vmIDs(table.Owners("h", 2, 2))); diff != "" {
		t.Errorf("owners with one ready daemon (-want +got):\n%s", diff)
	}
}

// TestGatewaysOfOtherZones checks the number of gateways of each other zone.
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
		t.Errorf("gateways per zone (-want +got):\n%s", diff)
	}
}

// TestWeakDaemonsGetNoCallersBesideStrongOnes checks that a host has only its strong daemons as owners
// while these are enough, since each owner gets the same share of the callers. Without a second strong
// daemon a share is smaller the more daemons are owners.
func TestWeakDaemonsGetNoCallersBesideStrongOnes(t *testing.T) {
	now := time.Unix(0, 0)
	table := New(Member{VM: "s1", Zone: "a", Capacity: 0.8, Ready: true})
	table.RecordMessage(now, Member{VM: "s2", Incarnation: "1", Zone: "a", Capacity: 0.8, Ready: true})
	for i := range 20 {
		table.RecordMessage(now, Member{VM: ident.VMID(fmt.Sprint("w", i)), Incarnation: "1", Zone: "a", Capacity: 0.04, Ready: true})
	}
	load := func(owners []Member) float64 {
		greatest := 0.0
		for _, m := range owners {
			greatest = max(greatest, 1/float64(len(owners))/m.Capacity)
		}
		return greatest
	}
	for host := range 50 {
		owners := table.Owners(fmt.Sprint(host), 7, 2)
		if len(owners) < 2 || load(owners) > 1/(7*0.04) {
			t.Errorf("host %d: got owners %v with load %.2f, want at most that of seven weak daemons", host, vmIDs(owners), load(owners))
		}
		if owners[0].Capacity == 0.8 && owners[1].Capacity == 0.8 && len(owners) > 2 {
			t.Errorf("host %d: got owners %v, want only the strong daemons", host, vmIDs(owners))
		}
	}
	if diff := cmp.Diff(7, len(view20(now).Owners("h", 7, 2))); diff != "" {
		t.Errorf("equal daemons (-want +got):\n%s", diff)
	}
}

// view20 returns the table of a zone of 20 equal daemons.
func view20(now time.Time) *Table {
	table := New(Member{VM: "d0", Zone: "a", Capacity: 0.3, Ready: true})
	for i := 1; i < 20; i++ {
		table.RecordMessage(now, Member{VM: ident.VMID(fmt.Sprint("d", i)), Incarnation: "1", Zone: "a", Capacity: 0.3, Ready: true})
	}
	return table
}

func TestHeardCountsDaemonsOfTheZoneThatSentMessages(t *testing.T) {
	table, now := New(member("a", "1", 1)), time.Unix(100, 0)
	table.RecordMessage(now, member("a", "2", 1))
	table.RecordMessage(now.Add(30*time.Second), member("a", "3", 1))
	table.RecordMessage(now, member("b", "1", 1))
	table.AddReported(member("a", "4", 1))
	for age, want := range map[time.Duration]int{31 * time.Second: 2, 60 * time.Second: 2, 61 * time.Second: 1, 91 * time.Second: 0} {
		if got := table.Heard(now.Add(age), time.Minute); got != want {
			t.Errorf("daemons heard in the minute before %v: got %d, want %d", age, got, want)
		}
	}
}
