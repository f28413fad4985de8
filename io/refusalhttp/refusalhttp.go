// Package refusalhttp encodes refusals as HTTP responses, which daemons send to callers instead of a
// backend server's answer, and defines their JSON form.
package refusalhttp

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/refusal"
)

// Refusal is the JSON body of a refusal.
type Refusal struct {
	Kind    refusal.Kind    `json:"kind"`
	Outcome refusal.Outcome `json:"outcome"`
	Resend  bool            `json:"resend"`
	Text    string          `json:"text"`
	Detail  string          `json:"detail,omitempty"`
	// RetryAfterMillis is the time in milliseconds that the caller should wait before it resends.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// RetryAfterOf returns the time that the caller should wait before it resends the request. It is zero if
// no wait is requested. A time in the refusal takes precedence over that of its kind.
func RetryAfterOf(e *refusal.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return refusal.ResponseFor(e.Kind).RetryAfter
}

// SetBody sets the JSON form of a refusal as the body of the response.
func SetBody(c *fiber.Ctx, e *refusal.Error) {
	response := refusal.ResponseFor(e.Kind)
	body, err := json.Marshal(Refusal{
		Kind: e.Kind, Outcome: e.Outcome(), Resend: response.Retryable, Text: response.Text, Detail: e.Detail,
		RetryAfterMillis: RetryAfterOf(e).Milliseconds(),
	})
	if err != nil {
		panic(err) // can't happen: strings, booleans and integers can always be encoded
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Response().SetBodyRaw(body)
}

// KindOf returns the kind of refusal for an error with which the HTTP library rejected a request before a
// handler ran. Other errors are of kind Internal.
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
