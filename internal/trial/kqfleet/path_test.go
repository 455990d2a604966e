package kqfleet_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqclaim"
	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqcell"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqservice"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

var ctx = context.Background()

// smallUser returns a user with the given number of workers and service time. A long service
// time lets a test inject a fault while calls run.
func smallUser(workers int, service time.Duration) kqfleet.User {
	u, err := kqfleet.FindUser("kaluvi")
	Expect(err).NotTo(HaveOccurred())
	u.Workers, u.ServiceTime = workers, service
	return u
}

// startFleet starts a fleet, waits until all entries and agents are ready, and checks at the
// end of the test that no invariant was violated.
func startFleet(u kqfleet.User, entries int) *kqfleet.Fleet {
	f, err := kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: entries, Seed: 1, Relays: true})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	Expect(operatorClient(f).Apply(ctx, u.Documents())).To(Succeed())
	Eventually(func() bool {
		for _, e := range f.Entries() {
			if !e.Ready() || e.ReadyEndpoints() < u.Workers || e.ConfigSequence() == 0 {
				return false
			}
		}
		for _, w := range f.Workers {
			row, _ := w.Agent().Owner()
			if row.Epoch == 0 || w.Agent().ConfigSequence() == 0 {
				return false
			}
		}
		return true
	}).Should(BeTrue())
	DeferCleanup(func() { Expect(f.Counter.Breaches()).To(BeEmpty()) })
	return f
}

// operatorClient returns a client of the operators' API at the first entry.
func operatorClient(f *kqfleet.Fleet) kqclient.Client {
	return kqclient.Client{EntryAddress: f.Entries()[0].Addr()}
}

// call sends one call to the first entry on a new connection.
func call(f *kqfleet.Fleet, method, path string, header map[string]string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequest(method, "http://"+f.Entries()[0].Addr().String()+"/v1/call/lockdesk/"+path, body)
	Expect(err).NotTo(HaveOccurred())
	for n, v := range header {
		q.Header.Set(n, v)
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
}

// readBody returns the body of an answer and closes it.
func readBody(a *http.Response) string {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// Guards against calls, jobs and configuration that pass each part but not the path through
// entry, agent and endpoint: altered paths, headers and bodies, malformed requests that run, and
// keyed calls that run twice.
var _ = Describe("the path through entry, agent and endpoint", Ordered, func() {
	var f *kqfleet.Fleet
	BeforeAll(func() { f = startFleet(smallUser(3, 5*time.Millisecond), 2) })

	It("returns the body, the status and all headers of an answer", func() {
		a, err := call(f, http.MethodGet, "unlock", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(a.Header.Values("X-Many")).To(Equal([]string{"one", "two"}))
		Expect(readBody(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
	})

	It("forwards the path, the query and the method HEAD unchanged", func() {
		a, err := call(f, http.MethodHead, "unlock", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(readBody(a)).To(BeEmpty())
		a, err = call(f, http.MethodGet, "a%2Fb/c%20d?bytes=0&x=%2F", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Header.Get("X-Echo-Path")).To(Equal("/a%2Fb/c%20d?bytes=0&x=%2F"))
		a.Body.Close()
		a, err = http.Get("http://" + f.Entries()[0].Addr().String() + "/v1/call/lockdesk")
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(a.Header.Get("X-Echo-Path")).To(Equal("/"))
		a, err = http.Get("http://" + f.Entries()[0].Addr().String() + "/v1/nothing")
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(a.Header.Get("Kq-Result")).To(Equal("401"))
	})

	DescribeTable("returns large answers completely", func(size int) {
		a, err := call(f, http.MethodGet, fmt.Sprintf("report?bytes=%d", size), nil, nil)
		Expect(err).NotTo(HaveOccurred())
		body := readBody(a)
		Expect(body).To(HaveLen(size))
		want := sha256.Sum256(bytes.Repeat([]byte("0123456789abcdef"), size/16))
		Expect(sha256.Sum256([]byte(body))).To(Equal(want))
	}, Entry("1 MB", 1<<20), Entry("50 MB", 50<<20))

	It("refuses malformed and oversized requests and runs nothing", func() {
		before := f.CallLedgers["kaluvi"].Totals().Started
		for _, x := range []struct {
			header map[string]string
			body   io.Reader
			status int
		}{
			{map[string]string{"Kq-Deadline": "soon"}, nil, http.StatusBadRequest},
			{map[string]string{"Kq-Idempotent": "perhaps"}, nil, http.StatusBadRequest},
			{map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, nil, http.StatusBadRequest},
			{nil, bytes.NewReader(make([]byte, 9<<20)), http.StatusRequestEntityTooLarge},
		} {
			a, err := call(f, http.MethodPost, "unlock", x.header, x.body)
			Expect(err).NotTo(HaveOccurred())
			a.Body.Close()
			Expect(a.StatusCode).To(Equal(x.status))
		}
		Expect(f.CallLedgers["kaluvi"].Totals().Started).To(Equal(before))
	})

	It("runs a call with an idempotency key once and returns its answer to the caller's retry", func() {
		header := map[string]string{"Idempotency-Key": "charge-17"}
		first, err := call(f, http.MethodPost, "charge", header, strings.NewReader("7 NAD"))
		Expect(err).NotTo(HaveOccurred())
		again, err := call(f, http.MethodPost, "charge", header, strings.NewReader("7 NAD"))
		Expect(err).NotTo(HaveOccurred())
		Expect(readBody(again)).To(Equal(readBody(first)))
		other, err := call(f, http.MethodPost, "charge", header, strings.NewReader("9 NAD"))
		Expect(err).NotTo(HaveOccurred())
		other.Body.Close()
		Expect(other.StatusCode).To(Equal(http.StatusConflict))
		Expect(f.CallLedgers["kaluvi"].Totals().RunTwice).To(BeZero())
	})

	It("refuses calls with an idempotency key as not run while the store is unavailable, and answers others", func() {
		f.StoreFaults.Set(kqfault.State{Down: true})
		DeferCleanup(func() { f.StoreFaults.Set(kqfault.State{}) })
		a, err := call(f, http.MethodPost, "charge", map[string]string{"Idempotency-Key": "charge-18"}, nil)
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(a.Header.Get("Kq-Result")).To(Equal("105"))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		b, err := call(f, http.MethodPost, "charge", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(readBody(b)).To(HavePrefix("done "))
	})

	It("runs a job to its end and refuses conflicting jobs and tasks that fit on no worker", func() {
		size := kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}
		spec := kqmodel.JobSpec{ID: "settle-1", Team: "kaluvi", Class: "night-settlement", Tasks: 6, Resources: size, RunTime: kqmodel.Duration(200 * time.Millisecond)}
		_, err := operatorClient(f).Submit(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		_, err = operatorClient(f).Submit(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			v, err := operatorClient(f).Job(ctx, "settle-1")
			Expect(err).NotTo(HaveOccurred())
			return v.State
		}).Should(Equal("finished"))
		spec.Tasks = 7
		_, err = operatorClient(f).Submit(ctx, spec)
		Expect(resultCode(err)).To(Equal(kqresult.JobConflict))
		spec.ID, spec.Resources.MilliProcessors = "huge", 1_000_000
		_, err = operatorClient(f).Submit(ctx, spec)
		Expect(resultCode(err)).To(Equal(kqresult.NeverFits))
		Expect(f.Ledger.Totals().RunTwice).To(BeZero())
	})

	It("deletes claims after a day and ended jobs after a week", func() {
		old, kept := time.Now().Add(-25*time.Hour), time.Now().Add(-23*time.Hour)
		week := time.Now().Add(-8 * 24 * time.Hour)
		put := func(key string, v any) {
			_, err := f.Table.Client().Transact(ctx, kqtable.Transaction{Writes: []kqtable.Write{{Key: key, Value: kqtable.Encode(v)}}})
			Expect(err).NotTo(HaveOccurred())
		}
		put(kqclaim.KeyPrefix+"old", kqclaim.Claim{Key: "old", ClaimedAt: old})
		put(kqclaim.KeyPrefix+"kept", kqclaim.Claim{Key: "kept", ClaimedAt: kept})
		put(kqcell.JobKey("ended"), kqcell.JobRow{Summary: &kqcell.Summary{EndedAt: week}})
		put(kqcell.JobKey("active"), kqcell.JobRow{})
		exists := func(key string) bool {
			_, found, err := f.Table.Client().Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			return found
		}
		Eventually(func() bool { return exists(kqclaim.KeyPrefix+"old") || exists(kqcell.JobKey("ended")) }).Should(BeFalse())
		Expect(exists(kqclaim.KeyPrefix + "kept")).To(BeTrue())
		Expect(exists(kqcell.JobKey("active"))).To(BeTrue())
	})

	It("reports in a dry run whether a target can be met, and changes nothing", func() {
		var r kqconfig.ApplyResult
		doc := "class: lockdesk\nkind: latency_critical\nlatency: %s\npercentile: 99\nif_version: 1\n"
		for latency, want := range map[string]string{"1ms": "it cannot be met", "400ms": "it can be met"} {
			Expect(operatorClient(f).Do(ctx, http.MethodPost, "/v1/config?dry_run=true", []byte(fmt.Sprintf(doc, latency)), &r)).To(Succeed())
			Expect(r.Changes[0].Feasibility).To(HavePrefix(want))
		}
		var a kqconfig.Revision
		Expect(operatorClient(f).Do(ctx, http.MethodGet, "/v1/config/class/lockdesk", nil, &a)).To(Succeed())
		Expect(a.Version).To(BeEquivalentTo(1))
	})

	It("reports the version in force to an operator whose concurrent change is refused", func() {
		doc := "class: lockdesk\nkind: latency_critical\nlatency: 200ms\npercentile: 99\nif_version: 1\n"
		Expect(operatorClient(f).Apply(ctx, doc)).To(Succeed())
		err := operatorClient(f).Apply(ctx, strings.Replace(doc, "200ms", "100ms", 1))
		Expect(resultCode(err)).To(Equal(kqresult.VersionConflict))
		Expect(err.Error()).To(ContainSubstring("version 2 is in force"))
	})
})

// resultCode returns the code of an error, which must be a kqresult.Error.
func resultCode(err error) kqresult.Code {
	var e *kqresult.Error
	Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e.Code
}

// Guards against answers that are lost and calls that run twice when a connection, an agent, an
// entry, an endpoint or a host fails in the middle of them.
var _ = Describe("failures over TCP connections", func() {
	It("returns complete answers after the connections to the agents have become silent", func() {
		f := startFleet(smallUser(2, 300*time.Millisecond), 1)
		var g sync.WaitGroup
		var complete atomic.Int32
		for range 6 {
			g.Go(func() {
				defer GinkgoRecover()
				a, err := call(f, http.MethodPost, "unlock", map[string]string{"Kq-Deadline": "30s"}, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(readBody(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
				complete.Add(1)
			})
		}
		Eventually(func() uint64 { return f.CallLedgers["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 6))
		for _, w := range f.Workers {
			w.Relay().Silence()
		}
		g.Wait()
		Expect(complete.Load()).To(BeEquivalentTo(6))
		Expect(f.CallLedgers["kaluvi"].Totals().RunTwice).To(BeZero())
	})

	It("never runs a non-idempotent call twice when its agent is killed", func() {
		f := startFleet(smallUser(2, 300*time.Millisecond), 1)
		results := make(chan string, 8)
		for range cap(results) {
			go func() {
				a, err := call(f, http.MethodPost, "unlock", map[string]string{"Kq-Deadline": "20s"}, nil)
				if err != nil {
					results <- "cut"
					return
				}
				a.Body.Close()
				results <- a.Header.Get("Kq-Result")
			}()
		}
		Eventually(func() uint64 { return f.CallLedgers["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 8))
		f.Workers[0].KillAgent()
		for range cap(results) {
			Expect(<-results).To(BeElementOf("", "201"))
		}
		Expect(f.CallLedgers["kaluvi"].Totals().RunTwice).To(BeZero())
		Expect(f.Workers[0].RestartAgent()).To(Succeed())
	})

	It("answers the retry of a caller whose entry was killed, and runs its call once", func() {
		f := startFleet(smallUser(2, 300*time.Millisecond), 2)
		header := map[string]string{"Idempotency-Key": "charge-1", "Kq-Deadline": "20s"}
		callErr := make(chan error, 1)
		go func() {
			a, err := call(f, http.MethodPost, "charge", header, nil)
			if err == nil {
				_, err = io.ReadAll(a.Body)
			}
			callErr <- err
		}()
		Eventually(func() uint64 { return f.CallLedgers["kaluvi"].Totals().Started }).Should(BeEquivalentTo(1))
		f.RemoveEntry(0).Kill()
		Expect(<-callErr).To(HaveOccurred())
		a, err := call(f, http.MethodPost, "charge", header, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(readBody(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
		Expect(f.CallLedgers["kaluvi"].Totals().Started).To(BeEquivalentTo(1))
	})

	It("runs a call once when its endpoint aborts the connection, for each method and with a key", func() {
		f := startFleet(smallUser(1, 5*time.Millisecond), 1)
		e := f.Workers[0].Endpoint()
		for i, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
			// net/http retries some requests by itself, but only on a connection that has been
			// used before; this call makes sure that there is one.
			e.SetMode(kqservice.ModeServe)
			earlier, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readBody(earlier)).To(HavePrefix("done "))
			e.SetMode(kqservice.ModeAbort)
			header := map[string]string{"Kq-Idempotent": "false", "Kq-Deadline": "3s", "Idempotency-Key": fmt.Sprint("key-", i)}
			a, err := call(f, method, "charge", header, nil)
			Expect(err).NotTo(HaveOccurred())
			a.Body.Close()
			Expect(a.Header.Get("Kq-Result")).To(Equal("201"))
		}
		t := f.CallLedgers["kaluvi"].Totals()
		Expect(t.Started).To(BeEquivalentTo(6))
		Expect(t.RunTwice).To(BeZero())
	})

	It("returns a complete answer to a caller who reads slowly, and answers others meanwhile", func() {
		f := startFleet(smallUser(1, 5*time.Millisecond), 1)
		const size = 8 << 20
		a, err := call(f, http.MethodGet, fmt.Sprint("report?bytes=", size), nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		buffer := make([]byte, 256<<10)
		got := 0
		for {
			n, err := io.ReadFull(a.Body, buffer)
			got += n
			if err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
			b, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readBody(b)).To(HavePrefix("done "))
		}
		Expect(got).To(Equal(size))
	})

	It("ejects an endpoint that fails all calls, and readmits it when it recovers", func() {
		f := startFleet(smallUser(3, 5*time.Millisecond), 1)
		bad := f.Workers[0].Endpoint()
		bad.SetMode(kqservice.ModeFail)
		state := func() string {
			for _, v := range f.Entries()[0].Endpoints() {
				if v.Worker == f.Workers[0].Name {
					return v.State
				}
			}
			return ""
		}
		sendCall := func() {
			a, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			a.Body.Close()
		}
		Eventually(func() string { sendCall(); return state() }).Should(Equal("ejected"))
		bad.SetMode(kqservice.ModeServe)
		Eventually(func() string { sendCall(); return state() }).Should(Equal("ready"))
	})

	It("sends no more calls to an endpoint that is leaving or whose host is down", func() {
		f := startFleet(smallUser(3, 5*time.Millisecond), 2)
		readyCount := func(w *kqfleet.Worker) int {
			n := 0
			for _, e := range f.Entries() {
				for _, v := range e.Endpoints() {
					if v.Worker == w.Name && v.State == "ready" {
						n++
					}
				}
			}
			return n
		}
		Expect(f.Workers[0].Endpoint().AnnounceLeaving(ctx)).To(Succeed())
		Eventually(func() int { return readyCount(f.Workers[0]) }).Should(BeZero())
		f.Workers[1].Kill()
		Eventually(func() int { return readyCount(f.Workers[1]) }).Should(BeZero())
		for range 20 {
			a, err := call(f, http.MethodPost, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readBody(a)).To(HavePrefix("done "))
		}
	})

	It("completes all calls when an entry and an agent are drained", func() {
		f := startFleet(smallUser(3, 200*time.Millisecond), 2)
		var g sync.WaitGroup
		for range 12 {
			g.Go(func() {
				defer GinkgoRecover()
				a, err := call(f, http.MethodPost, "unlock", map[string]string{"Kq-Deadline": "20s"}, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Header.Get("Kq-Result")).To(BeEmpty())
				Expect(readBody(a)).To(HavePrefix("done "))
			})
		}
		Eventually(func() uint64 { return f.CallLedgers["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 12))
		Expect(f.Workers[1].Agent().Drain(ctx)).To(Succeed())
		Expect(f.RemoveEntry(0).Drain(ctx)).To(Succeed())
		g.Wait()
	})

	It("resumes the tasks of a rebooted host once", func() {
		f := startFleet(smallUser(3, 5*time.Millisecond), 1)
		size := kqmodel.Resources{MilliProcessors: 30_000, MemoryBytes: 1 << 30}
		_, err := operatorClient(f).Submit(ctx, kqmodel.JobSpec{ID: "long", Team: "kaluvi", Class: "night-settlement", Tasks: 6, Resources: size, RunTime: kqmodel.Duration(3 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return f.Ledger.Totals().Starts }).Should(BeNumerically(">=", 6))
		f.Workers[0].Kill()
		Expect(f.Workers[0].Boot()).To(Succeed())
		Eventually(func() string {
			v, err := operatorClient(f).Job(ctx, "long")
			if err != nil {
				return err.Error()
			}
			return v.State
		}).Should(Equal("finished"))
		t := f.Ledger.Totals()
		Expect(t.RunTwice).To(BeZero())
		Expect(t.CapacityExceeded).To(BeZero())
		Expect(t.Finished).To(BeEquivalentTo(6))
	})
})
