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
	// maxApplyAttempts limits the attempts of a change that conflicts with concurrent changes
	// of other classes.
	maxApplyAttempts = 8
	// storeRetryAfter is the retry-after time that operators get while the table is
	// unavailable.
	storeRetryAfter = 2 * time.Second
)

// head is the stored row with the latest sequence of the configuration.
type head struct {
	Sequence uint64 `json:"sequence"`
	WriteID  string `json:"write_id"`
}

// Change describes an accepted change, or a proposed one in a dry run.
type Change struct {
	// Key is class/NAME or quota/TEAM.
	Key string `json:"key"`
	// Before is the previous revision; nil if there was none.
	Before *Revision `json:"before,omitempty"`
	// After is the revision that comes into force.
	After Revision `json:"after"`
	// Feasibility describes in a dry run whether the targets can be met with the workers
	// and endpoints that are live.
	Feasibility string `json:"outlook,omitempty"`
	// Unchanged is true if the document equals the revision in force.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ApplyResult is the result of Apply.
type ApplyResult struct {
	// Sequence is the configuration sequence with which the changes were accepted, or the
	// present one if nothing changed.
	Sequence uint64 `json:"sequence"`
	// Changes lists the change of each document.
	Changes []Change `json:"changes"`
	// DryRun is true if nothing was written.
	DryRun bool `json:"dry_run,omitempty"`
}

// Store reads and changes the configuration in the platform's table.
type Store struct {
	// Resolver commits transactions to the table and resolves unknown outcomes.
	Resolver kqtable.Resolver
}

// ApplyRequest is a set of documents that are accepted all together or not at all.
type ApplyRequest struct {
	// Documents are the validated documents.
	Documents []ValidDocument
	// Author is the operator who makes the change.
	Author string
	// DryRun determines the changes without writing them.
	DryRun bool
}

// Apply accepts the documents in one transaction, which increments the sequence and is
// conditional on the versions that the operator read. It retries if a concurrent change of
// another class came first.
func (s Store) Apply(ctx context.Context, now time.Time, r ApplyRequest) (ApplyResult, error) {
	for range maxApplyAttempts {
		res, done, err := s.applyOnce(ctx, now, r)
		if done || err != nil {
			return res, err
		}
	}
	return ApplyResult{}, kqresult.Errorf(kqresult.VersionConflict, "all %d attempts conflicted with concurrent changes; nothing was changed", maxApplyAttempts).WithRetryAfter(time.Second)
}

// applyOnce makes one attempt; the result is false if a concurrent change came first.
func (s Store) applyOnce(ctx context.Context, now time.Time, r ApplyRequest) (ApplyResult, bool, error) {
	h, headRow, err := s.readHead(ctx)
	if err != nil {
		return ApplyResult{}, false, unavailable(err)
	}
	next := head{Sequence: h.Sequence + 1, WriteID: kqtable.NewWriteID()}
	t := kqtable.Transaction{Conditions: []kqtable.Condition{{Key: headKey, Version: headRow.Version}},
		Writes: []kqtable.Write{{Key: headKey, Value: kqtable.Encode(next)}}}
	res := ApplyResult{Sequence: next.Sequence, DryRun: r.DryRun}
	changed := false
	for _, d := range r.Documents {
		c, version, err := s.buildChange(ctx, now, d, r.Author, next.Sequence)
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
		return kqresult.Errorf(kqresult.StoreOutcomeUnknown, "the table did not answer; the change may have been accepted").WithRetryAfter(storeRetryAfter)
	}
	return kqresult.Errorf(kqresult.StoreUnavailable, "the table is unavailable; nothing was changed").WithRetryAfter(storeRetryAfter)
}

func (s Store) readHead(ctx context.Context) (head, kqtable.Row, error) {
	row, found, err := s.Resolver.Table.Get(ctx, headKey)
	if err != nil || !found {
		return head{}, row, err
	}
	var h head
	err = kqtable.Decode(row, &h)
	return h, row, err
}

// buildChange determines what a document changes, and checks the version that the operator
// read. It also returns the version of the stored row.
func (s Store) buildChange(ctx context.Context, now time.Time, d ValidDocument, author string, sequence uint64) (Change, uint64, error) {
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
	return c, row.Version, checkVersion(c, d.Document.IfVersion)
}

// checkVersion checks that the operator has read the version in force.
func checkVersion(c Change, version *uint64) error {
	current := c.After.Version - 1
	switch {
	case version == nil:
		return kqresult.Errorf(kqresult.BadRequest, "%s: say with if_version which version you saw; version %d is in force", c.Key, current)
	case *version == current:
		return nil
	case c.Before == nil:
		return kqresult.Errorf(kqresult.VersionConflict, "%s: you saw version %d, but no version exists", c.Key, *version)
	}
	return kqresult.Errorf(kqresult.VersionConflict, "%s: you saw version %d; version %d is in force, written by %s at %s",
		c.Key, *version, current, c.Before.Author, c.Before.AcceptedAt.Format(time.RFC3339))
}

func historyKey(key string, version uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, key, version)
}

// Get returns the stored revision of a key.
func (s Store) Get(ctx context.Context, key string) (Revision, error) {
	row, found, err := s.Resolver.Table.Get(ctx, rowPrefix+key)
	if err != nil {
		return Revision{}, unavailable(err)
	}
	if !found {
		return Revision{}, kqresult.Errorf(kqresult.NotFound, "%s does not exist", key)
	}
	var a Revision
	return a, kqtable.Decode(row, &a)
}

// History returns all revisions of a key, oldest first.
func (s Store) History(ctx context.Context, key string) ([]Revision, error) {
	rows, err := s.Resolver.Table.ScanAll(ctx, historyPrefix+key+"/")
	if err != nil {
		return nil, unavailable(err)
	}
	if len(rows) == 0 {
		return nil, kqresult.Errorf(kqresult.NotFound, "%s does not exist", key)
	}
	return decodeRevisions(rows)
}

func decodeRevisions(rows []kqtable.Row) ([]Revision, error) {
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

// Refresh applies the stored configuration to h if the stored sequence is newer. A row that cannot
// be decoded is left out and logged.
func (s Store) Refresh(ctx context.Context, now func() time.Time, h *Holder) error {
	stored, _, err := s.readHead(ctx)
	if err != nil || stored.Sequence <= h.Sequence() {
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
			kqtable.LogUnreadable(h.events, now)(r, err)
			continue
		}
		out = append(out, Row{Key: r.Key[len(rowPrefix):], Sequence: a.Sequence, Value: r.Value})
	}
	h.ApplyRows(now(), 0, stored.Sequence, out)
	return nil
}
