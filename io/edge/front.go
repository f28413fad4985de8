package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/belief"
	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/io/connwatch"
	"bilberrymux/io/hopbyhop"
	"bilberrymux/io/httpread"
	"bilberrymux/io/meter"
	"bilberrymux/io/refusalhttp"
	"bilberrymux/platform"
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	edge *Edge
	app  *fiber.App
}

// Limits of the HTTP server for callers.
const (
	// maxBodyBytes is the maximum size of a request body in bytes. The configuration may set a
	// lower limit.
	maxBodyBytes = 64 << 20
	// headerBufferBytes is the maximum size of the request line and headers in bytes.
	headerBufferBytes = 16 << 10
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 60 * time.Second
)

func newCallerServer(e *Edge) *callerServer {
	s := &callerServer{edge: e}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, DisableDefaultDate: true, DisablePreParseMultipartForm: true,
		BodyLimit: maxBodyBytes, StreamRequestBody: true, ReadBufferSize: headerBufferBytes, IdleTimeout: callerIdleTimeout, ErrorHandler: s.handleError,
	})
	s.app.Server().NoDefaultServerHeader = true
	s.app.Server().NoDefaultContentType = true
	s.app.All("/*", s.serve)
	return s
}

// call is one request of a caller.
type call struct {
	id       string
	route    *catalog.Route
	service  ident.ServiceID
	version  ident.Version
	received time.Time
	deadline time.Time
	// request is the request of the caller without the headers that apply to its connection
	// only.
	request     *fasthttp.Request
	fingerprint ident.Fingerprint
	// outcomes holds the outcomes of the attempts that have ended.
	outcomes []belief.Outcome
}

// serve handles one request.
func (s *callerServer) serve(c *fiber.Ctx) error {
	e := s.edge
	// A request whose body is still being read is not in flight: a planned stop does not wait for it.
	body := newRequestBody(e.requestBodies)
	defer body.Release()
	refused := s.receiveBody(c, &body)
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.requests.Add(1)
	e.count("requests")
	if e.stopping.Load() {
		c.Response().SetConnectionClose()
	}
	if refused != nil {
		s.refuse(c, nil, refused)
		return nil
	}
	call, refused := s.parse(c, body.Bytes, time.Now())
	if refused != nil {
		s.refuse(c, call, refused)
		return nil
	}
	ctx, cancel := context.WithDeadline(e.callers, call.deadline)
	w := connwatch.New(c.Context().Conn(), cancel)
	reply, refused := e.forward(ctx, call)
	w.Stop()
	if refused != nil {
		cancel()
		s.refuse(c, call, refused)
		return nil
	}
	reply.answer.AfterEnd(cancel)
	s.sendReply(c, call, reply)
	return nil
}

// parse finds the route and the deadline of a request with the given body. The returned call is nil if the
// request is refused.
func (s *callerServer) parse(c *fiber.Ctx, body []byte, now time.Time) (*call, *refusal.Error) {
	if err := httpread.CheckRequest(&c.Request().Header); err != nil {
		// The caller may hold other bytes than the library for the end of the request.
		c.Response().SetConnectionClose()
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	cat := s.edge.watcher.Catalog()
	if cat.Version == 0 || !s.edge.quarantineNews.isSettled(now) {
		return nil, refusal.New(refusal.NotReady, "")
	}
	header := &c.Request().Header
	route := matchRoute(cat, header)
	if route == nil {
		return nil, refusal.New(refusal.NoRoute, "%s %s, version %d", header.Host(), pathOf(header), cat.Version)
	}
	if limit := cat.Limits.BodyBytes; limit > 0 && len(body) > limit {
		return nil, refusal.New(refusal.BodyTooLarge, "%d bytes, the limit is %d", len(body), limit)
	}
	deadline := now.Add(route.Timeout)
	if text := string(header.Peek(platform.HeaderDeadline)); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return nil, refusal.New(refusal.BadRequest, "%s %q", platform.HeaderDeadline, text)
		}
		if d := now.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(deadline) {
			deadline = d
		}
	}
	k := &call{
		id: string(header.Peek(platform.HeaderRequestID)), route: route, version: cat.Version,
		service: route.SelectService(s.edge.nextRequestNumber(route.Name)), received: now, deadline: deadline, request: outgoingRequest(c, body),
	}
	k.fingerprint = fingerprintOf(k.request)
	if s.edge.gate.Stopping() && !s.edge.gate.Accepts(now, deadline, s.edge.tracker.UsualLatency(route.Name, route.TargetLatency)) {
		return k, refusal.New(refusal.Stopping, "")
	}
	return k, nil
}

// matchRoute returns the route of a request, or nil if there is none.
func matchRoute(cat *catalog.Catalog, header *fasthttp.RequestHeader) *catalog.Route {
	return cat.Match(string(header.Host()), pathOf(header))
}

// pathOf returns the request target without its query.
func pathOf(header *fasthttp.RequestHeader) string {
	path, _, _ := strings.Cut(string(header.RequestURI()), "?")
	return path
}

// outgoingRequest returns the request for the servers, without the headers that apply
// to a single connection. The request target is the same as the caller's, byte for byte. The body is not copied.
func outgoingRequest(c *fiber.Ctx, body []byte) *fasthttp.Request {
	// The request is not taken from a pool: an attempt that was slower than its hedge may still
	// read it after the caller got the response.
	req := &fasthttp.Request{}
	c.Request().Header.CopyTo(&req.Header)
	req.SetBodyRaw(body)
	hopbyhop.RemoveHeaders(&req.Header)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.Del(fasthttp.HeaderTransferEncoding)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	req.UseHostHeader = true
	return req
}

// sendReply sends the response of a server to the caller.
func (s *callerServer) sendReply(c *fiber.Ctx, k *call, reply *serverReply) {
	s.edge.count("answers")
	took := time.Since(k.received)
	s.edge.observeLatency(k, "answered", took)
	s.edge.log.WithFields(logrus.Fields{
		"request": k.id, "route": k.route.Name, "service": k.service, "server": reply.server, "status": reply.answer.Response.StatusCode(),
		"attempts": reply.attempts, "risk": reply.risk, "evidenceAgeMillis": reply.evidenceAge.Milliseconds(),
		"floor": reply.attempt.Reason != belief.LeastCost, "version": k.version, "tookMillis": took.Milliseconds(),
		"connection": reply.use,
	}).Info(event.Answered)
	dst := c.Response()
	closing := dst.ConnectionClose()
	reply.answer.CopyTo(dst)
	hopbyhop.RemoveHeaders(&dst.Header)
	dst.Header.Del(fasthttp.HeaderTransferEncoding)
	if closing {
		dst.SetConnectionClose()
	} else {
		dst.Header.ResetConnectionClose()
	}
}

// observeLatency records the latency of a request by its kind, priority, service and outcome.
func (e *Edge) observeLatency(k *call, outcome string, took time.Duration) {
	kind := "once"
	if k.route.Idempotent {
		kind = "idempotent"
	}
	e.metrics.Observe(meter.Name("latencyMicros",
		meter.Label{Key: "kind", Value: kind}, meter.Label{Key: "priority", Value: strconv.Itoa(k.route.Priority)},
		meter.Label{Key: "service", Value: string(k.service)}, meter.Label{Key: "outcome", Value: outcome},
	), took)
}

// refuse responds to the caller in place of a server. A status which says that the request did
// not run is sent only if that is certain.
func (s *callerServer) refuse(c *fiber.Ctx, k *call, r *refusal.Error) {
	s.edge.countBy("refusals", "kind", string(r.Kind))
	fields := logrus.Fields{"kind": r.Kind, "outcome": r.Outcome(), "detail": r.Detail}
	if k != nil {
		took := time.Since(k.received)
		s.edge.observeLatency(k, "refused", took)
		fields["request"], fields["route"], fields["service"] = k.id, k.route.Name, k.service
		fields["version"], fields["tookMillis"], fields["outcomes"] = k.version, took.Milliseconds(), k.outcomes
	} else {
		fields["request"] = string(c.Request().Header.Peek(platform.HeaderRequestID))
	}
	status := statusOf(r)
	fields["status"] = status
	s.edge.log.WithFields(fields).Warn(event.Refused)
	c.Status(status)
	if pause := refusalhttp.RetryAfterOf(r); platform.PromisesNotExecuted(status) && pause > 0 {
		c.Set(fiber.HeaderRetryAfter, platform.FormatRetryAfter(pause))
	}
	refusalhttp.SetBody(c, r)
}

// statusOf returns the HTTP status of a refusal. It is 502 if the usual status says that the
// request did not run, but it may have run.
func statusOf(r *refusal.Error) int {
	status := refusal.ResponseFor(r.Kind).Status
	if platform.PromisesNotExecuted(status) && r.Outcome() == refusal.Unknown {
		return fasthttp.StatusBadGateway
	}
	return status
}

// handleError responds to requests that the HTTP library rejected before a handler was called.
func (s *callerServer) handleError(c *fiber.Ctx, err error) error {
	s.refuse(c, nil, refusal.New(refusalhttp.KindOf(err), "%v", err))
	return nil
}
