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
	// sweepPageSize is the maximum number of rows that sweepNext reads.
	sweepPageSize = 1000
	// claimRetention is how long an idempotency key stays claimed.
	claimRetention = 24 * time.Hour
	// jobRetention is how long the row of a job is kept after the job has ended.
	jobRetention = 7 * 24 * time.Hour
)

// sweeper deletes expired rows from the table, one page at a time. Several entries may
// sweep concurrently.
type sweeper struct {
	entry  *Entry
	sweeps []*prefixSweep
}

// prefixSweep is the progress of the sweeps over the rows of one key prefix.
type prefixSweep struct {
	prefix    string
	afterKey  string
	isExpired func(now time.Time, r kqtable.Row) bool
}

func newSweeper(e *Entry) *sweeper {
	return &sweeper{entry: e, sweeps: []*prefixSweep{
		{prefix: kqclaim.KeyPrefix, isExpired: claimExpired},
		{prefix: kqcell.JobPrefix, isExpired: jobExpired},
	}}
}

func claimExpired(now time.Time, r kqtable.Row) bool {
	var c kqclaim.Claim
	return kqtable.Decode(r, &c) == nil && now.Sub(c.ClaimedAt) > claimRetention
}

func jobExpired(now time.Time, r kqtable.Row) bool {
	var j kqcell.JobRow
	return kqtable.Decode(r, &j) == nil && j.Summary != nil && now.Sub(j.Summary.EndedAt) > jobRetention
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
		for _, p := range s.sweeps {
			p.sweepNext(ctx, s.entry.config.Now(), s.entry.config.Table)
		}
		cancel()
	}
}

// sweepNext deletes the expired rows of the next page in one transaction, on condition
// that they have not changed since they were read. If another entry has deleted one of
// them first, the transaction has no effect.
func (p *prefixSweep) sweepNext(ctx context.Context, now time.Time, table kqtable.Table) {
	rows, err := table.Scan(ctx, p.prefix, p.afterKey, sweepPageSize)
	if err != nil {
		return
	}
	p.afterKey = ""
	if len(rows) == sweepPageSize {
		p.afterKey = rows[len(rows)-1].Key
	}
	var t kqtable.Transaction
	for _, r := range rows {
		if p.isExpired(now, r) {
			t.Conditions = append(t.Conditions, kqtable.Condition{Key: r.Key, Version: r.Version})
			t.Writes = append(t.Writes, kqtable.Write{Key: r.Key, Delete: true})
		}
	}
	if len(t.Writes) > 0 {
		_, _ = table.Transact(ctx, t)
	}
}
