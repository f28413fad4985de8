// Package httphead parses the heads of HTTP/1.1 responses strictly. HTTP libraries tolerate and merge much of what
// servers write. A decision that must not rest on a doubtful response rests on a Head instead.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
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
	protocol = "HTTP/1.1 "
	lineEnd  = "\r\n"
	headEnd  = lineEnd + lineEnd
	// statusDigits is the number of digits of a status.
	statusDigits = 3
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

// Parse returns the head in raw, which includes the empty line. It returns an error that wraps ErrMalformed if a
// line has another form than RFC 9112 demands of senders, for instance one that is folded or ends without CR.
func Parse(raw []byte) (*Head, error) {
	text, found := strings.CutSuffix(string(raw), headEnd)
	if !found {
		return nil, fmt.Errorf("%w: no empty line", ErrMalformed)
	}
	lines := strings.Split(text, lineEnd)
	status, err := parseStatusLine(lines[0])
	if err != nil {
		return nil, err
	}
	h := &Head{Status: status, fields: make([]field, 0, len(lines)-1)}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, fmt.Errorf("%w: field %q", ErrMalformed, line)
		}
		h.fields = append(h.fields, field{name, strings.Trim(value, " \t")})
	}
	return h, nil
}

// parseStatusLine returns the status in a line such as "HTTP/1.1 200 OK".
func parseStatusLine(line string) (int, error) {
	rest, found := strings.CutPrefix(line, protocol)
	code, _, spaced := strings.Cut(rest, " ")
	if !found || !spaced || len(code) != statusDigits || !httpguts.ValidHeaderFieldValue(line) {
		return 0, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	return int(status), nil
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
	lengths, encodings := h.Values("Content-Length"), h.Values("Transfer-Encoding")
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		return isNumber(lengths[0])
	case len(lengths) == 0 && len(encodings) == 1:
		return strings.EqualFold(encodings[0], "chunked")
	}
	return false
}

// isNumber reports whether the text consists of decimal digits.
func isNumber(s string) bool {
	return s != "" && !slices.ContainsFunc([]byte(s), func(c byte) bool { return c < '0' || c > '9' })
}
