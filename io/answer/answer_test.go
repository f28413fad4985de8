package answer

import (
	"errors"
	"fmt"
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/refusal"
)

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
			t.Errorf("%v: %s", test.err, diff)
		}
	}
}
