package kqentry

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqremote"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqmember"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqevents"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// service implements the EntryService RPCs.
type service struct {
	entry *Entry
}

// Announce processes the announcement of an agent or another entry. The reply holds the
// configuration rows that the sender lacks and the known entries.
func (s *service) Announce(_ context.Context, q *connect.Request[kqwire.AnnounceRequest]) (*connect.Response[kqwire.AnnounceReply], error) {
	e, m := s.entry, q.Msg
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || (m.WorkerId == "" && m.EntryId == "") {
		return nil, connect.NewError(connect.CodeInvalidArgument, kqresult.Errorf(kqresult.BadRequest, "an announcement needs a worker or entry ID and a valid address"))
	}
	now := e.config.Now()
	e.configHolder.ApplyRows(now, m.ConfigBase, m.ConfigSequence, kqmember.RowsFromWire(m.Config))
	e.roster.Update(now, processOf(m, address))
	if m.EntryId != "" {
		e.announcer.AddEntries([]kqmember.Entry{{ID: m.EntryId, Address: address}})
	} else {
		e.router.ApplyAnnouncement(now, announcementOf(m, address))
	}
	sequence, rows := e.configHolder.Since(m.ConfigSequence)
	reply := &kqwire.AnnounceReply{ConfigSequence: sequence, Config: kqmember.RowsToWire(rows)}
	if !e.isDraining() {
		reply.Entries = append(reply.Entries, &kqwire.EntryInfo{EntryId: e.config.ID, Address: e.address.String()})
	}
	for _, o := range e.announcer.Entries() {
		reply.Entries = append(reply.Entries, &kqwire.EntryInfo{EntryId: o.ID, Address: o.Address.String()})
	}
	return connect.NewResponse(reply), nil
}

func processOf(m *kqwire.AnnounceRequest, address netip.AddrPort) kqmember.Process {
	p := kqmember.Process{ID: m.WorkerId, Boot: m.AgentBoot, Address: address, Zone: m.Zone, Rack: m.Rack, Draining: m.Draining,
		Capacity: kqruntime.ResourcesFromWire(m.Capacity), Reserved: kqruntime.ResourcesFromWire(m.Reserved), Tasks: int(m.Tasks),
		ConfigSequence: m.ConfigSequence, Cell: m.Cell, Owner: m.Owner, OwnerEpoch: m.OwnerEpoch}
	if m.EntryId != "" {
		p.ID, p.IsEntry = m.EntryId, true
	}
	return p
}

func announcementOf(m *kqwire.AnnounceRequest, address netip.AddrPort) kqroute.Announcement {
	a := kqroute.Announcement{Worker: m.WorkerId, Boot: m.AgentBoot, Address: address, Zone: m.Zone, Draining: m.Draining}
	for _, x := range m.Endpoints {
		a.Endpoints = append(a.Endpoints, kqroute.Endpoint{ID: x.EndpointId, Classes: x.Classes, Connections: int(x.Connections),
			Leaving: x.Leaving, Load: kqremote.LoadFromWire(x.Load)})
	}
	return a
}

// ExplainLocal returns the events that this entry has recorded about a subject.
func (s *service) ExplainLocal(_ context.Context, q *connect.Request[kqwire.ExplainRequest]) (*connect.Response[kqwire.ExplainReply], error) {
	es := s.entry.config.Events.BySubject(kqevent.Subject{Kind: q.Msg.Kind, ID: q.Msg.Id})
	return connect.NewResponse(&kqwire.ExplainReply{Events: kqevents.ToWire(es)}), nil
}
