// Package news carries what daemons tell each other: short datagrams about
// liveness, versions and the health of backend servers, and whole states over
// drpc where a datagram told of a newer one.
//
// A datagram that is lost does no harm: the next one repeats what counts.
package news

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/zone"
)

// Message is one datagram.
type Message struct {
	From zone.Member `cbor:"1,keyasint"`
	// Version is that of the configuration in force at the sender.
	Version ident.Version `cbor:"2,keyasint,omitempty"`
	// VersionAgeMillis is how long ago the store confirmed the version.
	VersionAgeMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Stamp orders the sender's list of servers.
	Stamp uint64 `cbor:"4,keyasint,omitempty"`
	// StampAgeMillis is how long ago the store confirmed the list.
	StampAgeMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Reports tell of backend servers.
	Reports []belief.Report `cbor:"6,keyasint,omitempty"`
	// Crashes tell of requests that were running when a server died.
	Crashes []Crash `cbor:"7,keyasint,omitempty"`
	// Relay asks the receiver to tell its own zone.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// Hello asks for an answer, since the sender has just started.
	Hello bool `cbor:"9,keyasint,omitempty"`
	// Stopping says that the sender ends by plan.
	Stopping bool `cbor:"10,keyasint,omitempty"`
	// Changes brings a list that is at least as new as its base up to Stamp.
	Changes *Changes `cbor:"11,keyasint,omitempty"`
}

// Changes is the difference between two lists of servers, in the platform's own
// bytes.
type Changes struct {
	Base  uint64 `cbor:"1,keyasint"`
	Stamp uint64 `cbor:"2,keyasint"`
	// Servers holds the rows that were added or changed, by key.
	Servers map[string][]byte `cbor:"3,keyasint,omitempty"`
	Removed []string          `cbor:"4,keyasint,omitempty"`
}

// Crash is a request that was running when a server died.
type Crash struct {
	Service     ident.ServiceID   `cbor:"1,keyasint"`
	Server      ident.ServerID    `cbor:"2,keyasint"`
	Fingerprint ident.Fingerprint `cbor:"3,keyasint"`
}

// StateRequest asks for what the sender lacks.
type StateRequest struct {
	Version ident.Version `cbor:"1,keyasint"`
	Stamp   uint64        `cbor:"2,keyasint"`
	// Members asks for the daemons that the peer knows.
	Members bool `cbor:"3,keyasint,omitempty"`
}

// State is what a daemon knows of the platform, in the platform's own bytes.
type State struct {
	Version ident.Version `cbor:"1,keyasint"`
	// VersionAgeMillis and StampAgeMillis are how long ago the store confirmed
	// the configuration and the list.
	VersionAgeMillis uint32 `cbor:"2,keyasint"`
	Config           []byte `cbor:"3,keyasint,omitempty"`
	StampAgeMillis   uint32 `cbor:"4,keyasint"`
	// Changes is what the asker's list lacks, or nil.
	Changes *Changes      `cbor:"5,keyasint,omitempty"`
	Members []zone.Member `cbor:"6,keyasint,omitempty"`
	// FeedFrom is the version of the store up to which Version is the newest.
	FeedFrom uint64 `cbor:"7,keyasint,omitempty"`
}

// encoding is how drpc carries the messages of this package.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return body, nil
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(body []byte, m drpc.Message) error {
	if err := cbor.Unmarshal(body, m); err != nil {
		return fmt.Errorf("news: %w", err)
	}
	return nil
}
