// Package platformserver serves the in-memory platform of package table over HTTP. Admin endpoints
// set its faults, its VMs and the network rules between the daemons of a test.
package platformserver

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/store"
	"bilberrymux/io/netfault"
	"bilberrymux/io/platform"
	"bilberrymux/io/standin/table"
)

// Paths of the admin endpoints.
const (
	PathFaults = "/admin/faults"
	PathCounts = "/admin/counts"
	PathAddVM  = "/admin/vm"
	// PathLinks stores and returns Links: rules for one-way packet loss and delay between
	// processes, which the daemons of a test fleet poll.
	PathLinks = "/admin/links"
)

// Links holds the network rules between the processes of a test, and the names of the processes by
// address.
type Links struct {
	Rules []netfault.Rule   `json:"rules"`
	Names map[string]string `json:"names"`
}

// Server serves a table over HTTP. It is safe for concurrent use.
type Server struct {
	table *table.Table
	store *store.Store
	// links is the JSON of the last Links that were posted.
	links atomic.Pointer[[]byte]
	http  *fasthttp.Server
}

// New returns a server for the table. It accepts no connections before Serve is called.
func New(t *table.Table) *Server {
	s := &Server{table: t, store: t.Store()}
	empty := []byte("{}")
	s.links.Store(&empty)
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes}
	return s
}

// maxBodyBytes is the maximum size of a request body, and thus of an object.
const maxBodyBytes = 256 << 20

// Serve accepts connections from the listener and blocks until Stop is called or accepting fails.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(l)
}

// Stop shuts the server down and waits until its connections are closed.
func (s *Server) Stop() error {
	return s.http.Shutdown()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == platform.PathRow:
		s.handleRow(ctx)
	case path == platform.PathScan:
		s.handleScan(ctx)
	case path == platform.PathTransact:
		s.handleTransact(ctx)
	case strings.HasPrefix(path, platform.PathObjects):
		s.handleObject(ctx, path[len(platform.PathObjects):])
	case path == platform.PathVMs:
		vms, err := s.store.ListVMs(ctx)
		writeReply(ctx, platform.VMsReply{VMs: vms}, err)
	default:
		s.handleAdmin(ctx, path)
	}
}

// handleRow answers a read of one row, with status 404 if it does not exist.
func (s *Server) handleRow(ctx *fasthttp.RequestCtx) {
	row, ok, err := s.store.Read(ctx, string(ctx.QueryArgs().Peek("key")))
	if err == nil && !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeReply(ctx, row, err)
}

// handleScan answers a scan of the rows whose keys have a prefix and follow a given key.
func (s *Server) handleScan(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek("limit")))
	if err != nil || limit < 1 {
		ctx.Error("limit must be a positive number", fasthttp.StatusBadRequest)
		return
	}
	rows, err := s.store.Scan(ctx, string(args.Peek("prefix")), string(args.Peek("after")), limit)
	writeReply(ctx, platform.ScanReply{Rows: rows}, err)
}

// handleTransact applies a transaction, and answers with status 409 and the keys in conflict if one
// of its conditions failed.
func (s *Server) handleTransact(ctx *fasthttp.RequestCtx) {
	var req platform.TransactRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	revision, err := s.store.Transact(ctx, req.Writes)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		writeReply(ctx, platform.TransactReply{Conflicts: conflict.Keys}, nil)
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	writeReply(ctx, platform.TransactReply{Revision: revision}, err)
}

// handleObject writes an object on PUT, and otherwise reads it, with status 404 if it does not exist.
func (s *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	if ctx.IsPut() {
		writeReply(ctx, struct{}{}, s.store.PutObject(ctx, name, ctx.PostBody()))
		return
	}
	body, err := s.store.GetObject(ctx, name)
	switch {
	case errors.Is(err, store.ErrNoObject):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case err != nil:
		writeReply(ctx, nil, err)
	default:
		ctx.SetBody(body)
	}
}

// handleAdmin serves the admin endpoints. They bypass the faults, so they also work during a
// simulated outage.
func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case PathFaults:
		if ctx.IsPost() {
			var f table.Faults
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			s.table.SetFaults(f)
		}
		writeReply(ctx, s.table.Faults(), nil)
	case PathCounts:
		writeReply(ctx, s.table.Counts(), nil)
	case PathAddVM:
		var vm store.VM
		if err := json.Unmarshal(ctx.PostBody(), &vm); err != nil || vm.ID == "" {
			ctx.Error("a VM with an id is needed", fasthttp.StatusBadRequest)
			return
		}
		s.table.SetVM(vm, !ctx.IsDelete())
		writeReply(ctx, vm, nil)
	case PathLinks:
		s.handleLinks(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleLinks replaces the Links on POST and returns the current ones.
func (s *Server) handleLinks(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var links Links
		if err := json.Unmarshal(ctx.PostBody(), &links); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		body := append([]byte(nil), ctx.PostBody()...)
		s.links.Store(&body)
	}
	ctx.SetBody(*s.links.Load())
}

// writeReply writes a value as JSON, or status 503 if the platform call failed with an error.
func writeReply(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
