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

// BenchmarkVersionSpread reports the longest time until an accepted configuration version is in force
// on all of 32 daemons, with the store available and with the store lost right after the acceptance.
func BenchmarkVersionSpread(b *testing.B) {
	for _, storeLost := range []bool{false, true} {
		b.Run(fmt.Sprintf("storeLost=%v", storeLost), func(b *testing.B) {
			f := benchFleet(b, 32)
			worst, i := time.Duration(0), 0
			for b.Loop() {
				i++
				took := propagationTime(b, f, fmt.Sprintf(`{"organisations":{"o%d":{"weight":1}}}`, i), storeLost)
				worst = max(worst, took)
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// benchFleet starts a fleet with the given number of daemons and waits until it is ready.
func benchFleet(b *testing.B, daemons int) *fleet.Fleet {
	b.Helper()
	f, err := fleet.Start(options(daemons))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	if err := f.WaitReady(waitTimeout); err != nil {
		b.Fatal(err)
	}
	return f
}

// propagationTime submits a patch and returns the time from its acceptance until it is in force on
// all daemons. If storeLost is set, the store is unavailable during that time.
func propagationTime(b *testing.B, f *fleet.Fleet, patch string, storeLost bool) time.Duration {
	b.Helper()
	base := f.Daemons[0].ConfigVersion()
	n, err := f.Daemons[int(base)%len(f.Daemons)].Versions().Submit(context.Background(), versions.Submission{
		ID: fmt.Sprint("v", base), Base: base, Patch: json.RawMessage(patch),
	})
	if err != nil {
		b.Fatal(err)
	}
	begin := time.Now()
	if storeLost {
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

// BenchmarkLeaving reports the longest time until a leaving server gets its last new request. The time
// starts when a configuration version that marks the server as leaving has reached all daemons, or
// when the server itself begins to signal that it is draining.
func BenchmarkLeaving(b *testing.B) {
	for _, ownSignal := range []bool{false, true} {
		b.Run(fmt.Sprintf("ownSign=%v", ownSignal), func(b *testing.B) {
			worst := time.Duration(0)
			for b.Loop() {
				worst = max(worst, timeToLastRequest(b, ownSignal))
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// timeToLastRequest returns the time until the last new request at the leaving server within 2 s. If
// ownSignal is set, the server signals that it is draining, otherwise a version marks it as leaving.
func timeToLastRequest(b *testing.B, ownSignal bool) time.Duration {
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
					_, _, _ = timedGet(f.Entries()[w])
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if ownSignal {
		f.Servers["orders"][server].SetFaults(backendserver.Faults{Draining: true})
	} else {
		propagationTime(b, f, `{"services":{"orders":{"servers":{"orders-north-1":{"leaving":true}}}}}`, false)
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
