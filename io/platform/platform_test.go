package platform_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/store"
	"bilberrymux/io/platform"
	"bilberrymux/io/standin/platformserver"
	"bilberrymux/io/standin/table"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// serve starts the stand-in on loopback.
func serve(t *testing.T) (*table.Table, *store.Store) {
	t.Helper()
	tab := table.New(1)
	s := platformserver.New(tab)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Stop() })
	return tab, platform.New(l.Addr().String(), dial)
}

// TestContract uses every call over HTTP.
func TestContract(t *testing.T) {
	ctx := context.Background()
	tab, s := serve(t)
	tab.SetVM(store.VM{ID: "vm-1", Leaving: true}, true)
	first, err := s.Transact(ctx, []store.Write{
		{Key: "a/1", Value: []byte("one"), Expect: store.Absent}, {Key: "a/2", Value: []byte("two"), Expect: store.Absent},
	})
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Transact(ctx, []store.Write{
		{Key: "a/1", Expect: store.Absent}, {Key: "a/2", Expect: store.AtRevision, Revision: first + 9}, {Key: "a/3", Expect: store.Absent},
	})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("conflict: %v", err)
	}
	if diff := cmp.Diff([]string{"a/1", "a/2"}, conflict.Keys); diff != "" {
		t.Errorf("keys in conflict (-want +got):\n%s", diff)
	}
	row, ok, err := s.Read(ctx, "a/1")
	if diff := cmp.Diff(store.Row{Key: "a/1", Value: []byte("one"), Revision: first}, row); diff != "" || !ok || err != nil {
		t.Errorf("row, %v, %v (-want +got):\n%s", ok, err, diff)
	}
	if _, ok, err := s.Read(ctx, "a/3"); ok || err != nil {
		t.Errorf("a row of a refused transaction: %v, %v", ok, err)
	}
	rows, err := s.Scan(ctx, "a/", "a/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
		t.Errorf("scan: %v, %v", rows, err)
	}
	if _, err := s.GetObject(ctx, "o"); !errors.Is(err, store.ErrNoObject) {
		t.Errorf("missing object: %v", err)
	}
	if err := s.PutObject(ctx, "o", []byte("body")); err != nil {
		t.Error(err)
	}
	if body, err := s.GetObject(ctx, "o"); err != nil || string(body) != "body" {
		t.Errorf("object: %q, %v", body, err)
	}
	vms, err := s.ListVMs(ctx)
	if diff := cmp.Diff([]store.VM{{ID: "vm-1", Leaving: true}}, vms); diff != "" || err != nil {
		t.Errorf("VMs, %v (-want +got):\n%s", err, diff)
	}
	tab.SetFaults(table.Faults{Down: true})
	if _, _, err := s.Read(ctx, "a/1"); !errors.Is(err, store.ErrNoResponse) {
		t.Errorf("store away: %v", err)
	}
}

// FuzzReplies gives the client whatever a platform may answer: it must return a
// value or an error, and never another key's row.
func FuzzReplies(f *testing.F) {
	f.Add(200, []byte(`{"key":"k","value":"eA==","revision":1}`))
	f.Add(200, []byte(`{"key":"other"}`))
	f.Add(200, []byte(`{"rows":[{"key":1}]}`))
	f.Add(409, []byte(`{"conflicts":[""]}`))
	f.Add(409, []byte(`{`))
	f.Add(302, []byte(``))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	type reply struct {
		status int
		body   []byte
	}
	next := make(chan reply, 1)
	server := fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		r := <-next
		next <- r
		ctx.SetStatusCode(r.status)
		ctx.SetBody(r.body)
	}}
	go func() { _ = server.Serve(l) }()
	f.Cleanup(func() { _ = server.Shutdown() })
	s := platform.New(l.Addr().String(), dial)
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		select {
		case <-next:
		default:
		}
		next <- reply{status, body}
		ctx := context.Background()
		if row, ok, err := s.Read(ctx, "k"); err == nil && ok && row.Key != "k" {
			t.Fatalf("asked for k, got %q", row.Key)
		}
		_, _ = s.Scan(ctx, "k", "", 5)
		if revision, err := s.Transact(ctx, nil); err == nil && status != 200 {
			t.Fatalf("status %d counts as committed at %d", status, revision)
		}
		_, _ = s.ListVMs(ctx)
		_, _ = s.GetObject(ctx, "o")
	})
}
