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
	securedStoreAddress   = "127.78.0.1:17100"
	securedEntryAddress   = "127.78.0.2:17000"
	securedAgentAddress   = "127.78.1.1:17001"
	securedRuntimeAddress = "127.78.1.1:17200"
)

// runCommand runs a command to its end, within 20 s, and returns its exit code.
func runCommand(args ...string) int {
	s, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	s.Wait(20 * time.Second)
	return s.ExitCode()
}

// Guards against flags of TLS and of the operator token that a process or command ignores: requests
// without a certificate or a token must fail, and incomplete settings must stop the start.
var _ = Describe("a secured fleet of separate processes", func() {
	It("serves clients with a certificate, and operators with a certificate and a token", func() {
		tlsDirectory := kqauthority.Directory(GinkgoT().TempDir())
		authority, err := kqauthority.New(time.Now(), "fleet")
		Expect(err).NotTo(HaveOccurred())
		Expect(tlsDirectory.WriteCertificate(time.Now(), authority, kqtls.ServerName, authority)).To(Succeed())
		files := tlsDirectory.TLSConfig(time.Now)
		identity, err := kqtls.Load(files)
		Expect(err).NotTo(HaveOccurred())
		token := filepath.Join(string(tlsDirectory), "token")
		Expect(os.WriteFile(token, []byte("token-of-the-operators"), 0o600)).To(Succeed())
		classes := filepath.Join(string(tlsDirectory), "classes")
		Expect(os.WriteFile(classes, []byte("class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n"), 0o600)).To(Succeed())
		tokenArgs := []string{"--operator-token-file", token}
		tlsArgs := []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authorities", files.Authorities}
		appendArgs := func(extra []string, args ...string) []string { return slices.Concat(args, extra) }

		startProcess("standin", "--part", "store", "--listen", securedStoreAddress)
		startProcess("standin", "--part", "runtime", "--id", "w1", "--listen", securedRuntimeAddress, "--objects", securedStoreAddress)
		startProcess(appendArgs(tlsArgs, "entry", "--id", "entry-1", "--zone", "ausspan", "--listen", securedEntryAddress, "--table", securedStoreAddress, "--operator-token-file", token)...)
		startProcess(appendArgs(tlsArgs, "agent", "--id", "w1", "--zone", "ausspan", "--rack", "r1", "--listen", securedAgentAddress, "--table", securedStoreAddress,
			"--runtime", securedRuntimeAddress, "--entries", securedEntryAddress)...)
		startProcess(appendArgs(tlsArgs, "standin", "--part", "endpoint", "--id", "lockdesk-1", "--agent", securedAgentAddress)...)

		apply := []string{"class", "apply", "--file", classes, "--entry", securedEntryAddress}
		Eventually(func() int { return runCommand(appendArgs(tlsArgs, slices.Concat(apply, tokenArgs)...)...) }).Should(BeZero())
		list := []string{"class", "list", "--entry", securedEntryAddress}
		Expect(runCommand(appendArgs(tlsArgs, slices.Concat(list, tokenArgs)...)...)).To(BeZero())
		Expect(runCommand(appendArgs(tlsArgs, list...)...)).NotTo(BeZero(), "no token")
		Expect(runCommand(slices.Concat(list, tokenArgs)...)).NotTo(BeZero(), "no certificate")

		d := kqlink.Dialer{TLS: identity.ClientConfig()}
		caller := d.NewClient()
		Eventually(func() int {
			a, err := caller.Get(d.URL(netip.MustParseAddrPort(securedEntryAddress)) + "/v1/call/lockdesk/unlock")
			if err != nil {
				return 0
			}
			a.Body.Close()
			return a.StatusCode
		}).Should(Equal(http.StatusOK))
	})

	It("refuses incomplete TLS settings and a missing token file", func() {
		Expect(runCommand("entry", "--id", "e", "--zone", "z", "--listen", securedEntryAddress, "--table", securedStoreAddress, "--tls-key", "k")).NotTo(BeZero())
		Expect(runCommand("entry", "--id", "e", "--zone", "z", "--listen", securedEntryAddress, "--table", securedStoreAddress, "--operator-token-file", "missing")).NotTo(BeZero())
	})
})
