package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Stats holds statistics of an owner over one interval, which show whether it keeps up with
// its load. They are logged and exported as metrics.
type Stats struct {
	// Passes is the number of passes of the scheduling loop, DecidingMS their total and
	// LongestPassMS their maximum duration.
	Passes        int   `json:"passes"`
	DecidingMS    int64 `json:"deciding_ms"`
	LongestPassMS int64 `json:"longest_ms"`
	// Messages is the number of messages from agents and entries, MessageMS the total time
	// spent handling them.
	Messages  int   `json:"messages"`
	MessageMS int64 `json:"listening_ms"`
	// DecisionLagMS is the longest time from a message that needs a decision to the end of
	// the next pass of the scheduling loop.
	DecisionLagMS int64 `json:"behind_ms"`
	// Commits is the number of answered writes of job records, CommitMS their mean duration.
	Commits  int   `json:"commits"`
	CommitMS int64 `json:"commit_ms"`
	// ConfirmingReads is the number of reads that confirmed the ownership; 0 while the
	// store answers as usual.
	ConfirmingReads int `json:"looks"`
	// UnconfirmedMS is the longest time for which the ownership was not confirmed.
	UnconfirmedMS int64 `json:"confirmed_ms"`
	// StoreLatencyMS is the response time of the store at the end of the interval.
	StoreLatencyMS int64 `json:"store_ms"`
	// ProcessorShare is the mean number of processors that the process used; 0 if not
	// known.
	ProcessorShare float64 `json:"processor_share"`
	// ProcessorLimit is the number of processors that it may use; 0 if not known.
	ProcessorLimit float64 `json:"processor_limit"`
}

// statsCollector accumulates the Stats of the current interval.
type statsCollector struct {
	since           time.Time
	processorTime   time.Duration
	passes          int
	messages        int
	commits         int
	passTime        time.Duration
	longestPass     time.Duration
	messageTime     time.Duration
	decisionLag     time.Duration
	commitTime      time.Duration
	confirmingReads int
	unconfirmed     time.Duration
	// oldestRequestAt is when the oldest message that waits for a decision arrived; zero if
	// none waits.
	oldestRequestAt time.Time
}

// statsInterval is the interval over which statistics are collected.
const statsInterval = time.Second

// decisionRequested records that a message waits for a decision.
func (s *statsCollector) decisionRequested(now time.Time) {
	if s.oldestRequestAt.IsZero() {
		s.oldestRequestAt = now
	}
}

// passDone records a pass of the scheduling loop.
func (s *statsCollector) passDone(began, ended time.Time) {
	s.passes++
	s.passTime += ended.Sub(began)
	s.longestPass = max(s.longestPass, ended.Sub(began))
	if !s.oldestRequestAt.IsZero() {
		s.decisionLag = max(s.decisionLag, ended.Sub(s.oldestRequestAt))
		s.oldestRequestAt = time.Time{}
	}
}

// messageHandled records the handling of a message.
func (s *statsCollector) messageHandled(began, ended time.Time) {
	s.messages++
	s.messageTime += ended.Sub(began)
}

// commitAnswered records an answered write of job records.
func (s *statsCollector) commitAnswered(took time.Duration) {
	s.commits++
	s.commitTime += took
}

// readConfirmed records a read that confirmed the ownership.
func (s *statsCollector) readConfirmed() { s.confirmingReads++ }

// addUnconfirmed records for how long the ownership has not been confirmed.
func (s *statsCollector) addUnconfirmed(age time.Duration) { s.unconfirmed = max(s.unconfirmed, age) }

// snapshot returns the statistics since the last snapshot and starts a new interval. It
// returns false if the interval has not passed yet, and for the first call.
func (s *statsCollector) snapshot(now time.Time, processor func() time.Duration, limit float64) (Stats, bool) {
	span := now.Sub(s.since)
	if span < statsInterval {
		return Stats{}, false
	}
	used := time.Duration(0)
	if processor != nil {
		used = processor()
	}
	out := Stats{Passes: s.passes, DecidingMS: s.passTime.Milliseconds(), LongestPassMS: s.longestPass.Milliseconds(), Messages: s.messages,
		MessageMS: s.messageTime.Milliseconds(), DecisionLagMS: s.decisionLag.Milliseconds(), Commits: s.commits,
		CommitMS: s.commitTime.Milliseconds() / int64(max(1, s.commits)), ConfirmingReads: s.confirmingReads, UnconfirmedMS: s.unconfirmed.Milliseconds(), ProcessorLimit: limit}
	isFirst := s.since.IsZero()
	if !isFirst {
		out.ProcessorShare = (used - s.processorTime).Seconds() / span.Seconds()
	}
	*s = statsCollector{since: now, processorTime: used, oldestRequestAt: s.oldestRequestAt}
	return out, !isFirst
}

// logStats logs the statistics of an interval once it has passed; mu is held.
func (c *Controller) logStats(now time.Time) {
	c.stats.addUnconfirmed(c.confirmation.age(now))
	stats, due := c.stats.snapshot(now, c.config.ProcessorTime, c.config.ProcessorLimit)
	if !due {
		return
	}
	stats.StoreLatencyMS = c.config.TimedStore.Latency.ResponseTime().Milliseconds()
	c.latestStats = stats
	c.config.Events.EmitFields(now, kqevent.OwnerStats, kqevent.Process(c.config.Name), []kqevent.Field{kqevent.Value("pulse", stats)},
		"%d passes of the scheduling loop, at most %d ms each; %d messages, decisions at most %d ms late", stats.Passes, stats.LongestPassMS, stats.Messages, stats.DecisionLagMS)
}

// Stats returns the statistics of the latest complete interval.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestStats
}
