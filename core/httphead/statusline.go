package httphead

import (
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Parts of a status line.
const (
	protocol    = "HTTP/1.1 "
	oldProtocol = "HTTP/1.0 "
	// statusDigits is the number of digits of a status, and statusBits that of the bits that hold it.
	statusDigits = 3
	statusBits   = 16
	// minStatus and maxStatus are the limits of the statuses that RFC 9110 defines classes for.
	minStatus = 100
	maxStatus = 599
	// statusSwitchingProtocols is the status before a connection changes its protocol, for which no request of a
	// daemon asks.
	statusSwitchingProtocols = 101
)

// statusLine is what a status line such as "HTTP/1.1 200 OK" says.
type statusLine struct {
	status int
	// old reports whether the line names HTTP/1.0, and spaced whether it has the blank after the status.
	old, spaced bool
}

// parseStatusLine returns what a status line says.
func parseStatusLine(line string) (statusLine, error) {
	var s statusLine
	rest, found := strings.CutPrefix(line, protocol)
	if !found {
		rest, s.old = strings.CutPrefix(line, oldProtocol)
	}
	if !found && !s.old || !httpguts.ValidHeaderFieldValue(line) {
		return s, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	code, _, spaced := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, statusBits)
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus || status == statusSwitchingProtocols {
		return s, fmt.Errorf("%w: status line %q", ErrMalformed, shorten(line))
	}
	s.status, s.spaced = int(status), spaced
	return s, nil
}
