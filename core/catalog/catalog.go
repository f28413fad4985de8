// Package catalog holds one version of the routes, services and limits that an operator
// configured, indexed for the matching of requests.
package catalog

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bilberrymux/core/ident"
)

// WeightedService is a service that receives a share of the requests of a route.
type WeightedService struct {
	Service ident.ServiceID
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route configures how requests for one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value.
	TargetLatency time.Duration
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int
	// Priority is the rank of the requests as a number; 0 is the most urgent.
	Priority int
	Services []WeightedService
}

// SelectService returns the service that receives the n-th request of the route. Each
// range of consecutive numbers is distributed nearly in proportion to the weights.
func (r *Route) SelectService(n uint64) ident.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	// The constant is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are
	// spread evenly over the value range, also for short runs of consecutive numbers.
	point := float64(n*0x9e3779b97f4a7c15) / (1 << 64) * total
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Service holds the settings of one service.
type Service struct {
	ID ident.ServiceID
	// HealthPath is the URL path at which a server reports its own health.
	HealthPath string
	// MaxConnections is the maximum number of connections to one server from all daemons
	// together.
	MaxConnections int
}

// Limits holds the limits for requests and connections of callers. A zero field means no
// limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one immutable version of the configuration. It is safe for concurrent use.
type Catalog struct {
	Version  ident.Version
	Routes   []*Route
	Services map[ident.ServiceID]Service
	Limits   Limits
	// byHost holds the routes by host, then by prefix.
	byHost map[string]map[string]*Route
	hosts  []string
}

// Hosts returns the hosts of all routes, sorted. The caller must not modify the slice.
func (c *Catalog) Hosts() []string { return c.hosts }

// HostsOf returns the hosts of the routes to a service, sorted.
func (c *Catalog) HostsOf(service ident.ServiceID) []string {
	var hosts []string
	for _, r := range c.Routes {
		if slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service }) {
			hosts = append(hosts, normalizeHost(r.Host))
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// New validates the routes of a version and indexes them by host and prefix. The error
// names the first invalid route.
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
	c.hosts = slices.Sorted(maps.Keys(c.byHost))
	return c, nil
}

// add validates a route and adds it to the index. A later route with the same host and
// prefix replaces an earlier one.
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
	for _, s := range r.Services {
		if _, known := c.Services[s.Service]; !known {
			return fmt.Errorf("service %q is not defined", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight of %q is negative", s.Service)
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

// Match returns the route of the host with the longest prefix that matches the path, or
// nil if there is none. The path must not include the query.
func (c *Catalog) Match(host, path string) *Route {
	prefixes := c.byHost[normalizeHost(host)]
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

// normalizeHost returns the value of a Host header without the port and in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
