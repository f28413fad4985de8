package gridserver

import (
	"io"
	"net"
	"net/http"
)

// refusalLog holds the refusals that one connection has carried by the id of their requests.
type refusalLog map[string]string

// SetCopiesRefusals makes the server write the copy of a refusal before its own response, when it runs a request
// that it has refused on the same connection before.
func (s *Server) SetCopiesRefusals(copies bool) { s.copiesRefusals.Store(copies) }

// SetMisdirectedStatus sets the status of the responses to requests addressed to another instance, 421 or one with
// which the server says that it did not run the request.
func (s *Server) SetMisdirectedStatus(status int) { s.misdirected.Store(int64(status)) }

// Copies returns the number of copies of refusals that the server wrote.
func (s *Server) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies
}

// RunsAfterRefusal returns the number of requests that the server refused, and ran when they came again.
func (s *Server) RunsAfterRefusal() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.refused {
		if s.runs[id] > 0 {
			n++
		}
	}
	return n
}

// refuseMisdirected refuses a request that is addressed to another instance.
func (s *Server) refuseMisdirected(c net.Conn, id string, refusals refusalLog) {
	headers := "Bilberrymux-Instance-Id: " + s.ID() + "\r\n"
	status := int(s.misdirected.Load())
	if status != http.StatusMisdirectedRequest {
		headers += "Bilberrymux-Not-Executed: 1\r\n"
	}
	s.refuse(c, id, status, headers, refusals)
}

// refuse refuses a request without running it. Each of the headers ends with CRLF.
func (s *Server) refuse(c net.Conn, id string, status int, headers string, refusals refusalLog) {
	s.mu.Lock()
	s.refused[id]++
	s.mu.Unlock()
	refusals[id] = s.writeResponse(c, id, status, "", headers)
}

// copyRefusal writes the copy of the refusal of a request that runs now, if the server copies refusals and the
// connection has carried one.
func (s *Server) copyRefusal(c net.Conn, id string, refusals refusalLog) {
	refusal, refused := refusals[id]
	if !refused || !s.copiesRefusals.Load() {
		return
	}
	s.mu.Lock()
	s.copies++
	s.mu.Unlock()
	_, _ = io.WriteString(c, refusal) // a client that has left needs no copy
}

// wasRefused reports whether the server has refused a request before.
func (s *Server) wasRefused(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[id] > 0
}
