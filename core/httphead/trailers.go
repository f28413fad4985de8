package httphead

import (
	"bytes"
	"fmt"
	"strings"
)

// TrailersEnd returns the length in bytes of the trailers that b begins with, including the empty line after them, or 0 if
// they are incomplete.
func TrailersEnd(b []byte) int {
	if bytes.HasPrefix(b, []byte(lineEnd)) {
		return len(lineEnd)
	}
	return End(b)
}

// CheckTrailers checks the trailers of a response, which include the empty line, as Check does the fields of a head.
func CheckTrailers(raw []byte) error {
	text, found := strings.CutSuffix(string(raw), lineEnd)
	if !found {
		return fmt.Errorf("%w: no empty line after the trailers", ErrMalformed)
	}
	return checkTrailerLines(strings.TrimSuffix(text, lineEnd))
}

// CheckTrailersBegin checks the begin of trailers that are incomplete, as far as their lines are complete.
func CheckTrailersBegin(begin []byte) error {
	return checkBegin(begin, checkTrailerLines)
}

// checkTrailerLines checks lines that are separated by CRLF, if there are any.
func checkTrailerLines(text string) error {
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
