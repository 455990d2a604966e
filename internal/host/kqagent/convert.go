package kqagent

import (
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqremote"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

func heartbeatToWire(h kqcell.Heartbeat) *kqwire.HeartbeatRequest {
	q := &kqwire.HeartbeatRequest{WorkerId: h.Worker.ID, HostBoot: h.HostBoot, Draining: h.Draining, OrdersSeen: h.OrdersVersion,
		MembersSeen: h.MembersVersion, Full: h.Complete, Session: h.Session, Sequence: h.Sequence}
	if h.Complete {
		q.AgentBoot, q.Address, q.Zone, q.Rack = h.AgentBoot, h.Worker.Address.String(), h.Worker.Zone, h.Worker.Rack
		q.Capacity, q.Services = kqruntime.ResourcesToWire(h.Worker.Capacity), h.ServiceClasses
	}
	for _, t := range h.Tasks {
		q.Tasks = append(q.Tasks, kqruntime.ReportToWire(t))
	}
	for _, p := range h.ServiceReports {
		if p.Calls == 0 {
			continue
		}
		q.Pressures = append(q.Pressures, &kqwire.Pressure{Class: p.Class, Slowdown: p.Slowdown, Pressed: p.MissesTarget, Calls: uint32(p.Calls)})
	}
	return q
}

func heartbeatFromWire(q *kqwire.HeartbeatRequest) (kqcell.Heartbeat, error) {
	address, err := netip.ParseAddrPort(q.Address)
	if err != nil && q.Full {
		return kqcell.Heartbeat{}, kqresult.Errorf(kqresult.BadRequest, "worker address %q: %v", q.Address, err)
	}
	h := kqcell.Heartbeat{AgentBoot: q.AgentBoot, HostBoot: q.HostBoot, Draining: q.Draining, OrdersVersion: q.OrdersSeen,
		Complete: q.Full, ServiceClasses: q.Services, Session: q.Session, Sequence: q.Sequence, MembersVersion: q.MembersSeen,
		Worker: kqmodel.Worker{ID: q.WorkerId, Zone: q.Zone, Rack: q.Rack, Address: address, Capacity: kqruntime.ResourcesFromWire(q.Capacity)}}
	for _, t := range q.Tasks {
		h.Tasks = append(h.Tasks, kqruntime.ReportFromWire(t))
	}
	for _, p := range q.Pressures {
		h.ServiceReports = append(h.ServiceReports, kqcell.ServiceReport{Class: p.Class, Slowdown: p.Slowdown, MissesTarget: p.Pressed, Calls: int(p.Calls)})
	}
	return h, nil
}

func replyToWire(r kqcell.Reply) *kqwire.HeartbeatReply {
	m := &kqwire.HeartbeatReply{Epoch: r.Epoch, OrdersVersion: r.OrdersVersion, OrdersChanged: r.OrdersChanged,
		LeaseLeft: int64(r.LeaseDuration), NeedFull: r.NeedComplete, StoreAge: int64(r.StoreResponseAge), Session: r.Session, MembersVersion: r.MembersVersion}
	for _, o := range r.Orders {
		m.Orders = append(m.Orders, kqruntime.OrderToWire(o))
	}
	for _, x := range r.Members {
		m.Members = append(m.Members, &kqwire.Member{WorkerId: x.ID, Address: x.Address.String()})
	}
	return m
}

func replyFromWire(m *kqwire.HeartbeatReply) (kqcell.Reply, error) {
	if m.Code != 0 {
		return kqcell.Reply{}, kqresult.Errorf(kqresult.Code(m.Code), "the owner of the cell refused the heartbeat")
	}
	r := kqcell.Reply{Epoch: m.Epoch, OrdersVersion: m.OrdersVersion, OrdersChanged: m.OrdersChanged,
		LeaseDuration: time.Duration(m.LeaseLeft), NeedComplete: m.NeedFull, StoreResponseAge: time.Duration(m.StoreAge), Session: m.Session, MembersVersion: m.MembersVersion}
	for _, o := range m.Orders {
		r.Orders = append(r.Orders, kqruntime.OrderFromWire(o))
	}
	for _, x := range m.Members {
		address, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			return r, kqresult.Errorf(kqresult.BadRequest, "member address %q: %v", x.Address, err)
		}
		r.Members = append(r.Members, kqcell.Member{ID: x.WorkerId, Address: address})
	}
	return r, nil
}

func announcement(a *Agent, ownership kqcell.OwnershipRow, inventory kqruntime.Inventory, draining bool) *kqwire.AnnounceRequest {
	q := &kqwire.AnnounceRequest{WorkerId: a.config.Worker, AgentBoot: a.boot, Address: a.address.String(),
		Zone: a.config.Zone, Rack: a.config.Rack, Draining: draining, Cell: a.cell, Owner: ownership.Owner, OwnerEpoch: ownership.Epoch,
		Capacity: kqruntime.ResourcesToWire(inventory.Capacity)}
	for _, t := range inventory.Tasks {
		if !t.Phase.Ended() {
			q.Tasks++
		}
	}
	for _, e := range a.dispatcher.Views() {
		q.Endpoints = append(q.Endpoints, &kqwire.EndpointStatus{EndpointId: e.ID, Classes: e.Classes,
			Connections: uint32(e.Connections), Leaving: e.Leaving, Load: kqremote.LoadToWire(e.Load)})
	}
	return q
}
