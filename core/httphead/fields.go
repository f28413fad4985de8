package httphead

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// field is one field of a head, or one trailer.
type field struct {
	name, value string
}

// blanks may stand around the value of a field.
const blanks = " \t"

// parseField returns the field in a line.
func parseField(line string) (field, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return field{}, fmt.Errorf("%w: field %q", ErrMalformed, shorten(line))
	}
	return field{name, strings.Trim(value, blanks)}, nil
}

// maxQuoted is the maximum number of bytes of a line that an error quotes.
const maxQuoted = 100

// shorten returns the begin of a line for an error.
func shorten(line string) string {
	return line[:min(len(line), maxQuoted)]
}

// FieldsEnd returns the length in bytes of the fields that b begins with, including the empty line after them, or 0 if
// they are incomplete. There may be none.
func FieldsEnd(b []byte) int {
	if bytes.HasPrefix(b, []byte(lineEnd)) {
		return len(lineEnd)
	}
	return End(b)
}

// CheckFields checks the trailers of a message, or the fields of a request, as Check does the fields of a response. They
// include the empty line.
func CheckFields(raw []byte) error {
	text, found := strings.CutSuffix(string(raw), lineEnd)
	if !found {
		return fmt.Errorf("%w: no empty line after the fields", ErrMalformed)
	}
	return checkFieldLines(strings.TrimSuffix(text, lineEnd))
}

// CheckFieldsBegin checks the begin of fields that are incomplete, as far as their lines are complete.
func CheckFieldsBegin(begin []byte) error {
	return checkBegin(begin, checkFieldLines)
}

// checkFieldLines checks lines that are separated by CRLF, if there are any.
func checkFieldLines(text string) error {
	if text == "" {
		return nil
	}
	for line := range strings.SplitSeq(text, lineEnd) {
		if _, err := parseField(line); err != nil {
			return err
		}
	}
	return nil
}
