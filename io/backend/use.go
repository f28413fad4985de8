package backend

// Use describes how an exchange uses its connection.
type Use struct {
	// Conn is the number of the connection among those of its client, from 1.
	Conn uint64 `json:"conn"`
	// Exchange is the number of the exchange among those of its connection, from 1.
	Exchange int `json:"exchange"`
	// Avoided reports whether an idle connection was left out because it had carried the ID of the request
	// before.
	Avoided bool `json:"avoided"`
}

// Reused reports whether the connection has carried other exchanges before.
func (u Use) Reused() bool { return u.Exchange > 1 }
