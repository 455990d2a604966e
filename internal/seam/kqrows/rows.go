// Package kqrows is the seam to a transactional store whose changes can be
// followed: rows in tables, conditional transactions, a feed for each table.
package kqrows

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a store.
var (
	// ErrRefused says that the store did not do what it was asked.
	ErrRefused = eris.New("store: refused, nothing was done")
	// ErrUnreached says the same where the store could not be reached at all.
	ErrUnreachable = eris.Wrap(ErrRefused, "not reached")
	// ErrUnknown says that the answer is lost: a write may have taken effect.
	ErrUnknown = eris.New("store: no answer, the outcome is unknown")
	// ErrHistoryGone says that a feed must be begun anew from a read.
	ErrHistoryGone = eris.New("store: the history asked for is gone")
)

// Key names a row.
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
	// Version rises with each write of the store.
	Version uint64
	// Removed is true in a feed if the row is gone.
	Removed bool
}

// Expect is a condition: the row has this version; 0 means that it is absent.
type Condition struct {
	Key
	// Version is the version that the row must have.
	Version uint64
}

// Put sets the content of a row.
type Put struct {
	Key
	// Value is the new content.
	Value []byte
}

// Tx is applied whole if every condition holds.
type Tx struct {
	// Expected must all hold.
	Conditions []Condition
	// Puts and Removes are applied together.
	Puts    []Put
	Removes []Key
}

// MaxEntries is how many entries a transaction may have.
const MaxEntries = 100

// Outcome is what became of a transaction.
type Outcome struct {
	// Committed is true if it was applied.
	Committed bool
	// Version is the version of the rows written.
	Version uint64
	// Current is the present rows of the conditions, if it was not applied.
	Current []Row
}

// Find returns a row of Current.
func (o Outcome) Find(k Key) (Row, bool) {
	for _, r := range o.Current {
		if r.Key == k && !r.Removed {
			return r, true
		}
	}
	return Row{}, false
}

// Store is the operations of a store.
type Store struct {
	// Transact applies a transaction. ErrUnknown means that it may have been or
	// may yet be applied; any other error means that it was not and will not.
	Transact func(ctx context.Context, t Tx) (Outcome, error)
	// Read returns every row of a table from one name to another (exclusive;
	// both may be empty) and the store's version at that moment.
	Read func(ctx context.Context, table, from, to string) (rows []Row, version uint64, err error)
	// Follow waits for changes of a table after a version and returns them with
	// the version to go on from; no rows after the wait is no error.
	Follow func(ctx context.Context, table string, after uint64, wait time.Duration) (rows []Row, next uint64, err error)
}
