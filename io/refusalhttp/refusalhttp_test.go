package refusalhttp

import (
	"errors"
	"fmt"
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/refusal"
)

// TestKindOf checks the kinds of refusal for errors of the HTTP library, also wrapped, and for others.
func TestKindOf(t *testing.T) {
	for _, test := range []struct {
		err  error
		want refusal.Kind
	}{
		{fiber.ErrRequestEntityTooLarge, refusal.BodyTooLarge},
		{fmt.Errorf("reading: %w", fiber.ErrRequestHeaderFieldsTooLarge), refusal.BadRequest},
		{fiber.ErrBadRequest, refusal.BadRequest},
		{fiber.ErrTeapot, refusal.Internal},
		{errors.New("other"), refusal.Internal},
	} {
		if diff := cmp.Diff(test.want, KindOf(test.err)); diff != "" {
			t.Errorf("kind of refusal for error %q (-want +got):\n%s", test.err, diff)
		}
	}
}
