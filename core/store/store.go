// Package store defines the services that bilberrymux needs from the platform: a transactional
// table service, an object store and a list of VMs. Store is a struct of functions, so that a
// test stand-in and a network client can be used alike.
package store

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"bilberrymux/core/ident"
)

// Revision identifies a write of a row. Each write to the table gets a greater revision.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last write of the row.
	Revision Revision `json:"revision"`
}

// Expectation is the condition under which a write takes effect.
type Expectation string

// The conditions.
const (
	// Anything makes the write unconditional.
	Anything Expectation = "anything"
	// Absent requires that no row with the key exists.
	Absent Expectation = "absent"
	// AtRevision requires that the row has the revision given in the write.
	AtRevision Expectation = "atRevision"
)

// Write is one write or deletion of a row in a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool        `json:"delete,omitempty"`
	Expect Expectation `json:"expect"`
	// Revision is the expected revision if Expect is AtRevision.
	Revision Revision `json:"revision,omitempty"`
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID ident.VMID `json:"id"`
	// Address is the IP address of the VM. It is empty if the platform does not report it.
	Address string `json:"address,omitempty"`
	// Leaving reports whether the platform is removing the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// ErrNoResponse is returned if the store did not respond to a call. A write may have taken
// effect.
var ErrNoResponse = errors.New("store: no answer")

// ErrNoObject is returned by GetObject if the object does not exist.
var ErrNoObject = errors.New("store: no such object")

// ConflictError is returned by Transact if a condition did not hold. Nothing was written.
type ConflictError struct {
	// Keys are the keys of the writes whose conditions did not hold.
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: condition failed for %s", strings.Join(e.Keys, ", "))
}

// Store gives access to the services of the platform. Every function respects the cancellation
// and deadline of its context and returns an error that wraps ErrNoResponse if no response came.
type Store struct {
	// Read returns the row with the key and whether it exists.
	Read func(ctx context.Context, key string) (Row, bool, error)
	// Scan returns up to limit rows whose keys start with the prefix and are greater than
	// after, in ascending order of keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies the writes atomically. It returns the revision of the written rows,
	// or a *ConflictError if a condition does not hold.
	Transact func(ctx context.Context, writes []Write) (Revision, error)
	// PutObject creates or replaces an object.
	PutObject func(ctx context.Context, name string, body []byte) error
	// GetObject returns the content of an object, or ErrNoObject.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// ListVMs returns the platform's list of VMs, which may be out of date.
	ListVMs func(ctx context.Context) ([]VM, error)
}

// scanPageRows is the number of rows that ScanAll requests per call of Scan.
const scanPageRows = 1000

// ScanAll returns all rows whose keys start with the prefix, in ascending order of keys. It
// reads them in several calls, so the result is not a snapshot of the table.
func (s *Store) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, err := s.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
