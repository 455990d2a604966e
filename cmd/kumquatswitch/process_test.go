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

// Each process of the fleet listens on its own loopback address, so that no other process uses its
// fixed port.
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

func startProcess(args ...string) *gexec.Session {
	s, err := gexec.Start(exec.Command(binary, args...), io.Discard, io.Discard)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.Kill().Wait() })
	return s
}

func startAgent(i int) *gexec.Session {
	return startProcess("agent", "--id", fmt.Sprint("w", i), "--zone", "ausspan", "--rack", fmt.Sprint("r", i), "--listen", agentAddress(i),
		"--table", storeAddress, "--runtime", runtimeAddress(i), "--entries", entryAddress, "--drain-bound", "20s")
}

func httpGet(url string) string {
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// metricValue returns the value of a metric without labels, or "" if the process does not report it.
func metricValue(address, name string) string {
	for _, l := range strings.Split(httpGet(address+"/metrics"), "\n") {
		if strings.HasPrefix(l, name+" ") {
			return strings.TrimPrefix(l, name+" ")
		}
	}
	return ""
}

// owningAgents returns the indexes of the agents, from 1, that report that they own the cell.
func owningAgents(agents int) []int {
	var indexes []int
	for i := 1; i <= agents; i++ {
		if metricValue(agentAddress(i), "kumquatswitch_cell_owned") == "1" {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Guards against calls and jobs that stop while the owner of the cell is frozen (SIGSTOP), killed or
// drained, and against a frozen owner that still acts as the owner when it resumes.
var _ = Describe("a fleet of separate processes", func() {
	It("answers calls and finishes jobs while the owner is frozen, killed or drained, and after its entry is restarted", func() {
		const agents = 3
		startProcess("standin", "--part", "store", "--listen", storeAddress)
		entry := startProcess("entry", "--id", "entry-1", "--zone", "ausspan", "--listen", entryAddress, "--table", storeAddress)
		sessions := map[int]*gexec.Session{}
		for i := 1; i <= agents; i++ {
			startProcess("standin", "--part", "runtime", "--id", fmt.Sprint("w", i), "--listen", runtimeAddress(i), "--objects", storeAddress)
			sessions[i] = startAgent(i)
			startProcess("standin", "--part", "endpoint", "--id", fmt.Sprint("lockdesk-", i), "--agent", agentAddress(i))
		}
		client := kqclient.Client{EntryAddress: netip.MustParseAddrPort(entryAddress)}
		ctx := context.Background()
		classes := "class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n---\n" +
			"class: night\nkind: batch\nfinish_within: 8h\nif_version: 0\n"
		Eventually(func() error { return client.Apply(ctx, classes) }).Should(Succeed())
		Eventually(func() int { return strings.Count(httpGet(entryAddress+"/v1/endpoints"), `"ready"`) }).Should(Equal(agents))
		Eventually(func() int { return len(owningAgents(agents)) }).Should(Equal(1))
		sendCall := func() string { return httpGet(entryAddress + "/v1/call/lockdesk/unlock") }
		submit := func(id string) {
			Eventually(func() error {
				_, err := client.Submit(ctx, kqmodel.JobSpec{ID: id, Team: "kaluvi", Class: "night", Tasks: 6, RunTime: kqmodel.Duration(time.Second),
					Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}})
				return err
			}).Should(Succeed())
		}
		awaitFinished := func(id string) {
			Eventually(func() string { v, _ := client.Job(ctx, id); return v.State }).Should(Equal("finished"))
		}

		frozen := owningAgents(agents)[0]
		sessions[frozen].Signal(syscall.SIGSTOP)
		submit("while-frozen")
		Eventually(sendCall).Should(HavePrefix("done "))
		awaitFinished("while-frozen")
		sessions[frozen].Signal(syscall.SIGCONT)
		Eventually(func() string { return metricValue(agentAddress(frozen), "kumquatswitch_cell_owned") }).Should(Equal("0"))

		killed := owningAgents(agents)[0]
		sessions[killed].Kill().Wait()
		submit("while-dead")
		Eventually(sendCall).Should(HavePrefix("done "))
		awaitFinished("while-dead")
		sessions[killed] = startAgent(killed)
		Eventually(func() string { return httpGet(agentAddress(killed) + "/readyz") }).Should(Equal("ready\n"))

		Eventually(func() int { return len(owningAgents(agents)) }).Should(Equal(1))
		drained := owningAgents(agents)[0]
		sessions[drained].Signal(os.Signal(syscall.SIGTERM))
		for range 10 {
			Expect(sendCall()).To(HavePrefix("done "))
		}
		Eventually(sessions[drained]).Should(gexec.Exit(0))
		submit("while-drained")
		awaitFinished("while-drained")

		entry.Signal(syscall.SIGTERM)
		Eventually(entry).Should(gexec.Exit(0))
		startProcess("entry", "--id", "entry-1", "--zone", "ausspan", "--listen", entryAddress, "--table", storeAddress)
		Eventually(sendCall).Should(HavePrefix("done "))
		for i := 1; i <= agents; i++ {
			if i != drained {
				Expect(metricValue(agentAddress(i), "kumquatswitch_invariant_violations_total")).To(Equal("0"))
			}
		}
		Expect(metricValue(entryAddress, "kumquatswitch_invariant_violations_total")).To(Equal("0"))
	})
})
