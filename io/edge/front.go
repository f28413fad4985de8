package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/io/answer"
	"bilberrymux/io/hop"
	"bilberrymux/io/meter"
	"bilberrymux/io/watch"
	"bilberrymux/platform"
)

// front serves callers.
type front struct {
	edge *Edge
	app  *fiber.App
}

// The bounds of the callers' listener.
const (
	// maxBody bounds in bytes the body of a request; the configuration may set
	// a lower limit.
	maxBody = 64 << 20
	// headerBuffer bounds in bytes the head of a request.
	headerBuffer = 16 << 10
	// idleCaller is how long an idle connection of a caller is kept.
	idleCaller = 60 * time.Second
)

func newFront(e *Edge) *front {
	f := &front{edge: e}
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, DisableDefaultDate: true, DisablePreParseMultipartForm: true,
		BodyLimit: maxBody, ReadBufferSize: headerBuffer, IdleTimeout: idleCaller, ErrorHandler: f.failed,
	})
	f.app.Server().NoDefaultServerHeader = true
	f.app.Server().NoDefaultContentType = true
	f.app.All("/*", f.serve)
	return f
}

// call is one request of a caller.
type call struct {
	id       string
	route    *catalog.Route
	service  ident.ServiceID
	version  ident.Version
	received time.Time
	deadline time.Time
	// request is the caller's without what belongs to its connection.
	request     *fasthttp.Request
	fingerprint ident.Fingerprint
}

// serve handles one request.
func (f *front) serve(c *fiber.Ctx) error {
	e := f.edge
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.requests.Add(1)
	e.count("requests")
	if e.stopping.Load() {
		c.Response().SetConnectionClose()
	}
	now := time.Now()
	call, refused := f.read(c, now)
	if refused != nil {
		f.refuse(c, call, refused)
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.deadline)
	defer cancel()
	w := watch.New(c.Context().Conn(), cancel)
	answer, refused := e.forward(ctx, call)
	w.Stop()
	if refused != nil {
		f.refuse(c, call, refused)
		return nil
	}
	f.answer(c, call, answer)
	return nil
}

// read matches a request with its route. The call is nil where there is none.
func (f *front) read(c *fiber.Ctx, now time.Time) (*call, *refusal.Error) {
	cat := f.edge.keeper.Catalog()
	if cat.Version == 0 {
		return nil, refusal.New(refusal.NotReady, "")
	}
	header := &c.Request().Header
	path := string(header.RequestURI())
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	route := cat.Match(string(header.Host()), path)
	if route == nil {
		return nil, refusal.New(refusal.NoRoute, "%s %s, version %d", header.Host(), path, cat.Version)
	}
	if limit := cat.Limits.BodyBytes; limit > 0 && len(c.Request().Body()) > limit {
		return nil, refusal.New(refusal.BodyTooLarge, "%d bytes, the limit is %d", len(c.Request().Body()), limit)
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
		service: route.SelectService(f.edge.turn(route.Name)), received: now, deadline: deadline, request: outgoing(c),
	}
	k.fingerprint = fingerprintOf(k.request)
	return k, nil
}

// outgoing copies the request as it goes to a server: all of it but what
// belongs to one connection. The request target stays as the caller wrote it.
func outgoing(c *fiber.Ctx) *fasthttp.Request {
	// The request is not taken from a pool: an attempt that another one outran
	// may still read it after the caller has its answer.
	req := &fasthttp.Request{}
	c.Request().Header.CopyTo(&req.Header)
	req.SetBody(c.Request().Body())
	hop.Drop(&req.Header)
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.Del(fasthttp.HeaderTransferEncoding)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	req.UseHostHeader = true
	return req
}

// answer hands a server's answer to the caller.
func (f *front) answer(c *fiber.Ctx, k *call, a *reply) {
	f.edge.count("answers")
	took := time.Since(k.received)
	f.edge.observe(k, "answered", took)
	f.edge.log.WithFields(logrus.Fields{
		"request": k.id, "route": k.route.Name, "service": k.service, "server": a.server, "status": a.response.StatusCode(),
		"attempts": a.sends, "risk": a.risk, "evidenceAgeMillis": a.evidenceAge.Milliseconds(),
		"version": k.version, "tookMillis": took.Milliseconds(),
	}).Info(event.Answered)
	dst := c.Response()
	closing := dst.ConnectionClose()
	a.response.CopyTo(dst)
	hop.Drop(&dst.Header)
	dst.Header.Del(fasthttp.HeaderTransferEncoding)
	if closing {
		dst.SetConnectionClose()
	} else {
		dst.Header.ResetConnectionClose()
	}
}

// observe records the time that a request took, by what it was and how it ended.
func (e *Edge) observe(k *call, outcome string, took time.Duration) {
	kind := "once"
	if k.route.Idempotent {
		kind = "idempotent"
	}
	e.metrics.Observe(meter.Name("latencyMicros",
		meter.Label{Key: "kind", Value: kind}, meter.Label{Key: "priority", Value: strconv.Itoa(k.route.Priority)},
		meter.Label{Key: "service", Value: string(k.service)}, meter.Label{Key: "outcome", Value: outcome},
	), took)
}

// refuse answers in place of a server. The statuses that promise that nothing
// ran are given only where that is true.
func (f *front) refuse(c *fiber.Ctx, k *call, r *refusal.Error) {
	f.edge.countBy("refusals", "kind", string(r.Kind))
	fields := logrus.Fields{"kind": r.Kind, "outcome": r.Outcome(), "detail": r.Detail}
	if k != nil {
		took := time.Since(k.received)
		f.edge.observe(k, "refused", took)
		fields["request"], fields["route"], fields["service"] = k.id, k.route.Name, k.service
		fields["version"], fields["tookMillis"] = k.version, took.Milliseconds()
	} else {
		fields["request"] = string(c.Request().Header.Peek(platform.HeaderRequestID))
	}
	f.edge.log.WithFields(fields).Warn(event.Refused)
	status := statusOf(r)
	c.Status(status)
	if pause := answer.PauseOf(r); promises(status) && pause > 0 {
		c.Set(fiber.HeaderRetryAfter, platform.FormatRetryAfter(pause))
	}
	answer.SetBody(c, r)
}

// statusOf returns the status of a refusal, never one that promises what may not
// be true.
func statusOf(r *refusal.Error) int {
	status := refusal.ResponseFor(r.Kind).Status
	if promises(status) && r.Outcome() == refusal.Unknown {
		return fasthttp.StatusBadGateway
	}
	return status
}

// promises reports whether a status says that the request did not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failed answers what the library refused before a handler ran.
func (f *front) failed(c *fiber.Ctx, err error) error {
	f.refuse(c, nil, refusal.New(answer.KindOf(err), "%v", err))
	return nil
}
