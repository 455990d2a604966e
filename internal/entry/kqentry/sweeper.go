package kqentry

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqclaim"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	sweepInterval = 5 * time.Second
	// sweepPage is how many rows are looked at in one sweep of a prefix.
	sweepPage = 1000
	// claimsKept is how long an idempotency key stays claimed.
	claimsKept = 24 * time.Hour
	// jobsKept is how long the summary of a job is kept.
	jobsKept = 7 * 24 * time.Hour
)

// sweeper deletes the rows that are too old, a page at a time. Several entries
// may sweep at one time.
type sweeper struct {
	entry *Entry
	parts []*sweep
}

// sweep is one prefix with the place that was reached.
type sweep struct {
	prefix string
	after  string
	old    func(now time.Time, r kqtable.Row) bool
}

func newSweeper(e *Entry) *sweeper {
	return &sweeper{entry: e, parts: []*sweep{
		{prefix: kqclaim.KeyPrefix, old: oldClaim},
		{prefix: kqcell.JobPrefix, old: oldJob},
	}}
}

func oldClaim(now time.Time, r kqtable.Row) bool {
	var c kqclaim.Claim
	return kqtable.Decode(r, &c) == nil && now.Sub(c.ClaimedAt) > claimsKept
}

func oldJob(now time.Time, r kqtable.Row) bool {
	var j kqcell.JobRow
	return kqtable.Decode(r, &j) == nil && j.Summary != nil && now.Sub(j.Summary.EndedAt) > jobsKept
}

func (s *sweeper) loop() error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.entry.tomb.Dying():
			return nil
		case <-t.C:
		}
		ctx, cancel := context.WithTimeout(s.entry.tomb.Context(context.Background()), storeTimeout)
		for _, p := range s.parts {
			p.step(ctx, s.entry.config.Now(), s.entry.config.Table)
		}
		cancel()
	}
}

// step deletes what is old on the next page. Each row is deleted only as it was
// read; where another entry was first, nothing happens.
func (p *sweep) step(ctx context.Context, now time.Time, table kqtable.Table) {
	rows, err := table.Scan(ctx, p.prefix, p.after, sweepPage)
	if err != nil {
		return
	}
	p.after = ""
	if len(rows) == sweepPage {
		p.after = rows[len(rows)-1].Key
	}
	var t kqtable.Transaction
	for _, r := range rows {
		if p.old(now, r) {
			t.Conditions = append(t.Conditions, kqtable.Condition{Key: r.Key, Version: r.Version})
			t.Writes = append(t.Writes, kqtable.Write{Key: r.Key, Delete: true})
		}
	}
	if len(t.Writes) > 0 {
		_, _ = table.Transact(ctx, t)
	}
}
