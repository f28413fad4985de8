package edge

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/io/listener"
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
		{"callers", e.settings.CallerAddress, e.callerServer.app.Listener},
		{"ready", e.settings.ReadyAddress, e.infoServer.app.Listener},
		{"locate", e.settings.LocateAddress, e.infoServer.app.Listener},
		{"metrics", metricsAddress, e.infoServer.app.Listener},
	}
	for _, l := range listeners {
		if l.name == "metrics" && e.settings.MetricsPort == 0 {
			continue
		}
		accepting, err := listener.Listen(l.address, e.log)
		if err != nil {
			return fmt.Errorf("edge: %s: %w", l.name, err)
		}
		e.closers = append(e.closers, accepting.Close)
		e.background.Go(func() { e.reportListenerEnd(l.name, l.serve(accepting)) })
	}
	return nil
}

// infoServer is the HTTP server for everything but the requests of callers: it locates daemons
// for a host, reports whether the daemon is ready, and returns its metrics.
type infoServer struct {
	edge *Edge
	app  *fiber.App
}

// pathMetrics is the path at which operators read the metrics.
const pathMetrics = "/metrics"

// infoIdleTimeout is how long an idle connection to this server is kept open.
const infoIdleTimeout = 10 * time.Second

func newInfoServer(e *Edge) *infoServer {
	s := &infoServer{edge: e, app: fiber.New(fiber.Config{DisableStartupMessage: true, IdleTimeout: infoIdleTimeout})}
	s.app.Get(platform.PathReady, s.ready)
	s.app.Get(platform.PathLocate, s.locate)
	s.app.Get(pathMetrics, s.metrics)
	return s
}

func (s *infoServer) ready(c *fiber.Ctx) error {
	if !s.edge.ready() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

// locateLifetime is how long callers may cache an answer, unless the settings demand less.
const locateLifetime = 2 * time.Second

// locate returns the addresses of the daemons of this zone that serve the host. Callers ask the
// daemons of their own zone first.
func (s *infoServer) locate(c *fiber.Ctx) error {
	s.edge.count("locates")
	query := platform.ParseLocate(c.Context().QueryArgs())
	var addresses []string
	owners := s.edge.owners(query.Host)
	s.edge.countBy("locates.named", "daemons", strconv.Itoa(len(owners)))
	for _, m := range owners {
		addresses = append(addresses, m.CallerAddress)
	}
	body, err := platform.FormatLocate(addresses, min(locateLifetime, s.edge.settings.Bounds.LocateLifetime.Duration()))
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

func (s *infoServer) metrics(c *fiber.Ctx) error {
	s.edge.updateGauges()
	text, err := s.edge.metrics.Text()
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	c.Set(fiber.HeaderContentType, meter.ContentType)
	return c.Send(text)
}
