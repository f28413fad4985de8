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

// dial opens a plain TCP connection.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// startPlatform serves an in-memory table with the stand-in platform on a loopback port. It returns
// the table and a client of the platform.
func startPlatform(t *testing.T) (*table.Table, *store.Store) {
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

// TestContract checks the results of every call against the stand-in platform over HTTP: success,
// conditions that fail, missing rows and objects, and an unavailable store.
func TestContract(t *testing.T) {
	ctx := context.Background()
	tab, s := startPlatform(t)
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
		t.Fatalf("transaction with failing conditions: got error %v, want a ConflictError", err)
	}
	if diff := cmp.Diff([]string{"a/1", "a/2"}, conflict.Keys); diff != "" {
		t.Errorf("conflicting keys (-want +got):\n%s", diff)
	}
	row, ok, err := s.Read(ctx, "a/1")
	if diff := cmp.Diff(store.Row{Key: "a/1", Value: []byte("one"), Revision: first}, row); diff != "" || !ok || err != nil {
		t.Errorf("read a/1: found %v, error %v, row (-want +got):\n%s", ok, err, diff)
	}
	if _, ok, err := s.Read(ctx, "a/3"); ok || err != nil {
		t.Errorf("read a/3, which only a failed transaction wrote: got found %v, error %v, want neither", ok, err)
	}
	rows, err := s.Scan(ctx, "a/", "a/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
		t.Errorf("scan after a/1: got rows %v, error %v, want only a/2", rows, err)
	}
	if _, err := s.GetObject(ctx, "o"); !errors.Is(err, store.ErrNoObject) {
		t.Errorf("missing object: got error %v, want ErrNoObject", err)
	}
	if err := s.PutObject(ctx, "o", []byte("body")); err != nil {
		t.Error(err)
	}
	if body, err := s.GetObject(ctx, "o"); err != nil || string(body) != "body" {
		t.Errorf("object: got %q, error %v, want \"body\"", body, err)
	}
	vms, err := s.ListVMs(ctx)
	if diff := cmp.Diff([]store.VM{{ID: "vm-1", Leaving: true}}, vms); diff != "" || err != nil {
		t.Errorf("VM list: error %v, VMs (-want +got):\n%s", err, diff)
	}
	tab.SetFaults(table.Faults{Down: true})
	if _, _, err := s.Read(ctx, "a/1"); !errors.Is(err, store.ErrNoResponse) {
		t.Errorf("unavailable store: got error %v, want ErrNoResponse", err)
	}
}

// FuzzReplies checks that the client handles arbitrary statuses and response bodies without a panic,
// never returns the row of another key, and reports a transaction as committed only on status 200.
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
			t.Fatalf("read of key k returned the row of key %q", row.Key)
		}
		_, _ = s.Scan(ctx, "k", "", 5)
		if revision, err := s.Transact(ctx, nil); err == nil && status != 200 {
			t.Fatalf("transaction with status %d was reported as committed at revision %d", status, revision)
		}
		_, _ = s.ListVMs(ctx)
		_, _ = s.GetObject(ctx, "o")
	})
}
