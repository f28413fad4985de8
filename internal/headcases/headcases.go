// Package headcases holds responses of HTTP/1.1 servers whose heads or trailers are malformed, and unusual ones that are
// well-formed, for the tests of everything that reads responses; also such fields of requests.
package headcases

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Case is one response.
type Case struct {
	// Name identifies the case. It is the name of a subtest.
	Name string `json:"name"`
	// Text is what the server writes. See Expand for its placeholders.
	Text string `json:"text"`
	// Closes reports whether the response ends with its connection.
	Closes bool `json:"closes"`
}

// Cases are the responses by what a client must make of them.
type Cases struct {
	// Malformed responses are none: the exchange has failed, and the server may have run the request.
	Malformed []Case `json:"malformed"`
	// MalformedTrailers are responses of which all but the trailers is well-formed. They are no complete answers.
	MalformedTrailers []Case `json:"malformedTrailers"`
	// Ordinary responses are successes whose body must arrive whole.
	Ordinary []Case `json:"ordinary"`
	// MalformedRequestFields are fields of requests that no server may get, and OrdinaryRequestFields unusual ones
	// that reach it. Their texts are lines that end with CRLF.
	MalformedRequestFields []Case `json:"malformedRequestFields"`
	OrdinaryRequestFields  []Case `json:"ordinaryRequestFields"`
}

//go:embed cases.json
var casesJSON []byte

// Load returns all cases.
func Load() Cases {
	var c Cases
	if err := json.Unmarshal(casesJSON, &c); err != nil {
		panic(err) // can't happen: the cases are part of the program and its tests decode them
	}
	return c
}

// IsOrdinary reports whether the case with a name is one of Cases.Ordinary.
func IsOrdinary(name string) bool {
	return slices.ContainsFunc(Load().Ordinary, func(c Case) bool { return c.Name == name })
}

// Find returns the case with a name, and whether there is one.
func Find(name string) (c Case, ok bool) {
	cases := Load()
	all := slices.Concat(cases.Malformed, cases.MalformedTrailers, cases.Ordinary)
	i := slices.IndexFunc(all, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, false
	}
	return all[i], true
}

// Expand returns the text with a body in place of {body}, its length in place of {length} and a chunk that holds it in
// place of {chunk}. The fields, each of which ends with CRLF, take the place of {fields}, and the byte of e with an acute
// accent in Latin-1 that of {latin1}.
func (c Case) Expand(fields, body string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	return strings.NewReplacer("{fields}", fields, "{length}", strconv.Itoa(len(body)), "{body}", body, "{chunk}", chunk, "{latin1}", "\xe9").Replace(c.Text)
}
