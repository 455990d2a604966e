package kqloss

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// QueueLoss reports the jobs of one queue. Values are relative: a job of the queue's mean size
// counts as 1.
type QueueLoss struct {
	// Queue is the name of the queue.
	Queue string `json:"queue"`
	// Jobs is the number of accepted jobs with an objective, without those that were cancelled. It
	// is the sum of the jobs that completed InTime or Late, that Failed, and that are still Open.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	Open   int `json:"open"`
	// Value is the value of the jobs, LostValue the part of it that was not earned.
	Value     float64 `json:"owed"`
	LostValue float64 `json:"lost"`
	// LostByCause splits LostValue by cause. SecondsByCause is the mean time per cause of the jobs
	// that were not in time and did not fail. Both are keyed by the name of the cause.
	LostByCause    map[string]float64 `json:"by"`
	SecondsByCause map[string]float64 `json:"seconds"`
}

// SizeLoss reports the jobs of a queue in one size band.
type SizeLoss struct {
	// Queue is the name of the queue, Band the name of the size band.
	Queue string `json:"queue"`
	Band  string `json:"size"`
	// Jobs is the number of jobs, InTime the number that completed in time, and Served the number
	// that completed while they had value.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Served int `json:"served"`
	// ServedShare is Served divided by Jobs; RelativeShare is ServedShare divided by the share of
	// the whole queue.
	ServedShare   float64 `json:"share"`
	RelativeShare float64 `json:"against"`
}

// Report is the result of an analysis.
type Report struct {
	// Queues reports each queue, in descending order of the lost value.
	Queues []QueueLoss `json:"queues"`
	// Sizes reports each size band of each queue, in the order of Queues.
	Sizes []SizeLoss `json:"sizes"`
	// Groups reports each queue by availability zone and by demand, in the order of Queues.
	Groups []GroupLoss `json:"groups"`
	// Pacing sums up the interference between colocated serving and filling tasks.
	Pacing kqpace.Stats `json:"pace"`
	// UnreadableLines is the number of lines that could not be parsed.
	UnreadableLines int `json:"unread,omitempty"`
}

// Report returns the result for all lines read so far.
func (a *Analyzer) Report() Report {
	byQueue := map[string]map[string]*job{}
	for id, j := range a.jobs {
		if j.longRunning() || j.endEvent == kqevent.FlowCancelled {
			continue
		}
		if byQueue[j.queue] == nil {
			byQueue[j.queue] = map[string]*job{}
		}
		byQueue[j.queue][id] = j
	}
	out := Report{Pacing: a.pacing, UnreadableLines: a.unreadableLines}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		out.Queues = append(out.Queues, a.queueLoss(queue, slices.Collect(maps.Values(byQueue[queue]))))
	}
	slices.SortStableFunc(out.Queues, func(x, y QueueLoss) int { return cmp.Compare(y.LostValue, x.LostValue) })
	for _, r := range out.Queues {
		out.Sizes = append(out.Sizes, a.sizeLosses(r.Queue, slices.Collect(maps.Values(byQueue[r.Queue])))...)
		out.Groups = append(out.Groups, a.groupLosses(r.Queue, byQueue[r.Queue])...)
	}
	return out
}

// sizeLosses groups the jobs of a queue into size bands by their work. Jobs that were never
// accepted count as not served.
func (a *Analyzer) sizeLosses(queue string, jobs []*job) []SizeLoss {
	var work, earned []float64
	for _, j := range jobs {
		work, earned = append(work, j.work()), append(earned, j.earnedShare())
	}
	for id, t := range a.notAccepted {
		if t.queue == queue && a.jobs[id] == nil {
			work, earned = append(work, t.work), append(earned, 0)
		}
	}
	bounds := kqsize.BoundsOf(work)
	out := make([]SizeLoss, kqsize.BandCount)
	served := 0
	for i, w := range work {
		s := &out[bounds.Band(w)]
		s.Jobs++
		if earned[i] == 1 {
			s.InTime++
		}
		if earned[i] > 0 {
			s.Served++
			served++
		}
	}
	for b := range out {
		s := &out[b]
		s.Queue, s.Band = queue, kqsize.Band(b).String()
		s.ServedShare = float64(s.Served) / float64(max(1, s.Jobs))
		s.RelativeShare = s.ServedShare * float64(len(work)) / float64(max(1, served))
	}
	return out
}

// queueLoss sums up the jobs of one queue.
func (a *Analyzer) queueLoss(queue string, jobs []*job) QueueLoss {
	mean := 0.0
	for _, j := range jobs {
		mean += j.work() / float64(len(jobs))
	}
	out := QueueLoss{Queue: queue, Jobs: len(jobs), LostByCause: map[string]float64{}, SecondsByCause: map[string]float64{}}
	notInTime := 0
	for _, j := range jobs {
		earned := j.earnedShare()
		weight := kqplan.JobValue(j.work(), mean)
		out.countJob(j, earned)
		out.Value += weight
		out.LostValue += weight * (1 - earned)
		if earned < 1 && j.endEvent != kqevent.FlowFailed {
			notInTime++
			out.addCauses(a.criticalPathTime(j), weight*(1-earned))
		}
	}
	for cause := range out.SecondsByCause {
		out.SecondsByCause[cause] /= float64(notInTime)
	}
	return out
}

// countJob counts a job by its outcome; earned is its earned share.
func (q *QueueLoss) countJob(j *job, earned float64) {
	switch {
	case earned == 1:
		q.InTime++
	case j.endEvent == kqevent.FlowCompleted:
		q.Late++
	case j.endEvent == kqevent.FlowFailed:
		q.Failed++
	default:
		q.Open++
	}
}

// addCauses splits the lost value of a job in proportion to the time that each cause took.
func (q *QueueLoss) addCauses(spent timeByCause, lostValue float64) {
	total := time.Duration(0)
	for _, d := range spent {
		total += d
	}
	for c, d := range spent {
		if d > 0 {
			q.LostByCause[Cause(c).String()] += lostValue * float64(d) / float64(total)
			q.SecondsByCause[Cause(c).String()] += d.Seconds()
		}
	}
}

// stepOf returns the step index in a task id, or -1 if the id is malformed.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != taskIDParts {
		return -1
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return n
}

// taskIDParts is the number of parts of a task id: job, occurrence, step and index.
const taskIDParts = 4
