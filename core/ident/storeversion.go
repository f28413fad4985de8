package ident

import (
	"cmp"
	"fmt"
)

// Era counts how often the platform's store came back from an older copy of its content, and lost what it had
// acknowledged since. It is 0 if the store doesn't say.
type Era uint64

// StoreVersion is a version of the platform's store. After a return from a copy the store gives numbers out again, so
// that a number has a meaning only within its era. The zero value is before all others.
type StoreVersion struct {
	Era    Era
	Number uint64
}

// Compare returns -1, 0 or +1 if the content of the store at version v is older than that at the other one, the same, or
// newer.
func (v StoreVersion) Compare(other StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// After reports whether version v is newer than the other one.
func (v StoreVersion) After(other StoreVersion) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the zero value, which stands for a store that was not read.
func (v StoreVersion) IsZero() bool { return v == StoreVersion{} }

// Later returns the newer of two versions.
func Later(a, b StoreVersion) StoreVersion {
	if b.After(a) {
		return b
	}
	return a
}

// String returns "era.number".
func (v StoreVersion) String() string { return fmt.Sprintf("%d.%d", v.Era, v.Number) }
