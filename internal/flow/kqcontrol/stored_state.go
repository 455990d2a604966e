package kqcontrol

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// tableRead is one read of a range of a table and its result.
type tableRead struct {
	store           kqrows.Store
	table, from, to string

	rows []kqrows.Row
	at   uint64
	err  error
}

func (r *tableRead) run(ctx context.Context) {
	r.rows, r.at, r.err = r.store.Read(ctx, r.table, r.from, r.to)
}

// storedState holds what earlier owners of a cell have stored. Once this process owns the
// cell they can change none of it, so the order in which the tables are read is irrelevant.
// Agents may add departures meanwhile, which the feed delivers.
type storedState struct {
	progress, submissions, learned, leases tableRead
	departures                             tableRead
	zones                                  zonesRead
}

// readStoredState reads all tables concurrently, so that a takeover takes the time of one
// read.
func readStoredState(ctx context.Context, c Config) *storedState {
	l := &storedState{
		progress:    tableRead{store: c.Store, table: ProgressTable},
		submissions: tableRead{store: c.Store, table: SubmissionTable},
		learned:     tableRead{store: c.Store, table: LearnedTable, from: c.Cell, to: RangeEnd(c.Cell)},
		leases:      tableRead{store: c.Store, table: LeaseTable, from: c.Cell, to: RangeEnd(c.Cell)},
		departures:  tableRead{store: c.Store, table: DepartureTable}}
	var all sync.WaitGroup
	for _, r := range []*tableRead{&l.progress, &l.submissions, &l.learned, &l.leases} {
		all.Go(func() { r.run(ctx) })
	}
	all.Go(func() {
		ctx, cancel := c.TimedStore.WithTimeout(ctx, departureReadTimeout)
		defer cancel()
		l.departures.run(ctx)
	})
	all.Go(func() { l.zones.run(ctx, c.Evacuation) })
	all.Wait()
	return l
}

// err returns the first error of a read without which the cell cannot be run. The learned
// interference may be missing: that costs learning time, not safety. Departures that could not
// be read are read by their feed.
func (l *storedState) err() error {
	for _, r := range []*tableRead{&l.progress, &l.submissions, &l.leases} {
		if r.err != nil {
			return eris.Wrapf(r.err, "read %s", r.table)
		}
	}
	return eris.Wrap(l.zones.err, "read the evacuated zones")
}
