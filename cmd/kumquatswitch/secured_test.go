package main_test

import (
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqauthority"
)

const (
	securedStore   = "127.78.0.1:17100"
	securedEntry   = "127.78.0.2:17000"
	securedAgent   = "127.78.1.1:17001"
	securedRuntime = "127.78.1.1:17200"
)

// operate runs an operator's command and returns its exit code.
func operate(args ...string) int {
	s, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	s.Wait(20 * time.Second)
	return s.ExitCode()
}

var _ = Describe("a secured fleet of separate processes", func() {
	It("serves those with a certificate, and operators with a token", func() {
		directory := kqauthority.Directory(GinkgoT().TempDir())
		authority, err := kqauthority.New(time.Now(), "fleet")
		Expect(err).NotTo(HaveOccurred())
		Expect(directory.WriteCertificate(time.Now(), authority, kqtls.ServerName, authority)).To(Succeed())
		files := directory.TLSConfig(time.Now)
		own, err := kqtls.Load(files)
		Expect(err).NotTo(HaveOccurred())
		token := filepath.Join(string(directory), "token")
		Expect(os.WriteFile(token, []byte("token-of-the-operators"), 0o600)).To(Succeed())
		classes := filepath.Join(string(directory), "classes")
		Expect(os.WriteFile(classes, []byte("class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n"), 0o600)).To(Succeed())
		guarded := []string{"--operator-token-file", token}
		tls := []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authorities", files.Authorities}
		with := func(more []string, args ...string) []string { return slices.Concat(args, more) }

		start("standin", "--part", "store", "--listen", securedStore)
		start("standin", "--part", "runtime", "--id", "w1", "--listen", securedRuntime, "--objects", securedStore)
		start(with(tls, "entry", "--id", "entry-1", "--zone", "ausspan", "--listen", securedEntry, "--table", securedStore, "--operator-token-file", token)...)
		start(with(tls, "agent", "--id", "w1", "--zone", "ausspan", "--rack", "r1", "--listen", securedAgent, "--table", securedStore,
			"--runtime", securedRuntime, "--entries", securedEntry)...)
		start(with(tls, "standin", "--part", "endpoint", "--id", "lockdesk-1", "--agent", securedAgent)...)

		apply := []string{"class", "apply", "--file", classes, "--entry", securedEntry}
		Eventually(func() int { return operate(with(tls, slices.Concat(apply, guarded)...)...) }).Should(BeZero())
		list := []string{"class", "list", "--entry", securedEntry}
		Expect(operate(with(tls, slices.Concat(list, guarded)...)...)).To(BeZero())
		Expect(operate(with(tls, list...)...)).NotTo(BeZero(), "no token")
		Expect(operate(slices.Concat(list, guarded)...)).NotTo(BeZero(), "no certificate")

		d := kqlink.Dialer{TLS: own.ClientConfig()}
		caller := d.NewClient()
		Eventually(func() int {
			a, err := caller.Get(d.URL(netip.MustParseAddrPort(securedEntry)) + "/v1/call/lockdesk/unlock")
			if err != nil {
				return 0
			}
			a.Body.Close()
			return a.StatusCode
		}).Should(Equal(http.StatusOK))
	})

	It("refuses settings of TLS that are not whole", func() {
		Expect(operate("entry", "--id", "e", "--zone", "z", "--listen", securedEntry, "--table", securedStore, "--tls-key", "k")).NotTo(BeZero())
		Expect(operate("entry", "--id", "e", "--zone", "z", "--listen", securedEntry, "--table", securedStore, "--operator-token-file", "missing")).NotTo(BeZero())
	})
})
