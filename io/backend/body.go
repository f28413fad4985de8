package backend

import (
	"fmt"
	"io"
	"sync"
)

// wholeReader turns the early end of a body into an error.
type wholeReader struct {
	src     io.Reader
	left    int64
	counted bool
	ended   bool
	err     error
}

// Read implements io.Reader.
func (r *wholeReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.left -= int64(n)
	if err == io.EOF {
		if r.counted && r.left > 0 {
			r.err = ErrTruncated
			return n, ErrTruncated
		}
		r.ended = true
		return n, io.EOF
	}
	if err != nil {
		// A library's io.ErrUnexpectedEOF must not pass for a short last part.
		r.err = err
		return n, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return n, nil
}

// streamBody is the body of an answer that is handed on while it comes in.
type streamBody struct {
	io.Reader
	source *wholeReader
	close  func(whole bool)
	once   sync.Once
}

// Read implements io.Reader. The end of the body ends the exchange.
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

func (b *streamBody) finish() {
	b.once.Do(func() { b.close(b.source.ended) })
}
