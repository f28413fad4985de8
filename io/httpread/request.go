package httpread

import (
	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
)

// CheckRequest checks the fields of a request that the library has received. It returns an error that wraps
// httphead.ErrMalformed if one is malformed.
func CheckRequest(h *fasthttp.RequestHeader) error {
	raw := h.RawHeaders()
	if len(raw) == 0 {
		// The request has no fields.
		return nil
	}
	return httphead.CheckFields(raw)
}
