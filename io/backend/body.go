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

// newBodyBuffer returns an empty buffer for the begin of a body.
func newBodyBuffer(budget *bytebudget.Budget) *bytebudget.Buffer {
	return bytebudget.NewBuffer(budget, minBufferedBody)
}

// fillBuffer reads until the end of the body, when it returns io.EOF, or until the buffer holds maxBufferedBody
// bytes or may not grow, when it returns nil.
func fillBuffer(b *bytebudget.Buffer, body io.Reader) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) && !growBuffer(b) {
			return nil
		}
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err == io.EOF && len(b.Bytes) > maxBufferedBody {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBuffer doubles the capacity of a buffer, and reports whether it may.
func growBuffer(b *bytebudget.Buffer) bool {
	// One more byte than the limit tells a body of exactly that size from a larger one.
	size := min(max(minBufferedBody, 2*cap(b.Bytes)), maxBufferedBody+1)
	return size > cap(b.Bytes) && b.Grow(size)
}
