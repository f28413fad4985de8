package backend

import (
	"fmt"
	"io"
	"sync"

	"bilberrymux/core/bytebudget"
)

// bodyReader reads a response body and returns an error that wraps ErrTruncated if the
// body ends early or can't be read.
type bodyReader struct {
	src io.Reader
	// remaining is the number of bytes missing from the Content-Length. It is used
	// only if hasLength is true.
	remaining int64
	hasLength bool
	// complete reports whether the body was read to its regular end.
	complete bool
	// err is the error that ended the body early, or nil.
	err error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.remaining -= int64(n)
	if err == io.EOF {
		if r.hasLength && r.remaining > 0 {
			r.err = ErrTruncated
			return n, ErrTruncated
		}
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		// The error is wrapped, because an io.ErrUnexpectedEOF of the library itself would
		// be taken for a short last read.
		r.err = err
		return n, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return n, nil
}

// streamBody is the body of a streamed answer. It calls onClose once, with whether the
// body was read completely.
type streamBody struct {
	io.Reader
	source  *bodyReader
	onClose func(complete bool)
	once    sync.Once
}

// Read implements io.Reader. Any error, including io.EOF, ends the exchange.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.finish()
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.finish()
	return nil
}

// finish calls onClose once.
func (b *streamBody) finish() {
	b.once.Do(func() { b.onClose(b.source.complete) })
}

// bodyBuffer holds the begin of a body. It is not safe for concurrent use.
type bodyBuffer struct {
	bytes  []byte
	budget *bytebudget.Budget
	// taken is the number of bytes that the buffer holds of the budget.
	taken int64
}

// fill reads until the end of the body, when it returns io.EOF, or until the buffer holds maxBufferedBody
// bytes or may not grow, when it returns nil.
func (b *bodyBuffer) fill(body io.Reader) error {
	b.bytes = make([]byte, 0, minBufferedBody)
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return nil
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF && len(b.bytes) > maxBufferedBody {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the capacity, and reports whether it may.
func (b *bodyBuffer) grow() bool {
	// One more byte than the limit tells a body of exactly that size from a larger one.
	size := min(2*cap(b.bytes), maxBufferedBody+1)
	added := int64(size - cap(b.bytes))
	if added == 0 || !b.budget.TryTake(added) {
		return false
	}
	b.taken += added
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

// release returns what the buffer holds of the budget.
func (b *bodyBuffer) release() {
	b.budget.Return(b.taken)
	b.taken = 0
}
