// Package answer writes the refusals that daemons give in place of a backend
// server's answer.
package answer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/refusal"
)

// Refusal is the body of a refusal.
type Refusal struct {
	Kind    refusal.Kind    `json:"kind"`
	Outcome refusal.Outcome `json:"outcome"`
	Resend  bool            `json:"resend"`
	Text    string          `json:"text"`
	Detail  string          `json:"detail,omitempty"`
	// RetryAfterMillis is the pause that the caller is asked for.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// RetryAfterOf returns the pause that the caller is asked for; zero asks for none.
func RetryAfterOf(e *refusal.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return refusal.ResponseFor(e.Kind).RetryAfter
}

// SetBody makes a refusal the body of an answer.
func SetBody(c *fiber.Ctx, e *refusal.Error) {
	table := refusal.ResponseFor(e.Kind)
	body, err := json.Marshal(Refusal{
		Kind: e.Kind, Outcome: e.Outcome(), Resend: table.Retryable, Text: table.Text, Detail: e.Detail,
		RetryAfterMillis: RetryAfterOf(e).Milliseconds(),
	})
	if err != nil {
		panic(err) // texts and numbers can always be written
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Response().SetBodyRaw(body)
}

// KindOf returns the kind of an error by which the HTTP library refused a request
// before a handler ran.
func KindOf(err error) refusal.Kind {
	var fe *fiber.Error
	if errors.As(err, &fe) {
		switch fe.Code {
		case fiber.StatusRequestEntityTooLarge:
			return refusal.BodyTooLarge
		case fiber.StatusBadRequest, fiber.StatusRequestHeaderFieldsTooLarge:
			return refusal.BadRequest
		}
	}
	return refusal.Internal
}
