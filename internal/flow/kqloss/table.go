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

// Row is what became of the jobs of one queue. Worth is counted in jobs of the
// queue's mean size.
type QueueLoss struct {
	// Queue names the class of work.
	Queue string `json:"queue"`
	// Jobs is how many were taken that have an objective, InTime and Late how many
	// of them completed, Failed and Open the others but for those that were
	// cancelled.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	Open   int `json:"open"`
	// Owed is what the jobs were worth, Lost what of it was not earned.
	Value     float64 `json:"owed"`
	LostValue float64 `json:"lost"`
	// By is the part of Lost by cause, and Seconds the mean time for each job that
	// was not in time.
	LostByCause    map[string]float64 `json:"by"`
	SecondsByCause map[string]float64 `json:"seconds"`
}

// Size is how well the jobs of a queue that are of about one size were served.
type SizeLoss struct {
	// Queue and Size name the queue and the size.
	Queue string `json:"queue"`
	Band  string `json:"size"`
	// Jobs is how many there were, InTime how many of them ended in time and Served
	// how many while they were worth something.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Served int `json:"served"`
	// Share is the part that was served, Against that part over the part of the
	// whole queue.
	ServedShare   float64 `json:"share"`
	RelativeShare float64 `json:"against"`
}

// Report is what an Account has found.
type Report struct {
	// Rows is the queues in order of what was lost.
	Queues []QueueLoss `json:"queues"`
	// Sizes is how well each size of job was served, in the order of Rows.
	Sizes []SizeLoss `json:"sizes"`
	// Groups is how well jobs were served by the availability zone of their callers
	// and by demand, in the order of Rows.
	Groups []GroupLoss `json:"groups"`
	// Pace is what became of serving and filling tasks beside each other.
	Pacing kqpace.Stats `json:"pace"`
	// Unread is how many lines could not be read.
	UnreadableLines int `json:"unread,omitempty"`
}

// Report adds up what was found.
func (a *Analyzer) Report() Report {
	byQueue := map[string]map[string]*job{}
	for id, j := range a.jobs {
		if j.standing() || j.event == kqevent.FlowCancelled {
			continue
		}
		if byQueue[j.queue] == nil {
			byQueue[j.queue] = map[string]*job{}
		}
		byQueue[j.queue][id] = j
	}
	out := Report{Pacing: a.pace, UnreadableLines: a.unread}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		out.Queues = append(out.Queues, a.row(queue, slices.Collect(maps.Values(byQueue[queue]))))
	}
	slices.SortStableFunc(out.Queues, func(x, y QueueLoss) int { return cmp.Compare(y.LostValue, x.LostValue) })
	for _, r := range out.Queues {
		out.Sizes = append(out.Sizes, a.sizes(r.Queue, slices.Collect(maps.Values(byQueue[r.Queue])))...)
		out.Groups = append(out.Groups, a.groups(r.Queue, byQueue[r.Queue])...)
	}
	return out
}

// sizes splits the jobs of a queue by their work; those that were turned away
// and never taken count as not served.
func (a *Analyzer) sizes(queue string, jobs []*job) []SizeLoss {
	var work, value []float64
	for _, j := range jobs {
		work, value = append(work, j.work()), append(value, j.value())
	}
	for id, t := range a.away {
		if t.queue == queue && a.jobs[id] == nil {
			work, value = append(work, t.work), append(value, 0)
		}
	}
	bounds := kqsize.BoundsOf(work)
	out := make([]SizeLoss, kqsize.BandCount)
	served := 0
	for i, w := range work {
		s := &out[bounds.Band(w)]
		s.Jobs++
		if value[i] == 1 {
			s.InTime++
		}
		if value[i] > 0 {
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

func (a *Analyzer) row(queue string, jobs []*job) QueueLoss {
	mean := 0.0
	for _, j := range jobs {
		mean += j.work() / float64(len(jobs))
	}
	out := QueueLoss{Queue: queue, Jobs: len(jobs), LostByCause: map[string]float64{}, SecondsByCause: map[string]float64{}}
	missed := 0
	for _, j := range jobs {
		value := j.value()
		weight := kqplan.JobValue(j.work(), mean)
		out.count(j, value)
		out.Value += weight
		out.LostValue += weight * (1 - value)
		if value < 1 && j.event != kqevent.FlowFailed {
			missed++
			out.attribute(a.chain(j), weight*(1-value))
		}
	}
	for cause := range out.SecondsByCause {
		out.SecondsByCause[cause] /= float64(missed)
	}
	return out
}

func (r *QueueLoss) count(j *job, value float64) {
	switch {
	case value == 1:
		r.InTime++
	case j.event == kqevent.FlowCompleted:
		r.Late++
	case j.event == kqevent.FlowFailed:
		r.Failed++
	default:
		r.Open++
	}
}

// attribute splits a loss by the time that each cause took.
func (r *QueueLoss) attribute(s spent, lost float64) {
	all := time.Duration(0)
	for _, d := range s {
		all += d
	}
	for c, d := range s {
		if d > 0 {
			r.LostByCause[Cause(c).String()] += lost * float64(d) / float64(all)
			r.SecondsByCause[Cause(c).String()] += d.Seconds()
		}
	}
}

// stepOf returns the step in the name of a task.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != taskParts {
		return -1
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return n
}

// taskParts is how many parts a task's name has: job, occurrence, step, index.
const taskParts = 4
