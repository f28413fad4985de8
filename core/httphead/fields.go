package httphead

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// field is one field of a head, or one trailer. The value may have blanks around it.
type field struct {
	name, value string
}

// blanks may stand around the value of a field.
const blanks = " \t"

// cutField returns the field in the first of several lines, each of which must end with CRLF, and the rest.
func cutField(text string) (f field, rest string, err error) {
	line, rest, err := cutLine(text)
	if err != nil {
		return field{}, "", err
	}
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return field{}, "", fmt.Errorf("%w: field %q", ErrMalformed, shorten(line))
	}
	return field{name, value}, rest, nil
}

// trimmed returns the value of a field without the blanks around it.
func (f field) trimmed() string { return strings.Trim(f.value, blanks) }

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
	return checkFieldLines(withoutEmptyLine(raw))
}

// CheckFieldsBegin checks the begin of fields that are incomplete, as far as their lines are complete.
func CheckFieldsBegin(begin []byte) error {
	return checkFieldLines(completeLines(begin))
}

// checkFieldLines checks the lines of fields, if there are any.
func checkFieldLines(text string) error {
	for text != "" {
		_, rest, err := cutField(text)
		if err != nil {
			return err
		}
		text = rest
	}
	return nil
}
