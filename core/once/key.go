// Package once ensures that a request with an idempotency key runs at most once. Exactly one
// incarnation of a daemon, the decider, may run the request of a key, and this never changes. The
// form of the key determines the decider: a permit key names its incarnation; for any other key,
// called a plain key, it is the incarnation that inserted the claim row in the table service.
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

// permitPrefix is the prefix of all permit keys, the keys built from a permit.
const permitPrefix = "bbp1."

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 255

// Key is a parsed idempotency key.
type Key struct {
	// Scope is the organisation that uses the key. Equal texts in different scopes are different
	// keys.
	Scope ident.OrganisationID
	Text  string
	// Decider is the incarnation named by a permit key. It is empty for a plain key.
	Decider ident.Incarnation
	// Issued is the time at which the permit was issued, according to the clock of the issuer. It
	// has a resolution of one second and is zero for a plain key.
	Issued time.Time
}

// NewKeyPermit returns a permit, which is the prefix of keys whose decider is the given incarnation.
// To build a key, the caller appends a dot and a non-empty text of its own.
func NewKeyPermit(decider ident.Incarnation, now time.Time) string {
	return permitPrefix + string(decider) + "." + strconv.FormatInt(now.Unix(), 10)
}

// ParseKey parses the text of a key. It returns an error if the key is empty, too long or starts
// with the permit prefix without being a valid permit key. The error text is part of the refusal
// that is sent to the caller.
func ParseKey(scope ident.OrganisationID, text string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("once: key must have 1 to %d bytes", maxKeyLength)
	}
	k := Key{Scope: scope, Text: text}
	rest, isPermit := strings.CutPrefix(text, permitPrefix)
	if !isPermit {
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

// hash returns the SHA-256 hash of the scope and the text in hexadecimal digits. It identifies
// the key in the table service by a name of fixed length, without collisions in practice.
func (k *Key) hash() string {
	sum := sha256.Sum256([]byte(string(k.Scope) + "\x00" + k.Text))
	return hex.EncodeToString(sum[:])
}

// partitionDigits is the number of leading hexadecimal digits of the hash that identify a
// partition of the key space.
const partitionDigits = 2

// ClaimPrefix is the prefix of the row keys of all claims.
const ClaimPrefix = "claim/"

// ClaimKey returns the row key of the claim, which also holds the outcome of the run.
func (k *Key) ClaimKey() string {
	h := k.hash()
	return ClaimPrefix + h[:partitionDigits] + "/" + h
}

// ClaimPartitions returns the row key prefixes of the 256 partitions of the claims. Since the
// keys are hashed, the partitions have about the same size.
func ClaimPartitions() []string {
	out := make([]string, 0, 256)
	for i := range 256 {
		out = append(out, fmt.Sprintf("%s%02x/", ClaimPrefix, i))
	}
	return out
}
