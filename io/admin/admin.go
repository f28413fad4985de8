// Package admin serves the administration interface for operators: state, metrics and changes of the
// shared configuration. It has a listener of its own, separate from that of callers, and requires a key.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/poison"
	"bilberrymux/core/shard"
	"bilberrymux/io/meter"
	"bilberrymux/io/versions"
)

// Paths of the administration interface. PathHealth and PathReady need no key.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathCounters = "/v1/metrics"
	PathStatus   = "/v1/status"
	PathShards   = "/v1/shards"
	PathMembers  = "/v1/members"
	PathEvents   = "/v1/events"
	PathConfig   = "/v1/config"
	PathHistory  = "/v1/config/history"
	PathDiff     = "/v1/config/diff"
	PathPatch    = "/v1/config/patch"
	PathCheck    = "/v1/config/check"
	PathRollback = "/v1/config/rollback"
	PathPoison   = "/v1/poison"
	PathRelease  = "/v1/poison/release"
	PathDrain    = "/v1/drain"
)

// configTimeout is the time limit of an operator's request that reads or changes stored versions of the
// configuration.
const configTimeout = 20 * time.Second

// Event is a change of a server's state with the service and region of the server.
type Event struct {
	Service ident.ServiceID `json:"service"`
	Region  ident.RegionID  `json:"region"`
	shard.Event
}

// Status is a summary of the state of one daemon.
type Status struct {
	VM             ident.VMID        `json:"vm"`
	Incarnation    ident.Incarnation `json:"incarnation"`
	Region         ident.RegionID    `json:"region"`
	Zone           ident.ZoneID      `json:"zone"`
	State          member.State      `json:"state"`
	Version        ident.Version     `json:"version"`
	Build          string            `json:"build"`
	Started        time.Time         `json:"started"`
	LiveDaemons    int               `json:"liveDaemons"`
	InFlight       int64             `json:"inFlight"`
	RememberedKeys int               `json:"rememberedKeys"`
	// KeptAnswerBytes are held by answers that are kept for resends, and QueuedAnswerBytes by those that wait to be
	// written to the store.
	KeptAnswerBytes   int64 `json:"keptAnswerBytes"`
	QueuedAnswerBytes int64 `json:"queuedAnswerBytes"`
}

// Options are the dependencies of an Admin.
type Options struct {
	// Key is the secret that requests must present as a bearer token.
	Key      string
	Metrics  *meter.Set
	Versions *versions.Replica
	Members  func() *member.View
	Status   func() Status
	Shards   func() []shard.View
	Events   func() []Event
	Poison   *poison.Quarantine
	// BroadcastPoison sends a changed quarantine entry to the other daemons.
	BroadcastPoison func(poison.Entry)
	// Ready returns an error if the daemon is not ready to serve callers.
	Ready func() error
	// Drain starts a planned shutdown of the daemon and does not wait for it.
	Drain func()
}

// Admin is the HTTP server for operators.
type Admin struct {
	options Options
	app     *fiber.App
}

// New returns an administration server. It accepts no requests until Serve is called.
func New(o Options) *Admin {
	a := &Admin{options: o}
	a.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBodyBytes, ErrorHandler: handleError})
	a.app.Get(PathHealth, func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get(PathReady, a.ready)
	a.app.Use(a.authorize)
	a.app.Get(PathMetrics, a.prometheus)
	a.app.Get(PathCounters, func(c *fiber.Ctx) error { return c.JSON(o.Metrics.All()) })
	a.app.Get(PathStatus, func(c *fiber.Ctx) error { return c.JSON(o.Status()) })
	a.app.Get(PathShards, func(c *fiber.Ctx) error { return c.JSON(o.Shards()) })
	a.app.Get(PathMembers, func(c *fiber.Ctx) error { return c.JSON(o.Members().Entries) })
	a.app.Get(PathEvents, func(c *fiber.Ctx) error { return c.JSON(o.Events()) })
	a.app.Get(PathPoison, func(c *fiber.Ctx) error { return c.JSON(poisonViews(o.Poison.Entries(time.Now()))) })
	a.app.Post(PathRelease, a.release)
	a.app.Post(PathDrain, a.drain)
	a.configRoutes()
	return a
}

// maxBodyBytes is the largest request body in bytes, and with it the largest patch.
const maxBodyBytes = 64 << 20

// Serve accepts requests on the listener until Stop is called.
func (a *Admin) Serve(l net.Listener) error {
	return a.app.Listener(l)
}

// stopTimeout is the longest time that Stop waits for requests in flight.
const stopTimeout = time.Second

// Stop stops accepting requests and waits for those in flight, for at most stopTimeout.
func (a *Admin) Stop() error {
	return a.app.ShutdownWithTimeout(stopTimeout)
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error    string           `json:"error"`
	Problems []config.Problem `json:"problems,omitempty"`
	// Current is the version in force if a patch was rejected because its base version was stale.
	Current ident.Version `json:"current,omitempty"`
}

// handleError writes an error as an ErrorResponse with the matching HTTP status.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	body := ErrorResponse{Error: err.Error()}
	var fe *fiber.Error
	var stale *versions.StaleError
	var invalid *config.InvalidError
	switch {
	case errors.As(err, &fe):
		status = fe.Code
	case errors.As(err, &stale):
		status, body.Current = fiber.StatusConflict, stale.Current
	case errors.As(err, &invalid):
		status, body.Problems = fiber.StatusUnprocessableEntity, invalid.Problems
	case errors.Is(err, versions.ErrOutcomeUnknown):
		status = fiber.StatusGatewayTimeout
	}
	return c.Status(status).JSON(body)
}

// authorize rejects requests without the administration key. The comparison takes constant time, so that
// its duration does not reveal how much of a guessed key is right.
func (a *Admin) authorize(c *fiber.Ctx) error {
	key, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(key), []byte(a.options.Key)) != 1 {
		return fiber.NewError(fiber.StatusUnauthorized, "the administration key is missing or wrong")
	}
	return c.Next()
}

func (a *Admin) ready(c *fiber.Ctx) error {
	if err := a.options.Ready(); err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return c.SendString("ready\n")
}

func (a *Admin) drain(c *fiber.Ctx) error {
	a.options.Drain()
	return c.Status(fiber.StatusAccepted).JSON(a.options.Status())
}

// PoisonView is a quarantined request as it is shown to operators.
type PoisonView struct {
	poison.Entry
	// Hex is the fingerprint as 16 hexadecimal digits, as ReleaseRequest expects it.
	Hex string `json:"hex"`
}

func poisonViews(entries []poison.Entry) []PoisonView {
	out := make([]PoisonView, len(entries))
	for i, e := range entries {
		out[i] = PoisonView{e, fmt.Sprintf("%016x", uint64(e.Fingerprint))}
	}
	return out
}

// ReleaseRequest asks to release a request fingerprint from quarantine.
type ReleaseRequest struct {
	Service ident.ServiceID `json:"service"`
	Hex     string          `json:"hex"`
}

// release ends a quarantine on this daemon and sends the change to the other daemons.
func (a *Admin) release(c *fiber.Ctx) error {
	var req ReleaseRequest
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	fingerprint, err := strconv.ParseUint(req.Hex, 16, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "hex must be 16 hexadecimal digits")
	}
	e, ok := a.options.Poison.Release(ident.Fingerprint(fingerprint))
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "no such quarantine")
	}
	a.options.BroadcastPoison(e)
	return c.JSON(e)
}

// newRequestContext returns a context that ends after configTimeout.
func newRequestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), configTimeout)
}

// prometheus returns all metrics in the Prometheus text format.
func (a *Admin) prometheus(c *fiber.Ctx) error {
	text, err := a.options.Metrics.Text()
	if err != nil {
		return fmt.Errorf("admin: metrics: %w", err)
	}
	c.Set(fiber.HeaderContentType, meter.ContentType)
	return c.Send(text)
}
