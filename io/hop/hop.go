// Package hop takes from messages what belongs to one connection only.
package hop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade,
}

// Header is what requests and answers have in common.
type Header interface {
	Peek(key string) []byte
	Del(key string)
}

// Drop removes the headers that belong to one connection.
func Drop(h Header) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
