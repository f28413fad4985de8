package discovery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/internal/silentconn"
	"bilberrymux/io/standin/rowstore"
	"bilberrymux/platform"
)

// stableWindow is the time after the end of a disturbance of the store by which each
// daemon must be up to date.
const stableWindow = 3 * time.Second

// configRow returns an encoded configuration with the given version and no routes.
func configRow(version int) []byte {
	return fmt.Appendf(nil, `{"version":"%08x"}`, version)
}

// follow runs FollowConfig until the test ends.
func follow(t *testing.T, w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.FollowConfig(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// waitForVersion waits until the watcher has a configuration version, and fails the test
// if that takes longer than limit.
func waitForVersion(t *testing.T, w *Watcher, version ident.Version, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for w.Catalog().Version < version {
		if time.Now().After(deadline) {
			t.Fatalf("configuration after %v: got version %d, want %d", limit, w.Catalog().Version, version)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestUnansweredFeedCallDoesNotDelayConfiguration(t *testing.T) {
	server, store := startStore(t)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	w := newTestWatcher(t, store)
	if err := w.ReadConfig(context.Background()); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(rowstore.Faults{Down: rowstore.Ignore})
	follow(t, w)
	time.Sleep(500 * time.Millisecond)
	server.SetFaults(rowstore.Faults{})
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	waitForVersion(t, w, 2, stableWindow)
}

func TestSilentStoreConnectionDoesNotDelayConfiguration(t *testing.T) {
	server, address, stop, err := rowstore.Start(rowstore.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	dialer := &silentconn.Dialer{}
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	w := newTestWatcher(t, platform.NewStore(address, dialer.Dial, func(string, string, time.Duration) {}))
	follow(t, w)
	waitForVersion(t, w, 1, stableWindow)
	time.Sleep(500 * time.Millisecond)
	dialer.Silence()
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	waitForVersion(t, w, 2, stableWindow)
}
