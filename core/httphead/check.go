package httphead

import (
	"bytes"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// Ends of lines and heads.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// End returns the length in bytes of the head that b begins with, including its empty line, or 0 if the head is
// incomplete.
func End(b []byte) int {
	i := bytes.Index(b, []byte(headEnd))
	if i < 0 {
		return 0
	}
	return i + len(headEnd)
}

// Check returns the status in the head of a response, which includes the empty line. It returns an error that wraps
// ErrMalformed if the status is in none of the classes of RFC 9110, or a line has another form than RFC 9112 demands of
// senders, for instance one that is folded or ends without CR, or if it marks the end of the body twice or in a way that
// is not known. It accepts HTTP/1.0, and a status line that ends with the status. Since daemons never ask for another
// protocol, the status 101 is malformed.
func Check(raw []byte) (status int, err error) {
	text, found := strings.CutSuffix(string(raw), headEnd)
	if !found {
		return 0, fmt.Errorf("%w: no empty line", ErrMalformed)
	}
	line, marks, err := checkLines(text)
	if err != nil {
		return 0, err
	}
	if marks.unknown || marks.lengths+marks.codings > 1 || line.old && marks.codings > 0 {
		return 0, fmt.Errorf("%w: end of the body", ErrMalformed)
	}
	return line.status, nil
}

// CheckBegin checks the begin of a head that is incomplete, as far as its lines are complete.
func CheckBegin(begin []byte) error {
	return checkBegin(begin, func(text string) error {
		_, _, err := checkLines(text)
		return err
	})
}

// checkBegin applies a check to the complete lines that a text begins with, if there are any.
func checkBegin(begin []byte, check func(lines string) error) error {
	if i := bytes.LastIndex(begin, []byte(lineEnd)); i >= 0 {
		if err := check(string(begin[:i])); err != nil {
			return err
		}
		begin = begin[i+len(lineEnd):]
	}
	if bytes.IndexByte(begin, '\n') >= 0 {
		return fmt.Errorf("%w: line that ends without CR", ErrMalformed)
	}
	return nil
}

// checkLines checks the lines of a head, which are separated by CRLF.
func checkLines(text string) (statusLine, bodyEnds, error) {
	var ends bodyEnds
	status, err := parseStatusLine(firstLine(text))
	if err != nil {
		return status, ends, err
	}
	for line := range fieldLines(text) {
		f, err := parseField(line)
		if err != nil {
			return status, ends, err
		}
		ends.add(f)
	}
	return status, ends, nil
}

// firstLine returns the first of the lines in a text, which are separated by CRLF.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, lineEnd)
	return line
}

// fieldLines returns the lines in a text after the first one.
func fieldLines(text string) iter.Seq[string] {
	return func(yield func(string) bool) {
		_, rest, more := strings.Cut(text, lineEnd)
		for more {
			var line string
			line, rest, more = strings.Cut(rest, lineEnd)
			if !yield(line) {
				return
			}
		}
	}
}

// Fields that mark the end of the body, and the value of the second one.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	chunked          = "chunked"
	// lengthBits is the number of bits of a length.
	lengthBits = 63
)

// bodyEnds counts the fields that mark the end of the body.
type bodyEnds struct {
	lengths, codings int
	// unknown reports whether one of them has a value that says nothing of the end.
	unknown bool
}

// add counts a field if it marks the end of the body.
func (e *bodyEnds) add(f field) {
	switch {
	case strings.EqualFold(f.name, contentLength):
		e.lengths++
		e.unknown = e.unknown || !isLength(f.value)
	case strings.EqualFold(f.name, transferEncoding):
		e.codings++
		e.unknown = e.unknown || !strings.EqualFold(f.value, chunked)
	}
}

// isLength reports whether the value of a field is the length of a body.
func isLength(s string) bool {
	_, err := strconv.ParseUint(s, 10, lengthBits)
	return err == nil
}
