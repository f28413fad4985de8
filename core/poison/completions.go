package poison

import (
	"time"

	"bilberrymux/core/ident"
)

const (
	// completionTTL is the time for which an answer shows that a crash was not the request's fault.
	completionTTL = time.Minute
	// maxCompletions is the number of answers that are remembered. An answer takes the place of another one, by its
	// fingerprint.
	maxCompletions = 2048
)

// completion is an answer of a service to a fingerprint.
type completion struct {
	service     ident.ServiceID
	fingerprint ident.Fingerprint
	at          time.Time
}

// completions holds recent answers. It is not safe for concurrent use.
type completions struct {
	slots [maxCompletions]completion
}

func newCompletions() *completions { return &completions{} }

// slot returns the place of the answers to a fingerprint.
func (c *completions) slot(f ident.Fingerprint) *completion {
	return &c.slots[uint64(f)%maxCompletions]
}

// add records an answer.
func (c *completions) add(now time.Time, service ident.ServiceID, f ident.Fingerprint) {
	*c.slot(f) = completion{service, f, now}
}

// recent reports whether a service has answered a fingerprint within completionTTL, as far as is remembered.
func (c *completions) recent(now time.Time, service ident.ServiceID, f ident.Fingerprint) bool {
	s := c.slot(f)
	return s.service == service && s.fingerprint == f && !s.at.IsZero() && now.Sub(s.at) < completionTTL
}
