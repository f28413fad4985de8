// Package httphead checks and parses the heads of HTTP/1.1 responses strictly. HTTP libraries tolerate and merge much of
// what servers write. A response whose head does not pass Check is none, and a decision that must not rest on a doubtful
// response rests on a Head instead.
package httphead

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMalformed is returned for a head, or for fields, that are not well-formed.
var ErrMalformed = errors.New("httphead: malformed")

// Head is the status line and the fields of a response. It is safe for concurrent use.
type Head struct {
	Status int
	fields []field
}

// Parse returns the head in raw, which includes the empty line. It returns an error that wraps ErrMalformed in the cases
// of Check, and for HTTP/1.0 or a status line that ends with the status. How the end of the body is marked is left to
// Framed.
func Parse(raw []byte) (*Head, error) {
	line, rest, err := cutLine(withoutEmptyLine(raw))
	if err != nil {
		return nil, err
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if status.old || !status.spaced {
		return nil, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	h := &Head{Status: status.status, fields: make([]field, 0, strings.Count(rest, "\n"))}
	for rest != "" {
		var f field
		if f, rest, err = cutField(rest); err != nil {
			return nil, err
		}
		h.fields = append(h.fields, f)
	}
	return h, nil
}

// Values returns the values of all fields with a name, which is compared without regard to case.
func (h *Head) Values(name string) []string {
	var values []string
	for _, f := range h.fields {
		if strings.EqualFold(f.name, name) {
			values = append(values, f.trimmed())
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
