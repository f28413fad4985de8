package backend

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
	"bilberrymux/io/httpread"
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
		resp.SkipBody = req.Header.IsHead()
		head, err := httpread.Next(sc.br)
		if err != nil {
			return err
		}
		sc.head, sc.trailers = parseError(head), nil
		if err := httpread.ReadStream(sc.br, resp); err != nil {
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

// parseError returns the head of a response with an error status, or nil if it has another status, is not strictly that
// of an HTTP/1.1 response, or came after an interim response.
func parseError(head httpread.Head) *httphead.Head {
	if head.Status < fasthttp.StatusBadRequest || head.AfterInterim {
		return nil
	}
	parsed, err := httphead.Parse(head.Raw)
	if err != nil {
		// The response is an answer, but proves nothing.
		return nil
	}
	return parsed
}
