package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
)

// exchange writes the request and reads the headers of the response, whose body
// becomes a stream. It skips up to maxMismatched responses to other requests. A response that names no request counts
// only as the first one of a connection that has carried nothing else.
func (sc *serverConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, identity *Identity) error {
	if err := req.Write(sc.bw); err != nil {
		return err
	}
	if err := sc.bw.Flush(); err != nil {
		return err
	}
	for range maxMismatched + 1 {
		resp.StreamBody = true
		resp.SkipBody = req.Header.IsHead()
		sc.head, sc.trailers = peekErrorHead(sc.br), nil
		if err := resp.ReadLimitBody(sc.br, 0); err != nil {
			return err
		}
		switch identity.relate(&resp.Header) {
		case namesOwn:
			return nil
		case namesBoth:
			sc.mismatched = true
			return nil
		case namesNone:
			sc.anonymous = true
			if sc.reused() || sc.mismatched {
				return errAnonymous
			}
			return nil
		case namesOther:
			sc.mismatched = true
		}
		if err := skipBody(resp); err != nil {
			return err
		}
	}
	return errMismatched
}

// maxMismatched is the maximum number of responses to other requests that are skipped
// while waiting for the right one.
const maxMismatched = 2

// errMismatched is returned if more than maxMismatched responses belong to other
// requests.
var errMismatched = errors.New("backend: received only responses to other requests")

// errAnonymous is returned for a response that may belong to another request, since it names none.
var errAnonymous = errors.New("backend: received a response that names no request")

// skipBody reads and discards the body of a response, and resets the response. A body of more than
// maxBufferedBody bytes, which may have no end, is an error.
func skipBody(resp *fasthttp.Response) error {
	if body := resp.BodyStream(); body != nil {
		n, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBody+1))
		if err != nil {
			return fmt.Errorf("backend: skipped response: %w", err)
		}
		if n > maxBufferedBody {
			return errMismatched
		}
		if err := resp.CloseBodyStream(); err != nil {
			return fmt.Errorf("backend: skipped response: %w", err)
		}
	}
	resp.Reset()
	return nil
}

// errorClasses are the first digits of the statuses of errors.
const errorClasses = "45"

// statusAt is the index of the first digit of the status in a response.
const statusAt = len("HTTP/1.1 ")

// peekErrorHead returns the head of the response that the reader holds next, without consuming it, if that is
// well-formed and has an error status. Otherwise it returns nil. It waits for the whole head.
func peekErrorHead(br *bufio.Reader) *httphead.Head {
	for size := statusAt + 1; ; size = br.Buffered() + 1 {
		// The error, if any, is found again and handled when the response is read.
		b, err := br.Peek(size)
		if err != nil || strings.IndexByte(errorClasses, b[statusAt]) < 0 {
			return nil
		}
		b, _ = br.Peek(br.Buffered())
		if end := httphead.End(b); end > 0 {
			head, err := httphead.Parse(b[:end])
			if err != nil {
				return nil
			}
			return head
		}
	}
}
