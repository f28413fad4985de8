package hopbyhop_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bilberrymux/io/hopbyhop"
)

// TestConnectionDoesNotRemoveOwnHeaders guards against responses without their signature, and requests without their id,
// that the sender named in Connection.
func TestConnectionDoesNotRemoveOwnHeaders(t *testing.T) {
	var h fasthttp.ResponseHeader
	for _, name := range []string{"Bilberrymux-Response-Signature", "Keep-Alive", "X-Hop", "X-Other"} {
		h.Set(name, "v")
	}
	h.Set(fasthttp.HeaderConnection, "X-Hop, bilberrymux-response-signature, Bilberrymux-Response-Signature")
	hopbyhop.RemoveHeaders(&h)
	var names []string
	for name := range h.All() {
		names = append(names, string(name))
	}
	if diff := cmp.Diff([]string{"Content-Type", "Bilberrymux-Response-Signature", "X-Other"}, names); diff != "" {
		t.Errorf("headers that are left (-want +got):\n%s", diff)
	}
}
