package kqexecutor

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

const (
	// maxClockLead and its growth by one clockLeadShare of the time since the last reading limit how
	// far a worker's clock may be ahead of that reading. A lease that ends on a clock that is far
	// ahead would be renewed without grants of the owner.
	maxClockLead   = time.Minute
	clockLeadShare = 10
)

// readClock applies a reading of the worker's clock unless it is out of range; mu is held. Readings
// may arrive out of order.
func (x *Executor) readClock(now time.Time, c kqexecution.Clock) {
	if c <= x.workerClock {
		return
	}
	elapsed := now.Sub(x.clockReadAt)
	if c > kqexecution.MaxClock || x.workerClock > 0 && c-x.workerClock > kqexecution.Clock(elapsed+elapsed/clockLeadShare+maxClockLead) {
		x.logOmission(now, "the reading "+time.Duration(c).String()+" of its clock is out of range; the last one is "+time.Duration(x.workerClock).String())
		return
	}
	x.workerClock, x.clockReadAt = c, now
}

// checkList returns an answer to a poll with its numbers in range, and logs what was left out; mu is
// held.
func (x *Executor) checkList(now time.Time, h kqexecution.Held) kqexecution.Held {
	for _, o := range h.Omissions {
		x.logOmission(now, o.String())
	}
	for i := range h.Running {
		r := &h.Running[i]
		if bounded := r.Bounded(); bounded != *r {
			x.logOmission(now, "the progress, the measurement or the size of the checkpoint of "+r.Task+" is out of range")
			*r = bounded
		}
	}
	for i := range h.Ended {
		if e := &h.Ended[i]; e.Number > kqexecution.MaxEndNumber {
			x.logOmission(now, "the number of the end of "+e.Run.Task+" is out of range")
			e.Number = 0
		}
		if e := &h.Ended[i]; kqexecution.BoundedCheckpoint(e.Checkpoint) != e.Checkpoint {
			x.logOmission(now, "the size of the checkpoint of "+e.Run.Task+" is out of range")
			e.Checkpoint = ""
		}
	}
	return h
}

// maxLoggedOmissions limits the omissions that are remembered because they were logged.
const maxLoggedOmissions = 64

// logOmission logs that a part of the worker's answers was left out, once as long as it is
// remembered: the worker repeats its lists. mu is held.
func (x *Executor) logOmission(now time.Time, text string) {
	if !x.loggedOmissions[text] {
		if len(x.loggedOmissions) >= maxLoggedOmissions || x.loggedOmissions == nil {
			x.loggedOmissions = map[string]bool{}
		}
		x.loggedOmissions[text] = true
		x.config.Events.Emit(now, kqevent.EntryOmitted, kqevent.Worker(string(x.info.Worker)), "%s", text)
	}
}

// takeVanished removes and returns the runs that were on the worker before the poll and that it lists
// no more, if an entry of its list of ends does not tell its run; mu is held. The end of such a run is
// not known.
func (x *Executor) takeVanished(h kqexecution.Held) []kqexecution.RunEnd {
	if !h.LacksEnds || h.LacksRuns {
		return nil
	}
	var out []kqexecution.RunEnd
	for k, e := range x.runs {
		if !x.listed[k] && !e.startedAt.IsZero() && e.startedAt.Before(x.pollBeganAt) {
			delete(x.runs, k)
			out = append(out, kqexecution.RunEnd{Run: k, Reason: kqexecution.EndBroken})
		}
	}
	return out
}
