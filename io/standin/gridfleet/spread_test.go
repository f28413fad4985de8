package gridfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
	"bilberrymux/core/settings"
	"bilberrymux/io/netfault"
)

// The zone of TestSlowLinkOfReaderDoesNotDelayZone.
const (
	spreadDaemons = 12
	// spreadServers is the number of servers, which all begin to leave at once, and spreadRowBytes the size of
	// a padding in each of their rows. The list is as large as that of 430 servers, but needs less processor time.
	spreadServers  = 60
	spreadRowBytes = 1000
	// slowLinkBytesPerSecond is the bandwidth of the reader's link. The lists of all other daemons need
	// 2.8 s of it, as 28 lists do on the rest that other traffic leaves of a link of 10 Mbit/s.
	slowLinkBytesPerSecond = 280_000
	// spreadLimit is what is left of Bounds.Config for the zone's daemons when the first of them reads
	// the change after its usual period, 0.4 of the bound.
	spreadLimit = 1200 * time.Millisecond
)

// TestSlowLinkOfReaderDoesNotDelayZone guards against daemons that all fetch from the only one that reads
// the store, and so fill its link.
func TestSlowLinkOfReaderDoesNotDelayZone(t *testing.T) {
	rules, log := &netfault.Rules{}, &logBuffer{}
	f, err := Start(Options{
		Zones: []ident.ZoneID{"north"}, DaemonsPerZone: spreadDaemons, Rules: rules, Log: log,
		Adjust: func(s *settings.Edge) {
			// The first daemon has the most capacity, so that it is the one that reads.
			if s.VM == "north-1" {
				s.CPUShare = 1
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	for n := range spreadServers {
		f.putServer(n, "ready")
	}
	f.Configure(standardRoutes(), "reader", "booker")
	for _, d := range f.Daemons {
		eventually(t, "the daemon is up to date", func() bool { return isReady(d) && len(d.Edge.Servers()) == spreadServers })
	}
	reader := f.Daemons[0]
	cuts := []netfault.Rule{{From: reader.Edge.PeerAddress(), Link: "reader", BytesPerSecond: slowLinkBytesPerSecond}}
	for _, d := range f.Daemons[1:] {
		cuts = append(cuts, netfault.Rule{From: string(d.Settings.VM), To: f.Address, Drop: true})
	}
	rules.Set(append(cuts, netfault.Rule{From: string(reader.Settings.VM), To: f.Address, Drop: true}))
	for n := range spreadServers {
		f.putServer(n, "draining")
	}
	version := f.Configure(standardRoutes(), "reader", "booker")
	rules.Set(cuts)
	eventually(t, "the reader has the list", func() bool { return drainingCount(reader) == spreadServers })
	time.Sleep(spreadLimit)
	var late []string
	for _, d := range f.Daemons {
		if drainingCount(d) < spreadServers || uint64(d.Edge.Version()) < version {
			late = append(late, string(d.Settings.VM))
		}
	}
	if diff := cmp.Diff([]string(nil), late); diff != "" {
		t.Errorf("daemons that are behind %v after the first one has the changes (-want +got):\n%s\n%s", spreadLimit, diff, log.linesOf(late))
	}
}

// drainingCount returns how many servers a daemon knows to be draining.
func drainingCount(d *Daemon) int {
	n := 0
	for _, s := range d.Edge.Servers() {
		if s.Draining {
			n++
		}
	}
	return n
}

// putServer writes a row of a server that does not run.
func (f *Fleet) putServer(n int, state string) {
	padding := make([]byte, spreadRowBytes/2)
	rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(padding)
	f.Store.Put("servers", fmt.Sprintf("i-%08x%02x", n*2654435761%(1<<32), n%256), fmt.Appendf(nil,
		`{"service":"reader","address":"10.9.%d.%d:8242","zone":"north","version":"v1","capacity":3,"state":%q,"warmup_left_s":0.0,"sequence":%d,"born":%d,"padding":"%x"}`,
		n/250, n%250+1, state, 1000+n, 1753371236000+n, padding))
}
