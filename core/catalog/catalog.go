// Package catalog holds one version of the routes, services and limits that an
// operator put in force, in the form in which requests are matched.
package catalog

import (
	"fmt"
	"strings"
	"time"

	"bilberrymux/core/ident"
)

// WeightedService is one service that a route sends a share of its requests to.
type WeightedService struct {
	Service ident.ServiceID
	// Weight is the share in relation to the other parts of the route.
	Weight float64
}

// Route says how the requests of one host under one path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// Attempts bounds the servers that one request may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Services []WeightedService
}

// SelectService returns the part that the n-th request of the route goes to. Any run of
// consecutive numbers is spread close to the weights.
func (r *Route) SelectService(n uint64) ident.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, p := range r.Services {
		total += p.Weight
	}
	// Multiples of the golden ratio fill the unit interval evenly.
	at := float64(n*0x9e3779b97f4a7c15) / (1 << 64) * total
	for _, p := range r.Services {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is one service as the operator describes it.
type Service struct {
	ID ident.ServiceID
	// HealthPath answers whether a server considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections to one server from all daemons.
	MaxConnections int
}

// Limits bound what a caller may send. A zero field is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one immutable version. It is safe for concurrent use.
type Catalog struct {
	Version  ident.Version
	Routes   []*Route
	Services map[ident.ServiceID]Service
	Limits   Limits
	byHost   map[string]map[string]*Route
}

// New indexes the routes of a version. It returns an error that names the first
// route which can't be served as written.
func New(version ident.Version, routes []*Route, services []Service, limits Limits) (*Catalog, error) {
	c := &Catalog{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[ident.ServiceID]Service, len(services)),
		byHost:   map[string]map[string]*Route{},
	}
	for _, s := range services {
		if s.ID == "" {
			return nil, fmt.Errorf("catalog: a service has no name")
		}
		c.Services[s.ID] = s
	}
	for _, r := range routes {
		if err := c.add(r); err != nil {
			return nil, fmt.Errorf("catalog: route %q: %w", r.Name, err)
		}
	}
	return c, nil
}

func (c *Catalog) add(r *Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("has no timeout")
	case r.Attempts < 1:
		return fmt.Errorf("allows no attempt")
	case len(r.Services) == 0:
		return fmt.Errorf("names no service")
	}
	for _, p := range r.Services {
		if _, known := c.Services[p.Service]; !known {
			return fmt.Errorf("service %q is not defined", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight of %q is negative", p.Service)
		}
	}
	prefixes := c.byHost[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		c.byHost[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. The query must not be part of the path.
func (c *Catalog) Match(host, path string) *Route {
	prefixes := c.byHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName drops the port of a Host header and its upper case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
