package kqflowrig

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqgate"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// operatorClient is the client of the store that writes evacuation requests. It has no faults, also
// while all other clients have.
const operatorClient = "operator"

// evacuations records the evacuation requests that the store has acknowledged, and the starts that
// violate them.
type evacuations struct {
	evacuationsMu sync.Mutex
	// evacuatedAt maps a zone to the time when the store acknowledged its request.
	evacuatedAt map[string]time.Time
	lateStarts  []string
}

// Evacuate stores the request to evacuate a zone, in which nothing more may start then.
func (r *Rig) Evacuate(zone string) {
	r.commitRequest(kqrows.Tx{Puts: []kqrows.Put{{Key: kqrows.Key{Table: kqgate.EvacuationTable, Name: zone}, Value: []byte("{}")}}})
	r.evacuationsMu.Lock()
	defer r.evacuationsMu.Unlock()
	if r.evacuatedAt == nil {
		r.evacuatedAt = map[string]time.Time{}
	}
	r.evacuatedAt[zone] = time.Now()
}

// WithdrawEvacuation removes the request for a zone.
func (r *Rig) WithdrawEvacuation(zone string) {
	r.evacuationsMu.Lock()
	delete(r.evacuatedAt, zone)
	r.evacuationsMu.Unlock()
	r.commitRequest(kqrows.Tx{Removes: []kqrows.Key{{Table: kqgate.EvacuationTable, Name: zone}}})
}

func (r *Rig) commitRequest(tx kqrows.Tx) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r.Store.SetFaults(operatorClient, kqrowstore.Faults{})
	if outcome, err := r.Store.Client(operatorClient).Transact(ctx, tx); err != nil || !outcome.Committed {
		panic(fmt.Sprintf("evacuation request was not stored: outcome %v, error %v", outcome, err))
	}
}

// checkStart records a start that an agent sends to its worker if it violates an evacuation.
func (r *Rig) checkStart(agent int, run kqexecution.Run) {
	zone := r.Zone(agent)
	r.evacuationsMu.Lock()
	defer r.evacuationsMu.Unlock()
	if requestedAt, ok := r.evacuatedAt[zone]; ok && time.Since(requestedAt) > r.config.EvacuateWithin {
		r.lateStarts = append(r.lateStarts, fmt.Sprintf("start of %s run %d in zone %s, evacuated for %s", run.Task, run.Number, zone, time.Since(requestedAt)))
	}
}

// LateStarts describes the starts that were sent to workers of an evacuated zone more than
// EvacuateWithin after the request was acknowledged.
func (r *Rig) LateStarts() []string {
	r.evacuationsMu.Lock()
	defer r.evacuationsMu.Unlock()
	return slices.Clone(r.lateStarts)
}
