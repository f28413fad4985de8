package discovery

import (
	"context"
	"testing"
	"time"

	"bilberrymux/io/standin/rowstore"
	"bilberrymux/platform"
)

func TestSlowAnswersDoNotMakeDataLookFresh(t *testing.T) {
	server, store := startStore(t)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	server.Put(platform.TableServers, "1", rowOf(1, 0))
	const delay = 400 * time.Millisecond
	server.SetFaults(rowstore.Faults{DelayMillis: int(delay.Milliseconds())})
	w := newTestWatcher(t, store)
	for _, read := range []func(context.Context) error{w.ReadConfig, w.ReadServers} {
		if err := read(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.pollConfig(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	config, servers := w.Ages(time.Now())
	if config < delay || servers < 2*delay {
		t.Errorf("ages after reads that took %v: got %v for the configuration and %v for the list, want at least one and two reads", delay, config, servers)
	}
}

func TestFeedThatWasHeldOpenConfirmsItsEnd(t *testing.T) {
	started := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		took, wait time.Duration
		changed    bool
		want       time.Duration
	}{
		{"held until its end", 800 * time.Millisecond, 800 * time.Millisecond, false, 800 * time.Millisecond},
		{"answered late", 2 * time.Second, 800 * time.Millisecond, false, 800 * time.Millisecond},
		{"answered early", 100 * time.Millisecond, 800 * time.Millisecond, false, 100 * time.Millisecond},
		{"with a change", 500 * time.Millisecond, 800 * time.Millisecond, true, 0},
		{"not held", 300 * time.Millisecond, 0, false, 0},
	} {
		if got := feedReadAt(started, started.Add(test.took), test.wait, test.changed).Sub(started); got != test.want {
			t.Errorf("%s: read %v after the start of the call, want %v", test.name, got, test.want)
		}
	}
}

// TestCallsSlowerThanPatienceAreOfUse guards against a store or a link on which no call ever ends in time.
func TestCallsSlowerThanPatienceAreOfUse(t *testing.T) {
	server, store := startStore(t)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	server.Put(platform.TableServers, "1", rowOf(1, 0))
	server.SetFaults(rowstore.Faults{DelayMillis: int((configPatience + 300*time.Millisecond).Milliseconds())})
	w := newTestWatcher(t, store)
	follow(t, w)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		w.FollowServers(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	deadline := time.Now().Add(stableWindow)
	waitForVersion(t, w, 1, stableWindow)
	for len(w.Roster().Servers()) != 1 {
		if time.Now().After(deadline) {
			t.Fatal("the list of servers was not read by calls that are slower than the patience")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
