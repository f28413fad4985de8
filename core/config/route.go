package config

import (
	"slices"
	"strings"
)

// methodRoute is an element of the route index: the route for one HTTP method under a prefix.
type methodRoute struct {
	// method is an HTTP method or anyMethod.
	method string
	route  *Route
}

// anyMethod is the index key of a route that serves all methods.
const anyMethod = ""

// methods returns the methods under which the route is indexed.
func (r *Route) methods() []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

// trimTrailingSlashes removes all trailing slashes, so that "/a/" and "/a" are the same prefix.
func trimTrailingSlashes(prefix string) string {
	return strings.TrimRight(prefix, "/")
}

// Match returns the route for the method with the longest matching prefix of the path, or nil if
// no route matches. For the same prefix, a route that lists the method takes precedence over a
// route for all methods.
func (c *Config) Match(method, path string) *Route {
	prefix := trimTrailingSlashes(path)
	for {
		routes, _ := c.index.Get(prefix)
		if r := selectRoute(routes, method); r != nil {
			return r
		}
		lastSlash := strings.LastIndexByte(prefix, '/')
		if lastSlash < 0 {
			return nil
		}
		prefix = prefix[:lastSlash]
	}
}

// selectRoute returns the route for the method from the routes of one prefix, or nil if there is
// none.
func selectRoute(routes []methodRoute, method string) *Route {
	var wildcard *Route
	for _, m := range routes {
		if m.method == method {
			return m.route
		}
		if m.method == anyMethod {
			wildcard = m.route
		}
	}
	return wildcard
}

// removeFromIndex removes the route from the index. The index of other versions is not affected.
func (c *Config) removeFromIndex(r *Route) {
	prefix := trimTrailingSlashes(r.Prefix)
	indexed, _ := c.index.Get(prefix)
	remaining := slices.DeleteFunc(slices.Clone(indexed), func(m methodRoute) bool { return m.route == r })
	if len(remaining) == 0 {
		c.index = c.index.Without(prefix)
		return
	}
	c.index = c.index.With(prefix, remaining)
}

// addToIndex adds the route to the index. If another route already serves the same method and
// prefix, it adds a problem for the field at path + ".prefix".
func (c *Config) addToIndex(path string, r *Route, check *checker) {
	prefix := trimTrailingSlashes(r.Prefix)
	indexed, _ := c.index.Get(prefix)
	routes := slices.Clone(indexed)
	for _, method := range r.methods() {
		duplicate := slices.ContainsFunc(routes, func(m methodRoute) bool { return m.method == method })
		if duplicate {
			check.add(path+".prefix", "another route serves %q", method+" "+prefix)
			continue
		}
		routes = append(routes, methodRoute{method, r})
	}
	c.index = c.index.With(prefix, routes)
}
