// Package kqstore is an in-memory stand-in for the platform's transactional table and its
// object store.
package kqstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Counts holds the numbers of operations that a table has served.
type Counts struct {
	// Reads is the number of gets and scans.
	Reads uint64
	// Writes is the number of transactions, also of those whose conditions did not hold.
	Writes uint64
}

// Table is an in-memory transactional table.
type Table struct {
	// Faults holds the fault switches of this stand-in.
	Faults *kqfault.Switches

	mu      sync.Mutex
	rows    map[string]kqtable.Row
	keys    []string // of rows, sorted
	version uint64
	counts  Counts
}

// NewTable returns an empty table.
func NewTable(f *kqfault.Switches) *Table {
	return &Table{Faults: f, rows: map[string]kqtable.Row{}}
}

// Client returns the table's operations for use in the same process.
func (t *Table) Client() kqtable.Table {
	return kqtable.Table{Get: t.get, Scan: t.scan, Transact: t.transact}
}

// Counts returns the numbers of operations served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

func (t *Table) get(ctx context.Context, key string) (kqtable.Row, bool, error) {
	if err := t.Faults.BeforeRequest(ctx); err != nil {
		return kqtable.Row{}, false, kqtable.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	r, ok := t.rows[key]
	return r, ok, nil
}

func (t *Table) scan(ctx context.Context, prefix, after string, limit int) ([]kqtable.Row, error) {
	if err := t.Faults.BeforeRequest(ctx); err != nil {
		return nil, kqtable.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	start := sort.SearchStrings(t.keys, max(prefix, after))
	var out []kqtable.Row
	for _, k := range t.keys[start:] {
		if !strings.HasPrefix(k, prefix) || len(out) == limit {
			break
		}
		if k > after {
			out = append(out, t.rows[k])
		}
	}
	return out, nil
}

func (t *Table) transact(ctx context.Context, x kqtable.Transaction) (kqtable.Outcome, error) {
	switch err := t.Faults.BeforeRequest(ctx); err {
	case nil:
	case kqfault.ErrDown:
		return kqtable.Outcome{}, kqtable.ErrUnavailable
	default:
		return kqtable.Outcome{}, kqtable.ErrUnknown
	}
	o := t.apply(x)
	if err := t.Faults.AfterWrite(); err != nil {
		return kqtable.Outcome{}, kqtable.ErrUnknown
	}
	return o, nil
}

func (t *Table) apply(x kqtable.Transaction) kqtable.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	for _, c := range x.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return kqtable.Outcome{FailedKey: c.Key}
		}
	}
	t.version++
	for _, w := range x.Writes {
		if w.Delete {
			t.removeRow(w.Key)
			continue
		}
		t.insertKey(w.Key)
		t.rows[w.Key] = kqtable.Row{Key: w.Key, Version: t.version, Value: append([]byte(nil), w.Value...)}
	}
	return kqtable.Outcome{Committed: true, Version: t.version}
}

// insertKey adds a key to the sorted keys if there is no row with it yet; mu is held.
func (t *Table) insertKey(key string) {
	if _, ok := t.rows[key]; ok {
		return
	}
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys, "")
	copy(t.keys[i+1:], t.keys[i:])
	t.keys[i] = key
}

func (t *Table) removeRow(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys[:i], t.keys[i+1:]...)
}

// TableService serves a Table over Connect RPC.
type TableService struct {
	// Table carries the operations out.
	Table *Table
}

// Get serves the read of one row.
func (s TableService) Get(ctx context.Context, q *connect.Request[kqwire.GetRequest]) (*connect.Response[kqwire.GetReply], error) {
	r, ok, err := s.Table.get(ctx, q.Msg.Key)
	if err != nil {
		return nil, kqfault.ConnectError(kqfault.ErrDown)
	}
	return connect.NewResponse(&kqwire.GetReply{Found: ok, Row: rowToWire(r)}), nil
}

// Scan serves a read of the rows whose keys have a prefix.
func (s TableService) Scan(ctx context.Context, q *connect.Request[kqwire.ScanRequest]) (*connect.Response[kqwire.ScanReply], error) {
	rows, err := s.Table.scan(ctx, q.Msg.Prefix, q.Msg.After, int(q.Msg.Limit))
	if err != nil {
		return nil, kqfault.ConnectError(kqfault.ErrDown)
	}
	out := &kqwire.ScanReply{}
	for _, r := range rows {
		out.Rows = append(out.Rows, rowToWire(r))
	}
	return connect.NewResponse(out), nil
}

// Transact serves a conditional transaction.
func (s TableService) Transact(ctx context.Context, q *connect.Request[kqwire.TransactRequest]) (*connect.Response[kqwire.TransactReply], error) {
	var x kqtable.Transaction
	for _, c := range q.Msg.Conditions {
		x.Conditions = append(x.Conditions, kqtable.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range q.Msg.Writes {
		x.Writes = append(x.Writes, kqtable.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	o, err := s.Table.transact(ctx, x)
	switch err {
	case nil:
		return connect.NewResponse(&kqwire.TransactReply{Committed: o.Committed, FailedKey: o.FailedKey, Version: o.Version}), nil
	case kqtable.ErrUnavailable:
		return nil, kqfault.ConnectError(kqfault.ErrDown)
	default:
		return nil, kqfault.ConnectError(kqfault.ErrAnswerLost)
	}
}

func rowToWire(r kqtable.Row) *kqwire.Row {
	return &kqwire.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
