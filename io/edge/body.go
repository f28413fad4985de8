package edge

import (
	"errors"
	"fmt"
	"io"

	"github.com/gofiber/fiber/v2"

	"bilberrymux/core/bytebudget"
	"bilberrymux/core/refusal"
)

// Sizes of the buffer of a request's body in bytes.
const (
	// freeBodyBytes is what each body may hold without the budget, so that small requests are served while large
	// ones take all of it.
	freeBodyBytes = 16 << 10
	// trustedBodyBytes is what must have arrived of a body before its announced length is allocated.
	trustedBodyBytes = 1 << 20
)

// Errors of bodies that are not held.
var (
	errBodyBudget   = errors.New("edge: no memory is left for the body")
	errBodyTooLarge = errors.New("edge: the body is too large")
)

// requestBody holds the body of a caller's request. It is not safe for concurrent use.
type requestBody struct {
	*bytebudget.Buffer
}

// newRequestBody returns an empty body.
func newRequestBody(budget *bytebudget.Budget) requestBody {
	return requestBody{bytebudget.NewBuffer(budget, freeBodyBytes)}
}

// read reads a body of the announced length, or of unknown length if that is negative. It returns errBodyBudget if
// the bodies of all requests hold as much as they may, and errBodyTooLarge for more than limit bytes. The body
// must be released in any case.
func (b *requestBody) read(r io.Reader, length, limit int) error {
	if length > limit {
		return errBodyTooLarge
	}
	for {
		if len(b.Bytes) == cap(b.Bytes) && len(b.Bytes) != length && !b.grow(length, limit) {
			return errBodyBudget
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case len(b.Bytes) > limit:
			return errBodyTooLarge
		case err == io.EOF && len(b.Bytes) < length:
			// The library takes the end of the connection for that of the body.
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("edge: body: %w", err)
		}
	}
}

// grow makes room for more of a body, and reports whether it may.
func (b *requestBody) grow(length, limit int) bool {
	// One more byte than the limit tells a body of exactly that size from a larger one.
	size := min(limit+1, max(freeBodyBytes, 2*cap(b.Bytes)))
	if length >= 0 && (size > length || len(b.Bytes) >= trustedBodyBytes) {
		size = length
	}
	return b.Grow(size)
}

// receiveBody reads the body of a request, or returns the refusal of the request. A body that is not held is read to
// its end all the same, since a caller that is still sending may not read the refusal.
func (s *callerServer) receiveBody(c *fiber.Ctx, b *requestBody) *refusal.Error {
	stream := c.Context().RequestBodyStream()
	if stream == nil {
		return nil
	}
	err := b.read(stream, c.Request().Header.ContentLength(), maxBodyBytes)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refusal.New(refusal.BodyTooLarge, "the limit is %d bytes", maxBodyBytes)
	case errors.Is(err, errBodyBudget):
		b.Release()
		b.Bytes = nil
		if _, err := io.Copy(io.Discard, io.LimitReader(stream, maxBodyBytes)); err != nil {
			return refusal.New(refusal.BadRequest, "%v", err)
		}
		return refusal.New(refusal.MemoryFull, "")
	}
	return refusal.New(refusal.BadRequest, "%v", err)
}
