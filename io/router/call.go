// Package router brings each request to the daemon and the servers that are to
// run it: to the owner of its shard, to the decider of its key, or to another
// region.
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

	"bilberrymux/core/ident"
	"bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/io/backend"
)

// Call is one caller's request on its way through the fleet.
type Call struct {
	ID           string
	Service      ident.ServiceID
	Rank         ident.Rank
	Organisation ident.OrganisationID
	Deadline     time.Time
	Idempotent   bool
	// Key is the idempotency key of a request that must not be repeated, or nil.
	Key         *once.Key
	Fingerprint ident.Fingerprint
	// LatencyClass groups requests whose latencies compare.
	LatencyClass uint8
	// Hops counts the forwards so far.
	Hops int
	// HTTP is the request as it goes to the server.
	HTTP *fasthttp.Request
}

// Reply is the end of a call: an answer or a refusal.
type Reply struct {
	Answer  *backend.Answer
	Refused *refusal.Error
	// Owner is the caller address of the daemon that ran the request, where it
	// was another one.
	Owner string
	// Replayed says that the answer is an earlier run's.
	Replayed bool
}

func refuse(kind refusal.Kind, format string, args ...any) Reply {
	return Reply{Refused: refusal.New(kind, format, args...)}
}

// FingerprintOf hashes what makes two requests the same work.
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

// LatencyClassOf returns the group of requests whose latencies compare, by route.
func LatencyClassOf(prefix string) uint8 {
	return uint8(xxhash.Sum64String(prefix))
}

// maxKeptAnswer bounds in bytes the answer of a request with a key, which is
// held in memory for resends.
const maxKeptAnswer = 8 << 20

// encodeAnswer reads an answer whole and writes it as HTTP/1.1.
func encodeAnswer(a *backend.Answer) ([]byte, *refusal.Error) {
	if a.Streamed {
		body, err := io.ReadAll(io.LimitReader(a.Response.BodyStream(), maxKeptAnswer+1))
		_ = a.Response.CloseBodyStream()
		if err != nil {
			return nil, refusal.New(refusal.ServerFailed, "%v", err)
		}
		if len(body) > maxKeptAnswer {
			return nil, refusal.New(refusal.ResponseTooLarge, "above %d bytes", maxKeptAnswer)
		}
		a.Response.SetBodyRaw(body)
	}
	raw, err := encode(a.Response)
	if err != nil {
		return nil, refusal.New(refusal.Internal, "%v", err)
	}
	return raw, nil
}

// message is a request or an answer of the HTTP library.
type message interface {
	Write(w *bufio.Writer) error
}

// writers are reused, since each has a buffer.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// encode writes a message as HTTP/1.1.
func encode(m message) ([]byte, error) {
	var out bytes.Buffer
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if err := m.Write(w); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return out.Bytes(), nil
}

// reader returns a reader whose buffer is no larger than the message.
func reader(raw []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(raw), len(raw))
}

// decodeAnswer reads an answer that encodeAnswer wrote.
func decodeAnswer(raw []byte) (*backend.Answer, error) {
	resp := &fasthttp.Response{}
	if err := resp.Read(reader(raw)); err != nil {
		return nil, fmt.Errorf("router: kept answer: %w", err)
	}
	return &backend.Answer{Response: resp}, nil
}

// decodeRequest reads a request that encode wrote.
func decodeRequest(raw []byte) (*fasthttp.Request, error) {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	if err := req.Read(reader(raw)); err != nil {
		return nil, fmt.Errorf("router: forwarded request: %w", err)
	}
	return req, nil
}
