package kqcontrol

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// departureReadTimeout limits the read of the departures during a takeover, which does without them if
	// the store does not answer: the feed reads them later.
	departureReadTimeout = 700 * time.Millisecond
	// departureWait is how long one call of the feed of departures waits for changes.
	departureWait = 2 * time.Second
	// departureRetention is how long after it was read a departure is kept in the store. It covers the time
	// from the end of the worker's runs to the commit that records it.
	departureRetention = time.Minute
)

// departureRow is the stored form of a departure; the key names the incarnation, and says whether it is a claim.
type departureRow struct {
	// Host is the name of the host whose agent has received the leave message.
	Host string `json:"host"`
	// SenderKnown is true if the incarnation itself has sent it.
	SenderKnown bool `json:"sender_known,omitempty"`
}

// DepartureRecorder stores what an agent learns of workers that leave, so that the present owner and every
// later one know it without the agent.
type DepartureRecorder struct {
	// Store is the platform's store.
	Store *kqrows.TimedStore
	// Host is the name of the agent's host.
	Host string
}

// Record stores a departure. It makes one attempt.
func (r DepartureRecorder) Record(ctx context.Context, d kqexecutor.Departure) error {
	key := DepartureKey(d.Worker)
	if !d.Verified {
		key = DepartureClaimKey(d.Worker)
	}
	ctx, cancel := r.Store.WithTimeout(ctx, kqrows.AttemptTimeout)
	defer cancel()
	_, err := r.Store.Store.Transact(ctx, kqrows.Tx{Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(departureRow{r.Host, d.SenderKnown})}}})
	return err
}

// departures holds an owner's state of the DepartureTable.
type departures struct {
	// version is the version of the store from which the feed starts.
	version uint64
	// readAt holds when each row was first read, claims the claimed departures among them.
	readAt map[string]time.Time
	claims map[kqexecution.Incarnation]*departureClaim
	// isRemoving is true while a removal is in flight.
	isRemoving bool
}

// departureClaim is a claimed departure. The agent that has heard the claim verifies it while it is connected.
type departureClaim struct {
	row departureRow
	// isVerifying is true while the agent is connected. unverifiedSince is when the row was read or, if that
	// is later, when the agent was first seen to be gone.
	isVerifying     bool
	unverifiedSince time.Time
	// isRefuted is true if the agent was connected for as long as it verifies a claim: the worker runs on.
	isRefuted bool
}

// applyDepartures passes departures that were read to the planner; mu is held, or the controller is still
// loading.
func (c *Controller) applyDepartures(now time.Time, rows []kqrows.Row) {
	for _, r := range rows {
		if r.Removed {
			c.departures.forget(r.Name)
			continue
		}
		_, known := c.departures.readAt[r.Name]
		if !known {
			c.departures.readAt[r.Name] = now
		}
		if claimed, ok := strings.CutSuffix(r.Name, claimSuffix); ok {
			if !known {
				c.claimDeparture(now, kqexecution.Incarnation(claimed), r)
			}
			continue
		}
		if _, err := decodeDeparture(r); err != nil {
			if !known {
				c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Worker(r.Name), "unreadable departure, the worker counts as present: %v", err)
			}
			continue
		}
		c.departed(now, kqexecution.Incarnation(r.Name), "known from the store")
	}
}

// decodeDeparture decodes a row of the DepartureTable. It returns an error if the row does not tell which
// host has stored it: the name alone, which another writer may have used, ends no worker.
func decodeDeparture(r kqrows.Row) (row departureRow, err error) {
	if err = json.Unmarshal(r.Value, &row); err == nil && row.Host == "" {
		err = eris.Errorf("departure %s has no host", r.Name)
	}
	return row, err
}

// departed passes a departure to the planner; mu is held, or the controller is still loading.
func (c *Controller) departed(now time.Time, worker kqexecution.Incarnation, why string) {
	if c.planner.WorkerEnded(now, "", kqplan.WorkerEnd{Worker: worker, Departed: true}) {
		c.config.Events.Emit(now, kqevent.WorkerDeparted, kqevent.Worker(string(worker)), "%s", why)
	}
}

// forget drops a row that was removed.
func (d *departures) forget(name string) {
	delete(d.readAt, name)
	if claimed, ok := strings.CutSuffix(name, claimSuffix); ok {
		delete(d.claims, kqexecution.Incarnation(claimed))
	}
}

// claimDeparture records a claimed departure and passes it to the agents that may verify it; mu is held, or
// the controller is still loading.
func (c *Controller) claimDeparture(now time.Time, worker kqexecution.Incarnation, r kqrows.Row) {
	var row departureRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Worker(r.Name), "unreadable departure: %v", err)
	}
	c.departures.claims[worker] = &departureClaim{row: row, unverifiedSince: now}
	for _, s := range c.sessions {
		s.sendClaims([]kqexecution.Incarnation{worker})
	}
}

// applyUnverifiedDepartures gives up the workers that have said that they leave, if the agent that has heard it
// is gone since LeaveTime and cannot verify it. mu is held.
func (c *Controller) applyUnverifiedDepartures(now time.Time) {
	for worker, claim := range c.departures.claims {
		switch {
		case !claim.row.SenderKnown || claim.isRefuted:
		case c.sessions[claim.row.Host] != nil:
			claim.isRefuted = now.Sub(c.departures.readAt[string(worker)+claimSuffix]) > kqplan.MaxStartDelay
			claim.isVerifying = true
		case claim.isVerifying:
			claim.isVerifying, claim.unverifiedSince = false, now
		case now.Sub(claim.unverifiedSince) >= kqplan.LeaveTime:
			c.departed(now, worker, "its leave message is known from the store, and its agent is gone")
		}
	}
}

// sendClaims sends an agent the claimed departures that concern workers on its host; mu is held.
func (x *Session) sendClaims(workers []kqexecution.Incarnation) {
	if x.hello.Role != kqmessage.RoleAgent {
		return
	}
	var claimed []kqexecution.Incarnation
	for _, w := range workers {
		claimed = append(claimed, x.controller.planner.HostedWorkers(x.hello.Name, w)...)
	}
	if len(claimed) > 0 {
		x.send(kqmessage.FromOwner{ClaimedDepartures: claimed})
	}
}

// followDepartures returns the feed of the departures that agents store.
func (c *Controller) followDepartures() *tableFeed {
	return &tableFeed{controller: c, table: DepartureTable, after: c.departures.version, wait: departureWait, apply: func(rows []kqrows.Row) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applyDepartures(c.config.Now(), rows)
		if len(rows) > 0 {
			c.wake()
		}
	}}
}

// isRefuted reports whether a row holds a claim that is refuted, which the next owner must not read.
func (d *departures) isRefuted(name string) bool {
	claimed, isClaim := strings.CutSuffix(name, claimSuffix)
	claim := d.claims[kqexecution.Incarnation(claimed)]
	return isClaim && claim != nil && claim.isRefuted
}

// sweepDepartures removes the departures that were read more than departureRetention ago, and those that are
// refuted; mu is held.
func (c *Controller) sweepDepartures(now time.Time) {
	if c.departures.isRemoving {
		return
	}
	x := &departureRemoval{controller: c}
	for name, at := range c.departures.readAt {
		if (now.Sub(at) > departureRetention || c.departures.isRefuted(name)) && len(x.keys) < maxBatchRecords {
			x.keys = append(x.keys, kqrows.Key{Table: DepartureTable, Name: name})
		}
	}
	if len(x.keys) > 0 {
		c.departures.isRemoving = true
		c.confirmation.writeSent()
		c.tomb.Go(x.run)
	}
}

// departureRemoval is one transaction that removes departures.
type departureRemoval struct {
	controller *Controller
	keys       []kqrows.Key
}

func (x *departureRemoval) run() error {
	c := x.controller
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	o, err := c.config.Store.Transact(ctx, kqrows.Tx{Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}}, Removes: x.keys})
	c.confirmation.writeAnswered()
	c.slotFreed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.isRemoving = false
	if err != nil || !o.Committed {
		return nil
	}
	for _, k := range x.keys {
		c.departures.forget(k.Name)
	}
	return nil
}
