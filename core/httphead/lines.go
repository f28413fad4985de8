package httphead

import (
	"bytes"
	"fmt"
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

// withoutEmptyLine returns the text of lines without the empty one at their end, if there is one.
func withoutEmptyLine(raw []byte) string {
	return strings.TrimSuffix(string(raw), lineEnd)
}

// completeLines returns the lines that a text begins with and that have an end, with or without CR.
func completeLines(begin []byte) string {
	return string(begin[:bytes.LastIndexByte(begin, '\n')+1])
}

// cutLine returns the first of several lines, each of which must end with CRLF, and the rest.
func cutLine(text string) (line, rest string, err error) {
	line, rest, _ = strings.Cut(text, "\n")
	line, found := strings.CutSuffix(line, "\r")
	if !found {
		return "", "", fmt.Errorf("%w: line that does not end with CRLF: %q", ErrMalformed, shorten(line))
	}
	return line, rest, nil
}

// maxQuoted is the maximum number of bytes of a line that an error quotes.
const maxQuoted = 100

// shorten returns the begin of a line for an error.
func shorten(line string) string {
	return line[:min(len(line), maxQuoted)]
}
