package edge

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/io/meter"
	"bilberrymux/platform"
)

// listen opens the listeners for callers, the platform and operators.
func (e *Edge) listen() error {
	metricsAddress := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.MetricsPort))
	listeners := []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"callers", e.settings.CallerAddress, e.front.app.Listener},
		{"ready", e.settings.ReadyAddress, e.service.app.Listener},
		{"locate", e.settings.LocateAddress, e.service.app.Listener},
		{"metrics", metricsAddress, e.service.app.Listener},
	}
	for _, l := range listeners {
		if l.name == "metrics" && e.settings.MetricsPort == 0 {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("edge: %s: %w", l.name, err)
		}
		e.closers = append(e.closers, listener.Close)
		e.background.Go(func() { e.serving(l.name, l.serve(listener)) })
	}
	return nil
}

// service answers all but the requests of callers: where to connect, whether the
// daemon is ready, and its metrics.
type service struct {
	edge *Edge
	app  *fiber.App
}

// pathMetrics is where operators read the metrics.
const pathMetrics = "/metrics"

// serviceIdle is how long an idle connection of these listeners is kept.
const serviceIdle = 10 * time.Second

func newService(e *Edge) *service {
	s := &service{edge: e, app: fiber.New(fiber.Config{DisableStartupMessage: true, IdleTimeout: serviceIdle})}
	s.app.Get(platform.PathReady, s.ready)
	s.app.Get(platform.PathLocate, s.locate)
	s.app.Get(pathMetrics, s.metrics)
	return s
}

func (s *service) ready(c *fiber.Ctx) error {
	if !s.edge.ready() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

// The answers to callers that ask where to connect.
const (
	// leastOwners is the least number of daemons of a zone that the callers of
	// one host are sent to: the evidence about its servers meets there. Of
	// larger zones it is one in ownersPart.
	leastOwners = 2
	ownersPart  = 4
	// locateLifetime is how long callers keep an answer.
	locateLifetime = 2 * time.Second
)

// locate names the daemons of this zone that serve the host. Callers ask the
// daemons of their own zone first.
func (s *service) locate(c *fiber.Ctx) error {
	s.edge.count("locates")
	query := platform.ParseLocate(c.Context().QueryArgs())
	var addresses []string
	for _, m := range s.edge.members.Owners(query.Host, s.edge.owners()) {
		addresses = append(addresses, m.CallerAddress)
	}
	body, err := platform.FormatLocate(addresses, min(locateLifetime, s.edge.settings.Bounds.LocateLifetime.Duration()))
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

func (s *service) metrics(c *fiber.Ctx) error {
	s.edge.gauges()
	text, err := s.edge.metrics.Text()
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	c.Set(fiber.HeaderContentType, meter.ContentType)
	return c.Send(text)
}
