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
	"bilberrymux/io/answer"
	"bilberrymux/io/backend"
	"bilberrymux/io/hop"
	"bilberrymux/io/router"
	"bilberrymux/io/watch"
)

// Headers between callers and the daemon.
const (
	// OrganisationHeader names the caller's organisation or app.
	OrganisationHeader = "Bilberrymux-Organisation"
	// RefusalHeader and OutcomeHeader mark answers of the daemon itself.
	RefusalHeader = "Bilberrymux-Refusal"
	OutcomeHeader = "Bilberrymux-Outcome"
	// OwnerHeader names the better address for further requests.
	OwnerHeader = "Bilberrymux-Owner"
	// ReplayedHeader marks the answer of an earlier run of an idempotency key.
	ReplayedHeader = "Idempotency-Replayed"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// priorityHeader asks for a rank below the route's (RFC 9218).
	priorityHeader = "Priority"
	traceHeader    = "Traceparent"
)

// maxDeadline bounds the deadline that a caller may ask for.
const maxDeadline = time.Hour

// readFactor is how many times the limit of a body the listener reads before it
// closes the connection. A caller that sends a body somewhat too large reads a
// refusal so, and not a reset connection.
const readFactor = 4

// Options are the dependencies of a Front.
type Options struct {
	Config func() *config.Config
	Router *router.Router
	// Locate answers where callers should connect.
	Locate       func(service ident.ServiceID) (Location, *refusal.Error)
	MaxBodyBytes int
	// Count adds one to the counter of that name.
	Count func(name string)
	// Observe records how long a request of a rank took.
	Observe func(rank ident.Rank, d time.Duration)
}

// Front is the callers' listener.
type Front struct {
	options  Options
	app      *fiber.App
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a front that serves nothing before Serve.
func New(o Options) *Front {
	f := &Front{options: o}
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisableDefaultDate:           true,
		DisableHeaderNormalizing:     false,
		BodyLimit:                    readFactor * o.MaxBodyBytes,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 f.failed,
		ReadBufferSize:               16 << 10,
	})
	f.app.Server().NoDefaultServerHeader = true
	f.app.Server().NoDefaultContentType = true
	f.app.Get(LocatePath, f.locate)
	f.app.All("/*", f.serve)
	return f
}

// Serve answers on the listener until Stop.
func (f *Front) Serve(l net.Listener) error {
	return f.app.Listener(l)
}

// InFlight returns the number of requests under way.
func (f *Front) InFlight() int64 {
	return f.inFlight.Load()
}

// Drain makes answers close their connections, so that callers look for
// another daemon.
func (f *Front) Drain() {
	f.draining.Store(true)
}

// Stop waits for the requests under way, for at most the timeout, and closes.
func (f *Front) Stop(timeout time.Duration) error {
	return f.app.ShutdownWithTimeout(timeout)
}

// failed answers what the library refused before a handler ran.
func (f *Front) failed(c *fiber.Ctx, err error) error {
	f.refuse(c, refusal.New(answer.KindOf(err), "%v", err))
	return nil
}

func (f *Front) refuse(c *fiber.Ctx, e *refusal.Error) {
	f.options.Count("refusal." + string(e.Kind))
	c.Status(refusal.ResponseFor(e.Kind).Status)
	c.Set(RefusalHeader, string(e.Kind))
	c.Set(OutcomeHeader, string(e.Outcome()))
	if pause := answer.RetryAfterOf(e); pause > 0 {
		// Retry-After counts whole seconds; the body has the exact time.
		seconds := int64((pause + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	answer.SetBody(c, e)
}

// serve handles one request for a service.
func (f *Front) serve(c *fiber.Ctx) error {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	start := time.Now()
	f.options.Count("requests")
	if f.draining.Load() {
		c.Response().SetConnectionClose()
	}
	call, refused := f.read(c, start)
	if refused != nil {
		f.refuse(c, refused)
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	w := watch.New(c.Context().Conn(), cancel)
	reply := f.options.Router.Do(ctx, call)
	w.Stop()
	if reply.Answer != nil {
		// A streamed answer is read after this handler has returned.
		reply.Answer.AfterEnd(cancel)
	} else {
		cancel()
	}
	if reply.Owner != "" {
		c.Set(OwnerHeader, reply.Owner)
	}
	f.options.Observe(call.Rank, time.Since(start))
	if reply.Refused != nil {
		f.refuse(c, reply.Refused)
		return nil
	}
	f.answer(c, reply)
	return nil
}

// answer hands a server's answer to the caller.
func (f *Front) answer(c *fiber.Ctx, reply router.Reply) {
	f.options.Count("answers")
	src, dst := reply.Answer.Response, c.Response()
	closing := dst.ConnectionClose()
	owner := string(dst.Header.Peek(OwnerHeader))
	if reply.Answer.Streamed {
		src.Header.CopyTo(&dst.Header)
		dst.SetBodyStream(src.BodyStream(), src.Header.ContentLength())
	} else {
		src.CopyTo(dst)
	}
	hop.Drop(&dst.Header)
	if closing {
		dst.SetConnectionClose()
	}
	if owner != "" {
		dst.Header.Set(OwnerHeader, owner)
	}
	if reply.Replayed {
		dst.Header.Set(ReplayedHeader, "true")
	}
}

// read builds the call of a request.
func (f *Front) read(c *fiber.Ctx, now time.Time) (*router.Call, *refusal.Error) {
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
	call := &router.Call{
		ID: requestID(c), Service: route.Service, Rank: rankOf(c, route),
		Organisation: ident.OrganisationID(c.Get(OrganisationHeader)),
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
	call.Organisation = ident.OrganisationID(strings.Clone(string(call.Organisation)))
	call.HTTP = f.outgoing(c)
	call.Fingerprint = router.FingerprintOf(call.HTTP)
	return call, nil
}

// deadlineOf reads the time that the caller gives the request.
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

// rankOf returns the route's rank, or a lower one that the caller asks for.
func rankOf(c *fiber.Ctx, route *config.Route) ident.Rank {
	if header := c.Get(priorityHeader); header != "" {
		if asked, err := ident.ParsePriority(header); err == nil && asked.Less(route.Rank) {
			return asked
		}
	}
	return route.Rank
}

// requestID is the caller's trace context, or a new id.
func requestID(c *fiber.Ctx) string {
	if trace := c.Get(traceHeader); trace != "" {
		return strings.Clone(trace)
	}
	return uuid.NewString()
}

// outgoing copies the request as it goes to the server: all of it but what
// belongs to one connection.
func (f *Front) outgoing(c *fiber.Ctx) *fasthttp.Request {
	// The request is not taken from a pool: an attempt that a hedge outran may
	// still read it after the caller has its answer, and must never see another
	// caller's.
	req := &fasthttp.Request{}
	c.Request().CopyTo(req)
	hop.Drop(&req.Header)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.SetProtocol("HTTP/1.1")
	req.UseHostHeader = true
	req.Header.SetNoDefaultContentType(true)
	if ip, _, err := net.SplitHostPort(c.Context().RemoteAddr().String()); err == nil {
		forwarded := ip
		if before := c.Get(fasthttp.HeaderXForwardedFor); before != "" {
			forwarded = before + ", " + ip
		}
		req.Header.Set(fasthttp.HeaderXForwardedFor, forwarded)
	}
	return req
}
