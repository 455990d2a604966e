// Package kqtable defines the interface to the platform's transactional table.
package kqtable

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// ErrUnknown means that the response to a write was lost: the write may have been applied.
var ErrUnknown = eris.New("table: response lost, the outcome of the write is unknown")

// ErrUnavailable means that the table did not accept the request; a write was not applied.
var ErrUnavailable = eris.New("table: unavailable, request not accepted")

// Row is one row of the table.
type Row struct {
	// Key identifies the row.
	Key string
	// Version is the version of the table at the row's last write; it increases with each
	// write of the table.
	Version uint64
	// Value is the content.
	Value []byte
}

// Condition requires that a row has a version; version 0 requires that the row does not
// exist.
type Condition struct {
	// Key is the row.
	Key string
	// Version is the required version.
	Version uint64
}

// Write puts or deletes one row.
type Write struct {
	// Key is the row.
	Key string
	// Value is the new content.
	Value []byte
	// Delete is true to remove the row instead of writing it.
	Delete bool
}

// Transaction is applied as a whole if every condition holds, and not at all otherwise.
type Transaction struct {
	// Conditions must all hold.
	Conditions []Condition
	// Writes are the rows to write or delete.
	Writes []Write
}

// Outcome is the result of a transaction.
type Outcome struct {
	// Committed is true if the writes were applied.
	Committed bool
	// FailedKey is the key of a row whose condition did not hold; empty if all held.
	FailedKey string
	// Version is the version that the written rows have now.
	Version uint64
}

// Table holds the operations of a table service.
type Table struct {
	// Get returns a row; found is false if the row does not exist.
	Get func(ctx context.Context, key string) (row Row, found bool, err error)
	// Scan returns at most limit rows whose keys start with prefix and come after a key, in
	// the order of their keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction. ErrUnknown means that it may have been applied; any
	// other error means that it was not.
	Transact func(ctx context.Context, t Transaction) (Outcome, error)
}

// scanPageSize is the number of rows that ScanAll reads with one call.
const scanPageSize = 1000

// ScanAll returns every row whose key starts with prefix. The rows come from several calls,
// so they need not be the state of one moment.
func (t Table) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var out []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		out = append(out, page...)
		if len(page) < scanPageSize {
			return out, nil
		}
		after = page[len(page)-1].Key
	}
}

// NewWriteID returns a unique identifier for a write.
func NewWriteID() string { return uuid.NewString() }

// Sleep waits for a duration or until ctx ends. It is the Wait of a Resolver outside of
// tests.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Encode returns the JSON form of a row's value.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode parses the JSON form of a row's value into v.
func Decode(r Row, v any) error {
	return eris.Wrapf(json.Unmarshal(r.Value, v), "row %s", r.Key)
}
