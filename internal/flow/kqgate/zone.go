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

// ZonesRoute is where the evacuated zones are listed, EvacuationRoute where a zone is
// evacuated and returned.
const (
	ZonesRoute      = "/v1/zones"
	EvacuationRoute = "/v1/zones/:name/evacuation"
)

// zoneTries is how often a request is tried that others change at the same time.
const zoneTries = 4

// zoneRow is the stored request for a zone. It stays when it is withdrawn: a late copy
// of the write that evacuated the zone finds another version than it expects.
type zoneRow struct {
	Withdrawn bool      `json:"withdrawn,omitempty"`
	At        time.Time `json:"at,omitzero"`
	// Mark makes each write differ from all others.
	Mark string `json:"mark"`
}

// ZoneView is an evacuated zone as operators are shown it.
type ZoneView struct {
	// Zone names the availability zone.
	Zone string `json:"zone"`
	// Evacuated is false for a zone that was just returned.
	Evacuated bool `json:"evacuated"`
	// Since is when the zone was evacuated; zero if it is not or the row does not say.
	Since time.Time `json:"since,omitzero"`
	// Left is what the owner says is still there; nil if it has not said.
	Remaining *kqevacuate.ZoneStatus `json:"left,omitempty"`
}

func (g *Gate) zoneRows(ctx context.Context, from, to string) ([]kqrows.Row, *kqresult.Error) {
	rows, _, err := g.config.Store.Read(ctx, EvacuationTable, from, to)
	if err != nil {
		return nil, g.unavailable()
	}
	return rows, nil
}

func (g *Gate) listZones(ctx context.Context, _ bunrouter.Request) (any, *kqresult.Error) {
	rows, err := g.zoneRows(ctx, "", "")
	if err != nil {
		return nil, err
	}
	left := g.config.Front.EvacuationStatus()
	out := []ZoneView{}
	for _, r := range rows {
		if withdrawn(r) {
			continue
		}
		v := ZoneView{Zone: r.Name, Evacuated: true, Since: zoneSince(r)}
		for i := range left {
			if left[i].Zone == r.Name {
				v.Remaining = &left[i]
			}
		}
		out = append(out, v)
	}
	return out, nil
}

func zoneSince(r kqrows.Row) time.Time {
	var z zoneRow
	if json.Unmarshal(r.Value, &z) != nil {
		return time.Time{}
	}
	return z.At.UTC()
}

func (g *Gate) evacuateZone(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return g.requestZone(ctx, q.Param("name"), true)
}

func (g *Gate) returnZone(ctx context.Context, q bunrouter.Request) (any, *kqresult.Error) {
	return g.requestZone(ctx, q.Param("name"), false)
}

// requestZone evacuates a zone or returns it; what is so already stays.
func (g *Gate) requestZone(ctx context.Context, zone string, evacuate bool) (any, *kqresult.Error) {
	if err := checkName("zone", zone); err != nil {
		return nil, err
	}
	key := kqrows.Key{Table: EvacuationTable, Name: zone}
	for range zoneTries {
		rows, bad := g.zoneRows(ctx, zone, zone+"!")
		if bad != nil {
			return nil, bad
		}
		version := uint64(0)
		if len(rows) > 0 {
			version = rows[0].Version
		}
		if is := len(rows) > 0 && !withdrawn(rows[0]); is == evacuate {
			v := ZoneView{Zone: zone, Evacuated: is}
			if is {
				v.Since = zoneSince(rows[0])
			}
			return v, nil
		}
		row := zoneRow{Withdrawn: !evacuate, At: g.config.Now().UTC(), Mark: rand.Text()}
		value, err := json.Marshal(row)
		if err != nil {
			return nil, kqresult.Errorf(kqresult.Internal, "zone %s: %v", zone, err)
		}
		o, err := kqrows.Commit(ctx, g.config.Store, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: version}}, Puts: []kqrows.Put{{Key: key, Value: value}}})
		switch {
		case errors.Is(err, kqrows.ErrRefused):
			return nil, g.unavailable()
		case err != nil:
			return nil, g.unresolved("the request for zone " + zone)
		case o.Committed:
			v := ZoneView{Zone: zone, Evacuated: evacuate}
			if evacuate {
				v.Since = row.At
			}
			return v, nil
		}
	}
	return nil, kqresult.Errorf(kqresult.VersionConflict, "zone %s: others change its request at the same time", zone)
}

// ZonesHandler serves ZonesRoute from a process's own memory: what an owner says is left
// in each evacuated zone, or the zones alone if the process owns no cell.
func ZonesHandler(zones func() kqevacuate.Zones, left func() []kqevacuate.ZoneStatus) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, _ bunrouter.Request) error {
		out := []ZoneView{}
		said := left()
		for _, name := range zones().Names() {
			v := ZoneView{Zone: name, Evacuated: true}
			for i := range said {
				if said[i].Zone == name {
					v.Remaining = &said[i]
				}
			}
			out = append(out, v)
		}
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(out)
	}
}
