package edge

import (
	"bytes"
	"strconv"
	"strings"
)

// strictReader reads what a server wrote in response to one request, and decides whether that is a plain
// statement that the request did not run. It shares no code with the daemon and accepts only what leaves no
// doubt.
type strictReader struct {
	rest []byte
}

// strictMessage is one message as strictReader reads it.
type strictMessage struct {
	status int
	fields map[string][]string
}

// plainlyNotRun reports whether the bytes begin with a complete response which states that the request with the
// given id did not run.
func plainlyNotRun(written []byte, id string) bool {
	r := &strictReader{rest: written}
	m := r.message()
	if m == nil {
		return false
	}
	ids := m.fields["bilberrymux-request-id"]
	return len(ids) == 1 && ids[0] == id && m.refuses()
}

// refuses reports whether the message states without contradiction that the request did not run.
func (m *strictMessage) refuses() bool {
	words, signed := m.fields["bilberrymux-not-executed"], len(m.fields["bilberrymux-response-signature"]) > 0
	switch {
	case signed || len(words) > 1:
		return false
	case m.status == 421 && len(words) == 0:
		return true
	case m.status != 421 && m.status != 429 && m.status != 503:
		return false
	}
	if len(words) == 0 || words[0] == "" {
		return false
	}
	value, err := strconv.ParseBool(words[0])
	return err != nil || value
}

// message reads one complete message, or returns nil.
func (r *strictReader) message() *strictMessage {
	status, found := r.line()
	if !found || len(status) < 13 || !strings.HasPrefix(status, "HTTP/1.1 ") || status[12] != ' ' {
		return nil
	}
	code, err := strconv.Atoi(status[9:12])
	if err != nil || code < 200 || code > 599 || !allText(status) {
		return nil
	}
	m := &strictMessage{status: code}
	if m.fields = r.fields(); m.fields == nil || !r.body(m) {
		return nil
	}
	return m
}

// fields reads fields and the empty line after them, or returns nil.
func (r *strictReader) fields() map[string][]string {
	fields := map[string][]string{}
	for {
		line, found := r.line()
		if !found {
			return nil
		}
		if line == "" {
			return fields
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.Trim(strings.ToLower(name), "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~") != "" || !allText(value) {
			return nil
		}
		key := strings.ToLower(name)
		fields[key] = append(fields[key], strings.Trim(value, " \t"))
	}
}

// allText reports whether the text has no control characters other than tabs.
func allText(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// line reads a line that ends with CRLF.
func (r *strictReader) line() (line string, found bool) {
	i := bytes.Index(r.rest, []byte("\r\n"))
	if i < 0 || bytes.IndexByte(r.rest[:i], '\n') >= 0 {
		return "", false
	}
	line = string(r.rest[:i])
	r.rest = r.rest[i+2:]
	return line, true
}

// body reads the whole body of a message, whose end must be marked in exactly one way, without trailers.
func (r *strictReader) body(m *strictMessage) bool {
	lengths, encodings := m.fields["content-length"], m.fields["transfer-encoding"]
	if len(m.fields["trailer"]) > 0 || len(lengths)+len(encodings) != 1 || m.status == 204 || m.status == 304 {
		return false
	}
	if len(encodings) == 1 {
		return strings.EqualFold(encodings[0], "chunked") && r.chunks()
	}
	if strings.Trim(lengths[0], "0123456789") != "" {
		return false
	}
	n, err := strconv.Atoi(lengths[0])
	return err == nil && r.skip(n)
}

// chunks reads the chunks of a body.
func (r *strictReader) chunks() bool {
	for {
		line, found := r.line()
		n, err := strconv.ParseUint(line, 16, 31)
		if !found || err != nil {
			return false
		}
		if n == 0 {
			end, found := r.line()
			return found && end == ""
		}
		if !r.skip(int(n)) {
			return false
		}
		if end, found := r.line(); !found || end != "" {
			return false
		}
	}
}

func (r *strictReader) skip(n int) bool {
	if n > len(r.rest) {
		return false
	}
	r.rest = r.rest[n:]
	return true
}
