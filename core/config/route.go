package config

import (
	"slices"
	"strings"
)

// methodRoute is the route of one method under a prefix.
type methodRoute struct {
	// method is an HTTP method, or anyMethod.
	method string
	route  *Route
}

// anyMethod stands for a route without methods.
const anyMethod = ""

// methods returns the methods under which a route is found.
func (r *Route) methods() []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

// cleanPrefix drops a trailing slash, so that "/a/" and "/a" are one prefix.
func cleanPrefix(prefix string) string {
	return strings.TrimRight(prefix, "/")
}

// Match returns the route with the longest prefix of the path that serves the
// method, or nil. A route that names the method goes before one that serves
// every method under the same prefix.
func (c *Config) Match(method, path string) *Route {
	prefix := cleanPrefix(path)
	for {
		routes, _ := c.index.Get(prefix)
		if r := choose(routes, method); r != nil {
			return r
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil
		}
		prefix = prefix[:cut]
	}
}

// choose returns the route of a method among those of one prefix.
func choose(routes []methodRoute, method string) *Route {
	var every *Route
	for _, m := range routes {
		if m.method == method {
			return m.route
		}
		if m.method == anyMethod {
			every = m.route
		}
	}
	return every
}

// unindex takes a route out of the index.
func (c *Config) unindex(r *Route) {
	prefix := cleanPrefix(r.Prefix)
	old, _ := c.index.Get(prefix)
	rest := slices.DeleteFunc(slices.Clone(old), func(m methodRoute) bool { return m.route == r })
	if len(rest) == 0 {
		c.index = c.index.Without(prefix)
		return
	}
	c.index = c.index.With(prefix, rest)
}

// addToIndex makes a route findable. It reports each method under which another
// route is found already.
func (c *Config) addToIndex(path string, r *Route, check *checker) {
	prefix := cleanPrefix(r.Prefix)
	old, _ := c.index.Get(prefix)
	routes := slices.Clone(old)
	for _, method := range r.methods() {
		taken := slices.ContainsFunc(routes, func(m methodRoute) bool { return m.method == method })
		if taken {
			check.add(path+".prefix", "another route serves %q", method+" "+prefix)
			continue
		}
		routes = append(routes, methodRoute{method, r})
	}
	c.index = c.index.With(prefix, routes)
}
