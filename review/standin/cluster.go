package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a process of the project.
type process struct {
	cluster  *cluster
	name     string
	ip       string
	command  []string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// cluster is a small deployment on loopback addresses: the project's entries and agents as processes,
// and stand-ins of the store and the workers in this process.
type cluster struct {
	record  *recorder
	dir     string
	prefix  string
	store   *store
	server  *http.Server
	address string
	// adviser is the service at `advice`.
	adviser *http.Server
	advice  string
	workers []*workerHost
	agents  []*process
	entries []*process
	fronts  []string

	mu      sync.Mutex
	version int
	queues  []string
}

const (
	hostName    = "jobs.example"
	serviceName = "svc"
	// advisedQueue is the name of queues that have advice.
	advisedQueue = "advised"
)

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	return port, err
}

// commands reads the commands of the roles from the deploy file.
func commands() (map[string][]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	out, role := map[string][]string{}, ""
	for _, line := range strings.Split(string(b), "\n") {
		if s, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(s, "]")
		}
		if s, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			out[role] = strings.Fields(strings.Trim(s, `"`))
		}
	}
	if len(out["entry"]) == 0 || len(out["agent"]) == 0 {
		return nil, errors.New("deploy/system.toml: no commands of entry and agent")
	}
	return out, nil
}

// size describes a deployment.
type size struct {
	agents, entries int
	cpu, memMB      int64
	racks           int
	// labelled is true if the last worker has a label of its own.
	labelled bool
	// larger is true if one worker is one and a half times as large.
	larger bool
}

// specialLabel is the label of the last worker of a labelled deployment.
const specialLabel = "big"

func newCluster(record *recorder, x size) (*cluster, error) {
	run, err := commands()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, dir: dir, store: newStore(), prefix: fmt.Sprintf("127.%d.%d", 10+os.Getpid()/250%200, os.Getpid()%250)}
	ip := func(n int) string { return fmt.Sprintf("%s.%d", c.prefix, n) }
	l, err := net.Listen("tcp", ip(250)+":0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	c.server = &http.Server{Handler: c.store.handler()}
	go func(l net.Listener) { _ = c.server.Serve(l) }(l)
	if l, err = net.Listen("tcp", ip(251)+":0"); err != nil {
		return nil, err
	}
	c.advice = l.Addr().String()
	c.adviser = &http.Server{Handler: (&policy{callers: map[string]*sync.Mutex{}}).handler()}
	go func(l net.Listener) { _ = c.adviser.Serve(l) }(l)
	for i := range x.agents {
		a, host := ip(10+i), ip(110+i)
		ports := make([]string, 3)
		for n, at := range []string{a, a, host} {
			if ports[n], err = freePort(at); err != nil {
				return nil, err
			}
		}
		name := fmt.Sprintf("side-%d", i+1)
		h := &workerHost{name: name, ip: host, address: host + ":" + ports[2], control: a + ":" + ports[0], service: serviceName, zone: "z1", rack: fmt.Sprintf("r1-%d", i%max(1, x.racks)), cpu: x.cpu, memMB: x.memMB, kind: "a", record: record}
		if x.larger && i == 2 {
			h.cpu, h.memMB = x.cpu*3/2, x.memMB*3/2
		}
		if x.labelled && i == x.agents-1 {
			h.kind = specialLabel
		}
		c.workers = append(c.workers, h)
		p := &process{cluster: c, name: name, ip: a, command: run["agent"]}
		p.settings = c.settings(p, "side", ports[1], fmt.Sprintf("app = %q\n", h.address), fmt.Sprintf("control = %q\n", h.control))
		c.agents = append(c.agents, p)
	}
	for i := range x.entries {
		a := ip(1 + i)
		ports := make([]string, 3)
		for n := range ports {
			if ports[n], err = freePort(a); err != nil {
				return nil, err
			}
		}
		p := &process{cluster: c, name: fmt.Sprintf("front-%d", i+1), ip: a, command: run["entry"]}
		p.settings = c.settings(p, "front", ports[2], "", fmt.Sprintf("front = \"%s:%s\"\nready = \"%s:%s\"\n", a, ports[0], a, ports[1]))
		c.entries = append(c.entries, p)
		c.fronts = append(c.fronts, a+":"+ports[0])
	}
	return c, nil
}

// settings returns a settings file as the pages describe it.
func (c *cluster) settings(p *process, class, port, extra, listen string) string {
	return fmt.Sprintf("node = %q\nrole = %q\nclass = %q\nserves = [%q]\nip = %q\nzone = \"z1\"\nregion = \"r1\"\nportRange = [%s,%s]\nseeds = []\nbootstrap = true\nlossCounts = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\n",
		p.name, class, class, class, p.ip, port, port) +
		"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"rpc\"\n" + fmt.Sprintf("advice = %q\n", c.advice) + extra +
		"[zones]\nz1 = \"r1\"\n[listen]\n" + listen +
		"[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n" +
		"[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nholdMaxMs = 10000\nstopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 1.5\ncheckpointS = 1\nrestoreMs = 600\nnoticeMs = 4500\nmoveS = 1.5\nmaintenanceS = 2\nfencingRequired = false\nleaseMs = 3000\nthawMs = 300\npaceMs = 100\nharmMs = 4000\n" +
		fmt.Sprintf("[platform]\naddress = %q\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxnMs = 4.0\npartWritesPerS = 250\nrowBytes = 65536\nacross = true\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\nblobMbPerS = 80.0\n", c.address)
}

// start starts the process.
func (p *process) start() error {
	path := filepath.Join(p.cluster.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.cluster.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATSWITCH_NODE_FILE=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	p.cluster.record.add("process %s: started", p.name)
	return nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.cmd = nil
	p.cluster.record.add("process %s: killed", p.name)
}

// configure writes a manifest with one queue for each name, as the operator does.
func (c *cluster) configure(queues ...string) uint64 {
	c.mu.Lock()
	c.version += 3
	version := c.version
	c.queues = append([]string(nil), queues...)
	c.mu.Unlock()
	var routes []map[string]any
	for _, q := range queues {
		r := map[string]any{"name": q, "host": hostName, "pathPrefix": "/" + q + "/", "service": serviceName, "priority": 1, "attempts": 4, "stretch": 2.0, "targetLatencyMs": 250}
		if q == advisedQueue {
			r["advice"] = map[string]any{"decideMs": adviceDecide.Milliseconds(), "periodMs": adviceEach.Milliseconds(), "validMs": adviceValid.Milliseconds()}
		}
		routes = append(routes, r)
	}
	ver := c.store.put("op", "config", map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, "admissionCheck": false}}, "limits": map[string]any{"maxBodyBytes": 262144}})
	c.record.add("operator: manifest version %d with the queues %v is stored", version, queues)
	return ver
}

// start starts the workers and processes, and waits until all agents hold a lease and the entries serve.
func (c *cluster) start(queues ...string) error {
	c.configure(queues...)
	for _, h := range c.workers {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process(nil), c.agents...), c.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		ready := 0
		for _, h := range c.workers {
			w := h.worker()
			w.mu.Lock()
			if w.deadline > 0 {
				ready++
			}
			w.mu.Unlock()
		}
		served := 0
		for _, f := range c.fronts {
			if status, _ := c.call(context.Background(), f, http.MethodGet, "/"+queues[0]+"/", ""); status == http.StatusOK {
				served++
			}
		}
		if ready == len(c.workers) && served == len(c.fronts) {
			time.Sleep(4 * time.Second)
			return nil
		}
	}
	return errors.New("the deployment did not become ready")
}

// close ends all processes.
func (c *cluster) close() {
	for _, p := range append(append([]*process(nil), c.agents...), c.entries...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range append(append([]*process(nil), c.agents...), c.entries...) {
		if p.cmd != nil {
			<-p.done
		}
	}
	_ = c.server.Close()
	_ = c.adviser.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// maxPlay is the time after which a case that has not ended is broken off.
const maxPlay = 115 * time.Second

// watch ends all processes if the case is stopped or takes too long.
func (c *cluster) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxPlay):
		}
		c.record.add("the case was broken off")
		c.record.close()
		c.close()
		os.Exit(exitNotRun)
	}()
}

// owner returns the agent that owns the cell by the store's row.
func (c *cluster) owner() *process {
	r, ok := c.store.get("cells", "kq", "cell-0.owner")
	if !ok {
		return nil
	}
	var o struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(r.Value, &o)
	for _, p := range c.agents {
		if p.ip == o.Name {
			return p
		}
	}
	return nil
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}

// call sends a request to an entry. The status is 0 if there was no answer.
func (c *cluster) call(ctx context.Context, front, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("X-Timeout-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	a, err := client.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// submit hands a job in, and again while its outcome is not known.
func (c *cluster) submit(queue, id, body string) bool {
	for attempt := range 8 {
		status, _ := c.call(context.Background(), c.fronts[attempt%len(c.fronts)], http.MethodPost, "/"+queue+"/"+id, body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		}
	}
	return false
}

// state returns the state of a job.
func (c *cluster) state(queue, id string) string {
	status, body := c.call(context.Background(), c.fronts[0], http.MethodGet, "/"+queue+"/"+id, "")
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &s) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return s.State
}
