package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/shard"
	"bilberrymux/io/httpread"
)

// maxBufferedBody is the size in bytes up to which a response body is buffered before
// any of it is sent to the caller, so that a truncated response can be turned into a
// refusal. Larger bodies are streamed, and so are those of more than minBufferedBody bytes when the
// buffers of all exchanges hold as much as they may.
const (
	maxBufferedBody = 256 << 10
	minBufferedBody = 16 << 10
)

// ErrTruncated is returned for a response body that ended early.
var ErrTruncated = errors.New("backend: response body truncated")

// readBody buffers a body of up to maxBufferedBody bytes and returns a larger one as a
// stream.
func (c *Client) readBody(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.Outcome, error) {
	if resp.BodyStream() == nil {
		return c.finishBuffered(address, sc, resp, stop)
	}
	length := resp.Header.ContentLength()
	// The stream adds the trailers to the header when it reads the end of the body.
	var withoutTrailers fasthttp.ResponseHeader
	if length == httpread.ChunkedLength {
		resp.Header.CopyTo(&withoutTrailers)
	}
	source := &bodyReader{src: resp.BodyStream(), remaining: int64(length), hasLength: length >= 0}
	head := newBodyBuffer(c.buffers)
	err := fillBuffer(head, source)
	switch {
	case err == io.EOF:
		head.Release()
		_ = resp.CloseBodyStream()
		if length == httpread.ChunkedLength {
			sc.trailers = trailerNames(&resp.Header)
			withoutTrailers.CopyTo(&resp.Header)
		}
		resp.SetBodyRaw(head.Bytes)
		return c.finishBuffered(address, sc, resp, stop)
	case err != nil:
		head.Release()
		stop()
		outcome := failureOutcome(ctx, sc, err)
		c.closeConn(sc, closeReason(outcome, err))
		fasthttp.ReleaseResponse(resp)
		return nil, outcome, fmt.Errorf("backend: %s: %w", address, err)
	}
	return c.stream(ctx, address, sc, resp, head, source, stop)
}

// finishBuffered ends an exchange whose response was read completely. It returns the
// connection to the pool or closes it.
func (c *Client) finishBuffered(address string, sc *serverConn, resp *fasthttp.Response, stop func() bool) (*Answer, shard.Outcome, error) {
	answer := sc.bufferedAnswer(resp)
	switch {
	case !stop():
		c.closeConn(sc, CloseCancelled)
	case sc.mismatched:
		c.closeConn(sc, CloseMismatched)
	case resp.ConnectionClose():
		c.closeConn(sc, CloseByServer)
	case !sc.reusable():
		c.closeConn(sc, sc.retireReason())
	default:
		sc.keepAlive = keepAliveTime(&resp.Header)
		c.pool(address).put(time.Now(), sc)
	}
	return answer, responseOutcome(answer), nil
}

// bufferedAnswer returns the answer with a response that was read completely.
func (sc *serverConn) bufferedAnswer(resp *fasthttp.Response) *Answer {
	answer := &Answer{Response: resp, Trailers: sc.trailers}
	if sc.head != nil && sc.head.Framed() && len(sc.trailers) == 0 && !sc.mismatched {
		answer.Head = sc.head
	}
	return answer
}

// trailerNames returns the names of the trailers that a response announced or had.
func trailerNames(h *fasthttp.ResponseHeader) []string {
	var names []string
	for _, name := range h.PeekTrailerKeys() {
		names = append(names, string(name))
	}
	return names
}

// stream returns an answer whose body is read from the connection while the caller
// reads it. head is the part of the body that was already read, rest the remainder.
func (c *Client) stream(ctx context.Context, address string, sc *serverConn, resp *fasthttp.Response, head *bytebudget.Buffer, rest *bodyReader, stop func() bool) (*Answer, shard.Outcome, error) {
	body := &streamBody{Reader: io.MultiReader(bytes.NewReader(head.Bytes), rest), source: rest}
	answer := &Answer{Response: &fasthttp.Response{}, Streamed: true}
	resp.Header.CopyTo(&answer.Response.Header)
	body.onClose = func(complete bool) {
		head.Release()
		reusable := stop() && complete && sc.reusable() && !resp.ConnectionClose()
		outcome := shard.Good
		switch {
		case complete:
		case errors.Is(ctx.Err(), context.Canceled) || rest.err == nil:
			outcome = shard.Cancelled
		default:
			outcome = shard.Broken
		}
		if reusable {
			_ = resp.CloseBodyStream()
			sc.keepAlive = keepAliveTime(&resp.Header)
			c.pool(address).put(time.Now(), sc)
		} else {
			c.closeConn(sc, streamCloseReason(outcome, rest.err, sc))
		}
		answer.Finish(outcome)
	}
	answer.Response.SetBodyStream(body, resp.Header.ContentLength())
	return answer, responseOutcome(answer), nil
}

// streamCloseReason returns the reason for closing a connection after a streamed answer, whose body may have ended with
// an error.
func streamCloseReason(outcome shard.Outcome, err error, sc *serverConn) CloseReason {
	switch {
	case outcome != shard.Good:
		return closeReason(outcome, err)
	case !sc.reusable():
		return sc.retireReason()
	}
	return CloseByServer
}
