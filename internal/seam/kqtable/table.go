// Package kqtable is the seam to the platform's transactional table.
package kqtable

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// ErrUnknown says that a write's answer was lost: it may have taken effect.
var ErrUnknown = eris.New("table: outcome of the write is unknown")

// ErrUnavailable says that the table did not take the request.
var ErrUnavailable = eris.New("table: unavailable")

// Row is one row.
type Row struct {
	// Key is the name of the row.
	Key string
	// Version grows with each write of the table.
	Version uint64
	// Value is the content.
	Value []byte
}

// Condition holds if the row's version is as given; 0 means absent.
type Condition struct {
	// Key is the row.
	Key string
	// Version is the version that the row must have.
	Version uint64
}

// Write puts or deletes one row.
type Write struct {
	// Key is the row.
	Key string
	// Value is the new content.
	Value []byte
	// Delete removes the row.
	Delete bool
}

// Transaction is applied whole if every condition holds.
type Transaction struct {
	// Conditions must all hold.
	Conditions []Condition
	// Writes are applied together.
	Writes []Write
}

// Outcome is what became of a transaction.
type Outcome struct {
	// Committed is true if the writes were applied.
	Committed bool
	// FailedKey is a row whose condition did not hold.
	FailedKey string
	// Version is the version that the written rows have now.
	Version uint64
}

// Table is the operations of a table service.
type Table struct {
	// Get returns a row; found is false where there is none.
	Get func(ctx context.Context, key string) (row Row, found bool, err error)
	// Scan returns at most limit rows by prefix, in order of key, after a key.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction. ErrUnknown means that it may have been
	// applied; any other error means that it was not.
	Transact func(ctx context.Context, t Transaction) (Outcome, error)
}

const scanPage = 1000

// ScanAll returns every row by prefix.
func (t Table) ScanAll(ctx context.Context, prefix string) ([]Row, error) {
	var out []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		out = append(out, page...)
		if len(page) < scanPage {
			return out, nil
		}
		after = page[len(page)-1].Key
	}
}

// NewWriteID returns an identifier that no other write has.
func NewWriteID() string { return uuid.NewString() }

// Sleep is the Wait of a Resolver in a running process.
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

// Decode reads the JSON form of a row's value.
func Decode(r Row, v any) error {
	return eris.Wrapf(json.Unmarshal(r.Value, v), "row %s", r.Key)
}
