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

// small returns a user with a few workers and a slow enough service to be
// caught in the middle of a call.
func small(workers int, service time.Duration) kqfleet.User {
	u, err := kqfleet.FindUser("kaluvi")
	Expect(err).NotTo(HaveOccurred())
	u.Workers, u.ServiceTime = workers, service
	return u
}

// start starts a fleet and waits until every entry is ready for calls.
func start(u kqfleet.User, entries int) *kqfleet.Fleet {
	f, err := kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: entries, Seed: 1, Relays: true})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	Expect(client(f).Apply(ctx, u.Documents())).To(Succeed())
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

func client(f *kqfleet.Fleet) kqclient.Client {
	return kqclient.Client{EntryAddress: f.Entries()[0].Addr()}
}

// call sends one call to the first entry.
func call(f *kqfleet.Fleet, method, path string, header map[string]string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequest(method, "http://"+f.Entries()[0].Addr().String()+"/v1/call/lockdesk/"+path, body)
	Expect(err).NotTo(HaveOccurred())
	for n, v := range header {
		q.Header.Set(n, v)
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
}

func read(a *http.Response) string {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = Describe("the whole path", Ordered, func() {
	var f *kqfleet.Fleet
	BeforeAll(func() { f = start(small(3, 5*time.Millisecond), 2) })

	It("answers a call with body, status and headers whole", func() {
		a, err := call(f, http.MethodGet, "unlock", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(a.Header.Values("X-Many")).To(Equal([]string{"one", "two"}))
		Expect(read(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
	})

	It("passes the path, the query and HEAD on as they are", func() {
		a, err := call(f, http.MethodHead, "unlock", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(read(a)).To(BeEmpty())
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

	DescribeTable("brings large answers back whole", func(size int) {
		a, err := call(f, http.MethodGet, fmt.Sprintf("report?bytes=%d", size), nil, nil)
		Expect(err).NotTo(HaveOccurred())
		body := read(a)
		Expect(body).To(HaveLen(size))
		want := sha256.Sum256(bytes.Repeat([]byte("0123456789abcdef"), size/16))
		Expect(sha256.Sum256([]byte(body))).To(Equal(want))
	}, Entry("1 MB", 1<<20), Entry("50 MB", 50<<20))

	It("refuses malformed and oversized requests and runs nothing", func() {
		before := f.Records["kaluvi"].Totals().Started
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
		Expect(f.Records["kaluvi"].Totals().Started).To(Equal(before))
	})

	It("runs a keyed call once and returns its answer to the caller's retry", func() {
		header := map[string]string{"Idempotency-Key": "charge-17"}
		first, err := call(f, http.MethodPost, "charge", header, strings.NewReader("7 NAD"))
		Expect(err).NotTo(HaveOccurred())
		again, err := call(f, http.MethodPost, "charge", header, strings.NewReader("7 NAD"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read(again)).To(Equal(read(first)))
		other, err := call(f, http.MethodPost, "charge", header, strings.NewReader("9 NAD"))
		Expect(err).NotTo(HaveOccurred())
		other.Body.Close()
		Expect(other.StatusCode).To(Equal(http.StatusConflict))
		Expect(f.Records["kaluvi"].Totals().RunTwice).To(BeZero())
	})

	It("refuses a keyed call as not run while the store is out, and answers others", func() {
		f.Store.Set(kqfault.State{Down: true})
		DeferCleanup(func() { f.Store.Set(kqfault.State{}) })
		a, err := call(f, http.MethodPost, "charge", map[string]string{"Idempotency-Key": "charge-18"}, nil)
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(a.Header.Get("Kq-Result")).To(Equal("105"))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		b, err := call(f, http.MethodPost, "charge", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(b)).To(HavePrefix("done "))
	})

	It("takes a job to its end and refuses what could never run", func() {
		size := kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}
		spec := kqmodel.JobSpec{ID: "settle-1", Team: "kaluvi", Class: "night-settlement", Tasks: 6, Resources: size, RunTime: kqmodel.Duration(200 * time.Millisecond)}
		_, err := client(f).Submit(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		_, err = client(f).Submit(ctx, spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			v, err := client(f).Job(ctx, "settle-1")
			Expect(err).NotTo(HaveOccurred())
			return v.State
		}).Should(Equal("finished"))
		spec.Tasks = 7
		_, err = client(f).Submit(ctx, spec)
		Expect(code(err)).To(Equal(kqresult.JobConflict))
		spec.ID, spec.Resources.MilliProcessors = "huge", 1_000_000
		_, err = client(f).Submit(ctx, spec)
		Expect(code(err)).To(Equal(kqresult.NeverFits))
		Expect(f.Ledger.Totals().RunTwice).To(BeZero())
	})

	It("forgets claims after a day and ended jobs after a week", func() {
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
		there := func(key string) bool {
			_, found, err := f.Table.Client().Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			return found
		}
		Eventually(func() bool { return there(kqclaim.KeyPrefix+"old") || there(kqcell.JobKey("ended")) }).Should(BeFalse())
		Expect(there(kqclaim.KeyPrefix + "kept")).To(BeTrue())
		Expect(there(kqcell.JobKey("active"))).To(BeTrue())
	})

	It("says in a dry run whether a target can be met, and changes nothing", func() {
		var r kqconfig.ApplyResult
		doc := "class: lockdesk\nkind: latency_critical\nlatency: %s\npercentile: 99\nif_version: 1\n"
		for latency, want := range map[string]string{"1ms": "it cannot be met", "400ms": "it can be met"} {
			Expect(client(f).Do(ctx, http.MethodPost, "/v1/config?dry_run=true", []byte(fmt.Sprintf(doc, latency)), &r)).To(Succeed())
			Expect(r.Changes[0].Feasibility).To(HavePrefix(want))
		}
		var a kqconfig.Revision
		Expect(client(f).Do(ctx, http.MethodGet, "/v1/config/class/lockdesk", nil, &a)).To(Succeed())
		Expect(a.Version).To(BeEquivalentTo(1))
	})

	It("tells operators who race which version won", func() {
		doc := "class: lockdesk\nkind: latency_critical\nlatency: 200ms\npercentile: 99\nif_version: 1\n"
		Expect(client(f).Apply(ctx, doc)).To(Succeed())
		err := client(f).Apply(ctx, strings.Replace(doc, "200ms", "100ms", 1))
		Expect(code(err)).To(Equal(kqresult.VersionConflict))
		Expect(err.Error()).To(ContainSubstring("version 2 is in force"))
	})
})

func code(err error) kqresult.Code {
	var e *kqresult.Error
	Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	return e.Code
}

var _ = Describe("failures on real sockets", func() {
	It("brings an answer back whole after its connection went silent", func() {
		f := start(small(2, 300*time.Millisecond), 1)
		var g sync.WaitGroup
		var whole atomic.Int32
		for range 6 {
			g.Go(func() {
				defer GinkgoRecover()
				a, err := call(f, http.MethodPost, "unlock", map[string]string{"Kq-Deadline": "30s"}, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(read(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
				whole.Add(1)
			})
		}
		Eventually(func() uint64 { return f.Records["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 6))
		for _, w := range f.Workers {
			w.Relay().Silence()
		}
		g.Wait()
		Expect(whole.Load()).To(BeEquivalentTo(6))
		Expect(f.Records["kaluvi"].Totals().RunTwice).To(BeZero())
	})

	It("never runs a non-idempotent call twice when its agent is killed", func() {
		f := start(small(2, 300*time.Millisecond), 1)
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
		Eventually(func() uint64 { return f.Records["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 8))
		f.Workers[0].KillAgent()
		for range cap(results) {
			Expect(<-results).To(BeElementOf("", "201"))
		}
		Expect(f.Records["kaluvi"].Totals().RunTwice).To(BeZero())
		Expect(f.Workers[0].RestartAgent()).To(Succeed())
	})

	It("answers the retry of a caller whose entry was killed, and runs its call once", func() {
		f := start(small(2, 300*time.Millisecond), 2)
		header := map[string]string{"Idempotency-Key": "charge-1", "Kq-Deadline": "20s"}
		cut := make(chan error, 1)
		go func() {
			a, err := call(f, http.MethodPost, "charge", header, nil)
			if err == nil {
				_, err = io.ReadAll(a.Body)
			}
			cut <- err
		}()
		Eventually(func() uint64 { return f.Records["kaluvi"].Totals().Started }).Should(BeEquivalentTo(1))
		f.TakeEntry(0).Kill()
		Expect(<-cut).To(HaveOccurred())
		a, err := call(f, http.MethodPost, "charge", header, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(a)).To(Equal("done " + a.Header.Get("Kq-Call-Id")))
		Expect(f.Records["kaluvi"].Totals().Started).To(BeEquivalentTo(1))
	})

	It("runs a call once whose endpoint cuts the connection, whatever its method and key", func() {
		f := start(small(1, 5*time.Millisecond), 1)
		e := f.Workers[0].Endpoint()
		for i, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
			// A request on a connection that was used before is what net/http
			// would send again on its own.
			e.SetMode(kqservice.ModeServe)
			warm, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(warm)).To(HavePrefix("done "))
			e.SetMode(kqservice.ModeAbort)
			header := map[string]string{"Kq-Idempotent": "false", "Kq-Deadline": "3s", "Idempotency-Key": fmt.Sprint("key-", i)}
			a, err := call(f, method, "charge", header, nil)
			Expect(err).NotTo(HaveOccurred())
			a.Body.Close()
			Expect(a.Header.Get("Kq-Result")).To(Equal("201"))
		}
		t := f.Records["kaluvi"].Totals()
		Expect(t.Started).To(BeEquivalentTo(6))
		Expect(t.RunTwice).To(BeZero())
	})

	It("brings an answer whole to a caller who reads slowly, beside others", func() {
		f := start(small(1, 5*time.Millisecond), 1)
		const size = 8 << 20
		a, err := call(f, http.MethodGet, fmt.Sprint("report?bytes=", size), nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		piece := make([]byte, 256<<10)
		got := 0
		for {
			n, err := io.ReadFull(a.Body, piece)
			got += n
			if err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
			b, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(b)).To(HavePrefix("done "))
		}
		Expect(got).To(Equal(size))
	})

	It("leaves an endpoint that fails everything out, and lets it back", func() {
		f := start(small(3, 5*time.Millisecond), 1)
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
		poke := func() {
			a, err := call(f, http.MethodGet, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			a.Body.Close()
		}
		Eventually(func() string { poke(); return state() }).Should(Equal("ejected"))
		bad.SetMode(kqservice.ModeServe)
		Eventually(func() string { poke(); return state() }).Should(Equal("ready"))
	})

	It("sends nothing more to an endpoint that is leaving or dead", func() {
		f := start(small(3, 5*time.Millisecond), 2)
		known := func(w *kqfleet.Worker) int {
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
		Eventually(func() int { return known(f.Workers[0]) }).Should(BeZero())
		f.Workers[1].Kill()
		Eventually(func() int { return known(f.Workers[1]) }).Should(BeZero())
		for range 20 {
			a, err := call(f, http.MethodPost, "unlock", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(read(a)).To(HavePrefix("done "))
		}
	})

	It("cuts off nothing when an entry and an agent are drained", func() {
		f := start(small(3, 200*time.Millisecond), 2)
		var g sync.WaitGroup
		for range 12 {
			g.Go(func() {
				defer GinkgoRecover()
				a, err := call(f, http.MethodPost, "unlock", map[string]string{"Kq-Deadline": "20s"}, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Header.Get("Kq-Result")).To(BeEmpty())
				Expect(read(a)).To(HavePrefix("done "))
			})
		}
		Eventually(func() uint64 { return f.Records["kaluvi"].Totals().Started }).Should(BeNumerically(">=", 12))
		Expect(f.Workers[1].Agent().Drain(ctx)).To(Succeed())
		Expect(f.TakeEntry(0).Drain(ctx)).To(Succeed())
		g.Wait()
	})

	It("resumes the work of a host that came back with a new boot, once", func() {
		f := start(small(3, 5*time.Millisecond), 1)
		size := kqmodel.Resources{MilliProcessors: 30_000, MemoryBytes: 1 << 30}
		_, err := client(f).Submit(ctx, kqmodel.JobSpec{ID: "long", Team: "kaluvi", Class: "night-settlement", Tasks: 6, Resources: size, RunTime: kqmodel.Duration(3 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return f.Ledger.Totals().Starts }).Should(BeNumerically(">=", 6))
		f.Workers[0].Kill()
		Expect(f.Workers[0].Boot()).To(Succeed())
		Eventually(func() string {
			v, err := client(f).Job(ctx, "long")
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
