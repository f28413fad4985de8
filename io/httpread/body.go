package httpread

import (
	"bufio"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/httphead"
)

// ChunkedLength stands in place of the length of a response that comes in chunks.
const ChunkedLength = -1

// ReadStream reads the response whose head Next has returned. The body, if there is one, becomes a stream that reads from br.
// Its error wraps httphead.ErrMalformed if the trailers are malformed.
func ReadStream(br *bufio.Reader, resp *fasthttp.Response) error {
	resp.StreamBody = true
	if err := resp.ReadLimitBody(br, 0); err != nil {
		return fmt.Errorf("httpread: %w", err)
	}
	if resp.BodyStream() != nil && resp.Header.ContentLength() == ChunkedLength {
		resp.SetBodyStream(&chunkedBody{chunks: httputil.NewChunkedReader(br), br: br, header: &resp.Header}, ChunkedLength)
	}
	return nil
}

// chunkedBody is a body that comes in chunks. At its end it checks the trailers and adds them to the header, as the library
// would without the check.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	header *fasthttp.ResponseHeader
	// end is the error that ended the body, io.EOF if it is complete.
	end error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = b.readTrailers()
	}
	b.end = err
	return n, err
}

// readTrailers reads the trailers and returns io.EOF, or the error for trailers that are malformed or incomplete.
func (b *chunkedBody) readTrailers() error {
	raw, err := trailers.peek(b.br)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if err := httphead.CheckFields(raw); err != nil {
		return err
	}
	if err := b.header.ReadTrailer(b.br); err != nil {
		return fmt.Errorf("%w: trailers: %w", httphead.ErrMalformed, err)
	}
	return io.EOF
}
