package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(60 * time.Second)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "separate processes", suite, reporter)
}

// Each process of the fleet has a loopback address of its own, so that its
// fixed port is free.
const (
	storeAddress = "127.77.0.1:17100"
	entryAddress = "127.77.0.2:17000"
)

func agentAddress(i int) string   { return fmt.Sprintf("127.77.1.%d:17001", i) }
func runtimeAddress(i int) string { return fmt.Sprintf("127.77.1.%d:17200", i) }

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("github.com/kumquatswitch/kumquatswitch/cmd/kumquatswitch")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

func start(args ...string) *gexec.Session {
	s, err := gexec.Start(exec.Command(binary, args...), io.Discard, io.Discard)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.Kill().Wait() })
	return s
}

func startAgent(i int) *gexec.Session {
	return start("agent", "--id", fmt.Sprint("w", i), "--zone", "ausspan", "--rack", fmt.Sprint("r", i), "--listen", agentAddress(i),
		"--table", storeAddress, "--runtime", runtimeAddress(i), "--entries", entryAddress, "--drain-bound", "20s")
}

func get(url string) string {
	a, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + url)
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return string(b)
}

// metric returns the line of a metric.
func metric(address, name string) string {
	for _, l := range strings.Split(get(address+"/metrics"), "\n") {
		if strings.HasPrefix(l, name+" ") {
			return strings.TrimPrefix(l, name+" ")
		}
	}
	return ""
}

// owners returns the agents that say they own the cell.
func owners(agents int) []int {
	var out []int
	for i := 1; i <= agents; i++ {
		if metric(agentAddress(i), "kumquatswitch_cell_owned") == "1" {
			out = append(out, i)
		}
	}
	return out
}

var _ = Describe("a fleet of separate processes", func() {
	It("answers calls and finishes work while its owner is frozen, killed and drained, and its entry is replaced", func() {
		const agents = 3
		start("standin", "--part", "store", "--listen", storeAddress)
		entry := start("entry", "--id", "entry-1", "--zone", "ausspan", "--listen", entryAddress, "--table", storeAddress)
		sessions := map[int]*gexec.Session{}
		for i := 1; i <= agents; i++ {
			start("standin", "--part", "runtime", "--id", fmt.Sprint("w", i), "--listen", runtimeAddress(i), "--objects", storeAddress)
			sessions[i] = startAgent(i)
			start("standin", "--part", "endpoint", "--id", fmt.Sprint("lockdesk-", i), "--agent", agentAddress(i))
		}
		client := kqclient.Client{EntryAddress: netip.MustParseAddrPort(entryAddress)}
		ctx := context.Background()
		classes := "class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n---\n" +
			"class: night\nkind: batch\nfinish_within: 8h\nif_version: 0\n"
		Eventually(func() error { return client.Apply(ctx, classes) }).Should(Succeed())
		Eventually(func() int { return strings.Count(get(entryAddress+"/v1/endpoints"), `"ready"`) }).Should(Equal(agents))
		Eventually(func() int { return len(owners(agents)) }).Should(Equal(1))
		call := func() string { return get(entryAddress + "/v1/call/lockdesk/unlock") }
		submit := func(id string) {
			Eventually(func() error {
				_, err := client.Submit(ctx, kqmodel.JobSpec{ID: id, Team: "kaluvi", Class: "night", Tasks: 6, RunTime: kqmodel.Duration(time.Second),
					Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}})
				return err
			}).Should(Succeed())
		}
		finished := func(id string) {
			Eventually(func() string { v, _ := client.Job(ctx, id); return v.State }).Should(Equal("finished"))
		}

		frozen := owners(agents)[0]
		sessions[frozen].Signal(syscall.SIGSTOP)
		submit("while-frozen")
		Eventually(call).Should(HavePrefix("done "))
		finished("while-frozen")
		sessions[frozen].Signal(syscall.SIGCONT)
		Eventually(func() string { return metric(agentAddress(frozen), "kumquatswitch_cell_owned") }).Should(Equal("0"))

		killed := owners(agents)[0]
		sessions[killed].Kill().Wait()
		submit("while-dead")
		Eventually(call).Should(HavePrefix("done "))
		finished("while-dead")
		sessions[killed] = startAgent(killed)
		Eventually(func() string { return get(agentAddress(killed) + "/readyz") }).Should(Equal("ready\n"))

		Eventually(func() int { return len(owners(agents)) }).Should(Equal(1))
		drained := owners(agents)[0]
		sessions[drained].Signal(os.Signal(syscall.SIGTERM))
		for range 10 {
			Expect(call()).To(HavePrefix("done "))
		}
		Eventually(sessions[drained]).Should(gexec.Exit(0))
		submit("while-drained")
		finished("while-drained")

		entry.Signal(syscall.SIGTERM)
		Eventually(entry).Should(gexec.Exit(0))
		start("entry", "--id", "entry-1", "--zone", "ausspan", "--listen", entryAddress, "--table", storeAddress)
		Eventually(call).Should(HavePrefix("done "))
		for i := 1; i <= agents; i++ {
			if i != drained {
				Expect(metric(agentAddress(i), "kumquatswitch_invariant_violations_total")).To(Equal("0"))
			}
		}
		Expect(metric(entryAddress, "kumquatswitch_invariant_violations_total")).To(Equal("0"))
	})
})
