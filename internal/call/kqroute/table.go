package kqroute

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
)

const (
	// AnnouncementTimeout is the time without an announcement after which an agent's endpoints are
	// removed.
	AnnouncementTimeout = 2500 * time.Millisecond
	// leavingGrace is the time after which a call to a leaving endpoint is an invariant violation.
	leavingGrace = 3 * time.Second
	// rampUpTime is the time within which a restored endpoint gets all its slots back.
	rampUpTime = 5 * time.Second
	// sameSpeedTenths is the ratio to the median service time, in tenths and in either direction,
	// within which endpoints count as equally fast.
	sameSpeedTenths = 14
	// fullScanLimit is the number of endpoints of a class up to which all are scored for a call.
	fullScanLimit = 12
	// localLoadPercent is the utilization of slots below which an endpoint in the entry's own
	// zone is preferred.
	localLoadPercent = 75
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Config configures a Table.
type Config struct {
	// Zone is the entry's own availability zone.
	Zone string
	// CrossZoneDelay is the extra time of a call to another availability zone.
	CrossZoneDelay time.Duration
	// Seed seeds the random choice of candidates and the jitter.
	Seed uint64
	// Policy chooses among the candidates; empty means PolicyExpectedTime.
	Policy Policy
	// Counter counts invariant violations; may be nil.
	Counter *kqinvariant.Counter
	// OnChange is called for each change of an endpoint; may be nil.
	OnChange func(now time.Time, c Change)
}

// Change is a change of an endpoint's state, recorded for operators.
type Change struct {
	// Kind is announced, leaving, gone, ejected or restored.
	Kind ChangeKind
	// Worker is the worker of the endpoint.
	Worker string
	// Endpoint is the identifier of the endpoint.
	Endpoint string
	// Reason explains the change.
	Reason string
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	ChangeAnnounced ChangeKind = iota
	ChangeLeaving
	ChangeGone
	ChangeEjected
	ChangeRestored
)

// Ref identifies an endpoint of one agent process.
type Ref struct {
	// Agent is the agent's address.
	Agent netip.AddrPort
	// Boot identifies the agent process.
	Boot string
	// Endpoint is the identifier of the endpoint.
	Endpoint string
}

// classGroup holds the endpoints of one class.
type classGroup struct {
	endpoints         []*knownEndpoint
	medianServiceTime time.Duration
	roundRobinIndex   int
}

// Table holds the endpoints known to one entry. It is not safe for concurrent use.
type Table struct {
	config       Config
	rng          *rand.Rand
	endpoints    map[Ref]*knownEndpoint
	refsByWorker map[string][]Ref
	groups       map[string]*classGroup
}

// New returns an empty Table.
func New(c Config) *Table {
	if c.Policy == "" {
		c.Policy = PolicyExpectedTime
	}
	return &Table{config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		endpoints: map[Ref]*knownEndpoint{}, refsByWorker: map[string][]Ref{}, groups: map[string]*classGroup{}}
}

func (t *Table) notifyChange(now time.Time, k ChangeKind, ep *knownEndpoint, reason string) {
	if t.config.OnChange != nil {
		t.config.OnChange(now, Change{Kind: k, Worker: ep.worker, Endpoint: ep.announced.ID, Reason: reason})
	}
}

// ApplyAnnouncement updates the endpoints of an agent. Endpoints that the announcement no longer
// lists and those of earlier processes of the agent are removed.
func (t *Table) ApplyAnnouncement(now time.Time, a Announcement) {
	announcedRefs := make([]Ref, 0, len(a.Endpoints))
	changed := false
	for _, e := range a.Endpoints {
		e.Leaving = e.Leaving || a.Draining
		r := Ref{a.Address, a.Boot, e.ID}
		announcedRefs = append(announcedRefs, r)
		changed = t.applyEndpoint(now, a, r, e) || changed
	}
	for _, r := range t.refsByWorker[a.Worker] {
		if !slices.Contains(announcedRefs, r) {
			t.remove(now, r, "its agent no longer announces it")
			changed = true
		}
	}
	t.refsByWorker[a.Worker] = announcedRefs
	if changed {
		t.rebuildGroups()
	}
}

// applyEndpoint adds or updates one endpoint and reports whether the class groups must be rebuilt.
func (t *Table) applyEndpoint(now time.Time, a Announcement, r Ref, announced Endpoint) (changed bool) {
	ep, known := t.endpoints[r]
	if !known {
		ep = newKnownEndpoint(now)
		t.endpoints[r] = ep
	}
	ep.worker, ep.boot, ep.address, ep.zone, ep.lastAnnouncedAt = a.Worker, a.Boot, a.Address, a.Zone, now
	changed = !known || !slices.Equal(ep.announced.Classes, announced.Classes)
	ep.announced = announced
	ep.updateLoad(now, announced.Load)
	if !known {
		t.notifyChange(now, ChangeAnnounced, ep, "announced by its agent")
	}
	switch {
	case announced.Leaving && ep.transition(eventLeave):
		ep.leavingSince = now
		t.notifyChange(now, ChangeLeaving, ep, "announced as leaving")
	case !announced.Leaving && ep.state == stateLeaving:
		ep.state = chart.Initial()
	}
	return changed
}

func (t *Table) remove(now time.Time, r Ref, reason string) {
	if ep, ok := t.endpoints[r]; ok {
		t.notifyChange(now, ChangeGone, ep, reason)
		delete(t.endpoints, r)
	}
}

// rebuildGroups groups the endpoints by class, sorted by worker and identifier. The order is
// deterministic, and round robin continues from its last index.
func (t *Table) rebuildGroups() {
	groups := map[string]*classGroup{}
	for _, ep := range t.endpoints {
		for _, c := range ep.announced.Classes {
			g := groups[c]
			if g == nil {
				g = &classGroup{}
				groups[c] = g
			}
			g.endpoints = append(g.endpoints, ep)
		}
	}
	for c, g := range groups {
		slices.SortFunc(g.endpoints, func(a, b *knownEndpoint) int { return a.compare(b) })
		g.medianServiceTime = medianServiceTime(g.endpoints)
		if old := t.groups[c]; old != nil {
			g.roundRobinIndex = old.roundRobinIndex
		}
	}
	t.groups = groups
}

func (ep *knownEndpoint) compare(other *knownEndpoint) int {
	if ep.worker != other.worker {
		if ep.worker < other.worker {
			return -1
		}
		return 1
	}
	if ep.announced.ID < other.announced.ID {
		return -1
	}
	return 1
}

func medianServiceTime(eps []*knownEndpoint) time.Duration {
	times := make([]time.Duration, 0, len(eps))
	for _, ep := range eps {
		times = append(times, ep.announced.Load.ServiceTime)
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// Tick removes the endpoints of agents without an announcement for AnnouncementTimeout and updates the
// median service times.
func (t *Table) Tick(now time.Time) {
	changed := false
	for r, ep := range t.endpoints {
		if now.Sub(ep.lastAnnouncedAt) > AnnouncementTimeout {
			delete(t.refsByWorker, ep.worker)
			t.remove(now, r, "no announcement from its agent for "+now.Sub(ep.lastAnnouncedAt).Round(time.Millisecond).String())
			changed = true
		}
	}
	if changed {
		t.rebuildGroups()
		return
	}
	for _, g := range t.groups {
		g.medianServiceTime = medianServiceTime(g.endpoints)
	}
}

func (ep *knownEndpoint) ref() Ref { return Ref{ep.address, ep.boot, ep.announced.ID} }

// BeginAttempt counts a call sent to an endpoint. EndAttempt must follow.
func (t *Table) BeginAttempt(now time.Time, r Ref) {
	ep, ok := t.endpoints[r]
	if !ok {
		return
	}
	ep.ownCalls++
	ep.lastAttemptAt = now
	t.config.Counter.Check(ep.leavingSince.IsZero() || ep.state != stateLeaving || now.Sub(ep.leavingSince) < leavingGrace,
		kqinvariant.CallToLeaving, "call to endpoint %s, which has been leaving for %s", r.Endpoint, now.Sub(ep.leavingSince))
}

// UpdateLoad applies a load report that came with an answer.
func (t *Table) UpdateLoad(now time.Time, r Ref, l kqadmit.Load) {
	if ep, ok := t.endpoints[r]; ok {
		ep.updateLoad(now, l)
	}
}

// View is the state of an endpoint as shown to operators.
type View struct {
	// Worker is the worker of the endpoint.
	Worker string `json:"worker"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Endpoint is its identifier.
	Endpoint string `json:"endpoint"`
	// Classes lists the classes of calls that it answers.
	Classes []string `json:"classes"`
	// State is its state in the endpoint chart.
	State string `json:"state"`
	// OpenCalls is the estimated number of open calls.
	OpenCalls int `json:"open"`
	// Slots is the number of calls that may run at once.
	Slots int `json:"slots"`
	// ServiceSeconds is the smoothed service time of a call.
	ServiceSeconds float64 `json:"service_seconds"`
	// TailSeconds is the tail estimate of the service time, which few calls exceed.
	TailSeconds float64 `json:"tail_seconds"`
}

// Views lists every known endpoint, sorted by worker and identifier.
func (t *Table) Views() []View {
	var eps []*knownEndpoint
	for _, ep := range t.endpoints {
		eps = append(eps, ep)
	}
	slices.SortFunc(eps, func(a, b *knownEndpoint) int { return a.compare(b) })
	var out []View
	for _, ep := range eps {
		out = append(out, View{ep.worker, ep.zone, ep.announced.ID, ep.announced.Classes, ep.state, ep.openCalls(),
			ep.announced.Load.Slots, ep.announced.Load.ServiceTime.Seconds(), ep.announced.Load.TailTime.Seconds()})
	}
	return out
}
