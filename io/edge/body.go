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
	bytes  []byte
	budget *bytebudget.Budget
	// taken is the number of bytes that the body holds of the budget.
	taken int64
}

// read reads a body of the announced length, or of unknown length if that is negative. It returns errBodyBudget if
// the bodies of all requests hold as much as they may, and errBodyTooLarge for more than limit bytes. The body
// must be released in any case.
func (b *requestBody) read(r io.Reader, length, limit int) error {
	if length > limit {
		return errBodyTooLarge
	}
	for {
		if len(b.bytes) == cap(b.bytes) && len(b.bytes) != length && !b.grow(length, limit) {
			return errBodyBudget
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > limit:
			return errBodyTooLarge
		case err == io.EOF && len(b.bytes) < length:
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
	size := min(limit+1, max(freeBodyBytes, 2*cap(b.bytes)))
	if length >= 0 && (size > length || len(b.bytes) >= trustedBodyBytes) {
		size = length
	}
	added := int64(max(size, freeBodyBytes) - max(cap(b.bytes), freeBodyBytes))
	if !b.budget.TryTake(added) {
		return false
	}
	b.taken += added
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

// release returns what the body holds of the budget. The request must have ended.
func (b *requestBody) release() {
	b.budget.Return(b.taken)
	b.taken = 0
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
		b.release()
		b.bytes = nil
		if _, err := io.Copy(io.Discard, io.LimitReader(stream, maxBodyBytes)); err != nil {
			return refusal.New(refusal.BadRequest, "%v", err)
		}
		return refusal.New(refusal.MemoryFull, "")
	}
	return refusal.New(refusal.BadRequest, "%v", err)
}
