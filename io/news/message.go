// Package news transports the gossip between daemons. UDP datagrams carry liveness,
// data versions and the health of backend servers. A daemon that learns of newer data
// from a datagram fetches the state from the sender by a drpc call.
//
// Lost datagrams are tolerated, since later datagrams repeat the important content.
package news

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"bilberrymux/core/belief"
	"bilberrymux/core/ident"
	"bilberrymux/core/ratelimit"
	"bilberrymux/core/zone"
)

// Message is the content of one datagram.
type Message struct {
	// From describes the sender.
	From zone.Member `cbor:"1,keyasint"`
	// Version is the version of the sender's active configuration.
	Version ident.Version `cbor:"2,keyasint,omitempty"`
	// VersionAgeMillis is the time in milliseconds since the sender itself last read
	// the configuration from the store.
	VersionAgeMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Revision is the number of the store version of the sender's list of servers, and Era its era. See ListVersion.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// RevisionAgeMillis is the time in milliseconds since the sender itself last read the
	// list from the store.
	RevisionAgeMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Reports are estimates of the health of backend servers.
	Reports []belief.Report `cbor:"6,keyasint,omitempty"`
	// Crashes are requests that were running on a server when it crashed.
	Crashes []Crash `cbor:"7,keyasint,omitempty"`
	// Relay asks the receiver to forward the message within its own zone.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// Hello asks for a message in reply, because the sender has just started.
	Hello bool `cbor:"9,keyasint,omitempty"`
	// Stopping announces a planned shutdown of the sender.
	Stopping bool `cbor:"10,keyasint,omitempty"`
	// Changes updates a list of revision Changes.BaseRevision or newer to
	// Changes.Revision. It may be nil.
	Changes *Changes `cbor:"11,keyasint,omitempty"`
	// Losses holds the shares of requests that the sender lost, by service.
	Losses []belief.LossReport `cbor:"12,keyasint,omitempty"`
	// Limits holds what servers said of their limits.
	Limits []ratelimit.Report `cbor:"13,keyasint,omitempty"`
	// Packed is a packed Payload, or empty.
	Packed []byte    `cbor:"14,keyasint,omitempty"`
	Era    ident.Era `cbor:"15,keyasint,omitempty"`
	// Quarantined holds quarantined requests.
	Quarantined []Quarantined `cbor:"16,keyasint,omitempty"`
	// QuarantineKnown reports that the sender has learned of the quarantined requests since it started.
	QuarantineKnown bool `cbor:"17,keyasint,omitempty"`
}

// ListVersion returns the store version of the sender's list of servers. It has no era if the sender is of a build that
// knows none.
func (m *Message) ListVersion() ident.StoreVersion {
	return ident.StoreVersion{Era: m.Era, Number: m.Revision}
}

// Changes is the difference between two versions of the list of servers, or a whole list. Rows
// are encoded as in the platform's store.
type Changes struct {
	// BaseRevision is the store version that the changes start from, and Revision the one
	// that they lead to. If BaseRevision is 0, this is a whole list: servers that it does not hold
	// are not registered.
	BaseRevision uint64 `cbor:"1,keyasint"`
	Revision     uint64 `cbor:"2,keyasint"`
	// Servers holds the rows that were added or changed, by key.
	Servers map[string][]byte `cbor:"3,keyasint,omitempty"`
	// Removed holds the keys of the removed rows.
	Removed []string `cbor:"4,keyasint,omitempty"`
	// Era is the era of both versions.
	Era ident.Era `cbor:"5,keyasint,omitempty"`
}

// Base returns the store version that the changes start from. It is zero if this is a whole list.
func (c *Changes) Base() ident.StoreVersion {
	if c.Whole() {
		return ident.StoreVersion{}
	}
	return ident.StoreVersion{Era: c.Era, Number: c.BaseRevision}
}

// Version returns the store version that the changes lead to.
func (c *Changes) Version() ident.StoreVersion {
	return ident.StoreVersion{Era: c.Era, Number: c.Revision}
}

// Whole reports whether these are not changes, but all rows of the list.
func (c *Changes) Whole() bool { return c.BaseRevision == 0 }

// Crash identifies a request that was running on a server when it crashed.
type Crash struct {
	Service     ident.ServiceID   `cbor:"1,keyasint"`
	Server      ident.ServerID    `cbor:"2,keyasint"`
	Fingerprint ident.Fingerprint `cbor:"3,keyasint"`
	// StartMillis is the start time of the server's run in Unix milliseconds, or 0 if the sender is of a build that doesn't
	// tell.
	StartMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Quarantined is a request that crashed servers, as in poison.Entry.
type Quarantined struct {
	Service     ident.ServiceID   `cbor:"1,keyasint"`
	Fingerprint ident.Fingerprint `cbor:"2,keyasint"`
	Version     uint64            `cbor:"3,keyasint"`
	// LeftMillis is the time in milliseconds until the quarantine ends. It is negative afterwards.
	LeftMillis int64            `cbor:"4,keyasint"`
	Servers    []ident.ServerID `cbor:"5,keyasint,omitempty"`
	Released   bool             `cbor:"6,keyasint,omitempty"`
}

// StateRequest asks a peer for data that is newer than the sender's.
type StateRequest struct {
	// Version is the version of the sender's configuration, and Revision the
	// store version of its list of servers.
	Version  ident.Version `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	// Members also asks for the list of daemons that the peer knows.
	Members bool `cbor:"3,keyasint,omitempty"`
	// Unpacks reports whether the requester can read State.Packed, and returns later if the peer is busy.
	Unpacks bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of Revision.
	Era ident.Era `cbor:"5,keyasint,omitempty"`
}

// ListVersion returns the store version of the requester's list of servers.
func (r *StateRequest) ListVersion() ident.StoreVersion {
	return ident.StoreVersion{Era: r.Era, Number: r.Revision}
}

// State is the reply to a StateRequest. It holds the data that the requester lacks,
// encoded as in the platform's store.
type State struct {
	// Version is the version of the replying daemon's configuration.
	Version ident.Version `cbor:"1,keyasint"`
	// VersionAgeMillis and RevisionAgeMillis are the times in milliseconds since the
	// replying daemon itself last read the configuration and the list from the store.
	VersionAgeMillis uint32 `cbor:"2,keyasint"`
	// Config is the encoded configuration, or empty if the requester's is as new.
	Config            []byte `cbor:"3,keyasint,omitempty"`
	RevisionAgeMillis uint32 `cbor:"4,keyasint"`
	// Changes updates the requester's list, or is nil if that is up to date.
	Changes *Changes `cbor:"5,keyasint,omitempty"`
	// Members holds the known daemons if the request asked for them.
	Members []zone.Member `cbor:"6,keyasint,omitempty"`
	// FeedFrom is the number of the store version up to which Version is known to be the newest
	// configuration.
	FeedFrom uint64 `cbor:"7,keyasint,omitempty"`
	// Packed is a packed Payload that replaces Config and Changes if the requester can read it.
	Packed []byte `cbor:"8,keyasint,omitempty"`
	// Busy reports that the replying daemon sends its data to other peers now. The reply holds none.
	Busy bool `cbor:"9,keyasint,omitempty"`
	// Revision is the number of the version of the replying daemon's list, or 0 if the daemon is of an older build.
	Revision uint64 `cbor:"10,keyasint,omitempty"`
	// Era is the era of Revision, and FeedEra that of FeedFrom.
	Era     ident.Era `cbor:"11,keyasint,omitempty"`
	FeedEra ident.Era `cbor:"12,keyasint,omitempty"`
}

// ListVersion returns the store version of the replying daemon's list of servers.
func (s *State) ListVersion() ident.StoreVersion {
	return ident.StoreVersion{Era: s.Era, Number: s.Revision}
}

// FeedVersion returns the store version up to which Version is known to be the newest configuration.
func (s *State) FeedVersion() ident.StoreVersion {
	return ident.StoreVersion{Era: s.FeedEra, Number: s.FeedFrom}
}

// cborEncoding encodes the messages of the drpc calls as CBOR.
type cborEncoding struct{}

// Marshal implements drpc.Encoding.
func (cborEncoding) Marshal(m drpc.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return body, nil
}

// Unmarshal implements drpc.Encoding.
func (cborEncoding) Unmarshal(body []byte, m drpc.Message) error {
	if err := cbor.Unmarshal(body, m); err != nil {
		return fmt.Errorf("news: %w", err)
	}
	return nil
}
