package discovery

import (
	"context"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/news"
	"bilberrymux/platform"
)

// TestDatagramsBringWhatPeerLacks guards against peers that stay behind since they can't open connections.
func TestDatagramsBringWhatPeerLacks(t *testing.T) {
	server, store := startStore(t)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	server.Put(platform.TableServers, "1", rowOf(1, 0))
	ahead, behind := newTestWatcher(t, store), newTestWatcher(t, store)
	read := func(w *Watcher) {
		if err := w.ReadConfig(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := w.ReadServers(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	read(ahead)
	s, _ := ahead.StateFor(&news.StateRequest{})
	behind.ApplyState(time.Now(), s, "ahead")
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	server.Put(platform.TableServers, "2", rowOf(2, 0))
	read(ahead)
	now := time.Now()
	var m news.Message
	behind.SetVersions(now, &m)
	if _, lacks := ahead.DataAge(now, &m); !lacks {
		t.Fatal("DataAge: a peer that is behind lacks nothing")
	}
	behind.ApplyPayload(now, ahead.PayloadFor(&m), 0, 0, "ahead")
	if got := behind.Catalog().Version; got != ident.Version(2) {
		t.Errorf("version: got %d, want 2", got)
	}
	if got := len(behind.Roster().Servers()); got != 2 {
		t.Errorf("servers: got %d, want 2", got)
	}
	behind.SetVersions(now, &m)
	if _, lacks := ahead.DataAge(now, &m); lacks {
		t.Error("DataAge: a peer that is up to date lacks something")
	}
}
