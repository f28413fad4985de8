package httpread

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport is a fasthttp.RoundTripper that reads responses like Next and ReadStream. A client whose requests must not be
// repeated must allow one attempt: the request may have taken effect after any error but a failed dial. It is safe for
// concurrent use.
type Transport struct{}

// Configure makes a host client of a fasthttp.Client use a Transport. It is a value for ConfigureClient, and returns nil.
func Configure(hc *fasthttp.HostClient) error {
	hc.Transport = Transport{}
	return nil
}

// RoundTrip implements fasthttp.RoundTripper. The body of the response is read whole. A connection that failed is closed.
// As with the library's own transport, retry reports whether another attempt may have another result.
func (Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	cc, err := hc.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	if err := exchange(hc, cc.Conn(), req, resp, timeout); err != nil {
		hc.CloseConn(cc)
		return !errors.Is(err, fasthttp.ErrBodyTooLarge), err
	}
	if req.ConnectionClose() || resp.ConnectionClose() {
		hc.CloseConn(cc)
		return false, nil
	}
	hc.ReleaseConn(cc)
	return false, nil
}

// exchange writes the request to the connection and reads the response, for at most the timeout unless that is 0.
func exchange(hc *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("httpread: %w", err)
	}
	bw := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return timeoutError(err)
	}
	if err := bw.Flush(); err != nil {
		return timeoutError(err)
	}
	br := hc.AcquireReader(conn)
	defer hc.ReleaseReader(br)
	resp.SkipBody = resp.SkipBody || req.Header.IsHead()
	return timeoutError(ReadWhole(br, resp, hc.MaxResponseBodySize))
}

// ReadWhole reads the next final response with its whole body, of at most the given number of bytes unless that is 0.
func ReadWhole(br *bufio.Reader, resp *fasthttp.Response, maxBytes int) error {
	if _, err := Next(br); err != nil {
		return err
	}
	if err := ReadStream(br, resp); err != nil {
		return err
	}
	stream := resp.BodyStream()
	if stream == nil {
		return nil
	}
	if maxBytes > 0 {
		stream = io.LimitReader(stream, int64(maxBytes)+1)
	}
	body, err := io.ReadAll(stream)
	if err != nil {
		return fmt.Errorf("httpread: %w", err)
	}
	if maxBytes > 0 && len(body) > maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	resp.StreamBody = false
	// Get functions of the library read the buffer that SetBody fills.
	resp.SetBody(body)
	return nil
}

// timeoutError returns fasthttp.ErrTimeout for an error by which a deadline has passed, and other errors unchanged.
func timeoutError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
