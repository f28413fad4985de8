// Package store is the contract that bilberrymux needs from the platform: a
// transactional table service, an object store and a list of VMs. A Store is a
// set of functions, so that a stand-in and a network client are alike.
package store

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"bilberrymux/core/ident"
)

// Revision numbers the writes of a row. It grows with each write of the table.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Expectation is the condition of a write.
type Expectation string

// The conditions.
const (
	// Anything writes without a condition.
	Anything Expectation = "anything"
	// Absent writes if there is no row of that key.
	Absent Expectation = "absent"
	// AtRevision writes if the row has the given revision.
	AtRevision Expectation = "atRevision"
)

// Write is one write of a transaction.
type Write struct {
	Key      string      `json:"key"`
	Value    []byte      `json:"value,omitempty"`
	Delete   bool        `json:"delete,omitempty"`
	Expect   Expectation `json:"expect"`
	Revision Revision    `json:"revision,omitempty"`
}

// VM is one entry of the platform's list.
type VM struct {
	ID ident.VMID `json:"id"`
	// Address is the IP number of the VM, where the platform tells it.
	Address string `json:"address,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ErrNoResponse marks a call whose effect is unknown: the store did not answer. A
// write may have taken effect.
var ErrNoResponse = errors.New("store: no answer")

// ErrNoObject marks an object that does not exist.
var ErrNoObject = errors.New("store: no such object")

// ConflictError lists the keys whose condition did not hold. Nothing was
// written.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: condition failed for %s", strings.Join(e.Keys, ", "))
}

// Store is the platform. Every function honours its context and returns an
// error that wraps ErrNoResponse where no answer came.
type Store struct {
	// Read returns the row of a key and whether there is one.
	Read func(ctx context.Context, key string) (Row, bool, error)
	// Scan returns up to limit rows whose keys have the prefix and lie after
	// the given key, in the order of keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact writes all or nothing. It returns the revision of the written
	// rows, or a *ConflictError.
	Transact func(ctx context.Context, writes []Write) (Revision, error)
	// PutObject writes a whole object.
	PutObject func(ctx context.Context, name string, body []byte) error
	// GetObject returns a whole object, or ErrNoObject.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListVMs returns the platform's lagging list of VMs.
	ListVMs func(ctx context.Context) ([]VM, error)
}

// scanPage is the number of rows that ScanAll asks for at once.
const scanPage = 1000

// ScanAll returns every row with the prefix.
func (s *Store) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, err := s.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
