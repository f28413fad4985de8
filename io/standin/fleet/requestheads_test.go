package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"bilberrymux/internal/headcases"
	"bilberrymux/io/standin/backendserver"
)

// sendOrderWith sends an order with the fields of a case and returns the status of the response.
func sendOrderWith(t *testing.T, address, id string, c headcases.Case) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s\r\n", backendserver.TestIDHeader, id, c.Expand("", "")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestMalformedRequestsReachNoServer guards against fields of a caller that a lenient parser accepts, and that a server may
// read in another way.
func TestMalformedRequestsReachNoServer(t *testing.T) {
	f := start(t, options(1))
	cases := headcases.Load()
	for _, c := range cases.MalformedRequestFields {
		id := "malformed-" + c.Name
		if status := sendOrderWith(t, f.Entries()[0], id, c); status != http.StatusBadRequest || runsOf(f, id) > 0 {
			t.Errorf("%s: got status %d after %d runs, want 400 after none", c.Name, status, runsOf(f, id))
		}
	}
	for _, c := range cases.OrdinaryRequestFields {
		id := "unusual-" + c.Name
		if status := sendOrderWith(t, f.Entries()[0], id, c); status != http.StatusOK || runsOf(f, id) != 1 {
			t.Errorf("%s: got status %d after %d runs, want 200 after one", c.Name, status, runsOf(f, id))
		}
	}
}
