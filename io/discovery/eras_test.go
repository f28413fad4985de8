package discovery

import (
	"context"
	"fmt"
	"testing"

	"bilberrymux/io/standin/rowstore"
	"bilberrymux/platform"
)

// Ranges of the writes that a store loses, and of those that it gets before a daemon's next call.
const (
	maxLostWrites  = 10
	maxAgainWrites = 14
)

// reportOf returns the encoded row of server n, started at the given time.
func reportOf(n int, state string, sequence, startMillis int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.%d:1","zone":"z","version":"v","capacity":2,"state":%q,"warmup_left_s":0,"sequence":%d,"born":%d}`, n, state, sequence, startMillis)
}

// writeReports writes the row of server 1 a number of times.
func writeReports(server *rowstore.Server, sequence *int, times int) {
	for range times {
		*sequence++
		server.Put(platform.TableServers, "1", reportOf(1, "ready", *sequence, 1))
	}
}

// poll polls the configuration as a daemon does: a failed call is followed by another one.
func poll(w *Watcher) {
	for range 2 {
		if w.pollConfig(context.Background(), 0) == nil {
			return
		}
	}
}

// TestVersionConfirmedAfterStoreReturnedIsInForce guards against a configuration that no daemon learns of, since the store
// came back from a copy and has given out the number from which a daemon asks for changes again. It varies what was
// lost, how much is written before the daemon asks, and when the configuration is.
func TestVersionConfirmedAfterStoreReturnedIsInForce(t *testing.T) {
	missed := 0
	for lost := range maxLostWrites {
		for again := range maxAgainWrites {
			for _, before := range []int{0, again / 2, again} {
				server, store := startStore(t)
				sequence := 0
				writeReports(server, &sequence, 3)
				server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
				saved := server.Copy()
				writeReports(server, &sequence, lost)
				w := newTestWatcher(t, store)
				poll(w)
				poll(w)
				server.Restore(saved)
				writeReports(server, &sequence, before)
				server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
				writeReports(server, &sequence, again-before)
				poll(w)
				if got := w.Catalog().Version; got != 2 {
					missed++
					t.Logf("%d writes lost, %d again, the configuration after %d of them: got version %d", lost, again, before, got)
				}
			}
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d versions missed", missed, 3*maxLostWrites*maxAgainWrites)
	}
}
