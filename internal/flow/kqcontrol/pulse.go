package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Pulse says how far an owner keeps up, over one interval.
type Stats struct {
	// Passes is how often it decided, DecidingMS how long that took in all and
	// LongestMS at the longest.
	Passes        int   `json:"passes"`
	DecidingMS    int64 `json:"deciding_ms"`
	LongestPassMS int64 `json:"longest_ms"`
	// Messages is what agents and entries have sent, ListeningMS how long it took to
	// take them over.
	Messages  int   `json:"messages"`
	MessageMS int64 `json:"listening_ms"`
	// BehindMS is the longest that a message waited for the decision that it asked
	// for.
	DecisionLagMS int64 `json:"behind_ms"`
	// Commits is how many writes of records were answered, CommitMS their mean time.
	Commits  int   `json:"commits"`
	CommitMS int64 `json:"commit_ms"`
	// Looks is how many reads confirmed the ownership; none while the store answers as
	// usual.
	ConfirmingReads int `json:"looks"`
	// ConfirmedMS is the longest that the ownership went without being confirmed.
	UnconfirmedMS int64 `json:"confirmed_ms"`
	// StoreMS is how long an answer of the store takes at the end of the interval.
	StoreLatencyMS int64 `json:"store_ms"`
	// ProcessorShare is the part of a processor that the process used; 0 if not
	// known.
	ProcessorShare float64 `json:"processor_share"`
	// ProcessorLimit is the part that it may use; 0 if not known.
	ProcessorLimit float64 `json:"processor_limit"`
}

// pulse gathers a Pulse.
type pulse struct {
	since     time.Time
	processor time.Duration
	passes    int
	messages  int
	commits   int
	deciding  time.Duration
	longest   time.Duration
	listening time.Duration
	behind    time.Duration
	commit    time.Duration
	looks     int
	confirmed time.Duration
	// askedAt is when the oldest message came that waits for a decision.
	askedAt time.Time
}

const pulseInterval = time.Second

// asked notes that a message waits for a decision.
func (u *pulse) asked(now time.Time) {
	if u.askedAt.IsZero() {
		u.askedAt = now
	}
}

// decided notes a decision.
func (u *pulse) decided(began, ended time.Time) {
	u.passes++
	u.deciding += ended.Sub(began)
	u.longest = max(u.longest, ended.Sub(began))
	if !u.askedAt.IsZero() {
		u.behind = max(u.behind, ended.Sub(u.askedAt))
		u.askedAt = time.Time{}
	}
}

// heard notes that a message was taken over.
func (u *pulse) heard(began, ended time.Time) {
	u.messages++
	u.listening += ended.Sub(began)
}

// committed notes an answered write.
func (u *pulse) committed(took time.Duration) {
	u.commits++
	u.commit += took
}

// looked notes that a read has confirmed the ownership.
func (u *pulse) looked() { u.looks++ }

// unconfirmed notes for how long the ownership has not been confirmed.
func (u *pulse) unconfirmed(age time.Duration) { u.confirmed = max(u.confirmed, age) }

// take returns what was gathered since the last call, if the interval has passed.
func (u *pulse) take(now time.Time, processor func() time.Duration, limit float64) (Stats, bool) {
	span := now.Sub(u.since)
	if span < pulseInterval {
		return Stats{}, false
	}
	used := time.Duration(0)
	if processor != nil {
		used = processor()
	}
	out := Stats{Passes: u.passes, DecidingMS: u.deciding.Milliseconds(), LongestPassMS: u.longest.Milliseconds(), Messages: u.messages,
		MessageMS: u.listening.Milliseconds(), DecisionLagMS: u.behind.Milliseconds(), Commits: u.commits,
		CommitMS: u.commit.Milliseconds() / int64(max(1, u.commits)), ConfirmingReads: u.looks, UnconfirmedMS: u.confirmed.Milliseconds(), ProcessorLimit: limit}
	first := u.since.IsZero()
	if !first {
		out.ProcessorShare = (used - u.processor).Seconds() / span.Seconds()
	}
	*u = pulse{since: now, processor: used, askedAt: u.askedAt}
	return out, !first
}

// logPulse logs how far this owner keeps up; mu is held.
func (c *Controller) logPulse(now time.Time) {
	c.pulse.unconfirmed(now.Sub(c.confirmedAt))
	p, due := c.pulse.take(now, c.config.ProcessorTime, c.config.ProcessorLimit)
	if !due {
		return
	}
	p.StoreLatencyMS = c.config.Timed.Speed.Answer().Milliseconds()
	c.latest = p
	c.config.Events.EmitFields(now, kqevent.OwnerPulse, kqevent.Process(c.config.Name), []kqevent.Field{kqevent.Value("pulse", p)},
		"%d passes, the longest %d ms; %d messages, the latest decision %d ms behind", p.Passes, p.LongestPassMS, p.Messages, p.DecisionLagMS)
}

// Pulse returns how far this owner has kept up in the latest interval.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}
