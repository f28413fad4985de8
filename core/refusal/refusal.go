// Package refusal holds the one closed list of reasons for which bilberrymux
// answers a caller in place of a backend server, and the table from each
// reason to that answer.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a reason for a refusal.
type Kind string

// Outcome says what is known about the request that was refused.
type Outcome string

// The outcomes.
const (
	// NotRun means that no backend server ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// The closed list of kinds.
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
	Internal            Kind = "internal"
)

// Response is what a caller is told for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Outcome says whether the request may have run.
	Outcome Outcome
	// RetryAfter is the pause that the caller is asked for. Zero sends no
	// Retry-After header.
	RetryAfter time.Duration
	// Retryable says whether sending the same request again can help.
	Retryable bool
	// Text explains the kind to a person.
	Text string
}

// responses maps every kind to its answer. A kind without a row is a programmer
// error that TestTableIsClosed catches.
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
	Internal:            {500, Unknown, 0, false, "internal error"},
}

// ResponseFor returns the answer for a kind. An unknown kind gets the answer of
// Internal.
func ResponseFor(k Kind) Response {
	a, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return a
}

// Kinds returns every kind of the closed list, in no order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is a refusal as a Go error.
type Error struct {
	// Kind is the reason.
	Kind Kind
	// Detail is added to the kind's text for a person.
	Detail string
	// MayHaveRun reports that an earlier attempt of the same request may have run, so
	// that the outcome is Unknown whatever the kind's own outcome is.
	MayHaveRun bool
	// RetryAfter overrides the kind's pause when it is above zero.
	RetryAfter time.Duration
}

// New returns a refusal of the given kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return "refusal: " + string(e.Kind)
	}
	return "refusal: " + string(e.Kind) + ": " + e.Detail
}

// Outcome returns what is known about the refused request.
func (e *Error) Outcome() Outcome {
	if e.MayHaveRun {
		return Unknown
	}
	return ResponseFor(e.Kind).Outcome
}

// From returns the refusal inside err. Any other error becomes an Internal
// refusal, whose outcome is Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
