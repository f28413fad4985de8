package gridserver

import (
	"io"
	"net"
	"slices"
	"strings"

	"bilberrymux/internal/headcases"
)

// Prefixes of the faults with which the server runs the request and then writes a response of internal/headcases, whose
// name follows.
const (
	malformedHead = "malformedHead/"
	ordinaryHead  = "ordinaryHead/"
)

// MalformedHeads returns the faults with which the server answers with a malformed head or malformed trailers. The body
// is not that of an answer.
func MalformedHeads() []Fault {
	cases := headcases.Load()
	return headFaults(malformedHead, slices.Concat(cases.Malformed, cases.MalformedTrailers))
}

// OrdinaryHeads returns the faults with which the server answers with a head that is unusual but well-formed.
func OrdinaryHeads() []Fault {
	return headFaults(ordinaryHead, headcases.Load().Ordinary)
}

func headFaults(prefix string, cases []headcases.Case) []Fault {
	var out []Fault
	for _, c := range cases {
		out = append(out, Fault(prefix+c.Name))
	}
	return out
}

// writeHeadCase writes the response of a fault, if that is one of MalformedHeads or OrdinaryHeads. staysOpen reports whether
// the connection can carry another request afterwards, so that it must not end without notice.
func writeHeadCase(conn net.Conn, fields, body string, fault Fault) (written, staysOpen bool) {
	name, malformed := strings.CutPrefix(string(fault), malformedHead)
	if malformed {
		body = "malformed " + body
	} else if name, written = strings.CutPrefix(string(fault), ordinaryHead); !written {
		return false, false
	}
	c, ok := headcases.Find(name)
	if ok {
		_, _ = io.WriteString(conn, c.Expand(fields, body)) // a client that has left needs no response
	}
	return ok, ok && !malformed && !c.Closes
}
