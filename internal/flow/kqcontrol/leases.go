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

// heldAsk is a question for a lease of a host that is not in the row yet.
type heldAsk struct {
	session *Session
	ask     uint64
}

// leases is what an owner knows of the leases of its cell.
type leases struct {
	// row is as stored.
	row LeasesRow
	// left is the row as the earlier owner left it.
	left LeasesRow
	seen kqelect.Sightings
	// wanted are hosts that are not in the stored row yet.
	wanted  map[string]bool
	asks    []heldAsk
	writing bool
}

// restoreLeases reads whom earlier owners granted leases.
func (c *Controller) restoreLeases(ctx context.Context, old OwnerRow, seen kqelect.Sightings) {
	c.leases = leases{row: LeasesRow{Floor: old.Epoch}, seen: seen, wanted: map[string]bool{}}
	rows, _, err := c.config.Store.Read(ctx, LeaseTable, c.config.Cell, After(c.config.Cell))
	if err == nil && len(rows) > 0 && old.Recorded {
		var row LeasesRow
		if err = json.Unmarshal(rows[0].Value, &row); err == nil {
			c.leases.row = row
		}
	}
	if err != nil {
		c.config.Events.Emit(c.config.Now(), kqevent.RowUnreadable, kqevent.Process(c.config.Name), "leases: %v", err)
	}
	c.leases.left = c.leases.row
}

// leftAt returns from when on no earlier owner has granted a host a lease.
func (c *Controller) leftAt(host string, takenAt time.Time) time.Time {
	at, ok := c.leases.seen.After(c.leases.left.last(host))
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
	if !l.writing {
		l.writing = true
		c.tomb.Go((&recording{c}).run)
	}
	return false
}

// recording stores which hosts are about to be granted leases.
type recording struct{ controller *Controller }

func (x *recording) run() error {
	c := x.controller
	for c.tomb.Alive() {
		c.mu.Lock()
		row := c.leases.row.with(c.row.Epoch, c.leases.wanted)
		c.mu.Unlock()
		if !x.store(row) {
			kqtable.Sleep(c.tomb.Context(context.Background()), tickInterval)
			continue
		}
		if x.stored(row) {
			break
		}
	}
	return nil
}

func (x *recording) store(row LeasesRow) bool {
	c := x.controller
	ctx, cancel := context.WithTimeout(c.tomb.Context(context.Background()), kqrows.TryTimeout)
	defer cancel()
	o, err := c.config.Store.Transact(ctx, kqrows.Tx{Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts: []kqrows.Put{{Key: LeasesKey(c.config.Cell), Value: kqtable.Encode(row)}}})
	return err == nil && o.Committed
}

// stored answers the questions that waited for the row and reports whether no
// more hosts wait.
func (x *recording) stored(row LeasesRow) (done bool) {
	c := x.controller
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.leases
	l.row = row
	maps.DeleteFunc(l.wanted, func(host string, _ bool) bool { return row.Hosts[host] == c.row.Epoch })
	asks := l.asks
	l.asks = nil
	for _, a := range asks {
		if c.sessions[a.session.hello.Name] == a.session {
			a.session.grant(now, a.ask)
		}
	}
	l.writing = len(l.wanted) > 0
	c.wake()
	return !l.writing
}
