package discovery

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/io/news"
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

// mustRead reads the list of servers.
func mustRead(t *testing.T, w *Watcher) {
	t.Helper()
	if err := w.ReadServers(context.Background()); err != nil {
		t.Fatal(err)
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

// TestServerThatLeavesAfterStoreReturnedGetsNoWork guards against a list that takes no changes until the store has given
// out as many versions as it lost.
func TestServerThatLeavesAfterStoreReturnedGetsNoWork(t *testing.T) {
	missed := 0
	for lost := range maxLostWrites {
		for again := range maxAgainWrites {
			server, store := startStore(t)
			sequence := 0
			writeReports(server, &sequence, 3)
			server.Put(platform.TableServers, "2", reportOf(2, "ready", 1, 1))
			saved := server.Copy()
			writeReports(server, &sequence, lost)
			w := newTestWatcher(t, store)
			mustRead(t, w)
			server.Restore(saved)
			writeReports(server, &sequence, again)
			server.Put(platform.TableServers, "2", reportOf(2, "draining", 2, 1))
			mustRead(t, w)
			if !w.Roster().Find("2").Draining {
				missed++
				t.Logf("%d writes lost, %d again: the server that leaves is still used", lost, again)
			}
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d leaving servers missed", missed, maxLostWrites*maxAgainWrites)
	}
}

// TestCopyDoesNotBringServersBack guards against requests to servers that had left, or were about to, when the store came
// back from a copy in which they are ready.
func TestCopyDoesNotBringServersBack(t *testing.T) {
	server, store := startStore(t)
	reader, peer := newTestWatcher(t, store), newTestWatcher(t, store)
	exchange := func() {
		t.Helper()
		mustRead(t, reader)
		list := peer.Roster().Revision
		s, _ := reader.StateFor(&news.StateRequest{Revision: list.Number, Era: list.Era})
		peer.ApplyState(time.Now(), s, "reader")
	}
	for n := range 4 {
		server.Put(platform.TableServers, fmt.Sprint(n), reportOf(n, "ready", 5, 1))
	}
	saved := server.Copy()
	exchange()
	server.Put(platform.TableServers, "1", reportOf(1, "draining", 6, 1))
	server.Delete(platform.TableServers, "2")
	exchange()
	server.Restore(saved)
	check := func(when string, want map[ident.ServerID]string) {
		t.Helper()
		exchange()
		for name, w := range map[string]*Watcher{"reader": reader, "peer": peer} {
			got := map[ident.ServerID]string{}
			for _, s := range w.Roster().Servers() {
				got[s.ID] = map[bool]string{true: "draining", false: "ready"}[s.Draining]
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s, servers of the %s (-want +got):\n%s", when, name, diff)
			}
		}
	}
	check("from the copy", map[ident.ServerID]string{"0": "ready", "1": "draining", "3": "ready"})
	server.Put(platform.TableServers, "0", reportOf(0, "ready", 6, 1))
	check("after a write of another server", map[ident.ServerID]string{"0": "ready", "1": "draining", "3": "ready"})
	server.Put(platform.TableServers, "2", reportOf(2, "ready", 1, 2))
	server.Put(platform.TableServers, "1", reportOf(1, "draining", 7, 1))
	check("after a new start of the server that had left", map[ident.ServerID]string{"0": "ready", "1": "draining", "2": "ready", "3": "ready"})
	server.Delete(platform.TableServers, "1")
	server.Put(platform.TableServers, "1", reportOf(1, "ready", 1, 2))
	check("after a new start of the server that drained", map[ident.ServerID]string{"0": "ready", "1": "ready", "2": "ready", "3": "ready"})
}

// TestServersThatCopyLacksAreUsedUntilTheyWrite guards against a service without servers right after the store's return,
// and against servers that stay listed although they are gone.
func TestServersThatCopyLacksAreUsedUntilTheyWrite(t *testing.T) {
	server, store := startStore(t)
	w := newTestWatcher(t, store)
	server.Put(platform.TableServers, "1", reportOf(1, "ready", 1, 1))
	saved := server.Copy()
	for n := 2; n < 4; n++ {
		server.Put(platform.TableServers, fmt.Sprint(n), reportOf(n, "ready", 1, 1))
	}
	mustRead(t, w)
	server.Restore(saved)
	list := func(when string, now time.Time, want ...ident.ServerID) {
		t.Helper()
		w.expireRows(now)
		var got []ident.ServerID
		for _, s := range w.Roster().Servers() {
			got = append(got, s.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("servers %s (-want +got):\n%s", when, diff)
		}
	}
	mustRead(t, w)
	read := time.Now()
	list("at the return", read, "1", "2", "3")
	server.Put(platform.TableServers, "2", reportOf(2, "ready", 2, 1))
	mustRead(t, w)
	list("before the end of the grace time", read.Add(unlistedGrace-100*time.Millisecond), "1", "2", "3")
	list("after the grace time", read.Add(unlistedGrace), "1", "2")
	server.Put(platform.TableServers, "3", reportOf(3, "ready", 2, 1))
	mustRead(t, w)
	list("after it has written again", read.Add(unlistedGrace), "1", "2", "3")
}

// TestPeerOfEarlierEraBringsNothingBack guards against a daemon that has not read the store since its return, and whose
// list has a greater number.
func TestPeerOfEarlierEraBringsNothingBack(t *testing.T) {
	server, store := startStore(t)
	ahead, behind := newTestWatcher(t, store), newTestWatcher(t, store)
	server.Put(platform.TableServers, "1", reportOf(1, "ready", 1, 1))
	saved := server.Copy()
	for n := range 9 {
		server.Put(platform.TableServers, "1", reportOf(1, "ready", 2+n, 1))
	}
	mustRead(t, ahead)
	mustRead(t, behind)
	server.Restore(saved)
	server.Put(platform.TableServers, "1", reportOf(1, "draining", 20, 1))
	mustRead(t, ahead)
	now := time.Now()
	var past, current news.Message
	behind.SetVersions(now, &past)
	ahead.SetVersions(now, &current)
	if r := ahead.StateRequestFor(now, &past); r != nil {
		t.Errorf("request for a list of an earlier era: got %+v, want none", r)
	}
	whole, _ := behind.StateFor(&news.StateRequest{})
	ahead.ApplyState(now, whole, "behind")
	if !ahead.Roster().Find("1").Draining {
		t.Error("a list of an earlier era was taken")
	}
	r := behind.StateRequestFor(now, &current)
	if r == nil {
		t.Fatal("no request for a list of a later era")
	}
	s, _ := ahead.StateFor(r)
	behind.ApplyState(now, s, "ahead")
	if !behind.Roster().Find("1").Draining {
		t.Error("a list of a later era was not taken")
	}
}

// TestListOfSameNumberInOtherEraConfirmsNothing guards against a daemon whose list counts as confirmed by one that bears
// the same number in another era.
func TestListOfSameNumberInOtherEraConfirmsNothing(t *testing.T) {
	server, store := startStore(t)
	w := newTestWatcher(t, store)
	server.Put(platform.TableServers, "1", reportOf(1, "ready", 1, 1))
	mustRead(t, w)
	list, later := w.Roster().Revision, time.Now().Add(10*time.Second)
	w.StateRequestFor(later, &news.Message{From: memberIn(""), Revision: list.Number, Era: list.Era + 1})
	if _, servers := w.Ages(later); servers < 9*time.Second {
		t.Errorf("age of the list: got %v, want 10s or more", servers)
	}
}

// TestAnswerOfEarlierEraIsNotTaken guards against a late answer of the store, or one that names no era, which brings the
// past back or confirms it.
func TestAnswerOfEarlierEraIsNotTaken(t *testing.T) {
	for name, eraOfAnswer := range map[string]string{"earlier": "1", "none": "", "malformed": "2x", "two": "2, 3"} {
		t.Run(name, func(t *testing.T) {
			era, row := "2", reportOf(1, "ready", 1, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				if era != "" {
					ctx.Response.Header.Set("Store-Era", era)
				}
				ctx.SetBodyString(fmt.Sprintf(`{"rows":[{"table":%q,"key":"1","value":%q,"row_version":9}],"row_version":9}`, ctx.QueryArgs().Peek("table"), base64Of(row)))
			}}
			go func() { _ = server.Serve(l) }()
			store := platform.NewStore(l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}, func(string, string, time.Duration) {})
			w := newTestWatcher(t, store)
			mustRead(t, w)
			if err := w.ReadConfig(context.Background()); err != nil {
				t.Fatal(err)
			}
			configAt, serversAt := w.configConfirmedAt, w.serversConfirmedAt
			era, row = eraOfAnswer, reportOf(1, "draining", 2, 1)
			if err := w.ReadServers(context.Background()); err == nil {
				t.Error("list: no error")
			}
			if err := w.ReadConfig(context.Background()); err == nil {
				t.Error("configuration: no error")
			}
			if w.Roster().Find("1").Draining || w.configConfirmedAt != configAt || w.serversConfirmedAt != serversAt {
				t.Error("the answer was taken")
			}
		})
	}
}

// base64Of returns the value of a row as the store encodes it.
func base64Of(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

// TestVersionStandsForOneContent checks that a version which the operator writes again with another content, as after a loss,
// changes nothing and is reported.
func TestVersionStandsForOneContent(t *testing.T) {
	server, store := startStore(t)
	w := newTestWatcher(t, store)
	counted := map[string]int{}
	w.options.Count = func(name string) { counted[name]++ }
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(1))
	saved := server.Copy()
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	poll(w)
	server.Restore(saved)
	poll(w)
	server.Put(platform.TableConfig, platform.KeyConfig, configRow(2))
	poll(w)
	if counted["config.contradicted"] > 0 {
		t.Error("the same content counts as another one")
	}
	server.Put(platform.TableConfig, platform.KeyConfig, []byte(`{"version":"00000002","routes":[]}`))
	poll(w)
	if counted["config.contradicted"] != 1 || w.Catalog().Version != 2 {
		t.Errorf("got version %d, reports %v; want version 2 and one report", w.Catalog().Version, counted)
	}
}
