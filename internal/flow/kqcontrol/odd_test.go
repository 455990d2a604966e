package kqcontrol_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// cancelledJob returns a stored submission that its owner ends with one write of its progress.
func cancelledJob(id string) kqflow.Submission {
	return kqflow.Submission{Cancelled: true, Job: kqflow.Job{ID: id, Queue: "q", SubmittedAt: time.Now(),
		Steps: []kqflow.Step{{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 1000}, Estimate: time.Second}}}}
}

// acquire returns the running owner of a cell that nobody owned before.
func acquire(g *WithT, store kqrows.Store, events *kqevent.Log) *kqcontrol.Controller {
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: store, Lease: 7 * time.Second, CrossRackSlowdown: 1, Retention: time.Minute,
		Policy: func() *kqflow.Policy {
			return &kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{"q": {Name: "q", Service: "s", MaxAttempts: 2}}}
		},
		Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{}, Events: events}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	return c
}

// Another writer leaves a row in a table of the owner before it acquires the cell, and the same row
// again while it owns it. Guards against owners that lose the cell one after another, and against an
// owner that takes no more jobs.
func TestOneOddRowOfAJobCostsTheOwnerItsCell(t *testing.T) {
	const oddID, loaded, fed = "0000000000000001", "0000000000000005", "0000000000000009"
	deeplyNested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	submission, progress := kqcontrol.SubmissionKey(oddID), kqcontrol.ProgressKey(oddID)
	other := string(kqtable.Encode(cancelledJob(loaded)))
	valid := string(kqtable.Encode(cancelledJob(oddID)))
	for name, odd := range map[string]kqrows.Put{
		"submission deeply nested":      {Key: submission, Value: []byte(deeplyNested)},
		"submission of another job":     {Key: submission, Value: []byte(other)},
		"submission number too large":   {Key: submission, Value: []byte(strings.Replace(valid, `"count":1`, `"count":1e300`, 1))},
		"submission count out of range": {Key: submission, Value: []byte(strings.Replace(valid, `"count":1`, `"count":9223372036854775807`, 1))},
		"submission empty":              {Key: submission},
		"submission of a long name":     {Key: kqcontrol.SubmissionKey(strings.Repeat("x", 200)), Value: []byte(other)},
		"progress deeply nested":        {Key: progress, Value: []byte(deeplyNested)},
		"progress compressed":           {Key: progress, Value: []byte{1, 2, 3}},
		"progress number too large":     {Key: progress, Value: []byte(`{"state":"running","revision":1e300}`)},
		"progress count out of range":   {Key: progress, Value: []byte(`{"state":"running","occurrences":9223372036854775807}`)},
		"learned deeply nested":         {Key: kqcontrol.LearnedKey(leasesCell), Value: []byte(deeplyNested)},
		"departure deeply nested":       {Key: kqcontrol.DepartureKey("w@5"), Value: []byte(deeplyNested)},
		"departure without a name":      {Key: kqcontrol.DepartureKey(""), Value: []byte(`{"host":"h"}`)},
		"claim deeply nested":           {Key: kqcontrol.DepartureClaimKey("w@5"), Value: []byte(deeplyNested)},
		"claim without a name":          {Key: kqcontrol.DepartureClaimKey(""), Value: []byte(`{"host":7}`)},
		"leases in a far future":        {Key: kqcontrol.LeasesKey(leasesCell), Value: []byte(`{"hosts":{"a":18446744073709551615},"begins":{"1":{"clock":9223372036854775807,"wall":9223372036854775807}},"last_grants":{"a":{"clock":-9223372036854775808,"wall":-9223372036854775808}}}`)},
		"leases out of range":           {Key: kqcontrol.LeasesKey(leasesCell), Value: []byte(`{"hosts":{"a":-1},"floor":1e300}`)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := kqrowstore.New(1).Client("owner")
				put := func(puts ...kqrows.Put) {
					_, err := store.Transact(context.Background(), kqrows.Tx{Puts: puts})
					g.Expect(err).NotTo(HaveOccurred())
				}
				progress, _ := kqcontrol.EncodeRecord(kqflow.JobRecord{State: kqflow.StateQueued, Epoch: 1, Revision: 1})
				put(odd, kqrows.Put{Key: kqcontrol.SubmissionKey(loaded), Value: kqtable.Encode(cancelledJob(loaded))},
					kqrows.Put{Key: kqcontrol.ProgressKey(loaded), Value: progress})
				c := acquire(g, store, kqevent.New(kqevent.Config{}))
				time.Sleep(time.Second)
				if odd.Key.Table != kqcontrol.LeaseTable {
					put(odd)
				}
				put(kqrows.Put{Key: kqcontrol.SubmissionKey(fed), Value: kqtable.Encode(cancelledJob(fed))})
				time.Sleep(3 * time.Second)
				states := map[string]kqflow.State{}
				rows, _, err := store.Read(context.Background(), kqcontrol.ProgressTable, "", "")
				g.Expect(err).NotTo(HaveOccurred())
				for _, r := range rows {
					if record, err := kqcontrol.DecodeRecord(r); err == nil {
						states[r.Name] = record.State
					}
				}
				isOwner := true
				select {
				case <-c.Done():
					isOwner = false
				default:
				}
				c.Abandon()
				g.Expect(isOwner).To(BeTrue())
				g.Expect(states).To(HaveKeyWithValue(loaded, kqflow.StateCancelled))
				g.Expect(states).To(HaveKeyWithValue(fed, kqflow.StateCancelled))
			})
		})
	}
}

// Another writer leaves a row under the name of a worker that has not left, or the content of a departure
// is lost. Guards against work that is started again elsewhere while that worker runs it.
func TestAnOddDepartureEndsALiveWorker(t *testing.T) {
	deeplyNested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, value := range map[string]string{"deeply nested": deeplyNested, "number too large": `{"host":1e300}`, "without a host": `{}`, "no content": ``} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := kqrowstore.New(1).Client("owner")
				departed := kqrows.Put{Key: kqcontrol.DepartureKey("left@5"), Value: []byte(`{"host":"h"}`)}
				_, err := store.Transact(context.Background(), kqrows.Tx{Puts: []kqrows.Put{departed, {Key: kqcontrol.DepartureKey("live@5"), Value: []byte(value)}}})
				g.Expect(err).NotTo(HaveOccurred())
				events := kqevent.New(kqevent.Config{})
				c := acquire(g, store, events)
				time.Sleep(time.Second)
				c.Abandon()
				g.Expect(events.BySubject(kqevent.Worker("left@5"))).To(ConsistOf(HaveField("Number", kqevent.WorkerDeparted)))
				g.Expect(events.BySubject(kqevent.Worker("live@5"))).To(ConsistOf(HaveField("Number", kqevent.RowUnreadable)))
			})
		})
	}
}
