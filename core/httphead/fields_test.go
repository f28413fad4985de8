package httphead_test

import (
	"errors"
	"testing"

	"bilberrymux/core/httphead"
)

// TestCheckFields checks where trailers end, and that malformed ones are found as soon as a line shows it.
func TestCheckFields(t *testing.T) {
	for _, test := range []struct {
		text      string
		malformed bool
	}{
		{text: "\r\n"},
		{text: "A: 1\r\n\r\n"},
		{text: "A:\r\nB: \xe9\t\r\n\r\n"},
		{text: "A B: 1\r\n\r\n", malformed: true},
		{text: "A : 1\r\n\r\n", malformed: true},
		{text: " A: 1\r\n\r\n", malformed: true},
		{text: "A: 1\r\n 2\r\n\r\n", malformed: true},
		{text: "A: 1\nB: 2\r\n\r\n", malformed: true},
		{text: "A: 1\n\n", malformed: true},
		{text: "\n", malformed: true},
		{text: "A\r\n\r\n", malformed: true},
		{text: ": 1\r\n\r\n", malformed: true},
	} {
		// Bytes of the next response may follow.
		if err := checkFields(test.text + "HTTP/1.1 200 OK\r\n\r\n"); errors.Is(err, httphead.ErrMalformed) != test.malformed || !test.malformed && err != nil {
			t.Errorf("%q: got error %v, want ErrMalformed %v", test.text, err, test.malformed)
		}
	}
	if err := httphead.CheckFields([]byte("A: 1")); !errors.Is(err, httphead.ErrMalformed) {
		t.Errorf("without an empty line: got error %v, want ErrMalformed", err)
	}
}

// checkFields checks the trailers that a text begins with, and all begins of them.
func checkFields(text string) error {
	for n := range len(text) + 1 {
		if end := httphead.FieldsEnd([]byte(text[:n])); end > 0 {
			return httphead.CheckFields([]byte(text[:end]))
		}
		if err := httphead.CheckFieldsBegin([]byte(text[:n])); err != nil {
			return err
		}
	}
	return errors.New("no trailers")
}
