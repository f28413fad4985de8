package backend

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// AttemptIDHeader names the attempt that a request is. Servers repeat it in their responses. Daemons give each attempt
// an ID of its own, so that a response which arrives too late or twice is not taken for that of another attempt.
// Connections to servers that don't repeat it carry one request each.
const AttemptIDHeader = "Bilberrymux-Attempt-Id"

// Identity says how responses name the request that they answer. The ID need not differ between requests: a
// connection carries each ID only once, so that the connection and the ID together name one attempt.
type Identity struct {
	// ID is what the server repeats. Responses to a request with an empty ID name none.
	ID string
	// Of returns the IDs that a response names.
	Of func(h *fasthttp.ResponseHeader) []string
}

// newAttemptIdentity sets AttemptIDHeader of a request to a new ID, and returns it.
func (c *Client) newAttemptIdentity(req *fasthttp.Request) *Identity {
	id := c.attemptPrefix + strconv.FormatUint(c.attempts.Add(1), 36)
	// Set would keep further values that the caller has sent.
	req.Header.Del(AttemptIDHeader)
	req.Header.Set(AttemptIDHeader, id)
	return &Identity{ID: id, Of: attemptIDs}
}

// newAttemptPrefix returns a random prefix of the attempt IDs of one client.
func newAttemptPrefix() string {
	return uuid.NewString()[:8] + "-"
}

func attemptIDs(h *fasthttp.ResponseHeader) []string {
	var ids []string
	for _, v := range h.PeekAll(AttemptIDHeader) {
		ids = append(ids, string(v))
	}
	return ids
}

// relation says which request a response names.
type relation string

const (
	namesOwn   relation = "own"
	namesOther relation = "other"
	// namesBoth is the relation of a response that names this request and another one.
	namesBoth relation = "both"
	namesNone relation = "none"
)

// relate returns the relation of a response to the request.
func (i *Identity) relate(h *fasthttp.ResponseHeader) relation {
	ids := i.Of(h)
	own := slices.Contains(ids, i.ID)
	other := slices.ContainsFunc(ids, func(id string) bool { return id != i.ID })
	switch {
	case own && other:
		return namesBoth
	case own:
		return namesOwn
	case other:
		return namesOther
	}
	return namesNone
}

// idHash is the hash of an Identity's ID.
type idHash uint64

func (i *Identity) hash() idHash {
	return idHash(xxhash.Sum64String(i.ID))
}
