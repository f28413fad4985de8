// Package hopbyhop removes hop-by-hop header fields from HTTP messages, which a proxy must not
// forward.
package hopbyhop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// headerNames lists the hop-by-hop header fields, which apply to a single connection
// (RFC 9110, section 7.6.1).
var headerNames = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade,
}

// Header is the common subset of fasthttp.RequestHeader and fasthttp.ResponseHeader that
// RemoveHeaders uses.
type Header interface {
	Peek(key string) []byte
	Del(key string)
}

// endToEndPrefix begins the names of the product's own fields, which no sender can make hop-by-hop: without them,
// a response would lose its signature and a request its id.
const endToEndPrefix = "bilberrymux-"

// RemoveHeaders deletes the fields that the message's Connection header names, other than the product's own, and
// all standard hop-by-hop fields.
func RemoveHeaders(h Header) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		name = strings.TrimSpace(name)
		if name != "" && !strings.HasPrefix(strings.ToLower(name), endToEndPrefix) {
			h.Del(name)
		}
	}
	for _, name := range headerNames {
		h.Del(name)
	}
}
