package backend

import (
	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
	"bilberrymux/core/shard"
)

// Answer is the response of a server. It is not safe for concurrent use.
type Answer struct {
	Response *fasthttp.Response
	// Streamed reports whether the body is read from the server while the caller reads
	// it. The body stream of such an answer must be read to its end or closed, for
	// instance by Discard.
	Streamed bool
	// Head is the head of a response with an error status. It is nil if the response leaves any doubt about what
	// it says or where it ends: it is not well-formed, has trailers or no marked end, is not read to its end
	// yet, or came after an interim response or one to another request.
	Head *httphead.Head
	// Trailers are the names of the fields that the server announced or sent after the body. They are not part
	// of Response.
	Trailers []string
	// onEnd is called with the outcome of a streamed answer. It may be nil.
	onEnd func(shard.Outcome)
	// afterEnd holds the functions that are called after onEnd.
	afterEnd []func()
}

// OnEnd sets the function that is called once with the outcome of a streamed answer.
func (a *Answer) OnEnd(f func(shard.Outcome)) {
	a.onEnd = f
}

// AfterEnd calls f at once if the answer is buffered, or else when its stream ends,
// after the function set by OnEnd.
func (a *Answer) AfterEnd(f func()) {
	if !a.Streamed {
		f()
		return
	}
	a.afterEnd = append(a.afterEnd, f)
}

// CopyTo copies the answer to the response for a caller. The body of a streamed answer is read when
// the response is written, so that one which breaks off is never completed.
func (a *Answer) CopyTo(dst *fasthttp.Response) {
	if !a.Streamed {
		a.Response.CopyTo(dst)
		return
	}
	a.Response.Header.CopyTo(&dst.Header)
	dst.SetBodyStream(a.Response.BodyStream(), a.Response.Header.ContentLength())
}

// Discard closes the stream of an answer that is not needed.
func (a *Answer) Discard() {
	if a.Streamed {
		_ = a.Response.CloseBodyStream()
	}
}

// Finish calls the functions set by OnEnd and AfterEnd with the outcome of a streamed
// answer.
func (a *Answer) Finish(outcome shard.Outcome) {
	if a.onEnd != nil {
		a.onEnd(outcome)
	}
	for _, f := range a.afterEnd {
		f()
	}
}

// responseOutcome returns the outcome that a response stands for.
func responseOutcome(a *Answer) shard.Outcome {
	status := a.Response.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		return shard.Good
	}
	if status == fasthttp.StatusServiceUnavailable && a.Head != nil {
		switch reason, _ := a.Head.Only(NotRunHeader); reason {
		case ShedValue:
			return shard.Shed
		case DrainValue:
			return shard.Drain
		}
	}
	return shard.ServerError
}
