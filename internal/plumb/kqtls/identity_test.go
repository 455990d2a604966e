package kqtls_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqauthority"
)

// files holds the certificate files of a process.
type files struct{ kqauthority.Directory }

func newFiles(t *testing.T) files { return files{kqauthority.Directory(t.TempDir())} }

func (f files) config() kqtls.Config { return f.TLSConfig(time.Now) }

func (f files) write(g Gomega, by *kqauthority.Authority, name string, trust ...*kqauthority.Authority) {
	g.Expect(f.WriteCertificate(time.Now(), by, name, trust...)).To(Succeed())
}

func (f files) load(g Gomega) *kqtls.Identity {
	i, err := kqtls.Load(f.config())
	g.Expect(err).NotTo(HaveOccurred())
	return i
}

func newAuthority(g Gomega, name string) *kqauthority.Authority {
	a, err := kqauthority.New(time.Now(), name)
	g.Expect(err).NotTo(HaveOccurred())
	return a
}

func serve(t *testing.T, g Gomega, identity *kqtls.Identity) *kqserver.Server {
	s, err := kqserver.Listen(kqserver.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: identity.ServerConfig()})
	g.Expect(err).NotTo(HaveOccurred())
	s.Serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.WriteString(w, q.Proto) }))
	t.Cleanup(s.Kill)
	return s
}

// call sends a request over a new connection and returns the protocol that the server saw.
func call(identity *kqtls.Identity, addr netip.AddrPort) (string, error) {
	d := kqlink.Dialer{TLS: identity.ClientConfig()}
	c := d.NewClient()
	defer c.CloseIdleConnections()
	return get(c, d, addr)
}

func get(c *http.Client, d kqlink.Dialer, addr netip.AddrPort) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, d.URL(addr), nil)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(q)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against connections to or from a process without a certificate of a trusted authority, or
// with a certificate for another name.
func TestAProcessWithoutACertificateGetsNothing(t *testing.T) {
	g := NewWithT(t)
	ca, otherCA := newAuthority(g, "ours"), newAuthority(g, "others")
	server, client, wrongIssuer, wrongName, wrongTrust := newFiles(t), newFiles(t), newFiles(t), newFiles(t), newFiles(t)
	server.write(g, ca, kqtls.ServerName, ca)
	client.write(g, ca, kqtls.ServerName, ca)
	wrongIssuer.write(g, otherCA, kqtls.ServerName, ca)
	wrongName.write(g, ca, "else", ca)
	wrongTrust.write(g, ca, kqtls.ServerName, otherCA)
	s := serve(t, g, server.load(g))

	answer, err := call(client.load(g), s.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal("HTTP/2.0"))
	_, err = call(wrongIssuer.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "client certificate is signed by another authority")
	_, err = call(wrongTrust.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "client does not trust the authority of the server")
	answer, _ = call(nil, s.Addr())
	g.Expect(answer).NotTo(ContainSubstring("HTTP/"), "client does not use TLS")

	noCertificate := kqlink.Dialer{TLS: client.load(g).ClientConfig()}
	noCertificate.TLS.GetClientCertificate = nil
	_, err = get(noCertificate.NewClient(), noCertificate, s.Addr())
	g.Expect(err).To(HaveOccurred(), "client sends no certificate")

	wrongNameServer := serve(t, g, wrongName.load(g))
	_, err = call(client.load(g), wrongNameServer.Addr())
	g.Expect(err).To(MatchError(ContainSubstring(kqtls.ServerName)), "server certificate has another name")
}

// Server and client change to another authority during calls over new and over reused
// connections. Guards against calls that fail while only one of them has reloaded its files.
func TestARotationLosesNoCall(t *testing.T) {
	g := NewWithT(t)
	oldCA, newCA := newAuthority(g, "before"), newAuthority(g, "after")
	server, client := newFiles(t), newFiles(t)
	server.write(g, oldCA, kqtls.ServerName, oldCA)
	client.write(g, oldCA, kqtls.ServerName, oldCA)
	s, identity := serve(t, g, server.load(g)), client.load(g)

	var failed, made atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	reused := kqlink.Dialer{TLS: identity.ClientConfig()}
	reusedClient := reused.NewClient()
	for n := range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				_, err := call(identity, s.Addr())
				if n == 0 {
					_, err = get(reusedClient, reused, s.Addr())
				}
				made.Add(1)
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	waitForReload := func() { time.Sleep(1300 * time.Millisecond) }
	for _, f := range []files{server, client} {
		f.write(g, oldCA, kqtls.ServerName, oldCA, newCA)
	}
	waitForReload()
	for _, f := range []files{server, client} {
		f.write(g, newCA, kqtls.ServerName, oldCA, newCA)
		waitForReload()
	}
	for _, f := range []files{server, client} {
		f.write(g, newCA, kqtls.ServerName, newCA)
	}
	waitForReload()
	close(stop)
	wg.Wait()
	g.Expect(made.Load()).To(BeNumerically(">", 100))
	g.Expect(failed.Load()).To(BeZero())

	oldFiles := newFiles(t)
	oldFiles.write(g, oldCA, kqtls.ServerName, oldCA, newCA)
	_, err := call(oldFiles.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "the old authority is no longer trusted")
}

// Files that are truncated, as when they are read while they are being written, are reported and
// the previous certificates stay in use. Guards against a process that cannot be reached after
// an incomplete update of its files.
func TestWrongFilesLeaveTheEarlierOnesInForce(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g, "a")
	f := newFiles(t)
	f.write(g, a, kqtls.ServerName, a)
	c := f.config()
	var failedReloads atomic.Int64
	c.OnReload = func(err error) {
		if err != nil {
			failedReloads.Add(1)
		}
	}
	i, err := kqtls.Load(c)
	g.Expect(err).NotTo(HaveOccurred())
	s := serve(t, g, i)
	for _, name := range []string{c.Key, c.Certificate, c.Authorities} {
		content, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kqauthority.ReplaceFile(name, content[:len(content)/2])).To(Succeed())
		time.Sleep(1100 * time.Millisecond)
		_, err = call(i, s.Addr())
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(failedReloads.Load()).To(BeNumerically(">", 0), name)
		failedReloads.Store(0)
		g.Expect(kqauthority.ReplaceFile(name, content)).To(Succeed())
		time.Sleep(1100 * time.Millisecond)
		_, err = call(i, s.Addr())
		g.Expect(err).NotTo(HaveOccurred(), name)
	}
}

// Guards against unencrypted connections when only some of the files are configured.
func TestTLSNeedsAllItsFiles(t *testing.T) {
	g := NewWithT(t)
	i, err := kqtls.Load(kqtls.Config{Now: time.Now})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(i).To(BeNil())
	g.Expect(i.ServerConfig()).To(BeNil())
	g.Expect(i.ClientConfig()).To(BeNil())
	_, err = kqtls.Load(kqtls.Config{Key: "k", Now: time.Now})
	g.Expect(err).To(MatchError(ContainSubstring("all three or none")))
	_, err = kqtls.Load(kqtls.Config{Certificate: "c", Key: "k", Authorities: "a", Now: time.Now})
	g.Expect(err).To(MatchError(ContainSubstring("no such file")))
}
