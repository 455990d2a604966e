package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// driftNumerator over driftDenominator bounds the ratio of the real duration of a lease to the
// granted one: the worker's clock may be 2 % slow. leaseMargin is added on top.
const (
	driftNumerator   = 103
	driftDenominator = 100
	leaseMargin      = 250 * time.Millisecond
)

// maxLeaseDuration returns the time after which a lease granted for d has certainly expired on
// the worker.
func (p *Planner) maxLeaseDuration(d time.Duration) time.Duration {
	return d*driftNumerator/driftDenominator + leaseMargin
}

// LeaseGranted records that a host is granted a lease, and returns the duration to grant: 0 while its
// worker is unresponsive, since the lease would not reach the worker, and its runs are given up only
// once every granted lease has expired. A longer lease than the returned one must not be granted.
func (p *Planner) LeaseGranted(now time.Time, name string, lease time.Duration) time.Duration {
	h := p.host(name)
	if h.info.Unresponsive {
		return 0
	}
	wasUsable := h.usable(now)
	if h.leaseExpiresAt.IsZero() {
		// The worker may hold a longer lease of an earlier owner.
		h.leaseExpiresAt = p.priorGrantsUntil(name).Add(p.maxLeaseDuration(p.config.Lease))
	}
	h.lastReportAt, h.leaseWithheld = now, false
	h.leaseExpiresAt = later(h.leaseExpiresAt, now.Add(p.maxLeaseDuration(lease)))
	p.passRequested = p.passRequested || !wasUsable && h.usable(now)
	return lease
}

// WithholdLease records that a host is granted no lease for now. It gets no new work until it is granted
// one: its worker may be another incarnation, which has no lease yet.
func (p *Planner) WithholdLease(name string) { p.host(name).leaseWithheld = true }

// expireLeases marks the runs of hosts whose lease has expired as lost. The agent of such a
// host may still be connected and may be about to start a run, and would carry out that start
// under its next lease. It is therefore ordered to stop the run before it is granted another
// lease.
func (p *Planner) expireLeases(now time.Time) {
	for _, h := range p.hosts.All() {
		if h.runs.Len() == 0 || !now.After(h.leaseExpiresAt) {
			continue
		}
		for _, r := range h.runList() {
			if r.ordered && h.connected {
				if h.givenUp == nil {
					h.givenUp = map[kqexecution.Run]bool{}
				}
				h.givenUp[r.key()] = true
				p.effects = append(p.effects, Effect{Host: h.name, Order: r.stopOrder()})
			}
			p.markLost(now, r, "the lease of its worker has expired")
		}
	}
}
