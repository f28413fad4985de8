package backend

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Use describes how an exchange uses its connection.
type Use struct {
	// Conn is the number of the connection among those of its client, from 1.
	Conn uint64 `json:"conn"`
	// Exchange is the number of the exchange among those of its connection, from 1.
	Exchange int `json:"exchange"`
	// Repeated reports whether the connection has carried the ID of the request before.
	Repeated bool `json:"repeated"`
}

// Reused reports whether the connection has carried other exchanges before.
func (u Use) Reused() bool { return u.Exchange > 1 }

// beginExchange counts an exchange of a request with an ID, and returns how it uses the connection.
func (c *serverConn) beginExchange(requestID string) Use {
	c.exchanges++
	use := Use{Conn: c.number, Exchange: c.exchanges}
	if requestID == "" {
		return use
	}
	hash := xxhash.Sum64String(requestID)
	use.Repeated = slices.Contains(c.carried, hash)
	c.carried = append(c.carried, hash)
	return use
}
