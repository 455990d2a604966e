package kqcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// recordWithTasks returns the progress of a job whose tasks all run, have failed once and
// have a checkpoint.
func recordWithTasks(tasks int) kqflow.JobRecord {
	rng := rand.New(rand.NewPCG(1, 1))
	r := kqflow.JobRecord{State: kqflow.StateRunning, Epoch: 4, Revision: 900, Occurrences: 1}
	workers := make([]kqexecution.Incarnation, 77)
	for i := range workers {
		workers[i] = kqexecution.NewIncarnation(fmt.Sprintf("i-%010x", rng.Uint64N(1<<40)), time.Time{})
	}
	for range tasks {
		w := rng.IntN(len(workers))
		r.Tasks = append(r.Tasks, kqflow.TaskRecord{FailedRuns: []uint64{1}, LastRun: 2, Checkpoint: fmt.Sprintf("%016x", rng.Uint64()),
			Runs: []kqflow.RunRecord{{Number: 2, Host: fmt.Sprintf("10.%d.0.%d", w%4, w), Worker: workers[w]}}})
	}
	return r
}

// Guards against a job that is accepted but whose progress is later too large for a row:
// the largest job must fit even if every task has failed, runs and has a checkpoint.
func TestTheProgressOfTheLargestJobFitsARow(t *testing.T) {
	g := NewWithT(t)
	for _, tasks := range []int{1, 50, kqflow.MaxTasks} {
		in := recordWithTasks(tasks)
		b, lacking := kqcontrol.EncodeRecord(in)
		g.Expect(lacking).To(BeZero())
		g.Expect(len(b)).To(BeNumerically("<", kqrows.MaxValueBytes), "%d tasks", tasks)
		out, err := kqcontrol.DecodeRecord(kqrows.Row{Value: b})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out).To(Equal(in))
		t.Logf("%d tasks: %d bytes", tasks, len(b))
	}
}

// Guards against a corrupt or truncated row that is decoded without an error.
func TestProgressThatCannotBeReadIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole, _ := kqcontrol.EncodeRecord(recordWithTasks(kqflow.MaxTasks))
	for _, b := range [][]byte{nil, {1}, {1, 2, 3}, []byte("{"), whole[:len(whole)/2]} {
		_, err := kqcontrol.DecodeRecord(kqrows.Row{Value: b})
		g.Expect(err).To(HaveOccurred())
	}
}
