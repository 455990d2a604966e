package kqcontrol

import (
	"context"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
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

// departures holds an owner's state of the DepartureTable.
type departures struct {
	// version is the version of the store from which the feed starts.
	version uint64
	// readAt holds when each row was first read, claims the claimed departures among them.
	readAt map[string]time.Time
	claims map[kqexecution.Incarnation]bool
	// isRemoving is true while a removal is in flight.
	isRemoving bool
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
				c.claimDeparture(kqexecution.Incarnation(claimed))
			}
			continue
		}
		if _, err := decodeDeparture(r); err != nil {
			if !known {
				c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Worker(r.Name), "unreadable departure, the worker counts as present: %v", err)
			}
			continue
		}
		if c.planner.WorkerEnded(now, "", kqplan.WorkerEnd{Worker: kqexecution.Incarnation(r.Name), Departed: true}) {
			c.config.Events.Emit(now, kqevent.WorkerDeparted, kqevent.Worker(r.Name), "known from the store")
		}
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
// the controller is still loading. The claim alone ends no run: a worker that got no acknowledgement of its
// leave message runs on for a while.
func (c *Controller) claimDeparture(worker kqexecution.Incarnation) {
	c.departures.claims[worker] = true
	for _, s := range c.sessions {
		s.sendClaims([]kqexecution.Incarnation{worker})
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

// sweepDepartures removes the departures that were read more than departureRetention ago; mu is held.
func (c *Controller) sweepDepartures(now time.Time) {
	if c.departures.isRemoving {
		return
	}
	x := &departureRemoval{controller: c}
	for name, at := range c.departures.readAt {
		if now.Sub(at) > departureRetention && len(x.keys) < maxBatchRecords {
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
