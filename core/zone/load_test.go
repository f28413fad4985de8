package zone

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrymux/core/ident"
)

// The load that TestUploadsReachDaemonsInTime plays: the uploads of a zone, each read and passed on over
// the link of the daemon that its caller has chosen among the owners of the host.
const (
	uploadsPerSecond = 65.0
	uploadBytes      = 60_000
	playedUploads    = 20_000
	strongMbps       = 200.0
	weakMbps         = 10.0
	// maxUploadDelay is an eighth of the target latency of a request with a target of one second.
	maxUploadDelay = 125 * time.Millisecond
)

// unequalZone returns the table of a zone with some strong daemons and 27 weak ones. The capacity of
// a daemon follows its link.
func unequalZone(now time.Time, strong int) (*Table, map[ident.VMID]float64) {
	mbps := map[ident.VMID]float64{}
	table := New(Member{VM: "w0", Zone: "a", Capacity: weakMbps / 250, Ready: true})
	mbps["w0"] = weakMbps
	add := func(vm ident.VMID, link float64) {
		mbps[vm] = link
		table.RecordMessage(now, Member{VM: vm, Incarnation: "1", Zone: "a", Capacity: link / 250, Ready: true})
	}
	for i := range strong {
		add(ident.VMID(fmt.Sprint("s", i)), strongMbps)
	}
	for i := 1; i < 27; i++ {
		add(ident.VMID(fmt.Sprint("w", i)), weakMbps)
	}
	return table, mbps
}

// playUploads returns how long the uploads take on the links of the owners, in ascending order.
func playUploads(owners []Member, mbps map[ident.VMID]float64, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	free := map[ident.VMID]time.Duration{}
	var at time.Duration
	var delays []time.Duration
	for range playedUploads {
		at += time.Duration(random.ExpFloat64() / uploadsPerSecond * float64(time.Second))
		vm := owners[random.IntN(len(owners))].VM
		bits := random.ExpFloat64() * uploadBytes * 8
		free[vm] = max(free[vm], at) + time.Duration(bits/mbps[vm]*float64(time.Microsecond))
		delays = append(delays, free[vm]-at)
	}
	slices.Sort(delays)
	return delays
}

// TestUploadsReachDaemonsInTime plays a burst of uploads in a zone of unequal daemons, and checks what
// callers get: 99 of 100 uploads must reach their daemon within maxUploadDelay.
func TestUploadsReachDaemonsInTime(t *testing.T) {
	table, mbps := unequalZone(time.Unix(0, 0), 2)
	for host := range 20 {
		owners := table.Owners(fmt.Sprint(host), 7, 2)
		delays := playUploads(owners, mbps, uint64(host))
		if d := delays[len(delays)*99/100]; d > maxUploadDelay {
			t.Errorf("host %d: 99%% of uploads reach owners %v within %s, want %s", host, vmIDs(owners), d, maxUploadDelay)
		}
	}
}
