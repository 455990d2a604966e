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

// operatorName is the client of the store that evacuates zones; faults of others do
// not concern it.
const operatorName = "operator"

// requests is the evacuations that the store has acknowledged.
type requests struct {
	lock sync.Mutex
	// at is when the store acknowledged the request of each zone.
	at   map[string]time.Time
	late []string
}

// Evacuate requests that nothing be started in a zone.
func (r *Rig) Evacuate(zone string) {
	r.request(kqrows.Tx{Puts: []kqrows.Put{{Key: kqrows.Key{Table: kqgate.EvacuationTable, Name: zone}, Value: []byte("{}")}}})
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.at == nil {
		r.at = map[string]time.Time{}
	}
	r.at[zone] = time.Now()
}

// Return withdraws the request of a zone.
func (r *Rig) Return(zone string) {
	r.lock.Lock()
	delete(r.at, zone)
	r.lock.Unlock()
	r.request(kqrows.Tx{Removes: []kqrows.Key{{Table: kqgate.EvacuationTable, Name: zone}}})
}

func (r *Rig) request(t kqrows.Tx) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	r.Store.SetFaults(operatorName, kqrowstore.Faults{})
	if o, err := r.Store.Client(operatorName).Transact(ctx, t); err != nil || !o.Committed {
		panic(fmt.Sprintf("evacuation: %v, %v", o, err))
	}
}

// sent notes a start that was sent to the worker of an agent.
func (r *Rig) sent(agent int, k kqexecution.Run) {
	zone := r.Zone(agent)
	r.lock.Lock()
	defer r.lock.Unlock()
	if at, ok := r.at[zone]; ok && time.Since(at) > r.config.EvacuateWithin {
		r.late = append(r.late, fmt.Sprintf("start of %s run %d in zone %s, evacuated for %s", k.Task, k.Number, zone, time.Since(at)))
	}
}

// LateStarts returns the starts that were sent into an evacuated zone after the
// bound.
func (r *Rig) LateStarts() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.late)
}
