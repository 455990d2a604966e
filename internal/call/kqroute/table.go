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
	// LivenessBound is how long an unheard agent stays in the choice.
	ReportTimeout = 2500 * time.Millisecond
	// leaveBound is after which a call to a leaving endpoint is a breach.
	leaveBound = 3 * time.Second
	// rampTime is how long a restored endpoint takes to get all its slots.
	rampTime = 5 * time.Second
	// sameSpeedTenths is the ratio to the median, in tenths, within which
	// endpoints count as equally fast.
	sameSpeedTenths = 14
	// probes is how many endpoints are compared for a call.
	probes = 12
	// nearLoadPercent is the use of slots below which a near endpoint is
	// preferred.
	nearLoadPercent = 75
	// shortestRetryAfter and longestRetryAfter bound the advice to a caller.
	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 2 * time.Second
)

// Config sets up a Table.
type Config struct {
	// Zone is the entry's own availability zone.
	Zone string
	// FarDelay is the extra time of a call to another availability zone.
	CrossZoneDelay time.Duration
	// Seed draws the candidates.
	Seed uint64
	// Policy orders the candidates; empty means PolicyExpected.
	Policy Policy
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
	// Notice is told of changes of endpoints; nil is told nothing.
	OnChange func(now time.Time, c Change)
}

// Change is a change of an endpoint that operators may ask about.
type Change struct {
	// Kind is announced, leaving, gone, ejected or restored.
	Kind ChangeKind
	// Worker is the host of the endpoint.
	Worker string
	// Endpoint names the endpoint.
	Endpoint string
	// Reason says why.
	Reason string
}

// ChangeKind is the sort of a Change.
type ChangeKind int

// Kinds of changes.
const (
	ChangeAnnounced ChangeKind = iota
	ChangeLeaving
	ChangeGone
	ChangeEjected
	ChangeRestored
)

// Ref names an endpoint of one agent process.
type Ref struct {
	// Agent is the agent's address.
	Agent netip.AddrPort
	// Boot is the agent process.
	Boot string
	// Endpoint is the endpoint's name.
	Endpoint string
}

// group is the endpoints of one class.
type group struct {
	targets []*target
	median  time.Duration
	turn    int
}

// Table is the endpoints known to one entry. It is not safe for concurrent
// use.
type Table struct {
	config  Config
	rng     *rand.Rand
	targets map[Ref]*target
	workers map[string][]Ref
	groups  map[string]*group
}

// New returns an empty Table.
func New(c Config) *Table {
	if c.Policy == "" {
		c.Policy = PolicyExpectedTime
	}
	return &Table{config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		targets: map[Ref]*target{}, workers: map[string][]Ref{}, groups: map[string]*group{}}
}

func (t *Table) notice(now time.Time, k ChangeKind, x *target, reason string) {
	if t.config.OnChange != nil {
		t.config.OnChange(now, Change{Kind: k, Worker: x.worker, Endpoint: x.endpoint.ID, Reason: reason})
	}
}

// Announce takes over what an agent says; endpoints it no longer names and
// those of its earlier processes are dropped.
func (t *Table) ApplyAnnouncement(now time.Time, a Announcement) {
	named := make([]Ref, 0, len(a.Endpoints))
	changed := false
	for _, e := range a.Endpoints {
		e.Leaving = e.Leaving || a.Draining
		r := Ref{a.Address, a.Boot, e.ID}
		named = append(named, r)
		changed = t.announceOne(now, a, r, e) || changed
	}
	for _, r := range t.workers[a.Worker] {
		if !slices.Contains(named, r) {
			t.remove(now, r, "the agent no longer names it")
			changed = true
		}
	}
	t.workers[a.Worker] = named
	if changed {
		t.index()
	}
}

// announceOne takes over one endpoint and reports whether the classes have to
// be listed anew.
func (t *Table) announceOne(now time.Time, a Announcement, r Ref, e Endpoint) (changed bool) {
	x, known := t.targets[r]
	if !known {
		x = newTarget(now)
		t.targets[r] = x
	}
	x.worker, x.boot, x.address, x.zone, x.heardAt = a.Worker, a.Boot, a.Address, a.Zone, now
	changed = !known || !slices.Equal(x.endpoint.Classes, e.Classes)
	x.endpoint = e
	x.learn(now, e.Load)
	if !known {
		t.notice(now, ChangeAnnounced, x, "announced by its agent")
	}
	switch {
	case e.Leaving && x.step(eventLeave):
		x.leftAt = now
		t.notice(now, ChangeLeaving, x, "announced as leaving")
	case !e.Leaving && x.state == stateLeaving:
		x.state = chart.Initial()
	}
	return changed
}

func (t *Table) remove(now time.Time, r Ref, reason string) {
	if x, ok := t.targets[r]; ok {
		t.notice(now, ChangeGone, x, reason)
		delete(t.targets, r)
	}
}

// index lists the targets of each class in a fixed order.
func (t *Table) index() {
	groups := map[string]*group{}
	for _, x := range t.targets {
		for _, c := range x.endpoint.Classes {
			g := groups[c]
			if g == nil {
				g = &group{}
				groups[c] = g
			}
			g.targets = append(g.targets, x)
		}
	}
	for c, g := range groups {
		slices.SortFunc(g.targets, func(a, b *target) int { return a.compare(b) })
		g.median = medianService(g.targets)
		if old := t.groups[c]; old != nil {
			g.turn = old.turn
		}
	}
	t.groups = groups
}

func (t *target) compare(o *target) int {
	if t.worker != o.worker {
		if t.worker < o.worker {
			return -1
		}
		return 1
	}
	if t.endpoint.ID < o.endpoint.ID {
		return -1
	}
	return 1
}

func medianService(ts []*target) time.Duration {
	s := make([]time.Duration, 0, len(ts))
	for _, x := range ts {
		s = append(s, x.endpoint.Load.ServiceTime)
	}
	slices.Sort(s)
	return s[len(s)/2]
}

// Tick drops the agents not heard within the liveness bound.
func (t *Table) Tick(now time.Time) {
	changed := false
	for r, x := range t.targets {
		if now.Sub(x.heardAt) > ReportTimeout {
			delete(t.workers, x.worker)
			t.remove(now, r, "its agent was not heard for "+now.Sub(x.heardAt).Round(time.Millisecond).String())
			changed = true
		}
	}
	if changed {
		t.index()
		return
	}
	for _, g := range t.groups {
		g.median = medianService(g.targets)
	}
}

func (t *target) ref() Ref { return Ref{t.address, t.boot, t.endpoint.ID} }

// Begin counts a call sent to an endpoint.
func (t *Table) BeginAttempt(now time.Time, r Ref) {
	x, ok := t.targets[r]
	if !ok {
		return
	}
	x.own++
	x.triedAt = now
	t.config.Counter.Check(x.leftAt.IsZero() || x.state != stateLeaving || now.Sub(x.leftAt) < leaveBound,
		kqinvariant.CallToLeaving, "%s has been leaving for %s", r.Endpoint, now.Sub(x.leftAt))
}

// Learn takes over a load report that came with an answer.
func (t *Table) UpdateLoad(now time.Time, r Ref, l kqadmit.Load) {
	if x, ok := t.targets[r]; ok {
		x.learn(now, l)
	}
}

// View is what the entry knows of an endpoint, for operators.
type View struct {
	// Worker is the host.
	Worker string `json:"worker"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Endpoint is the name.
	Endpoint string `json:"endpoint"`
	// Classes is what it answers.
	Classes []string `json:"classes"`
	// State is a state of the endpoint chart.
	State string `json:"state"`
	// Open is the calls open as far as known.
	OpenCalls int `json:"open"`
	// Slots is how many run at one time.
	Slots int `json:"slots"`
	// ServiceSeconds is the smoothed time of a call.
	ServiceSeconds float64 `json:"service_seconds"`
	// TailSeconds is the time that few calls take longer than.
	TailSeconds float64 `json:"tail_seconds"`
}

// Views lists every known endpoint in order.
func (t *Table) Views() []View {
	var xs []*target
	for _, x := range t.targets {
		xs = append(xs, x)
	}
	slices.SortFunc(xs, func(a, b *target) int { return a.compare(b) })
	var out []View
	for _, x := range xs {
		out = append(out, View{x.worker, x.zone, x.endpoint.ID, x.endpoint.Classes, x.state, x.open(),
			x.endpoint.Load.Slots, x.endpoint.Load.ServiceTime.Seconds(), x.endpoint.Load.TailTime.Seconds()})
	}
	return out
}
