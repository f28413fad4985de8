// Package router routes each request to the daemon and the servers that run it. A request goes to
// the owner of its shard, to the daemon that decides its idempotency key, or to another region if
// this daemon's region can't serve it.
package router

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/io/backend"
	"bilberrymux/io/httpread"
)

// Call is one caller's request with the attributes that are needed to route and run it.
type Call struct {
	ID           string
	Service      ident.ServiceID
	Rank         ident.Rank
	Organisation ident.OrganisationID
	Deadline     time.Time
	Idempotent   bool
	// Key is the idempotency key of a request that must run at most once, or nil.
	Key         *once.Key
	Fingerprint ident.Fingerprint
	// LatencyClass groups requests whose latencies are comparable. See LatencyClassOf.
	LatencyClass uint8
	// Hops is the number of times the request has been forwarded between daemons.
	Hops int
	// HTTP is the request that is sent to the backend server.
	HTTP *fasthttp.Request
}

// Reply is the result of a call: either Answer or Refused is set.
type Reply struct {
	Answer  *backend.Answer
	Refused *refusal.Error
	// Owner is the caller address of the shard's owner if the request was forwarded to it, or empty.
	Owner string
	// Replayed reports that the answer was stored by an earlier run of the same key.
	Replayed bool
}

// refuse returns a reply with a refusal of the given kind and a formatted detail.
func refuse(kind refusal.Kind, format string, args ...any) Reply {
	return Reply{Refused: refusal.New(kind, format, args...)}
}

// FingerprintOf returns a hash of the method, the URI and the body of a request. Requests with the
// same fingerprint are treated as the same work.
func FingerprintOf(req *fasthttp.Request) ident.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(req.Header.Method())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(req.Header.RequestURI())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(req.Body())
	return ident.Fingerprint(d.Sum64())
}

// LatencyClassOf returns the latency class of the route with the given path prefix. It is the low
// byte of a hash, so that several routes may share a class.
func LatencyClassOf(prefix string) uint8 {
	return uint8(xxhash.Sum64String(prefix))
}

// maxStoredAnswerBytes is the largest body in bytes of an answer to a request with an idempotency
// key. The answer is held in memory, so that it can be replayed when the caller resends the request.
const maxStoredAnswerBytes = 8 << 20

// encodeAnswer reads the whole answer, including a streamed body within the budget, and encodes it as HTTP/1.1. It
// closes the body stream.
func encodeAnswer(a *backend.Answer, buffers *bytebudget.Budget) ([]byte, *refusal.Error) {
	if a.Streamed {
		size := int64(maxStoredAnswerBytes)
		if n := a.Response.Header.ContentLength(); n >= 0 {
			size = min(size, int64(n))
		}
		if !buffers.TryTake(size) {
			a.Discard()
			return nil, refusal.New(refusal.ResponseTooLarge, "no memory is left for %d bytes", size)
		}
		defer buffers.Return(size)
		body, err := io.ReadAll(io.LimitReader(a.Response.BodyStream(), maxStoredAnswerBytes+1))
		_ = a.Response.CloseBodyStream()
		if err != nil {
			return nil, refusal.New(refusal.ServerFailed, "%v", err)
		}
		if len(body) > maxStoredAnswerBytes {
			return nil, refusal.New(refusal.ResponseTooLarge, "above %d bytes", maxStoredAnswerBytes)
		}
		a.Response.SetBodyRaw(body)
	}
	raw, err := encodeMessage(a.Response)
	if err != nil {
		return nil, refusal.New(refusal.Internal, "%v", err)
	}
	return raw, nil
}

// httpMessage is a request or a response of the HTTP library.
type httpMessage interface {
	Write(w *bufio.Writer) error
}

// writerPool holds writers for encodeMessage to avoid allocating a buffer for each message.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// encodeMessage returns a message in HTTP/1.1 format.
func encodeMessage(m httpMessage) ([]byte, error) {
	var out bytes.Buffer
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(&out)
	if err := m.Write(w); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return out.Bytes(), nil
}

// newMessageReader returns a reader of an encoded message. Its buffer is about as large as the message,
// which is often smaller than the default buffer size.
func newMessageReader(raw []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(raw), len(raw))
}

// decodeHead returns a response with the head that another daemon handed on, which must be well-formed.
func decodeHead(raw []byte) (*fasthttp.Response, error) {
	r := newMessageReader(raw)
	if _, err := httpread.Next(r); err != nil {
		return nil, fmt.Errorf("router: forwarded answer: %w", err)
	}
	resp := &fasthttp.Response{}
	if err := resp.Header.Read(r); err != nil {
		return nil, fmt.Errorf("router: forwarded answer: %w", err)
	}
	return resp, nil
}

// decodeAnswer decodes an answer that encodeAnswer has encoded.
func decodeAnswer(raw []byte) (*backend.Answer, error) {
	resp := &fasthttp.Response{}
	if err := httpread.ReadWhole(newMessageReader(raw), resp, 0); err != nil {
		return nil, fmt.Errorf("router: kept answer: %w", err)
	}
	return &backend.Answer{Response: resp}, nil
}

// decodeRequest decodes a request that encodeMessage has encoded. It keeps the spelling of the header
// names.
func decodeRequest(raw []byte) (*fasthttp.Request, error) {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	if err := req.Read(newMessageReader(raw)); err != nil {
		return nil, fmt.Errorf("router: forwarded request: %w", err)
	}
	return req, nil
}
