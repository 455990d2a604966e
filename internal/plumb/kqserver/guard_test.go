package kqserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
)

const (
	// budget has room for the bodies of two clients of largeBody bytes.
	budget    = 1 << 20
	largeBody = 150 << 10
	hugeBody  = 900 << 10
	// lastRead is the part of a body that an incomplete read may hold uncharged.
	lastRead    = 16 << 10
	connections = 3
	// largeAnswer exceeds what the kernel takes from a process whose client does not read.
	largeAnswer = 32 << 20
)

// start starts a server with small limits. Its handler answers /read after the body, and other paths at once, /large
// with a large answer.
func start(g Gomega, c kqserver.Config) *kqserver.Server {
	c.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	c.Guard = kqserver.NewGuard(kqserver.GuardConfig{Limits: kqserver.Limits{RequestBytes: budget, Connections: connections, HTTP2Connections: connections, ReceiveBuffer: 32 << 10, Backlog: 16}})
	s, err := kqserver.StartWith(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			if _, err := io.ReadAll(r.Body); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(w, strings.Repeat("x", largeAnswer))
			return
		}
		_, _ = io.WriteString(w, "done")
	}))
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

// client is one connection to the server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(g Gomega, s *kqserver.Server) *client {
	c, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// post sends a request with a declared length and a part of its body.
func (c *client) post(path string, length, sent int, headers string) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s", path, length, headers, strings.Repeat("x", sent))
	return err
}

// answer returns the result code of the next answer, or its status if it has none; 0 if the connection ends.
func (c *client) answer() string {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "closed"
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if code := r.Header.Get("Kq-Result"); code != "" {
		return code
	}
	return r.Status
}

// requestBytes returns the memory that the requests to a server are taken to occupy.
func requestBytes(g Gomega, s *kqserver.Server) float64 {
	r := prometheus.NewRegistry()
	r.MustRegister(s.Guard())
	families, err := r.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		if f.GetName() == "kumquatswitch_server_request_bytes" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return 0
}

// Two clients have sent all but the last byte of their bodies when a third one sends a whole body. Guards against a
// server that refuses the third one, or lets the memory grow.
func TestAClientThatStopsShortKeepsOthersOut(t *testing.T) {
	for name, chunked := range map[string]bool{"declared length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(g, kqserver.Config{})
			defer s.Kill()
			stalled := []*client{dial(g, s), dial(g, s)}
			for n, c := range stalled {
				if chunked {
					_, _ = fmt.Fprintf(c, "POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", largeBody, strings.Repeat("x", largeBody-1))
				} else {
					_ = c.post("/read", largeBody, largeBody-1, "")
				}
				defer c.Close()
				// The server has read the body before the next one begins.
				g.Eventually(func() float64 { return requestBytes(g, s) }).Should(BeNumerically(">", 3*(largeBody-lastRead)*(n+1)))
			}
			third := dial(g, s)
			defer third.Close()
			_ = third.post("/read", largeBody, largeBody, "")
			g.Expect(third.answer()).To(Equal("200 OK"))
			// The first one has held as much for longer.
			g.Expect(stalled[0].answer()).To(Equal("113"))
			g.Expect(stalled[0].answer()).To(Equal("closed"))
			_, _ = stalled[1].Write([]byte("x\r\n0\r\n\r\n")[:map[bool]int{false: 1, true: 8}[chunked]])
			g.Expect(stalled[1].answer()).To(Equal("200 OK"))
		})
	}
}

// More connections arrive than the server may have. Guards against a server that closes those whose requests it is
// working on, or that accepts no more.
func TestConnectionsWithoutARequestKeepOthersOut(t *testing.T) {
	g := NewWithT(t)
	s := start(g, kqserver.Config{})
	defer s.Kill()
	var idle []*client
	for range connections {
		idle = append(idle, dial(g, s))
		defer idle[len(idle)-1].Close()
	}
	c := dial(g, s)
	defer c.Close()
	_ = c.post("/read", 1, 1, "")
	g.Expect(c.answer()).To(Equal("200 OK"))
	g.Expect(idle[0].answer()).To(Equal("closed"))
	_ = idle[connections-1].post("/read", 1, 1, "")
	g.Expect(idle[connections-1].answer()).To(Equal("200 OK"))
}

// A body does not arrive in the time that its request has. Guards against a request without a limit on that time, and
// against one that ends before it.
func TestABodyThatDoesNotArriveIsWaitedForWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	const timeout = 300 * time.Millisecond
	s := start(g, kqserver.Config{Timeout: func(r *http.Request) time.Duration {
		if r.Header.Get("Patient") != "" {
			return time.Hour
		}
		return timeout
	}})
	defer s.Kill()
	patient, late := dial(g, s), dial(g, s)
	defer patient.Close()
	defer late.Close()
	began := time.Now()
	_ = patient.post("/read", 2, 1, "Patient: yes\r\n")
	_ = late.post("/read", 2, 1, "")
	g.Expect(late.answer()).To(Equal("114"))
	g.Expect(time.Since(began)).To(BeNumerically(">=", timeout))
	_, _ = patient.Write([]byte("x"))
	g.Expect(patient.answer()).To(Equal("200 OK"))
}

// A handler answers without reading the body. Guards against an answer that waits for the rest of the body, and against
// a connection that is closed although the whole body has arrived.
func TestAnAnswerWaitsForABodyThatNobodyReads(t *testing.T) {
	for name, x := range map[string]struct {
		sent  int
		after string
	}{
		"a short body that has arrived": {100, "200 OK"},
		"a short body that has not":     {50, "closed"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(g, kqserver.Config{})
			defer s.Kill()
			c := dial(g, s)
			defer c.Close()
			_ = c.post("/ignore", 100, x.sent, "")
			g.Expect(c.answer()).To(Equal("200 OK"))
			_ = c.post("/read", 1, 1, "")
			g.Expect(c.answer()).To(Equal(x.after))
		})
	}
}

// A client sends a large body and reads the answer only when it has sent all of it. Guards against a refusal that is
// lost because the connection is reset over the unread rest, which the client sees as an error of its write.
func TestARefusalIsLostBehindABodyThatNobodyReads(t *testing.T) {
	g := NewWithT(t)
	s := start(g, kqserver.Config{})
	defer s.Kill()
	for range 5 {
		c := dial(g, s)
		g.Expect(c.post("/ignore", hugeBody, hugeBody, "")).To(Succeed())
		g.Expect(c.answer()).To(Equal("200 OK"))
		_ = c.Close()
	}
}

// Guards against limits of which a client inside the platform's limits can meet one, or which exceed the memory.
func TestLimitsFollowFromTheResources(t *testing.T) {
	for _, x := range []struct {
		memoryMB    int64
		descriptors int
		body        int64
		connections int
	}{
		{284, 4100, 256 << 10, 1000}, {184, 4100, 256 << 10, 700}, {536, 8192, 256 << 10, 1000}, {152, 4096, 4 << 20, 600}, {8192, 700, 8 << 20, 244},
	} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", x.memoryMB, x.descriptors), func(t *testing.T) {
			g := NewWithT(t)
			memory := x.memoryMB << 20
			l := kqserver.Resources{MemoryBytes: memory, Descriptors: x.descriptors, LargestRequest: x.body}.Limits()
			g.Expect(l.Admits(x.body)).To(BeTrue())
			g.Expect(l.Connections).To(BeNumerically(">=", x.connections))
			g.Expect(l.Connections).To(BeNumerically("<", x.descriptors-200))
			g.Expect(l.RequestBytes + int64(l.Connections+l.Backlog)*int64(2*l.ReceiveBuffer)).To(BeNumerically("<=", memory/2))
		})
	}
}

// A client declares a body that it does not send, and reads nothing of a large answer to it. Guards against another one
// that waits for the little that its request holds until it has read the answer.
func TestAClientWaitsForAnotherThatDoesNotReadItsAnswer(t *testing.T) {
	g := NewWithT(t)
	s := start(g, kqserver.Config{})
	defer s.Kill()
	silent, other := dial(g, s), dial(g, s)
	defer silent.Close()
	defer other.Close()
	const header = 16 << 10
	_ = silent.post("/large", 1, 0, "Padding: "+strings.Repeat("x", header)+"\r\n")
	g.Eventually(func() float64 { return requestBytes(g, s) }).Should(BeNumerically("~", header, 1<<10))
	// What the body occupies exceeds the budget only together with that header. It is refused, or admitted if the first
	// request had to make room before its answer began.
	_ = other.post("/read", (budget-header/2)/3, (budget-header/2)/3, "")
	g.Expect(other.answer()).To(BeElementOf("113", "200 OK"))
}
