package config

import (
	"strings"
)

// anyMethod stands for a route without methods in the index.
const anyMethod = "*"

func indexKey(method, prefix string) string {
	return method + " " + prefix
}

// indexKeys returns the keys under which a route is found.
func (r *Route) indexKeys() []string {
	prefix := cleanPrefix(r.Prefix)
	if len(r.Methods) == 0 {
		return []string{indexKey(anyMethod, prefix)}
	}
	keys := make([]string, 0, len(r.Methods))
	for _, m := range r.Methods {
		keys = append(keys, indexKey(m, prefix))
	}
	return keys
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
		if r, ok := c.index.Get(indexKey(method, prefix)); ok {
			return r
		}
		if r, ok := c.index.Get(indexKey(anyMethod, prefix)); ok {
			return r
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil
		}
		prefix = prefix[:cut]
	}
}
