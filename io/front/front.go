// Package front serves callers over HTTP/1.1.
package front

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shutdown"
	"bilberrymux/io/backend"
	"bilberrymux/io/connwatch"
	"bilberrymux/io/hopbyhop"
	"bilberrymux/io/httpread"
	"bilberrymux/io/refusalhttp"
	"bilberrymux/io/router"
)

// Headers of requests from callers and of the answers to them.
const (
	// OrganisationHeader identifies the caller's organisation or app.
	OrganisationHeader = "Bilberrymux-Organisation"
	// RefusalHeader and OutcomeHeader are set in refusals, which come from the daemon instead of a
	// backend server. They hold the kind of the refusal and whether the request may have run.
	RefusalHeader = "Bilberrymux-Refusal"
	OutcomeHeader = "Bilberrymux-Outcome"
	// OwnerHeader holds the address of the daemon that owns the request's shard. Callers save a forward
	// by sending further requests there.
	OwnerHeader = "Bilberrymux-Owner"
	// ReplayedHeader marks an answer that was stored by an earlier run of the idempotency key.
	ReplayedHeader = "Idempotency-Replayed"
	// KeyHeader holds the idempotency key.
	KeyHeader = "Idempotency-Key"
	// priorityHeader requests a rank below that of the route (RFC 9218).
	priorityHeader = "Priority"
	// traceHeader holds the caller's trace context, which becomes the request's ID.
	traceHeader = "Traceparent"
)

// maxDeadline is the longest time until the deadline that a caller may request.
const maxDeadline = time.Hour

// bodyReadFactor times the size limit of a body is the number of bytes that the listener reads before it
// closes the connection. This way a caller whose body is moderately too large receives a refusal instead
// of a connection reset.
const bodyReadFactor = 4

// Options are the dependencies of a Front.
type Options struct {
	Config func() *config.Config
	Router *router.Router
	// Locate returns the addresses to which callers of a service should connect.
	Locate func(service ident.ServiceID) (Location, *refusal.Error)
	// MaxBodyBytes is the largest accepted request body in bytes.
	MaxBodyBytes int
	// Count adds one to the counter of the given name.
	Count func(name string)
	// Observe records the latency of a request of a rank.
	Observe func(rank ident.Rank, d time.Duration)
}

// Front is the HTTP server for callers. It is safe for concurrent use.
type Front struct {
	options  Options
	app      *fiber.App
	inFlight atomic.Int64
	gate     shutdown.Gate
}

// New returns a front. It accepts no requests until Serve is called.
func New(o Options) *Front {
	f := &Front{options: o}
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisableDefaultDate:           true,
		DisableHeaderNormalizing:     false,
		BodyLimit:                    bodyReadFactor * o.MaxBodyBytes,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 f.handleError,
		ReadBufferSize:               16 << 10,
	})
	f.app.Server().NoDefaultServerHeader = true
	f.app.Server().NoDefaultContentType = true
	f.app.Get(LocatePath, f.locate)
	f.app.All("/*", f.serve)
	return f
}

// Serve accepts requests on the listener until Stop is called.
func (f *Front) Serve(l net.Listener) error {
	return f.app.Listener(l)
}

// InFlight returns the number of requests in flight.
func (f *Front) InFlight() int64 {
	return f.inFlight.Load()
}

// Drain makes the front close each connection after its next answer, so that callers connect to another
// daemon, and refuse the requests that the plan doesn't accept.
func (f *Front) Drain(p *shutdown.Plan) {
	f.gate.Begin(p)
}

// Stop stops accepting requests and waits for those in flight, for at most the timeout.
func (f *Front) Stop(timeout time.Duration) error {
	return f.app.ShutdownWithTimeout(timeout)
}

// handleError writes a refusal for a request that the HTTP library rejected before a handler ran, or for
// an error of a handler.
func (f *Front) handleError(c *fiber.Ctx, err error) error {
	f.writeRefusal(c, refusal.New(refusalhttp.KindOf(err), "%v", err))
	return nil
}

// writeRefusal sets the status, headers and body of a refusal as the answer, and counts it by its kind.
func (f *Front) writeRefusal(c *fiber.Ctx, e *refusal.Error) {
	f.options.Count("refusal." + string(e.Kind))
	c.Status(refusal.ResponseFor(e.Kind).Status)
	c.Set(RefusalHeader, string(e.Kind))
	c.Set(OutcomeHeader, string(e.Outcome()))
	if retryAfter := refusalhttp.RetryAfterOf(e); retryAfter > 0 {
		// Retry-After is in whole seconds and rounded up; the body holds the time in milliseconds.
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	refusalhttp.SetBody(c, e)
}

// serve handles one request to a service.
func (f *Front) serve(c *fiber.Ctx) error {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	start := time.Now()
	f.options.Count("requests")
	if f.gate.Stopping() {
		c.Response().SetConnectionClose()
	}
	call, refused := f.newCall(c, start)
	if refused != nil {
		f.writeRefusal(c, refused)
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	w := connwatch.New(c.Context().Conn(), cancel)
	reply := f.options.Router.Do(ctx, call)
	w.Stop()
	if reply.Answer != nil {
		// A streamed answer is read after this handler has returned, so its context must outlive it.
		reply.Answer.AfterEnd(cancel)
	} else {
		cancel()
	}
	if reply.Owner != "" {
		c.Set(OwnerHeader, reply.Owner)
	}
	f.options.Observe(call.Rank, time.Since(start))
	if reply.Refused != nil {
		f.writeRefusal(c, reply.Refused)
		return nil
	}
	f.writeAnswer(c, reply)
	return nil
}

// ownHeaders lists the headers by which only a daemon speaks to callers, and those by which servers tell a daemon
// that they did not run a request, and which attempt they answer. They are not passed on from servers.
var ownHeaders = []string{RefusalHeader, OutcomeHeader, OwnerHeader, ReplayedHeader, backend.NotRunHeader, backend.AttemptIDHeader}

// writeAnswer copies a backend server's answer to the caller's response, without ownHeaders and the headers that
// apply to a single connection.
func (f *Front) writeAnswer(c *fiber.Ctx, reply router.Reply) {
	f.options.Count("answers")
	dst := c.Response()
	closeConnection := dst.ConnectionClose()
	owner := string(dst.Header.Peek(OwnerHeader))
	reply.Answer.CopyTo(dst)
	hopbyhop.RemoveHeaders(&dst.Header)
	for _, name := range ownHeaders {
		dst.Header.Del(name)
	}
	if closeConnection {
		dst.SetConnectionClose()
	}
	if owner != "" {
		dst.Header.Set(OwnerHeader, owner)
	}
	if reply.Replayed {
		dst.Header.Set(ReplayedHeader, "true")
	}
}

// newCall validates a request, matches it to a route and returns its call, or the refusal if it can't be
// served. The library reuses the memory of a request's headers, so strings that outlive the handler must
// be cloned.
func (f *Front) newCall(c *fiber.Ctx, now time.Time) (*router.Call, *refusal.Error) {
	if err := httpread.CheckRequest(&c.Request().Header); err != nil {
		// The caller may hold other bytes than the library for the end of the request.
		c.Response().SetConnectionClose()
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	cfg := f.options.Config()
	if cfg.Version == 0 {
		return nil, refusal.New(refusal.NotReady, "")
	}
	if size := len(c.Request().Body()); size > f.options.MaxBodyBytes {
		return nil, refusal.New(refusal.BodyTooLarge, "%d bytes, the limit is %d", size, f.options.MaxBodyBytes)
	}
	path := string(c.Request().URI().Path())
	method := string(c.Request().Header.Method())
	route := cfg.Match(method, path)
	if route == nil {
		return nil, refusal.New(refusal.NoRoute, "%s %s", method, path)
	}
	deadline, err := deadlineOf(c, now, route)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	if !f.gate.Accepts(now, deadline, 0) {
		return nil, refusal.New(refusal.Stopping, "")
	}
	call := &router.Call{
		ID: requestID(c), Service: route.Service, Rank: rankOf(c, route),
		Organisation: ident.OrganisationID(strings.Clone(c.Get(OrganisationHeader))),
		Deadline:     deadline, Idempotent: route.Idempotent, LatencyClass: router.LatencyClassOf(route.Prefix),
	}
	if key := c.Get(KeyHeader); key != "" && !route.Idempotent {
		parsed, err := once.ParseKey(call.Organisation, strings.Clone(key))
		if err != nil {
			return nil, refusal.New(refusal.BadRequest, "%v", err)
		}
		call.Key = &parsed
	}
	if call.Key == nil && route.KeyRequired {
		return nil, refusal.New(refusal.KeyRequired, "")
	}
	call.HTTP = f.newServerRequest(c)
	call.Fingerprint = router.FingerprintOf(call.HTTP)
	return call, nil
}

// deadlineOf returns the deadline that the caller requests, or that of the route's timeout.
func deadlineOf(c *fiber.Ctx, now time.Time, route *config.Route) (time.Time, error) {
	text := c.Get(backend.DeadlineHeader)
	if text == "" {
		return now.Add(route.Timeout()), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, fmt.Errorf("front: %s must be 1 to %d milliseconds", backend.DeadlineHeader, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// rankOf returns the rank of the route, or a lower one if the caller requests it.
func rankOf(c *fiber.Ctx, route *config.Route) ident.Rank {
	if header := c.Get(priorityHeader); header != "" {
		if requested, err := ident.ParsePriority(header); err == nil && requested.Less(route.Rank) {
			return requested
		}
	}
	return route.Rank
}

// requestID returns the caller's trace context, or a new UUID if there is none.
func requestID(c *fiber.Ctx) string {
	if trace := c.Get(traceHeader); trace != "" {
		return strings.Clone(trace)
	}
	return uuid.NewString()
}

// newServerRequest returns a copy of the request for the backend server, without the headers that apply
// to a single connection. It appends the caller's address to X-Forwarded-For.
func (f *Front) newServerRequest(c *fiber.Ctx) *fasthttp.Request {
	// The request must not come from a pool. An attempt that lost against a hedge may still read it
	// after the caller has received the answer, and must never see another caller's request.
	req := &fasthttp.Request{}
	c.Request().CopyTo(req)
	hopbyhop.RemoveHeaders(&req.Header)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.SetProtocol("HTTP/1.1")
	req.UseHostHeader = true
	req.Header.SetNoDefaultContentType(true)
	if ip, _, err := net.SplitHostPort(c.Context().RemoteAddr().String()); err == nil {
		forwarded := ip
		if previous := c.Get(fasthttp.HeaderXForwardedFor); previous != "" {
			forwarded = previous + ", " + ip
		}
		req.Header.Set(fasthttp.HeaderXForwardedFor, forwarded)
	}
	return req
}
