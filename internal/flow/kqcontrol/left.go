package kqcontrol

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// reading is one read of a table.
type reading struct {
	store           kqrows.Store
	table, from, to string

	rows []kqrows.Row
	at   uint64
	err  error
}

func (r *reading) run(ctx context.Context) {
	r.rows, r.at, r.err = r.store.Read(ctx, r.table, r.from, r.to)
}

// left is what earlier owners of a cell have left. Once the ownership is taken
// they can change none of it, so its tables need not be read in turn.
type left struct {
	progress, submissions, learned, leases reading
	zones                                  zonesReading
}

// readLeft reads all tables at the same time: a takeover waits for one read.
func readLeft(ctx context.Context, c Config) *left {
	l := &left{
		progress:    reading{store: c.Store, table: ProgressTable},
		submissions: reading{store: c.Store, table: SubmissionTable},
		learned:     reading{store: c.Store, table: LearnedTable, from: c.Cell, to: RangeEnd(c.Cell)},
		leases:      reading{store: c.Store, table: LeaseTable, from: c.Cell, to: RangeEnd(c.Cell)}}
	var all sync.WaitGroup
	for _, r := range []*reading{&l.progress, &l.submissions, &l.learned, &l.leases} {
		all.Go(func() { r.run(ctx) })
	}
	all.Go(func() { l.zones.run(ctx, c.Evacuation) })
	all.Wait()
	return l
}

// err returns why the cell cannot be taken. What was learned may be missing: that
// costs time, not safety.
func (l *left) err() error {
	for _, r := range []*reading{&l.progress, &l.submissions, &l.leases} {
		if r.err != nil {
			return eris.Wrapf(r.err, "read %s", r.table)
		}
	}
	return eris.Wrap(l.zones.err, "read the evacuated zones")
}
