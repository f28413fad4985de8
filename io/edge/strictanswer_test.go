package edge

import (
	"slices"
	"strconv"
	"strings"
)

// strictAnswer is a whole answer to a request, as strictReader reads it.
type strictAnswer struct {
	status int
	fields map[string][]string
	body   string
	// trailers are the fields after a body in chunks.
	trailers map[string][]string
}

// maxStrictSkipped is the number of answers to other requests that strictAnswerOf skips.
const maxStrictSkipped = 2

// strictAnswerOf returns the answer to the request with the given id among the messages that a server wrote before it closed
// the connection, or nil if there is none that leaves no doubt. Interim responses and answers to other requests are skipped.
func strictAnswerOf(written []byte, id string) *strictAnswer {
	r := &strictReader{rest: written}
	for skipped := 0; skipped <= maxStrictSkipped; {
		a, closes := r.answer()
		switch {
		case a == nil || a.status == 101:
			return nil
		case a.status < 200:
			continue
		}
		ids := slices.DeleteFunc(a.fields["bilberrymux-request-id"], func(id string) bool { return id == "" })
		if slices.Contains(ids, id) || len(ids) == 0 {
			return a
		}
		if closes {
			return nil
		}
		skipped++
	}
	return nil
}

// answer reads one message. closes reports whether it ends with the connection.
func (r *strictReader) answer() (a *strictAnswer, closes bool) {
	line, found := r.line()
	code, old, ok := strictStatus(line)
	if !found || !ok {
		return nil, false
	}
	a = &strictAnswer{status: code, fields: r.fields()}
	if a.fields == nil {
		return nil, false
	}
	a.body, closes, ok = r.answerBody(a, old)
	if !ok {
		return nil, false
	}
	return a, closes
}

// strictStatus returns the status in a status line, whose reason may be missing.
func strictStatus(line string) (code int, old, ok bool) {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if !ok {
		rest, old = strings.CutPrefix(line, "HTTP/1.0 ")
	}
	if !ok && !old || len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' || strings.Trim(rest[:3], "0123456789") != "" || !allText(line) {
		return 0, false, false
	}
	code, err := strconv.Atoi(rest[:3])
	return code, old, err == nil && code >= 100 && code <= 599
}

// answerBody reads the body of a message, whose end may be marked in one way only.
func (r *strictReader) answerBody(a *strictAnswer, old bool) (body string, closes, ok bool) {
	lengths, codings := a.fields["content-length"], a.fields["transfer-encoding"]
	if len(lengths)+len(codings) > 1 || old && len(codings) > 0 {
		return "", false, false
	}
	n := 0
	if len(lengths) == 1 {
		var err error
		if n, err = strconv.Atoi(lengths[0]); err != nil || strings.Trim(lengths[0], "0123456789") != "" {
			return "", false, false
		}
	}
	if len(codings) == 1 && !strings.EqualFold(codings[0], "chunked") {
		return "", false, false
	}
	switch {
	case a.status < 200 || a.status == 204 || a.status == 304:
		return "", false, true
	case len(codings) == 1:
		body, a.trailers, ok = r.answerChunks()
		return body, false, ok
	case len(lengths) == 0:
		body, r.rest = string(r.rest), nil
		return body, true, true
	case n > len(r.rest):
		return "", false, false
	}
	body, r.rest = string(r.rest[:n]), r.rest[n:]
	return body, false, true
}

// answerChunks reads the chunks of a body, and the trailers.
func (r *strictReader) answerChunks() (text string, trailers map[string][]string, ok bool) {
	var body strings.Builder
	for {
		line, found := r.line()
		size, _, extended := strings.Cut(line, ";")
		if !extended {
			size = strings.TrimRight(size, " \t")
		}
		n, err := strconv.ParseUint(size, 16, 31)
		if !found || err != nil {
			return "", nil, false
		}
		if n == 0 {
			trailers = r.fields()
			return body.String(), trailers, trailers != nil
		}
		if int(n) > len(r.rest) {
			return "", nil, false
		}
		body.Write(r.rest[:n])
		r.rest = r.rest[n:]
		if end, found := r.line(); !found || end != "" {
			return "", nil, false
		}
	}
}
