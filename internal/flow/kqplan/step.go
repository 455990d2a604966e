package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// stepGraph holds the relations between the steps of a job. Decisions use it in place of
// kqflow.Step.After, which may name an earlier step many times.
type stepGraph struct {
	// firstTask holds, for each step, the number of tasks of an occurrence that precede its own. The last
	// element is the number of tasks of an occurrence.
	firstTask []int
	// dependencies and dependents hold, for each step, the steps that it depends on and those that depend
	// on it.
	dependencies [][]int
	dependents   [][]int
}

func newStepGraph(steps []kqflow.Step) stepGraph {
	g := stepGraph{firstTask: make([]int, len(steps)+1), dependencies: make([][]int, len(steps)), dependents: make([][]int, len(steps))}
	for n, s := range steps {
		g.firstTask[n+1] = g.firstTask[n] + s.Count
		isKnown := make([]bool, n)
		for _, d := range s.After {
			if !isKnown[d] {
				isKnown[d] = true
				g.dependencies[n] = append(g.dependencies[n], d)
				g.dependents[d] = append(g.dependents[d], n)
			}
		}
	}
	return g
}

// startDelays returns, for each step, the time until the steps that it depends on have ended, given the
// time that each step itself takes from then on.
func (g stepGraph) startDelays(durations []time.Duration) []time.Duration {
	out := make([]time.Duration, len(durations))
	for n, dependencies := range g.dependencies {
		for _, d := range dependencies {
			out[n] = max(out[n], out[d]+durations[d])
		}
	}
	return out
}

// stepProgress is the progress of a step of an occurrence. It is kept up to date, because the decisions
// on each task of a step depend on it.
type stepProgress struct {
	// unfinished is the number of tasks of the step that are not done, blockedBy the number of steps
	// that it depends on and that have such tasks.
	unfinished int
	blockedBy  int
	// activeRuns is the number of runs of the step's tasks that are not being stopped.
	activeRuns int
	// failedRuns holds the numbers of the runs that failed, each once although several tasks may have
	// failed runs with this number: all members of a gang have the same.
	failedRuns []uint64
}

func (s *stepProgress) addFailure(run uint64) {
	if !slices.Contains(s.failedRuns, run) {
		s.failedRuns = append(s.failedRuns, run)
	}
}

// progress returns the progress of a step of an occurrence.
func (j *job) progress(occurrence, step int) *stepProgress {
	return &j.steps[occurrence*len(j.spec.Steps)+step]
}

func (t *task) progress() *stepProgress { return t.job.progress(t.id.Occurrence, t.id.Step) }

// stepTasks returns the tasks of a step of an occurrence. The caller must not change the list. It is
// empty for a job that has ended and has no runs.
func (j *job) stepTasks(occurrence, step int) []*task {
	if len(j.tasks) == 0 {
		return nil
	}
	first := occurrence * j.graph.firstTask[len(j.spec.Steps)]
	return j.tasks[first+j.graph.firstTask[step] : first+j.graph.firstTask[step+1]]
}

// stepTasks returns the tasks of the same step and occurrence as t, t included: the members of its gang
// if the step is a gang.
func (t *task) stepTasks() []*task { return t.job.stepTasks(t.id.Occurrence, t.id.Step) }

// ready reports whether the steps that the task's step depends on are done.
func (t *task) ready() bool { return t.progress().blockedBy == 0 }

// markDone marks a task as done. With the last task of a step, the steps that depend on it have one less
// to wait for.
func (t *task) markDone() {
	if t.done {
		return
	}
	t.done = true
	s := t.progress()
	s.unfinished--
	if s.unfinished > 0 {
		return
	}
	for _, n := range t.job.graph.dependents[t.id.Step] {
		t.job.progress(t.id.Occurrence, n).blockedBy--
	}
}
