package kqcontrol

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// keptEpochs is for how many epochs it is remembered whom an owner granted.
const keptEpochs = 8

// LeasesRow is the stored account of which owner last granted a lease to each
// host. A host is in it before it is granted its first lease of an epoch, so
// that the next owner need not wait for leases that were never granted.
type LeasesRow struct {
	// Hosts gives the epoch of the last owner that granted a lease.
	Hosts map[string]uint64 `json:"hosts"`
	// Floor is the epoch that counts for hosts that are not listed.
	Floor uint64 `json:"floor"`
}

// last returns the epoch of the last owner that may have granted a lease.
func (r LeasesRow) last(host string) uint64 { return max(r.Floor, r.Hosts[host]) }

// with returns the row once an owner has granted leases to more hosts.
func (r LeasesRow) with(epoch uint64, hosts map[string]bool) LeasesRow {
	out := LeasesRow{Hosts: map[string]uint64{}, Floor: r.Floor}
	if epoch > keptEpochs {
		out.Floor = max(out.Floor, epoch-keptEpochs)
	}
	for host, e := range r.Hosts {
		if e > out.Floor {
			out.Hosts[host] = e
		}
	}
	for host := range hosts {
		out.Hosts[host] = epoch
	}
	return out
}

// leases is what an owner knows of the leases of its cell.
type leases struct {
	// row is as stored with version; 0 means that there is none.
	row     LeasesRow
	version uint64
	// left is the row as the earlier owner left it.
	left LeasesRow
	seen kqelect.EpochHistory
	// wanted are hosts that are not in the stored row yet.
	wanted map[string]bool
	// asks are the latest questions for leases of hosts that are wanted.
	asks    map[*Session]uint64
	writing bool
}

// restoreLeases takes over whom earlier owners granted leases.
func (c *Controller) restoreLeases(rows []kqrows.Row, old OwnerRow, seen kqelect.EpochHistory) {
	l := &c.leases
	*l = leases{row: LeasesRow{Floor: old.Epoch}, seen: seen, wanted: map[string]bool{}, asks: map[*Session]uint64{}}
	if len(rows) > 0 {
		l.version = rows[0].Version
		var row LeasesRow
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			c.config.Events.Emit(c.config.Now(), kqevent.RowUnreadable, kqevent.Process(c.config.Name), "leases: %v", err)
		} else if old.LeasesRecorded {
			l.row = row
		}
	}
	l.left = l.row
}

// leftAt returns from when on no earlier owner has granted a host a lease.
func (c *Controller) leftAt(host string, takenAt time.Time) time.Time {
	at, ok := c.leases.seen.FirstAbove(c.leases.left.last(host))
	if !ok || at.After(takenAt) {
		return takenAt
	}
	return at
}

// isRecorded reports whether a host may be granted a lease; if not yet, the
// row is written. mu is held.
func (c *Controller) isRecorded(host string) bool {
	l := &c.leases
	if l.row.Hosts[host] == c.row.Epoch {
		return true
	}
	l.wanted[host] = true
	c.record(c.config.Now())
	return false
}

// record writes which hosts are about to be granted leases, if some wait for that and
// none is being written; mu is held.
func (c *Controller) record(now time.Time) {
	if l := &c.leases; len(l.wanted) == 0 || l.writing || !c.hasSlot(now) {
		return
	}
	c.leases.writing = true
	c.writes.inFlight++
	c.tomb.Go((&recording{c}).run)
}

// recording stores which hosts are about to be granted leases.
type recording struct{ controller *Controller }

// run stores the row once. The row's own version is a condition, so that no copy of an
// earlier write is taken later.
func (x *recording) run() error {
	c := x.controller
	c.mu.Lock()
	row, version := c.leases.row.with(c.row.Epoch, c.leases.wanted), c.leases.version
	c.mu.Unlock()
	key := LeasesKey(c.config.Cell)
	sent := c.config.Now()
	o, err := c.config.Timed.Commit(c.tomb.Context(context.Background()), kqrows.Tx{
		Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}, {Key: key, Version: version}},
		Puts:     []kqrows.Put{{Key: key, Value: kqtable.Encode(row)}, c.beatPut()}})
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases.writing = false
	c.ended()
	if err != nil {
		return nil
	}
	if !o.Committed {
		c.rejected(now, o)
		return nil
	}
	c.confirm(sent)
	c.beatenAt = sent
	c.leases.version = o.Version
	c.recorded(now, row)
	return nil
}

// recorded answers the questions that waited for the row, and writes it again if more
// hosts wait; mu is held.
func (c *Controller) recorded(now time.Time, row LeasesRow) {
	l := &c.leases
	l.row = row
	maps.DeleteFunc(l.wanted, func(host string, _ bool) bool { return row.Hosts[host] == c.row.Epoch })
	asks := l.asks
	l.asks = map[*Session]uint64{}
	for x, ask := range asks {
		if c.sessions[x.hello.Name] == x {
			x.grant(now, ask)
		}
	}
	c.record(now)
	c.wake()
}
