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

// files are the files of one process.
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

func serve(t *testing.T, g Gomega, i *kqtls.Identity) *kqserver.Server {
	s, err := kqserver.Listen(kqserver.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: i.ServerConfig()})
	g.Expect(err).NotTo(HaveOccurred())
	s.Serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.WriteString(w, q.Proto) }))
	t.Cleanup(s.Kill)
	return s
}

// call makes one call over a new connection.
func call(i *kqtls.Identity, to netip.AddrPort) (string, error) {
	d := kqlink.Dialer{TLS: i.ClientConfig()}
	c := d.NewClient()
	defer c.CloseIdleConnections()
	return get(c, d, to)
}

func get(c *http.Client, d kqlink.Dialer, to netip.AddrPort) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, d.URL(to), nil)
	if err != nil {
		return "", err
	}
	a, err := c.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func TestAProcessWithoutACertificateGetsNothing(t *testing.T) {
	g := NewWithT(t)
	ours, others := newAuthority(g, "ours"), newAuthority(g, "others")
	server, client, stranger, wrongName, trusting := newFiles(t), newFiles(t), newFiles(t), newFiles(t), newFiles(t)
	server.write(g, ours, kqtls.ServerName, ours)
	client.write(g, ours, kqtls.ServerName, ours)
	stranger.write(g, others, kqtls.ServerName, ours)
	wrongName.write(g, ours, "else", ours)
	trusting.write(g, ours, kqtls.ServerName, others)
	s := serve(t, g, server.load(g))

	answer, err := call(client.load(g), s.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal("HTTP/2.0"))
	_, err = call(stranger.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "signed by another authority")
	_, err = call(trusting.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "does not trust the server's authority")
	answer, _ = call(nil, s.Addr())
	g.Expect(answer).NotTo(ContainSubstring("HTTP/"), "not encrypted")

	bare := kqlink.Dialer{TLS: client.load(g).ClientConfig()}
	bare.TLS.GetClientCertificate = nil
	_, err = get(bare.NewClient(), bare, s.Addr())
	g.Expect(err).To(HaveOccurred(), "no certificate")

	impostor := serve(t, g, wrongName.load(g))
	_, err = call(client.load(g), impostor.Addr())
	g.Expect(err).To(MatchError(ContainSubstring(kqtls.ServerName)), "a server of another name")
}

// Both sides move to another authority while calls go on, each over a new
// connection or an old one.
func TestARotationLosesNoCall(t *testing.T) {
	g := NewWithT(t)
	before, after := newAuthority(g, "before"), newAuthority(g, "after")
	server, client := newFiles(t), newFiles(t)
	server.write(g, before, kqtls.ServerName, before)
	client.write(g, before, kqtls.ServerName, before)
	s, own := serve(t, g, server.load(g)), client.load(g)

	var failed, made atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	kept := kqlink.Dialer{TLS: own.ClientConfig()}
	keeper := kept.NewClient()
	for n := range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				_, err := call(own, s.Addr())
				if n == 0 {
					_, err = get(keeper, kept, s.Addr())
				}
				made.Add(1)
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	pause := func() { time.Sleep(1300 * time.Millisecond) }
	for _, f := range []files{server, client} {
		f.write(g, before, kqtls.ServerName, before, after)
	}
	pause()
	for _, f := range []files{server, client} {
		f.write(g, after, kqtls.ServerName, before, after)
		pause()
	}
	for _, f := range []files{server, client} {
		f.write(g, after, kqtls.ServerName, after)
	}
	pause()
	close(stop)
	group.Wait()
	g.Expect(made.Load()).To(BeNumerically(">", 100))
	g.Expect(failed.Load()).To(BeZero())

	old := newFiles(t)
	old.write(g, before, kqtls.ServerName, before, after)
	_, err := call(old.load(g), s.Addr())
	g.Expect(err).To(HaveOccurred(), "the earlier authority is not trusted any more")
}

// Files that are wrong, or change while they are read, leave the earlier ones in
// force.
func TestWrongFilesLeaveTheEarlierOnesInForce(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g, "a")
	f := newFiles(t)
	f.write(g, a, kqtls.ServerName, a)
	c := f.config()
	var told atomic.Int64
	c.OnReload = func(err error) {
		if err != nil {
			told.Add(1)
		}
	}
	i, err := kqtls.Load(c)
	g.Expect(err).NotTo(HaveOccurred())
	s := serve(t, g, i)
	for _, name := range []string{c.Key, c.Certificate, c.Authorities} {
		whole, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kqauthority.ReplaceFile(name, whole[:len(whole)/2])).To(Succeed())
		time.Sleep(1100 * time.Millisecond)
		_, err = call(i, s.Addr())
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(told.Load()).To(BeNumerically(">", 0), name)
		told.Store(0)
		g.Expect(kqauthority.ReplaceFile(name, whole)).To(Succeed())
		time.Sleep(1100 * time.Millisecond)
		_, err = call(i, s.Addr())
		g.Expect(err).NotTo(HaveOccurred(), name)
	}
}

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
