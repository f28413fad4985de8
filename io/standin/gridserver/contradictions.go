package gridserver

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
)

// Faults with which the server runs the request, and then writes a response that says or hints that it did
// not, but contradicts itself or has no certain end.
const (
	// TwoRequestIDs names this request and another one.
	TwoRequestIDs Fault = "twoRequestIds"
	// RefusalInTrailer and IDInTrailer state something in the trailer of a chunked response only.
	RefusalInTrailer        Fault = "refusalInTrailer"
	SuccessRefusedInTrailer Fault = "successRefusedInTrailer"
	IDInTrailer             Fault = "idInTrailer"
	// RefusedSuccess and SignedRefusal are signed, as only responses to requests that ran are.
	RefusedSuccess Fault = "refusedSuccess"
	SignedRefusal  Fault = "signedRefusal"
	// RefusedError has a status that servers have only for requests that ran.
	RefusedError Fault = "refusedError"
	// NegatedRefusal and TwoRefusals have values that say the opposite, or differ.
	NegatedRefusal Fault = "negatedRefusal"
	TwoRefusals    Fault = "twoRefusals"
	// UnframedRefusal ends with its connection.
	UnframedRefusal Fault = "unframedRefusal"
	// TwoFramings has a length and comes in chunks.
	TwoFramings Fault = "twoFramings"
	// InterimResponse says first that the request is being processed.
	InterimResponse Fault = "interimResponse"
	// LooseSyntax has spaces before the colons.
	LooseSyntax Fault = "looseSyntax"
	// TwoMisdirections answers 421 and names this request and another one.
	TwoMisdirections Fault = "twoMisdirections"
)

// contradictoryRefusals maps faults to what the server writes. {id} stands for the id of the request, {chunk} for a
// chunk with the body of a success.
var contradictoryRefusals = map[Fault]string{
	TwoRequestIDs:           "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Request-Id: other\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	RefusalInTrailer:        "HTTP/1.1 500 Internal Server Error\r\nBilberrymux-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBilberrymux-Not-Executed: 1\r\n\r\n",
	SuccessRefusedInTrailer: "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Response-Signature: s.{id}\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\nBilberrymux-Not-Executed: 1\r\n\r\n",
	IDInTrailer:             "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBilberrymux-Request-Id: {id}\r\n\r\n",
	RefusedSuccess:          "HTTP/1.1 200 OK\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Response-Signature: s.{id}\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	SignedRefusal:           "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Response-Signature: s.{id}\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	RefusedError:            "HTTP/1.1 500 Internal Server Error\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	NegatedRefusal:          "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 0\r\nContent-Length: 0\r\n\r\n",
	TwoRefusals:             "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 1\r\nBilberrymux-Not-Executed: 0\r\nContent-Length: 0\r\n\r\n",
	UnframedRefusal:         "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 1\r\n\r\n",
	TwoFramings:             "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	InterimResponse:         "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	LooseSyntax:             "HTTP/1.1 503 Service Unavailable\r\nBilberrymux-Request-Id : {id}\r\nBilberrymux-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n",
	TwoMisdirections:        "HTTP/1.1 421 Misdirected Request\r\nBilberrymux-Request-Id: {id}\r\nBilberrymux-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
}

// ContradictoryRefusals returns the faults with which a server contradicts itself about whether it ran the
// request, in a fixed order.
func ContradictoryRefusals() []Fault {
	return slices.Sorted(maps.Keys(contradictoryRefusals))
}

// writeContradiction writes the response of a fault, if that is one of ContradictoryRefusals, after which the
// connection ends.
func writeContradiction(c net.Conn, id, body string, fault Fault) (written bool) {
	text, ok := contradictoryRefusals[fault]
	if ok {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		_, _ = strings.NewReplacer("{id}", id, "{chunk}", chunk).WriteString(c, text) // a client that has left needs no response
	}
	return ok
}
