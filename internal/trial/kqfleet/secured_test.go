package kqfleet_test

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqauthority"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqfleet"
)

// securedFleet is a fleet whose connections are secured by mutual TLS, with the certificate
// authority, a client and the operators' token.
type securedFleet struct {
	fleet     *kqfleet.Fleet
	authority *kqauthority.Authority
	directory kqauthority.Directory
	dialer    kqlink.Dialer
	http      *http.Client
	token     kqtoken.File
}

// startSecuredFleet starts a fleet with two entries and certificates in a new directory.
func startSecuredFleet(u kqfleet.User) *securedFleet {
	x := &securedFleet{directory: kqauthority.Directory(GinkgoT().TempDir())}
	var err error
	x.authority, err = kqauthority.New(time.Now(), "fleet")
	Expect(err).NotTo(HaveOccurred())
	Expect(x.directory.WriteCertificate(time.Now(), x.authority, kqtls.ServerName, x.authority)).To(Succeed())
	i, err := kqtls.Load(x.directory.TLSConfig(time.Now))
	Expect(err).NotTo(HaveOccurred())
	x.token = kqtoken.File{Path: filepath.Join(string(x.directory), "token")}
	Expect(os.WriteFile(x.token.Path, []byte("token-of-the-operators\n"), 0o600)).To(Succeed())
	x.dialer = kqlink.Dialer{TLS: i.ClientConfig()}
	x.http = x.dialer.NewClient()
	x.fleet, err = kqfleet.Start(kqfleet.Config{Users: []kqfleet.User{u}, Entries: 2, Seed: 1, Relays: true, Identity: i, OperatorToken: x.token})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(x.fleet.Close)
	return x
}

// operator returns a client of the operators' API that sends the token.
func (x *securedFleet) operator(h *http.Client, d kqlink.Dialer) kqclient.Client {
	return kqclient.Client{EntryAddress: x.fleet.Entries()[0].Addr(), Dialer: d, HTTP: h, Token: x.token}
}

// call sends a call and returns the HTTP status of its answer, 0 if there was none.
func (x *securedFleet) call(h *http.Client, d kqlink.Dialer) int {
	a, err := h.Get(d.URL(x.fleet.Entries()[0].Addr()) + "/v1/call/lockdesk/unlock")
	if err != nil {
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}

// Guards against entries that accept unencrypted connections or operators without a token, and
// against calls that fail while the certificates are replaced.
var _ = Describe("a fleet secured by mutual TLS", func() {
	It("serves calls and jobs, also while certificates are replaced, and refuses unencrypted connections and operators without a token", func() {
		u := smallUser(3, 5*time.Millisecond)
		x := startSecuredFleet(u)
		Expect(x.operator(x.http, x.dialer).Apply(ctx, u.Documents())).To(Succeed())
		Eventually(func() int { return x.fleet.Entries()[0].ReadyEndpoints() }).Should(Equal(u.Workers))
		Eventually(func() int { return x.call(x.http, x.dialer) }).Should(Equal(http.StatusOK))
		for _, w := range x.fleet.Workers {
			Eventually(func() uint64 { row, _ := w.Agent().Owner(); return row.Epoch }).ShouldNot(BeZero())
		}
		_, err := x.operator(x.http, x.dialer).Submit(ctx, kqmodel.JobSpec{ID: "secured", Team: "kaluvi", Class: "night-settlement", Tasks: 6,
			Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, RunTime: kqmodel.Duration(200 * time.Millisecond)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string {
			v, err := x.operator(x.http, x.dialer).Job(ctx, "secured")
			Expect(err).NotTo(HaveOccurred())
			return v.State
		}, 20*time.Second).Should(Equal("finished"))

		unencrypted := &http.Client{Timeout: 2 * time.Second}
		Expect(x.call(unencrypted, kqlink.Dialer{})).NotTo(Equal(http.StatusOK))
		Expect(x.operator(unencrypted, kqlink.Dialer{}).Apply(ctx, u.Documents())).NotTo(Succeed())

		noToken := x.operator(x.http, x.dialer)
		noToken.Token = kqtoken.File{}
		Expect(resultCode(noToken.Apply(ctx, u.Documents()))).To(Equal(kqresult.NotPermitted))

		Expect(x.directory.WriteCertificate(time.Now(), x.authority, kqtls.ServerName, x.authority)).To(Succeed())
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			Expect(x.call(x.http, x.dialer)).To(Equal(http.StatusOK))
			fresh := x.dialer.NewClient()
			Expect(x.call(fresh, x.dialer)).To(Equal(http.StatusOK))
			fresh.CloseIdleConnections()
		}
		Expect(x.fleet.Counter.Breaches()).To(BeEmpty())
	})
})
