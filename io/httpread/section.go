package httpread

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"bilberrymux/core/httphead"
)

// section is a part of a response that consists of lines and ends with an empty one.
type section struct {
	// end returns the length in bytes of the section that b begins with, or 0 if it is incomplete.
	end func(b []byte) int
	// checkBegin checks the complete lines of an incomplete section.
	checkBegin func(begin []byte) error
}

var (
	heads    = section{httphead.End, httphead.CheckBegin}
	trailers = section{httphead.FieldsEnd, httphead.CheckFieldsBegin}
)

// peek returns the section that the reader holds next, without consuming it. It waits until the section is complete, or
// a line shows that it is malformed.
func (s *section) peek(br *bufio.Reader) ([]byte, error) {
	for size := 1; ; size = br.Buffered() + 1 {
		if _, err := br.Peek(size); err != nil {
			return nil, peekError(br, err)
		}
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, fmt.Errorf("httpread: %w", err)
		}
		if end := s.end(b); end > 0 {
			return b[:end], nil
		}
		if err := s.checkBegin(b); err != nil {
			return nil, err
		}
	}
}

// peekError returns the error for a section that could not be read to its end.
func peekError(br *bufio.Reader, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: more than %d bytes", httphead.ErrMalformed, br.Size())
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("httpread: %w", err)
	case br.Buffered() > 0:
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}
