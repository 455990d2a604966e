package kqcontrol_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	lostHost  = "lost"
	lostJob   = "00000000000000aa"
	testLease = 7 * time.Second
)

// lostHostCell is a cell whose only task is recorded as running on a host that no agent connects for.
type lostHostCell struct {
	g    Gomega
	rows *kqrowstore.Store
	// store is what the next owners use.
	store kqrows.Store
	// wallShift is added to the time of day of the next owners.
	wallShift time.Duration
	owner     kqcontrol.OwnerRow
	version   uint64
}

// newLostHostCell stores the task in a cell that was last owned by epoch 1.
func newLostHostCell(g Gomega) *lostHostCell {
	x := &lostHostCell{g: g, rows: kqrowstore.New(1), owner: kqcontrol.OwnerRow{Name: "earlier", Epoch: 1, LeasesRecorded: true}}
	x.store = x.rows.Client("owner")
	job := kqflow.Job{ID: lostJob, Queue: "q", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}}
	record := kqflow.JobRecord{State: kqflow.StateRunning, Occurrences: 1, Tasks: []kqflow.TaskRecord{{LastRun: 1, Runs: []kqflow.RunRecord{{Number: 1, Host: lostHost, Worker: "w"}}}}}
	progress, _ := kqcontrol.EncodeRecord(record)
	o := x.write(
		kqrows.Put{Key: kqcontrol.OwnerKey(leasesCell), Value: kqtable.Encode(x.owner)},
		kqrows.Put{Key: kqcontrol.SubmissionKey(lostJob), Value: kqtable.Encode(kqflow.Submission{Job: job})},
		kqrows.Put{Key: kqcontrol.ProgressKey(lostJob), Value: progress})
	x.version = o.Version
	return x
}

func (x *lostHostCell) write(puts ...kqrows.Put) kqrows.Outcome {
	o, err := x.rows.Client("").Transact(context.Background(), kqrows.Tx{Puts: puts})
	x.g.Expect(err).NotTo(HaveOccurred())
	return o
}

// acquire starts a new owner in a process that has read no earlier epoch.
func (x *lostHostCell) acquire() *kqcontrol.Controller {
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: x.store, Lease: testLease, CrossRackSlowdown: 1,
		Retention: time.Minute, Policy: func() *kqflow.Policy {
			return &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{"q": {Name: "q", Service: "s"}}}
		}, Now: time.Now, WallClock: func() time.Time { return time.Now().Add(x.wallShift) },
		Counter: &kqinvariant.Counter{}}, x.owner, x.version, kqelect.EpochHistory{})
	x.g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	return c
}

// awaitGivenUp waits until the stored record has no run, and returns when that was seen.
func (x *lostHostCell) awaitGivenUp() time.Time {
	for range 2000 {
		rows, _, err := x.rows.Client("").Read(context.Background(), kqcontrol.ProgressTable, "", "")
		x.g.Expect(err).NotTo(HaveOccurred())
		record, err := kqcontrol.DecodeRecord(rows[0])
		x.g.Expect(err).NotTo(HaveOccurred())
		if len(record.Tasks[0].Runs) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Now()
}

// The first attempt of the write that acquires the cell is lost, and the earlier owner is confirmed until
// the second one takes effect. Guards against a new owner that counts the earlier one's leases from when
// it sent the first attempt, and gives a run up before its lease has ended.
func TestATakeoverThatIsAppliedLateWaitsTooShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLostHostCell(NewWithT(t))
		transact := x.store.Transact
		var appliedAt time.Time
		attempts := 0
		x.store.Transact = func(ctx context.Context, tx kqrows.Tx) (kqrows.Outcome, error) {
			if attempts++; attempts == 1 {
				<-ctx.Done()
				return kqrows.Outcome{}, kqrows.ErrUnknown
			}
			if attempts == 2 {
				appliedAt = time.Now()
			}
			return transact(ctx, tx)
		}
		c := x.acquire()
		defer c.Abandon()
		x.g.Expect(x.awaitGivenUp().Sub(appliedAt)).To(BeNumerically(">=", testLease))
	})
}

// A new owner gives the run of the lost host up by what earlier owners stored. Guards against a wait that
// counts from the takeover although the last grant is known, and against one that a clock which jumps or
// starts anew, or a row of an earlier version, makes shorter than the lease.
func TestANewOwnerWaitsForALostHostByStoredTimes(t *testing.T) {
	const since = 5 * time.Second // since the last grant
	full, rest := testLease, testLease-since
	for _, c := range []struct {
		name                   string
		lastGrant, began       bool // what the stored row tells
		storeClock, wallClock  time.Duration
		noClock, grantedByLast bool
		malformed              bool
		min                    time.Duration
	}{
		{name: "last grant", lastGrant: true, min: rest},
		{name: "epoch began", began: true, min: rest},
		{name: "granted by the last epoch", began: true, grantedByLast: true, min: full},
		{name: "row of an earlier version", min: full},
		{name: "store's clock jumps ahead", lastGrant: true, storeClock: time.Hour, min: rest},
		{name: "store's clock jumps ahead after an epoch began", began: true, storeClock: 4 * time.Second, min: rest},
		{name: "store's clock starts anew", lastGrant: true, storeClock: -30 * time.Second, min: full},
		{name: "time of day stepped forward", lastGrant: true, wallClock: time.Hour, min: rest},
		{name: "time of day stepped back", lastGrant: true, wallClock: -time.Hour, min: full},
		{name: "time of day a little behind", lastGrant: true, wallClock: -2 * time.Second, min: rest + 2*time.Second},
		{name: "malformed", lastGrant: true, began: true, malformed: true, min: full},
		{name: "store without a clock", lastGrant: true, noClock: true, min: full},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLostHostCell(NewWithT(t))
				row := kqcontrol.LeasesRow{Hosts: map[string]uint64{lostHost: 1}}
				stored := kqcontrol.StoredTime{ClockMS: x.write().Clock.Milliseconds(), WallMS: time.Now().UnixMilli()}
				if c.malformed {
					stored = kqcontrol.StoredTime{ClockMS: 1 << 62}
				}
				if c.lastGrant {
					row.LastGrants = map[string]kqcontrol.StoredTime{lostHost: stored}
				}
				if c.began {
					row.Begins, x.owner.Epoch = map[uint64]kqcontrol.StoredTime{2: stored}, 2
				}
				if c.grantedByLast {
					row.Hosts[lostHost] = 2
				}
				x.write(kqrows.Put{Key: kqcontrol.LeasesKey(leasesCell), Value: kqtable.Encode(row)})
				time.Sleep(since)
				x.rows.ShiftClock(c.storeClock)
				x.wallShift = c.wallClock
				if transact := x.store.Transact; c.noClock {
					x.store.Transact = func(ctx context.Context, tx kqrows.Tx) (kqrows.Outcome, error) {
						o, err := transact(ctx, tx)
						o.Clock = 0
						return o, err
					}
				}
				owner := x.acquire()
				defer owner.Abandon()
				acquiredAt := time.Now()
				// The worker's clock may be slow: 3 % and 0.25 s are added.
				x.g.Expect(x.awaitGivenUp().Sub(acquiredAt)).To(And(BeNumerically(">=", c.min), BeNumerically("<", c.min+700*time.Millisecond)))
			})
		})
	}
}

// A worker says that it leaves, and its agent goes before it has verified that. Guards against an owner that takes
// the message for the end: a worker whose message was not acknowledged is still at work.
func TestAClaimedDepartureEndsARun(t *testing.T) {
	for name, connected := range map[string]time.Duration{"the agent never connects": 0, "it disconnects": 6 * time.Second, "it disconnects late": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLostHostCell(NewWithT(t))
				x.write(kqrows.Put{Key: kqcontrol.DepartureClaimKey("w"), Value: []byte(`{"host":"` + lostHost + `"}`)})
				owner := x.acquire()
				defer owner.Abandon()
				if connected > 0 {
					agent := joinAgent(x.g, owner, lostHost)
					for n := range connected / time.Second {
						b, err := json.Marshal(kqmessage.ToOwner{LeaseRequest: uint64(n) + 2})
						x.g.Expect(err).NotTo(HaveOccurred())
						agent.Receive(b)
						time.Sleep(time.Second)
					}
					owner.Detach(agent)
				}
				since := time.Now()
				// The last lease was granted up to a second before.
				x.g.Expect(x.awaitGivenUp().Sub(since)).To(And(BeNumerically(">=", testLease-time.Second), BeNumerically("<", 2*testLease)))
			})
		})
	}
}
