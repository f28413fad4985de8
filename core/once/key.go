// Package once decides which run of an idempotency key is the only one. Each
// key has exactly one decider for ever, and the form of the key tells which: a
// permit key names an incarnation, any other key is decided by a row in the
// table service.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bilberrymux/core/ident"
)

// permitPrefix starts every key that was made from a permit.
const permitPrefix = "bbp1."

// maxKeyLength bounds an idempotency key in bytes.
const maxKeyLength = 255

// Key is an idempotency key, read.
type Key struct {
	// Scope is the organisation that the key belongs to.
	Scope ident.OrganisationID
	Text  string
	// Decider is the incarnation that a permit key names, or empty.
	Decider ident.Incarnation
	// Issued is when the permit was issued, by the issuer's clock.
	Issued time.Time
}

// NewPermit returns the beginning of keys that the incarnation decides. Callers
// append a dot and a text of their own.
func NewPermit(decider ident.Incarnation, now time.Time) string {
	return permitPrefix + string(decider) + "." + strconv.FormatInt(now.Unix(), 10)
}

// ParseKey reads a key. It returns an error for a key that is empty, too long,
// or begins like a permit without being one.
func ParseKey(scope ident.OrganisationID, text string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("once: key must have 1 to %d bytes", maxKeyLength)
	}
	k := Key{Scope: scope, Text: text}
	rest, permit := strings.CutPrefix(text, permitPrefix)
	if !permit {
		return k, nil
	}
	parts := strings.SplitN(rest, ".", 3)
	if len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return Key{}, fmt.Errorf("once: key %q begins like a permit but is none", text)
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || seconds < 0 {
		return Key{}, fmt.Errorf("once: key %q has no issue time", text)
	}
	k.Decider = ident.Incarnation(parts[0])
	k.Issued = time.Unix(seconds, 0)
	return k, nil
}

// hash returns a name for the key that has a fixed length and no collisions.
func (k *Key) hash() string {
	sum := sha256.Sum256([]byte(string(k.Scope) + "\x00" + k.Text))
	return hex.EncodeToString(sum[:])
}

// sliceLength is the number of hash digits that name a slice of the key space.
const sliceLength = 2

// ClaimPrefix starts the keys of all claim rows.
const ClaimPrefix = "claim/"

// ClaimKey returns the key of the row that holds the claim and the outcome.
func (k *Key) ClaimKey() string {
	h := k.hash()
	return ClaimPrefix + h[:sliceLength] + "/" + h
}

// ClaimPartitions returns the prefixes that split the claim rows into equal parts.
func ClaimPartitions() []string {
	out := make([]string, 0, 256)
	for i := range 256 {
		out = append(out, fmt.Sprintf("%s%02x/", ClaimPrefix, i))
	}
	return out
}
