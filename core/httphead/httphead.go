// Package httphead checks and parses the heads of HTTP/1.1 responses strictly. HTTP libraries tolerate and merge much of
// what servers write. A response whose head does not pass Check is none, and a decision that must not rest on a doubtful
// response rests on a Head instead.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Head is the status line and the fields of a response. It is safe for concurrent use.
type Head struct {
	Status int
	fields []field
}

type field struct {
	name, value string
}

// ErrMalformed is returned for a head that is not well-formed.
var ErrMalformed = errors.New("httphead: malformed")

// Markers of the syntax.
const (
	protocol    = "HTTP/1.1 "
	oldProtocol = "HTTP/1.0 "
	lineEnd     = "\r\n"
	headEnd     = lineEnd + lineEnd
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// minStatus and maxStatus are the limits of the statuses that RFC 9110 defines classes for.
	minStatus = 100
	maxStatus = 599
	// statusSwitchingProtocols is the status before a connection changes its protocol, for which no request of a
	// daemon asks.
	statusSwitchingProtocols = 101
	// blanks may stand around the value of a field.
	blanks = " \t"
)

// Fields that mark the end of the body, and the value of the second one.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	chunked          = "chunked"
	// lengthBits is the number of bits of a length.
	lengthBits = 63
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

// Parse returns the head in raw, which includes the empty line. It returns an error that wraps ErrMalformed in the cases
// of Check, and for HTTP/1.0 or a status line that ends with the status. How the end of the body is marked is left to
// Framed.
func Parse(raw []byte) (*Head, error) {
	text, found := strings.CutSuffix(string(raw), headEnd)
	if !found {
		return nil, fmt.Errorf("%w: no empty line", ErrMalformed)
	}
	status, err := parseStatusLine(firstLine(text))
	if err != nil {
		return nil, err
	}
	if status.old || !status.spaced {
		return nil, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(firstLine(text)))
	}
	h := &Head{Status: status.status, fields: make([]field, 0, strings.Count(text, lineEnd))}
	for line := range fieldLines(text) {
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h.fields = append(h.fields, f)
	}
	return h, nil
}

// statusLine is what a status line such as "HTTP/1.1 200 OK" says.
type statusLine struct {
	status int
	// old reports whether the line names HTTP/1.0, and spaced whether it has the blank after the status.
	old, spaced bool
}

// bodyEnds counts the fields that mark the end of the body.
type bodyEnds struct {
	lengths, codings int
	// unknown reports whether one of them has a value that says nothing of the end.
	unknown bool
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

// parseField returns the field in a line.
func parseField(line string) (field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return field{}, fmt.Errorf("%w: field %q", ErrMalformed, shorten(line))
	}
	return field{name, strings.Trim(value, blanks)}, nil
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

func parseStatusLine(line string) (statusLine, error) {
	var s statusLine
	rest, found := strings.CutPrefix(line, protocol)
	if !found {
		rest, s.old = strings.CutPrefix(line, oldProtocol)
	}
	code, _, spaced := strings.Cut(rest, " ")
	s.spaced = spaced
	if !found && !s.old || len(code) != statusDigits || !isNumber(code) || !httpguts.ValidHeaderFieldValue(line) {
		return s, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	var err error
	s.status, err = strconv.Atoi(code)
	if err != nil || s.status < minStatus || s.status > maxStatus || s.status == statusSwitchingProtocols {
		return s, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	return s, nil
}

// maxQuoted is the maximum number of bytes of a line that an error quotes.
const maxQuoted = 100

// shorten returns the begin of a line for an error.
func shorten(line string) string {
	return line[:min(len(line), maxQuoted)]
}

// Values returns the values of all fields with a name, which is compared without regard to case.
func (h *Head) Values(name string) []string {
	var values []string
	for _, f := range h.fields {
		if strings.EqualFold(f.name, name) {
			values = append(values, f.value)
		}
	}
	return values
}

// Only returns the value of the field with a name. ok is false unless there is exactly one.
func (h *Head) Only(name string) (value string, ok bool) {
	values := h.Values(name)
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// Framed reports whether the end of the body is marked, and in one way only: by a single length, or by chunks
// without trailers.
func (h *Head) Framed() bool {
	if len(h.Values("Trailer")) > 0 {
		return false
	}
	lengths, encodings := h.Values(contentLength), h.Values(transferEncoding)
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		return isLength(lengths[0])
	case len(lengths) == 0 && len(encodings) == 1:
		return strings.EqualFold(encodings[0], chunked)
	}
	return false
}

// isLength reports whether the value of a field is the length of a body.
func isLength(s string) bool {
	_, err := strconv.ParseUint(s, 10, lengthBits)
	return err == nil
}

// isNumber reports whether the text consists of decimal digits.
func isNumber(s string) bool {
	return s != "" && !slices.ContainsFunc([]byte(s), func(c byte) bool { return c < '0' || c > '9' })
}
