// Package kqtable is the seam to the platform's transactional table.
package kqtable

import (
	"bytes"
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

// Resolver applies transactions whose answers may be lost.
type Resolver struct {
	// Table is where the transactions go.
	Table Table
	// Wait pauses between tries; it returns early if ctx ends.
	Wait func(ctx context.Context, d time.Duration)
}

const (
	tryTimeout = 10 * time.Second
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Commit applies t and returns only once its outcome is certain, or
// ErrUnknown when ctx ends first. The transaction must both have a condition
// on the row marker and write it with a value that no other write has: then a
// transaction whose answer was lost can be sent again unchanged, since at most
// one of its copies can find the condition true.
func (r Resolver) Commit(ctx context.Context, t Transaction, marker string) (Outcome, error) {
	unsure := false
	for d := retryFirst; ctx.Err() == nil; d = min(2*d, retryMost) {
		o, err := r.try(ctx, t)
		switch {
		case err == nil && (o.Committed || !unsure):
			return o, nil
		case err == nil:
			if o, err = r.readBack(ctx, t, marker); err == nil {
				return o, nil
			}
		case eris.Is(err, ErrUnknown):
			unsure = true
		case !unsure:
			return Outcome{}, err
		}
		r.Wait(ctx, d)
	}
	if !unsure {
		return Outcome{}, ErrUnavailable
	}
	return Outcome{}, ErrUnknown
}

func (r Resolver) try(ctx context.Context, t Transaction) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return r.Table.Transact(ctx, t)
}

// readBack tells whether an earlier copy of t is what moved the marker.
func (r Resolver) readBack(ctx context.Context, t Transaction, marker string) (Outcome, error) {
	row, found, err := r.Table.Get(ctx, marker)
	if err != nil {
		return Outcome{}, err
	}
	for _, w := range t.Writes {
		if w.Key == marker && found && bytes.Equal(row.Value, w.Value) {
			return Outcome{Committed: true, Version: row.Version}, nil
		}
	}
	return Outcome{FailedKey: marker}, nil
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
