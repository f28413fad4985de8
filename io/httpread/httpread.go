// Package httpread reads responses of HTTP/1.1 servers. It checks the head of each response before the HTTP library, which
// tolerates and merges much of what servers write, makes anything of it. It also checks the fields of requests.
package httpread

import (
	"bufio"
	"errors"
	"fmt"

	"bilberrymux/core/httphead"
)

// Head is the head of a final response, which passed httphead.Check.
type Head struct {
	Status int
	// Raw is the text of the head, including its empty line. It is valid until the reader is used again.
	Raw []byte
	// AfterInterim reports whether interim responses came before the final one.
	AfterInterim bool
}

// maxInterim is the maximum number of interim responses before a final one.
const maxInterim = 100

// firstFinalStatus is the lowest status of responses that no other one to the same request follows.
const firstFinalStatus = 200

// errTooManyInterim is returned if more than maxInterim interim responses come.
var errTooManyInterim = errors.New("httpread: too many interim responses")

// Next returns the head of the next final response, and waits until it is complete. It consumes the interim responses
// before that, but not the final one. The error wraps httphead.ErrMalformed if a head is malformed or longer than the
// buffer of the reader, and is io.EOF if there is no further response. After an error nothing more can be read.
func Next(br *bufio.Reader) (Head, error) {
	for n := range maxInterim + 1 {
		raw, err := heads.peek(br)
		if err != nil {
			return Head{}, err
		}
		status, err := httphead.Check(raw)
		if err != nil {
			return Head{}, err
		}
		if status >= firstFinalStatus {
			return Head{Status: status, Raw: raw, AfterInterim: n > 0}, nil
		}
		if _, err := br.Discard(len(raw)); err != nil {
			return Head{}, fmt.Errorf("httpread: %w", err)
		}
	}
	return Head{}, errTooManyInterim
}
