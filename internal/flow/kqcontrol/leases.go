package kqcontrol

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// maxEpochsKept is the number of latest epochs for which granted hosts are listed in the
// LeasesRow.
const maxEpochsKept = 8

// LeasesRow is the stored record of which owner last granted a lease to each host. A host
// is recorded before it is granted its first lease of an epoch, so that the next owner need
// not wait for leases that were never granted.
type LeasesRow struct {
	// Hosts maps a host to the epoch of the last owner that granted it a lease.
	Hosts map[string]uint64 `json:"hosts"`
	// Floor is the epoch assumed for hosts that are not listed.
	Floor uint64 `json:"floor"`
	// Begins maps the latest epochs to when each of them began, as far as known: no earlier owner
	// has granted a lease since.
	Begins map[uint64]StoredTime `json:"begins,omitempty"`
	// LastGrants maps the hosts that seem to be lost to when they were last granted a lease. They
	// are granted none until a row without them is stored.
	LastGrants map[string]StoredTime `json:"last_grants,omitempty"`
	// Write numbers the writes of the row, so that each has another value than the stored row: by its value
	// kqrows.Commit recognizes a write whose answer was lost.
	Write uint64 `json:"write,omitempty"`
}

// lastEpoch returns the epoch of the last owner that may have granted a host a lease.
func (r LeasesRow) lastEpoch(host string) uint64 { return max(r.Floor, r.Hosts[host]) }

// withHosts returns the row with more hosts recorded for an epoch. Entries that are
// maxEpochsKept or more epochs old are dropped; the floor covers them.
func (r LeasesRow) withHosts(epoch uint64, hosts map[string]bool) LeasesRow {
	out := LeasesRow{Hosts: map[string]uint64{}, Floor: r.Floor, Begins: map[uint64]StoredTime{}, LastGrants: map[string]StoredTime{}, Write: r.Write + 1}
	maps.Copy(out.LastGrants, r.LastGrants)
	if epoch > maxEpochsKept {
		out.Floor = max(out.Floor, epoch-maxEpochsKept)
	}
	for host, e := range r.Hosts {
		if e > out.Floor {
			out.Hosts[host] = e
		}
	}
	for e, s := range r.Begins {
		if e > out.Floor {
			out.Begins[e] = s
		}
	}
	for host := range hosts {
		out.Hosts[host] = epoch
		delete(out.LastGrants, host)
	}
	return out
}

// leases holds an owner's state of the LeasesRow of its cell.
type leases struct {
	// row is the stored row, version its version; 0 means that there is no row.
	row     LeasesRow
	version uint64
	// inherited is the row as the previous owner stored it.
	inherited LeasesRow
	epochs    kqelect.EpochHistory
	// acquiredAt is when the store answered the write that acquired the cell: until the store applied
	// that write, it may have confirmed the earlier owner.
	acquiredAt time.Time
	// granted holds the last grant of this owner to each host, except hosts whose last grant is stored.
	granted map[string]lastGrant
	// barred holds the hosts whose last grants the write in flight adds to the row.
	barred []string
	// pendingHosts are the hosts to be recorded that are not in the stored row yet.
	pendingHosts map[string]bool
	// pendingRequests holds the number of the latest lease request of each session that
	// waits for its host to be recorded.
	pendingRequests map[*Session]uint64
	isWriting       bool
}

// restoreLeases loads which hosts earlier owners granted leases. If the previous owner did
// not record them or the row is unreadable, that owner may have granted any host a lease.
func (c *Controller) restoreLeases(rows []kqrows.Row, old OwnerRow, epochs kqelect.EpochHistory, acquiredAt time.Time) {
	l := &c.leases
	*l = leases{row: LeasesRow{Floor: old.Epoch}, epochs: epochs, acquiredAt: acquiredAt,
		granted: map[string]lastGrant{}, pendingHosts: map[string]bool{}, pendingRequests: map[*Session]uint64{}}
	if len(rows) > 0 {
		l.version = rows[0].Version
		var row LeasesRow
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			c.config.Events.Emit(c.config.Now(), kqevent.RowUnreadable, kqevent.Process(c.config.Name), "unreadable leases: %v", err)
		} else if old.LeasesRecorded {
			l.row = row
		}
	}
	l.inherited = l.row
}

// priorGrantsUntil returns the time from which no earlier owner has granted a host a lease.
func (c *Controller) priorGrantsUntil(host string) time.Time {
	l := &c.leases
	until := l.acquiredAt
	epoch := l.inherited.lastEpoch(host)
	if at, ok := l.epochs.FirstAbove(epoch); ok && at.Before(until) {
		until = at
	}
	if s, ok := l.inherited.beganAfter(epoch); ok {
		until = c.earlierOf(until, s)
	}
	if s, ok := l.inherited.LastGrants[host]; ok {
		until = c.earlierOf(until, s)
	}
	return until
}

// ensureRecorded reports whether a host is recorded and may be granted a lease. If not, it
// starts the write that records the host. mu is held.
func (c *Controller) ensureRecorded(host string) bool {
	l := &c.leases
	if l.row.mayGrant(host, c.row.Epoch) && !slices.Contains(l.barred, host) {
		return true
	}
	l.pendingHosts[host] = true
	c.recordHosts(c.config.Now())
	return false
}

// recordHosts writes the LeasesRow if hosts wait to be recorded, or if last grants are due and the store
// is not slow, unless such a write is in flight or the store takes no further write. mu is held.
func (c *Controller) recordHosts(now time.Time) {
	l, slow := &c.leases, c.config.TimedStore.Latency.IsSlow(now)
	isDue := len(l.pendingHosts) > 0 || !slow && c.lastGrantsDue(now)
	if l.isWriting || !isDue || !c.confirmation.takeSlot(slow) {
		return
	}
	l.isWriting = true
	c.tomb.Go((&leasesWrite{c}).run)
}

// leasesWrite is one write of the LeasesRow with the hosts about to be granted leases.
type leasesWrite struct{ controller *Controller }

// run stores the row once. The row's own version is a condition, so that a late copy of an
// earlier write cannot overwrite it.
func (x *leasesWrite) run() error {
	c := x.controller
	c.mu.Lock()
	row, version := c.nextLeasesRow(c.config.Now()), c.leases.version
	c.mu.Unlock()
	key := LeasesKey(c.config.Cell)
	sent := c.config.Now()
	o, err := c.config.TimedStore.Commit(c.tomb.Context(context.Background()), kqrows.Tx{
		Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}, {Key: key, Version: version}},
		Puts:       []kqrows.Put{{Key: key, Value: kqtable.Encode(row)}, c.heartbeatPut()}})
	now := c.config.Now()
	c.confirmation.writeAnswered()
	if err == nil && o.Committed {
		c.confirmation.committed(sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases.isWriting = false
	c.slotFreed()
	if err != nil {
		return nil
	}
	if !o.Committed {
		c.loseOwnership(now, o)
		return nil
	}
	c.leases.version = o.Version
	c.hostsRecorded(now, row)
	return nil
}

// hostsRecorded answers the lease requests that waited for the row, and writes it again if
// more hosts wait. mu is held.
func (c *Controller) hostsRecorded(now time.Time, row LeasesRow) {
	l := &c.leases
	l.row = row
	for _, host := range l.barred {
		delete(l.granted, host)
	}
	l.barred = nil
	maps.DeleteFunc(l.pendingHosts, func(host string, _ bool) bool { return row.mayGrant(host, c.row.Epoch) })
	requests := l.pendingRequests
	l.pendingRequests = map[*Session]uint64{}
	for x, request := range requests {
		if c.sessions[x.hello.Name] == x {
			x.grant(now, request)
		}
	}
	c.recordHosts(now)
	c.wake()
}
