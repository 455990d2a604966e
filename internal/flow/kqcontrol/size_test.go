package kqcontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// randomText returns a text that cannot be compressed to less than three quarters.
func randomText(rng *rand.Rand, size int) string {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	b := make([]byte, size)
	for i := range b {
		b[i] = letters[rng.IntN(len(letters))]
	}
	return string(b)
}

// The tasks of the largest job have checkpoints and crashes of any size. Guards against progress that no row can
// hold: its write was refused for ever, and with it those of the other jobs in its batch.
func TestProgressThatNoRowCanHoldIsNeverStored(t *testing.T) {
	for name, x := range map[string]struct {
		checkpointBytes, crashes int
		keepsSome                bool
	}{
		"checkpoints of 100 bytes":     {checkpointBytes: 100, keepsSome: true},
		"the largest checkpoints":      {checkpointBytes: kqexecution.MaxCheckpointBytes, keepsSome: true},
		"crashes under every task":     {crashes: 5},
		"crashes and checkpoints":      {checkpointBytes: 60, crashes: 5, keepsSome: true},
		"checkpoints that are all one": {checkpointBytes: -kqexecution.MaxCheckpointBytes, keepsSome: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(3, 3))
			in := recordWithTasks(kqflow.MaxTasks)
			one := randomText(rng, max(0, -x.checkpointBytes))
			for i := range in.Tasks {
				in.Tasks[i].Checkpoint = one
				if x.checkpointBytes > 0 {
					in.Tasks[i].Checkpoint = randomText(rng, x.checkpointBytes)
				}
				for range x.crashes {
					in.Tasks[i].Crashes = append(in.Tasks[i].Crashes, kqflow.CrashRecord{Worker: kqexecution.Incarnation(randomText(rng, 12)), Host: "10.0.0.1", RunTime: time.Duration(rng.Int64N(int64(time.Second))), Suspected: true})
				}
			}
			value, lacking := kqcontrol.EncodeRecord(in)
			g.Expect(len(value)).To(BeNumerically("<=", kqrows.MaxValueBytes))
			out, err := kqcontrol.DecodeRecord(kqrows.Row{Value: value})
			g.Expect(err).NotTo(HaveOccurred())
			kept := 0
			for i, stored := range out.Tasks {
				if stored.Checkpoint != "" {
					g.Expect(stored.Checkpoint).To(Equal(in.Tasks[i].Checkpoint))
					kept++
				}
				g.Expect(stored.Runs).To(Equal(in.Tasks[i].Runs))
				g.Expect(stored.FailedRuns).To(Equal(in.Tasks[i].FailedRuns))
			}
			if x.checkpointBytes != 0 {
				g.Expect(kept + lacking).To(Equal(kqflow.MaxTasks))
			}
			g.Expect(kept > 0).To(Equal(x.keepsSome))
		})
	}
}

// Many jobs with large records change at once. Guards against a transaction that is larger than the store accepts:
// it was refused again and again, so that no end was acknowledged.
func TestRecordsThatTogetherExceedATransactionAreNeverStored(t *testing.T) {
	const jobs, tasks = 30, 100
	g := NewWithT(t)
	store := kqrowstore.New(1).Client("owner")
	for n := range jobs {
		j := kqflow.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", SubmittedAt: time.Now(), Steps: []kqflow.Step{{Count: tasks, Checkpoints: true, Estimate: time.Minute, Resources: kqmodel.Resources{MilliProcessors: 1}}}}
		g.Expect(kqcontrol.StoreJob(context.Background(), store, j, kqcontrol.RetryAlways)).To(Equal(kqcontrol.OutcomeStored))
	}
	c := acquire(g, store, nil)
	defer c.Abandon()

	var mu sync.Mutex
	var runs []kqexecution.Run
	acknowledged := uint64(0)
	near, far := net.Pipe()
	agent := kqstream.New(far, kqstream.Config{OnMessage: func(_ *kqstream.Stream, b []byte) {
		m, _, _ := kqmessage.DecodeFromOwner(b)
		mu.Lock()
		defer mu.Unlock()
		for _, o := range m.Orders {
			runs = append(runs, o.Run)
		}
		acknowledged = max(acknowledged, m.Acknowledged)
	}, OnClose: func(*kqstream.Stream, error) {}})
	defer agent.Close()
	s := c.Attach(kqstream.New(near, kqstream.Config{OnMessage: func(*kqstream.Stream, []byte) {}, OnClose: func(*kqstream.Stream, error) {}}), kqmessage.Hello{Role: kqmessage.RoleAgent, Name: "h", Boot: "b"})
	report := func(m kqmessage.ToOwner, r kqplan.Report) {
		r.Worker, m.Report = "w", &r
		b, err := json.Marshal(m)
		g.Expect(err).NotTo(HaveOccurred())
		s.Receive(b)
	}
	report(kqmessage.ToOwner{Worker: &kqplan.WorkerInfo{Worker: "w", Service: "s", Capacity: kqmodel.Resources{MilliProcessors: 64_000, MemoryBytes: 1}}, Registered: true, LeaseRequest: 1}, kqplan.Report{Complete: true})
	request := uint64(1)
	started := func() int {
		request++
		report(kqmessage.ToOwner{LeaseRequest: request}, kqplan.Report{})
		mu.Lock()
		defer mu.Unlock()
		return len(runs)
	}
	g.Eventually(started, 10*time.Second, 100*time.Millisecond).Should(Equal(jobs * tasks))
	rng := rand.New(rand.NewPCG(5, 5))
	var all, ends = kqplan.Report{}, kqplan.Report{}
	for _, k := range runs {
		all.Running = append(all.Running, kqexecution.RunStatus{Run: k, Percent: 5, Checkpoint: randomText(rng, 600)})
		if id, _ := kqflow.ParseTaskID(k.Task); id.Index == 0 {
			ends.Ended = append(ends.Ended, kqexecution.RunEnd{Number: uint64(len(ends.Ended) + 1), Run: k, Reason: kqexecution.EndDone})
		}
	}
	report(kqmessage.ToOwner{}, all)
	report(kqmessage.ToOwner{}, ends)
	g.Eventually(func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return acknowledged
	}, 5*time.Second, 20*time.Millisecond).Should(Equal(uint64(jobs)))
}
