package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrymux/core/ident"
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

// silentConn is a connection whose incoming bytes are lost once silent is true.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func TestSilentStoreConnectionDoesNotDelayConfiguration(t *testing.T) {
	server, address, stop, err := rowstore.Start(rowstore.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	silent := &atomic.Bool{}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || silent.Load() {
			return c, err
		}
		return &silentConn{c, silent}, nil
	}
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	w := newTestWatcher(t, platform.NewStore(address, dial, func(string, string) {}))
	follow(t, w)
	waitForVersion(t, w, 1, stableWindow)
	time.Sleep(500 * time.Millisecond)
	silent.Store(true)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	waitForVersion(t, w, 2, stableWindow)
}
