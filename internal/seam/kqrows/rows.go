// Package kqrows defines the interface to a transactional store whose changes can be
// followed: rows in tables, conditional transactions, and a feed of changes for each table.
package kqrows

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a store.
var (
	// ErrRefused means that the store refused the request and changed nothing.
	ErrRefused = eris.New("store: request refused, nothing was changed")
	// ErrUnreachable is an ErrRefused for a store that could not be reached.
	ErrUnreachable = eris.Wrap(ErrRefused, "store unreachable")
	// ErrUnknown means that no response arrived: a write may have been applied.
	ErrUnknown = eris.New("store: no response, the outcome is unknown")
	// ErrHistoryGone means that the store no longer has the changes after the requested
	// version: the table must be read again before it can be followed.
	ErrHistoryGone = eris.New("store: the requested change history is no longer available")
)

// Key identifies a row.
type Key struct {
	// Table is the table of the row.
	Table string
	// Name is the row's name within the table.
	Name string
}

// Row is one row as read.
type Row struct {
	Key
	// Value is the content.
	Value []byte
	// Version is the version of the store at the row's last write; it increases with each
	// write of the store.
	Version uint64
	// Removed is true in a feed if the row has been removed.
	Removed bool
}

// Condition requires that a row has a version; version 0 requires that the row does not
// exist.
type Condition struct {
	Key
	// Version is the required version.
	Version uint64
}

// Put sets the content of a row.
type Put struct {
	Key
	// Value is the new content.
	Value []byte
}

// Tx is a transaction: it is applied as a whole if every condition holds, and not at all
// otherwise.
type Tx struct {
	// Conditions must all hold.
	Conditions []Condition
	// Puts are the rows to write and Removes the rows to delete.
	Puts    []Put
	Removes []Key
}

const (
	// MaxEntries is the largest number of entries that a transaction may have.
	MaxEntries = 100
	// MaxValueBytes is the largest size of a row's value.
	MaxValueBytes = 64 << 10
	// MaxTxBytes is the largest size of the values of a transaction. The platform accepts 1 MB per call, in
	// which values are in base64; the rest is for the keys and versions of MaxEntries entries.
	MaxTxBytes = 700_000
)

// Outcome is the result of a transaction.
type Outcome struct {
	// Committed is true if the transaction was applied.
	Committed bool
	// Version is the version that the written rows have now.
	Version uint64
	// Current holds the present rows that the conditions refer to, if the transaction was
	// not applied.
	Current []Row
	// Clock is a reading of the store's steady clock that it took between the arrival of the
	// request and its answer; 0 if the store does not report one.
	Clock time.Duration
}

// Find returns a row of Current, and whether it exists.
func (o Outcome) Find(k Key) (Row, bool) {
	for _, r := range o.Current {
		if r.Key == k && !r.Removed {
			return r, true
		}
	}
	return Row{}, false
}

// Store holds the operations of a store.
type Store struct {
	// Transact applies a transaction. ErrUnknown means that it may have been applied or
	// may still be applied later; any other error means that it has not been and will not
	// be applied.
	Transact func(ctx context.Context, t Tx) (Outcome, error)
	// Read returns every row of a table whose name lies between two bounds, the second one
	// exclusive, and the store's version at that moment. Either bound may be empty, which
	// means no bound.
	Read func(ctx context.Context, table, from, to string) (rows []Row, version uint64, err error)
	// Follow waits for changes of a table after a version and returns them with the version
	// to continue from. It is not an error if there are none after the wait.
	Follow func(ctx context.Context, table string, after uint64, wait time.Duration) (rows []Row, next uint64, err error)
}
