package kqgate

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// ZonesRoute is the path that lists the evacuated zones, EvacuationRoute the path at which the
// evacuation of a zone is requested and withdrawn.
const (
	ZonesRoute      = "/v1/zones"
	EvacuationRoute = "/v1/zones/:name/evacuation"
)

// maxZoneAttempts is how many times a write is tried when other requests for the same zone conflict
// with it.
const maxZoneAttempts = 4

// zoneRow is the stored evacuation request of a zone. The row is kept when the request is
// withdrawn, so that a delayed duplicate of the write that evacuated the zone fails its version
// check.
type zoneRow struct {
	Withdrawn bool      `json:"withdrawn,omitempty"`
	At        time.Time `json:"at,omitzero"`
	// Nonce is random, so that the value of each write is unique.
	Nonce string `json:"mark"`
}

// ZoneView is the response that shows an evacuated zone to operators.
type ZoneView struct {
	// Zone is the name of the availability zone.
	Zone string `json:"zone"`
	// Evacuated is false in the response to withdrawing the request.
	Evacuated bool `json:"evacuated"`
	// Since is when the evacuation was requested; zero if the zone is not evacuated or the row
	// holds no time.
	Since time.Time `json:"since,omitzero"`
	// Remaining is the owner's latest report of what is still in the zone; nil if there is none.
	Remaining *kqevacuate.ZoneStatus `json:"left,omitempty"`
}

func (g *Gate) readZoneRows(ctx context.Context, from, to string) ([]kqrows.Row, *kqresult.Error) {
	rows, _, err := g.config.Store.Read(ctx, EvacuationTable, from, to)
	if err != nil {
		return nil, g.storeUnavailable()
	}
	return rows, nil
}

func (g *Gate) listZones(ctx context.Context, _ bunrouter.Request) (any, *kqresult.Error) {
	rows, err := g.readZoneRows(ctx, "", "")
	if err != nil {
		return nil, err
	}
	statuses := g.config.Front.EvacuationStatus()
	out := []ZoneView{}
	for _, r := range rows {
		if isWithdrawn(r) {
			continue
		}
		v := ZoneView{Zone: r.Name, Evacuated: true, Since: evacuatedSince(r)}
		for i := range statuses {
			if statuses[i].Zone == r.Name {
				v.Remaining = &statuses[i]
			}
		}
		out = append(out, v)
	}
	return out, nil
}

func evacuatedSince(r kqrows.Row) time.Time {
	var z zoneRow
	if json.Unmarshal(r.Value, &z) != nil {
		return time.Time{}
	}
	return z.At.UTC()
}

func (g *Gate) evacuateZone(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return g.setEvacuation(ctx, q.Param("name"), true)
}

func (g *Gate) restoreZone(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return g.setEvacuation(ctx, q.Param("name"), false)
}

// setEvacuation stores the request to evacuate a zone, or withdraws it. It writes nothing if the
// zone is already in that state.
func (g *Gate) setEvacuation(ctx context.Context, zone string, evacuate bool) (any, *kqresult.Error) {
	if err := checkName("zone", zone); err != nil {
		return nil, err
	}
	key := kqrows.Key{Table: EvacuationTable, Name: zone}
	for range maxZoneAttempts {
		rows, failure := g.readZoneRows(ctx, zone, zone+"!")
		if failure != nil {
			return nil, failure
		}
		version := uint64(0)
		if len(rows) > 0 {
			version = rows[0].Version
		}
		if evacuated := len(rows) > 0 && !isWithdrawn(rows[0]); evacuated == evacuate {
			v := ZoneView{Zone: zone, Evacuated: evacuated}
			if evacuated {
				v.Since = evacuatedSince(rows[0])
			}
			return v, nil
		}
		row := zoneRow{Withdrawn: !evacuate, At: g.config.Now().UTC(), Nonce: rand.Text()}
		value, err := json.Marshal(row)
		if err != nil {
			return nil, kqresult.Errorf(kqresult.Internal, "zone %s: %v", zone, err)
		}
		o, err := kqrows.Commit(ctx, g.config.Store, kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: version}}, Puts: []kqrows.Put{{Key: key, Value: value}}})
		switch {
		case errors.Is(err, kqrows.ErrRefused):
			return nil, g.storeUnavailable()
		case err != nil:
			return nil, g.outcomeUnknown("the request for zone " + zone)
		case o.Committed:
			v := ZoneView{Zone: zone, Evacuated: evacuate}
			if evacuate {
				v.Since = row.At
			}
			return v, nil
		}
	}
	return nil, kqresult.Errorf(kqresult.VersionConflict, "zone %s: its evacuation request is being changed by other requests", zone)
}

// ZonesHandler returns a handler of ZonesRoute that serves what the process itself knows: the
// evacuated zones and, if it is the owner of the cell, what is still in each of them.
func ZonesHandler(zones func() kqevacuate.Zones, statuses func() []kqevacuate.ZoneStatus) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, _ bunrouter.Request) error {
		out := []ZoneView{}
		current := statuses()
		for _, name := range zones().Names() {
			v := ZoneView{Zone: name, Evacuated: true}
			for i := range current {
				if current[i].Zone == name {
					v.Remaining = &current[i]
				}
			}
			out = append(out, v)
		}
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(out)
	}
}
