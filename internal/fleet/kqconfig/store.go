package kqconfig

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	headKey       = "config/head"
	rowPrefix     = "config/row/"
	historyPrefix = "config/history/"
	// applyTries bounds how often a change is tried while others change other
	// classes.
	applyTries = 8
	// storeRetryAfter is the advice to an operator while the store is out.
	storeRetryAfter = 2 * time.Second
)

// head is the stored sequence of the configuration.
type head struct {
	Sequence uint64 `json:"sequence"`
	WriteID  string `json:"write_id"`
}

// Change is one accepted or proposed change.
type Change struct {
	// Key is class/NAME or quota/TEAM.
	Key string `json:"key"`
	// Before is what was in force; nil where there was nothing.
	Before *Revision `json:"before,omitempty"`
	// After is what comes into force.
	After Revision `json:"after"`
	// Outlook says for a dry run whether the target can be met with what is
	// there.
	Feasibility string `json:"outlook,omitempty"`
	// Unchanged is true if the document says what is in force already.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Result is what became of a set of documents.
type ApplyResult struct {
	// Sequence is the sequence that accepted the changes.
	Sequence uint64 `json:"sequence"`
	// Changes lists each document's change.
	Changes []Change `json:"changes"`
	// DryRun is true if nothing was written.
	DryRun bool `json:"dry_run,omitempty"`
}

// Store reads and changes the configuration in the platform's table.
type Store struct {
	// Resolver commits the changes.
	Resolver kqtable.Resolver
}

// Request is a set of documents to be accepted whole or not at all.
type ApplyRequest struct {
	// Documents is the checked documents.
	Documents []ValidDocument
	// Author is the operator.
	Author string
	// DryRun asks what would change.
	DryRun bool
}

// Apply accepts the documents in one transaction that checks the versions that
// the operator saw and raises the sequence.
func (s Store) Apply(ctx context.Context, now time.Time, r ApplyRequest) (ApplyResult, error) {
	for range applyTries {
		res, done, err := s.try(ctx, now, r)
		if done || err != nil {
			return res, err
		}
	}
	return ApplyResult{}, kqresult.Errorf(kqresult.VersionConflict, "other changes went first %d times; nothing changed", applyTries).After(time.Second)
}

// try makes one attempt; done is false if another change went first.
func (s Store) try(ctx context.Context, now time.Time, r ApplyRequest) (ApplyResult, bool, error) {
	h, headRow, err := s.head(ctx)
	if err != nil {
		return ApplyResult{}, false, unavailable(err)
	}
	next := head{Sequence: h.Sequence + 1, WriteID: kqtable.NewWriteID()}
	t := kqtable.Transaction{Conditions: []kqtable.Condition{{Key: headKey, Version: headRow.Version}},
		Writes: []kqtable.Write{{Key: headKey, Value: kqtable.Encode(next)}}}
	res := ApplyResult{Sequence: next.Sequence, DryRun: r.DryRun}
	changed := false
	for _, d := range r.Documents {
		c, version, err := s.change(ctx, now, d, r.Author, next.Sequence)
		if err != nil {
			return ApplyResult{}, false, err
		}
		res.Changes = append(res.Changes, c)
		if c.Unchanged {
			continue
		}
		changed = true
		t.Conditions = append(t.Conditions, kqtable.Condition{Key: rowPrefix + c.Key, Version: version})
		t.Writes = append(t.Writes, kqtable.Write{Key: rowPrefix + c.Key, Value: kqtable.Encode(c.After)},
			kqtable.Write{Key: historyKey(c.Key, c.After.Version), Value: kqtable.Encode(c.After)})
	}
	if !changed {
		res.Sequence = h.Sequence
	}
	if r.DryRun || !changed {
		return res, true, nil
	}
	o, err := s.Resolver.Commit(ctx, t, headKey)
	if err != nil {
		return ApplyResult{}, false, unavailable(err)
	}
	return res, o.Committed, nil
}

func unavailable(err error) error {
	if err == kqtable.ErrUnknown {
		return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the table did not answer; the change may have been accepted").After(storeRetryAfter)
	}
	return kqresult.Errorf(kqresult.StoreUnavailable, "the table is out; nothing changed").After(storeRetryAfter)
}

func (s Store) head(ctx context.Context) (head, kqtable.Row, error) {
	row, found, err := s.Resolver.Table.Get(ctx, headKey)
	if err != nil || !found {
		return head{}, row, err
	}
	var h head
	err = kqtable.Decode(row, &h)
	return h, row, err
}

// change works out what a document changes and checks the version seen.
func (s Store) change(ctx context.Context, now time.Time, d ValidDocument, author string, sequence uint64) (Change, uint64, error) {
	key := d.Document.Key()
	row, found, err := s.Resolver.Table.Get(ctx, rowPrefix+key)
	if err != nil {
		return Change{}, 0, unavailable(err)
	}
	c := Change{Key: key, After: Revision{Class: d.Class, Quota: d.Quota, Version: 1, Sequence: sequence, Author: author, AcceptedAt: now.UTC()}}
	if found {
		var before Revision
		if err := kqtable.Decode(row, &before); err != nil {
			return Change{}, 0, err
		}
		c.Before = &before
		c.After.Version = before.Version + 1
		c.Unchanged = reflect.DeepEqual(before.Class, d.Class) && reflect.DeepEqual(before.Quota, d.Quota)
	}
	if c.Unchanged {
		c.After = *c.Before
		return c, row.Version, nil
	}
	return c, row.Version, seen(c, d.Document.IfVersion)
}

// seen checks that the operator saw the version in force.
func seen(c Change, version *uint64) error {
	present := c.After.Version - 1
	switch {
	case version == nil:
		return kqresult.Errorf(kqresult.BadRequest, "%s: say with if_version which version you saw; version %d is in force", c.Key, present)
	case *version == present:
		return nil
	case c.Before == nil:
		return kqresult.Errorf(kqresult.VersionConflict, "%s: you saw version %d, but there is none", c.Key, *version)
	}
	return kqresult.Errorf(kqresult.VersionConflict, "%s: you saw version %d; version %d is in force, written by %s at %s",
		c.Key, *version, present, c.Before.Author, c.Before.AcceptedAt.Format(time.RFC3339))
}

func historyKey(key string, version uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, key, version)
}

// Get returns a row as stored.
func (s Store) Get(ctx context.Context, key string) (Revision, error) {
	row, found, err := s.Resolver.Table.Get(ctx, rowPrefix+key)
	if err != nil {
		return Revision{}, unavailable(err)
	}
	if !found {
		return Revision{}, kqresult.Errorf(kqresult.NotFound, "there is no %s", key)
	}
	var a Revision
	return a, kqtable.Decode(row, &a)
}

// History returns every version of a key, oldest first.
func (s Store) History(ctx context.Context, key string) ([]Revision, error) {
	rows, err := s.Resolver.Table.ScanAll(ctx, historyPrefix+key+"/")
	if err != nil {
		return nil, unavailable(err)
	}
	if len(rows) == 0 {
		return nil, kqresult.Errorf(kqresult.NotFound, "there is no %s", key)
	}
	return decodeAll(rows)
}

func decodeAll(rows []kqtable.Row) ([]Revision, error) {
	out := make([]Revision, 0, len(rows))
	for _, r := range rows {
		var a Revision
		if err := kqtable.Decode(r, &a); err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// Follow reads what was accepted since the holder's sequence.
func (s Store) Refresh(ctx context.Context, now func() time.Time, h *Holder) error {
	top, _, err := s.head(ctx)
	if err != nil || top.Sequence <= h.Sequence() {
		return err
	}
	rows, err := s.Resolver.Table.ScanAll(ctx, rowPrefix)
	if err != nil {
		return err
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		var a Revision
		if err := kqtable.Decode(r, &a); err != nil {
			return err
		}
		out = append(out, Row{Key: r.Key[len(rowPrefix):], Sequence: a.Sequence, Value: r.Value})
	}
	h.ApplyRows(now(), 0, top.Sequence, out)
	return nil
}
