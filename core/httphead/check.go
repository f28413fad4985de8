package httphead

import (
	"fmt"
	"strconv"
	"strings"
)

// Check returns the status in the head of a response, which includes the empty line. It returns an error that wraps
// ErrMalformed if the status is in none of the classes of RFC 9110, or a line has another form than RFC 9112 demands of
// senders, for instance one that is folded or ends without CR, or if it marks the end of the body twice or in a way that
// is not known. It accepts HTTP/1.0, and a status line that ends with the status. Since daemons never ask for another
// protocol, the status 101 is malformed.
func Check(raw []byte) (status int, err error) {
	line, ends, err := checkLines(withoutEmptyLine(raw))
	if err != nil {
		return 0, err
	}
	if ends.unknown || ends.lengths+ends.codings > 1 || line.old && ends.codings > 0 {
		return 0, fmt.Errorf("%w: end of the body", ErrMalformed)
	}
	return line.status, nil
}

// CheckBegin checks the begin of a head that is incomplete, as far as its lines are complete.
func CheckBegin(begin []byte) error {
	text := completeLines(begin)
	if text == "" {
		return nil
	}
	_, _, err := checkLines(text)
	return err
}

// checkLines checks the lines of a head without the empty one.
func checkLines(text string) (status statusLine, ends bodyEnds, err error) {
	line, rest, err := cutLine(text)
	if err != nil {
		return status, ends, err
	}
	if status, err = parseStatusLine(line); err != nil {
		return status, ends, err
	}
	for rest != "" {
		var f field
		if f, rest, err = cutField(rest); err != nil {
			return status, ends, err
		}
		ends.add(f)
	}
	return status, ends, nil
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
		e.unknown = e.unknown || !isLength(f.trimmed())
	case strings.EqualFold(f.name, transferEncoding):
		e.codings++
		e.unknown = e.unknown || !strings.EqualFold(f.trimmed(), chunked)
	}
}

// isLength reports whether the value of a field is the length of a body.
func isLength(s string) bool {
	_, err := strconv.ParseUint(s, 10, lengthBits)
	return err == nil
}
