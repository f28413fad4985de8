// Package platformserver serves the in-memory platform over HTTP, with an
// admin endpoint that sets its faults.
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
	"bilberrymux/io/netseam"
	"bilberrymux/io/platform"
	"bilberrymux/io/standin/table"
)

// Paths of the admin endpoint.
const (
	PathFaults = "/admin/faults"
	PathCounts = "/admin/counts"
	PathAddVM  = "/admin/vm"
	// PathLinks holds the rules of one-way loss and delay between processes,
	// which daemons in a test fleet read.
	PathLinks = "/admin/links"
)

// Links are the rules between the processes of a test, and the names of the
// processes by address.
type Links struct {
	Rules []netseam.Rule    `json:"rules"`
	Names map[string]string `json:"names"`
}

// Server is the platform behind HTTP.
type Server struct {
	table *table.Table
	store *store.Store
	links atomic.Pointer[[]byte]
	http  *fasthttp.Server
}

// New returns a server for the table.
func New(t *table.Table) *Server {
	s := &Server{table: t, store: t.Store()}
	empty := []byte("{}")
	s.links.Store(&empty)
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody}
	return s
}

// maxBody bounds the objects that the stand-in takes.
const maxBody = 256 << 20

// Serve answers on the listener until Stop.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(l)
}

// Stop ends Serve.
func (s *Server) Stop() error {
	return s.http.Shutdown()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == platform.PathRow:
		s.row(ctx)
	case path == platform.PathScan:
		s.scan(ctx)
	case path == platform.PathTransact:
		s.transact(ctx)
	case strings.HasPrefix(path, platform.PathObjects):
		s.object(ctx, path[len(platform.PathObjects):])
	case path == platform.PathVMs:
		vms, err := s.store.ListVMs(ctx)
		reply(ctx, platform.VMsReply{VMs: vms}, err)
	default:
		s.admin(ctx, path)
	}
}

func (s *Server) row(ctx *fasthttp.RequestCtx) {
	row, ok, err := s.store.Read(ctx, string(ctx.QueryArgs().Peek("key")))
	if err == nil && !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply(ctx, row, err)
}

func (s *Server) scan(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek("limit")))
	if err != nil || limit < 1 {
		ctx.Error("limit must be a positive number", fasthttp.StatusBadRequest)
		return
	}
	rows, err := s.store.Scan(ctx, string(args.Peek("prefix")), string(args.Peek("after")), limit)
	reply(ctx, platform.ScanReply{Rows: rows}, err)
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	var req platform.TransactRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	revision, err := s.store.Transact(ctx, req.Writes)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		reply(ctx, platform.TransactReply{Conflicts: conflict.Keys}, nil)
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	reply(ctx, platform.TransactReply{Revision: revision}, err)
}

func (s *Server) object(ctx *fasthttp.RequestCtx, name string) {
	if ctx.IsPut() {
		reply(ctx, struct{}{}, s.store.PutObject(ctx, name, ctx.PostBody()))
		return
	}
	body, err := s.store.GetObject(ctx, name)
	switch {
	case errors.Is(err, store.ErrNoObject):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case err != nil:
		reply(ctx, nil, err)
	default:
		ctx.SetBody(body)
	}
}

// admin sets and shows faults, VMs and link rules. They outlive outages.
func (s *Server) admin(ctx *fasthttp.RequestCtx, path string) {
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
		reply(ctx, s.table.Faults(), nil)
	case PathCounts:
		reply(ctx, s.table.Counts(), nil)
	case PathAddVM:
		var vm store.VM
		if err := json.Unmarshal(ctx.PostBody(), &vm); err != nil || vm.ID == "" {
			ctx.Error("a VM with an id is needed", fasthttp.StatusBadRequest)
			return
		}
		s.table.SetVM(vm, !ctx.IsDelete())
		reply(ctx, vm, nil)
	case PathLinks:
		s.linkRules(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) linkRules(ctx *fasthttp.RequestCtx) {
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

// reply writes a value as JSON, or 503 for a platform that does not answer.
func reply(ctx *fasthttp.RequestCtx, v any, err error) {
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
