package kqcontrol

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// departureRow is the stored form of a departure; the key names the incarnation, and says whether it is a claim.
type departureRow struct {
	// Host is the name of the host whose agent has received the leave message.
	Host string `json:"host"`
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
	_, err := r.Store.Store.Transact(ctx, kqrows.Tx{Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(departureRow{r.Host})}}})
	return err
}

// decodeDeparture decodes a row of the DepartureTable. It returns an error if the row does not tell which
// host has stored it: the name alone, which another writer may have used, ends no worker.
func decodeDeparture(r kqrows.Row) (row departureRow, err error) {
	if err = json.Unmarshal(r.Value, &row); err == nil && row.Host == "" {
		err = eris.Errorf("departure %s has no host", r.Name)
	}
	return row, err
}
