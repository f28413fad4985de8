package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/standin/backendserver"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// BenchmarkVersionSpread reports the time until an accepted version is in force
// on all of 32 daemons, with the store there and lost at once.
func BenchmarkVersionSpread(b *testing.B) {
	for _, lost := range []bool{false, true} {
		b.Run(fmt.Sprintf("storeLost=%v", lost), func(b *testing.B) {
			f := benchFleet(b, 32)
			worst, i := time.Duration(0), 0
			for b.Loop() {
				i++
				took := spread(b, f, fmt.Sprintf(`{"organisations":{"o%d":{"weight":1}}}`, i), lost)
				worst = max(worst, took)
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

func benchFleet(b *testing.B, daemons int) *fleet.Fleet {
	b.Helper()
	f, err := fleet.Start(options(daemons))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	if err := f.WaitReady(patience); err != nil {
		b.Fatal(err)
	}
	return f
}

// spread submits a patch and returns the time until it is in force everywhere.
func spread(b *testing.B, f *fleet.Fleet, patch string, lost bool) time.Duration {
	b.Helper()
	base := f.Daemons[0].ConfigVersion()
	n, err := f.Daemons[int(base)%len(f.Daemons)].Versions().Submit(context.Background(), versions.Submission{
		ID: fmt.Sprint("v", base), Base: base, Patch: json.RawMessage(patch),
	})
	if err != nil {
		b.Fatal(err)
	}
	begin := time.Now()
	if lost {
		f.Table.SetFaults(table.Faults{Down: true})
		defer f.Table.SetFaults(table.Faults{})
	}
	for _, d := range f.Daemons {
		for d.ConfigVersion() < n {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begin)
}

// BenchmarkLeaving reports how long after the acceptance of a version that marks
// a server as leaving, or after the server's own sign, its last new request
// began.
func BenchmarkLeaving(b *testing.B) {
	for _, own := range []bool{false, true} {
		b.Run(fmt.Sprintf("ownSign=%v", own), func(b *testing.B) {
			worst := time.Duration(0)
			for b.Loop() {
				worst = max(worst, leave(b, own))
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

func leave(b *testing.B, own bool) time.Duration {
	b.Helper()
	f := benchFleet(b, 8)
	const server = ident.ServerID("orders-north-1")
	stop := make(chan struct{})
	defer close(stop)
	for w := range 8 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _, _ = get(f.Entries()[w])
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if own {
		f.Servers["orders"][server].SetFaults(backendserver.Faults{Draining: true})
	} else {
		spread(b, f, `{"services":{"orders":{"servers":{"orders-north-1":{"leaving":true}}}}}`, false)
	}
	begin, last := time.Now(), time.Duration(0)
	before := f.Servers["orders"][server].Received()
	for time.Since(begin) < 2*time.Second {
		if now := f.Servers["orders"][server].Received(); now != before {
			before, last = now, time.Since(begin)
		}
		time.Sleep(time.Millisecond)
	}
	return last
}
