// Package refusal defines the errors with which bilberrymux itself, instead of a backend server,
// responds to a caller. The set of kinds and the response for each kind are fixed.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Kind identifies the reason for a refusal. It is sent to callers.
type Kind string

// Outcome tells a caller whether the refused request may have run on a backend server.
type Outcome string

// Outcomes of a refused request.
const (
	// NotRun means that no backend server ran the request, so that it is safe to send it again.
	NotRun Outcome = "notRun"
	// Unknown means that a backend server may have run the request, in full or in part.
	Unknown Outcome = "unknown"
)

// Kinds of refusals. Each has an entry in responses, which explains it.
const (
	BadRequest          Kind = "badRequest"
	NoRoute             Kind = "noRoute"
	BodyTooLarge        Kind = "bodyTooLarge"
	KeyRequired         Kind = "keyRequired"
	KeyReused           Kind = "keyReused"
	KeyExpired          Kind = "keyExpired"
	KeyInFlight         Kind = "keyInFlight"
	KeyOutcomeUnknown   Kind = "keyOutcomeUnknown"
	StoreUnavailable    Kind = "storeAway"
	QueueFull           Kind = "queueFull"
	DeadlineUnmeetable  Kind = "deadlineUnmeetable"
	DeadlineInQueue     Kind = "deadlineInQueue"
	DeadlineRunning     Kind = "deadlineRunning"
	CallerDisconnected  Kind = "callerGone"
	NoServer            Kind = "noServer"
	ServersUnreachable  Kind = "serversUnreachable"
	ServersShed         Kind = "serversShed"
	ServerFailed        Kind = "serverFailed"
	ResponseTooLarge    Kind = "answerTooLarge"
	Poison              Kind = "poison"
	ForwardingLoop      Kind = "loop"
	PeerUnreachable     Kind = "peerUnreachable"
	PeerLost            Kind = "peerLost"
	LinkBudgetExhausted Kind = "linkBudget"
	NotReady            Kind = "notReady"
	Stopping            Kind = "stopping"
	MemoryFull          Kind = "memoryFull"
	Internal            Kind = "internal"
)

// Response describes the response that callers get for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Outcome tells whether the request may have run.
	Outcome Outcome
	// RetryAfter is the time that the caller should wait before it sends the request again. If
	// it is zero, no Retry-After header is sent.
	RetryAfter time.Duration
	// Retryable reports whether the same request may succeed if it is sent again.
	Retryable bool
	// Text is a human-readable explanation.
	Text string
}

// otherDaemonDelay is the pause before a request is sent to another daemon, which can serve it at once.
const otherDaemonDelay = 10 * time.Millisecond

// responses maps every kind to its response. TestEveryKindHasResponse fails if a kind is missing.
var responses = map[Kind]Response{
	BadRequest:          {400, NotRun, 0, false, "the request is malformed"},
	NoRoute:             {404, NotRun, 0, false, "no route matches the method and path"},
	BodyTooLarge:        {413, NotRun, 0, false, "the request body is above the limit"},
	KeyRequired:         {428, NotRun, 0, false, "this route needs an Idempotency-Key header"},
	KeyReused:           {422, NotRun, 0, false, "the idempotency key was used with another request"},
	KeyExpired:          {410, Unknown, 0, false, "the idempotency key is older than its window"},
	KeyInFlight:         {409, Unknown, time.Second, true, "the first run of this key has not ended"},
	KeyOutcomeUnknown:   {502, Unknown, 0, false, "the run of this key was lost and is never repeated"},
	StoreUnavailable:    {503, NotRun, 2 * time.Second, true, "the claim of this key can't be stored now"},
	QueueFull:           {429, NotRun, time.Second, true, "the queue of this rank is full"},
	DeadlineUnmeetable:  {503, NotRun, time.Second, true, "the deadline can't be met"},
	DeadlineInQueue:     {504, NotRun, time.Second, true, "the deadline passed before a backend server was free"},
	DeadlineRunning:     {504, Unknown, time.Second, true, "the deadline passed while the request ran"},
	CallerDisconnected:  {499, Unknown, 0, true, "the caller closed the connection"},
	NoServer:            {503, NotRun, time.Second, true, "the service has no backend server"},
	ServersUnreachable:  {503, NotRun, time.Second, true, "no backend server could be reached"},
	ServersShed:         {503, NotRun, time.Second, true, "the backend servers shed the request"},
	ServerFailed:        {502, Unknown, time.Second, true, "the backend server failed during the request"},
	ResponseTooLarge:    {502, Unknown, 0, false, "the answer is above the limit"},
	Poison:              {503, NotRun, 30 * time.Second, false, "this request is quarantined: backend servers died running it"},
	ForwardingLoop:      {508, NotRun, 0, true, "the request was forwarded too often"},
	PeerUnreachable:     {503, NotRun, time.Second, true, "the daemon that decides this request can't be reached"},
	PeerLost:            {502, Unknown, time.Second, true, "the daemon that ran this request was lost"},
	LinkBudgetExhausted: {503, NotRun, time.Second, true, "the link between the regions has no budget left"},
	NotReady:            {503, NotRun, time.Second, true, "this daemon has no configuration yet"},
	Stopping:            {503, NotRun, otherDaemonDelay, true, "this daemon shuts down, send the request to another one"},
	MemoryFull:          {503, NotRun, otherDaemonDelay, true, "this daemon has no memory left for the body, send the request to another one"},
	Internal:            {500, Unknown, 0, false, "internal error"},
}

// ResponseFor returns the response for a kind. For an unknown kind, it returns the response for
// Internal.
func ResponseFor(k Kind) Response {
	r, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return r
}

// Kinds returns all kinds in an unspecified order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is the error value of a refusal.
type Error struct {
	Kind Kind
	// Detail is optional, human-readable information about this refusal, in addition to the text of
	// the kind.
	Detail string
	// MayHaveRun reports that an earlier attempt of the same request may have run. The outcome is
	// then Unknown regardless of the kind.
	MayHaveRun bool
	// RetryAfter, if positive, overrides the RetryAfter of the kind's response.
	RetryAfter time.Duration
}

// New returns a refusal of the given kind with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the detail, if any.
func (e *Error) Error() string {
	if e.Detail == "" {
		return "refusal: " + string(e.Kind)
	}
	return "refusal: " + string(e.Kind) + ": " + e.Detail
}

// Outcome returns whether the refused request may have run. It takes MayHaveRun into account.
func (e *Error) Outcome() Outcome {
	if e.MayHaveRun {
		return Unknown
	}
	return ResponseFor(e.Kind).Outcome
}

// From returns the first *Error in the error tree of err. If there is none, it returns an Internal
// refusal, whose outcome is Unknown, with the text of err as its detail.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
