package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"ausspan", "klein-wh", "eros", "katutura"}

// host is the Host header of all routes.
const host = "lockers.example"

// machine is a machine of the deployment with one process of the project.
type machine struct {
	name, class, zone, ip string
	front, ready          string // of a front machine
	control, app          string // of a side machine
	settings              string
	worker                *worker

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// deployment is a small deployment: 4 front machines and 11 side machines with a worker each, a store and
// the platform's balancer, all on loopback addresses.
type deployment struct {
	program string
	folder  string
	store   *store
	advice  *advice
	fronts  []*machine
	sides   []*machine

	mu        sync.Mutex
	durations map[string]time.Duration // by job; 0: its tasks last
	starts    map[string][]start
	advised   map[string]bool // the jobs of queues with advice
	// advisedQueues holds the queues with advice.
	advisedQueues map[string]bool
}

// start is a start of a task of a job, as its worker has seen it.
type start struct {
	worker string
	at     time.Time
}

// newDeployment sets up the stand-ins of the store and the workers, and the settings files. It starts nothing.
func newDeployment(program string) *deployment {
	folder, err := os.MkdirTemp("", "review3")
	if err != nil {
		unable("%v", err)
	}
	d := &deployment{program: program, folder: folder, store: newStore(), advice: newAdvice(), durations: map[string]time.Duration{}, starts: map[string][]start{}, advised: map[string]bool{}, advisedQueues: map[string]bool{}}
	for n := range 4 {
		d.fronts = append(d.fronts, d.newMachine("front", n, zones[n]))
	}
	for n := range 11 {
		m := d.newMachine("side", n, zones[n/3])
		m.worker = &worker{d: d, machine: m, service: "lockdesk", labels: []string{"a", fmt.Sprintf("r1-%d", 1+n/3)}, cpu: 64_000, memMB: 256_000}
		d.sides = append(d.sides, m)
	}
	return d
}

func (d *deployment) newMachine(class string, n int, zone string) *machine {
	base := map[string]int{"front": 10, "side": 30}[class]
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, n+1), class: class, zone: zone, ip: fmt.Sprintf("127.0.9.%d", base+n)}
	ports := freePorts(m.ip, 6)
	at := func(i int) string { return fmt.Sprintf("%s:%d", m.ip, ports[i]) }
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = %q\nclass = %q\nip = %q\nzone = %q\nregion = \"khomas\"\nportRange = [%d,%d]\nseeds = []\nbootstrap = true\nlossCounts = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\n",
		m.name, map[string]string{"front": "entry", "side": "agent"}[class], class, m.ip, zone, ports[0], ports[1])
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"rpc\"\n")
	fmt.Fprintf(&b, "advice = %q\n", d.advice.serve())
	if class == "front" {
		m.front, m.ready = at(2), at(3)
		fmt.Fprintf(&b, "serves = [\"front\"]\n[listen]\nfront = %q\nready = %q\n[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\n", m.front, m.ready)
	} else {
		m.control, m.app = at(4), at(5)
		fmt.Fprintf(&b, "serves = [\"side\"]\napp = %q\nservice = \"lockdesk\"\n[listen]\ncontrol = %q\n[limits]\ncpuShare = 0.24\ncores = 1\nmemoryMb = 152\nmaxFds = 4096\n", m.app, m.control)
	}
	b.WriteString("[zones]\nausspan = \"khomas\"\nklein-wh = \"khomas\"\neros = \"khomas\"\nkatutura = \"khomas\"\n")
	b.WriteString("[bounds]\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nholdMaxMs = 10000\nstopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 1.5\ncheckpointS = 1\nrestoreMs = 600\nnoticeMs = 4500\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxnMs = 4.0\npartWritesPerS = 250\nrowBytes = 65536\nacross = true\nhistoryS = 20\n", d.store.address)
	m.settings = filepath.Join(d.folder, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(b.String()), 0o600); err != nil {
		unable("%v", err)
	}
	return m
}

// freePorts returns ports of an address that are free, the first two of them in succession.
func freePorts(ip string, count int) []int {
	for port := 20_000 + os.Getpid()%200*50; port < 60_000; port += count {
		var taken bool
		out := make([]int, count)
		for i := range out {
			out[i] = port + i
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, out[i]))
			if err != nil {
				taken = true
				break
			}
			_ = l.Close()
		}
		if !taken {
			return out
		}
	}
	unable("no free ports on %s", ip)
	return nil
}

// start starts the machine's process with the command of the deploy file.
func (d *deployment) start(m *machine) {
	role := map[string]string{"front": "entry", "side": "agent"}[m.class]
	c := exec.Command(d.program, "platform", role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "KUMQUATSWITCH_NODE_FILE=" + m.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(d.logFolder(), m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		unable("%v", err)
	}
	running.Store(c.Process, nil)
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.mu.Unlock()
	go func() {
		_ = c.Wait()
		running.Delete(c.Process)
		_ = log.Close()
		close(exited)
	}()
	record("%s: the process of %s starts", m.name, role)
}

// logFolder is where the processes' own logs go: LOGS if it is set.
func (d *deployment) logFolder() string {
	if f := os.Getenv("LOGS"); f != "" {
		return f
	}
	return d.folder
}

// kill ends a machine's process with SIGKILL.
func (d *deployment) kill(m *machine) {
	m.mu.Lock()
	c, exited := m.process, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
	record("%s: its process is killed", m.name)
}

// route is a route of the manifest.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"pathPrefix"`
	Service    string  `json:"service"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Stretch    float64 `json:"stretch"`
	Target     int64   `json:"targetLatencyMs"`
	Advice     *policy `json:"advice,omitempty"`
}

func newRoute(name string, priority, attempts int) route {
	return route{name, host, "/" + name + "/", "lockdesk", priority, attempts, 1.5, 1000, nil}
}

// apply writes a manifest as the operator.
func (d *deployment) apply(version int, routes ...route) {
	d.store.put("op", "config", map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": "lockdesk", "admissionCheck": false}}, "limits": map[string]any{"maxBodyBytes": 262144}})
	var names []string
	for _, r := range routes {
		names = append(names, r.Name)
		d.advisedQueues[r.Name] = r.Advice != nil
	}
	record("the operator's manifest %d is acknowledged, queues %s", version, strings.Join(names, ", "))
}

// begin starts all machines and workers, waits until the entries are ready, and then lets the deployment settle.
func (d *deployment) begin() {
	for _, m := range slices.Concat(d.fronts, d.sides) {
		d.start(m)
	}
	for _, m := range d.sides {
		m.worker.start()
	}
	ready := time.Now().Add(10 * time.Second)
	for _, m := range d.fronts {
		for !isReady(m) {
			if time.Now().After(ready) {
				unable("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	record("the case is over; all processes and stand-ins are ended")
	for _, m := range slices.Concat(d.fronts, d.sides) {
		d.kill(m)
	}
	for _, m := range d.sides {
		m.worker.crash()
	}
	d.store.close()
	d.advice.close()
	_ = os.RemoveAll(d.folder)
}

// isReady asks a front machine as the platform's balancer does.
func isReady(m *machine) bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"memMb"`
	EstimateMS  int    `json:"estimateMs"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"sameRack,omitempty"`
	PerWorker   int    `json:"antiAffinity,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMS   int64  `json:"startAtMs,omitempty"`
	IntervalMS  int64  `json:"intervalMs,omitempty"`
}

// callTimeout is the requesters' time budget.
const callTimeout = 3 * time.Second

// call sends one request to a front machine and returns the status (0: no answer) and the body.
func (d *deployment) call(m *machine, method, path string, body any) (int, map[string]any) {
	b, _ := json.Marshal(body)
	if body == nil {
		b = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, bytes.NewReader(b))
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Timeout-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		record("%s %s at %s: no answer", method, path, m.name)
		return 0, nil
	}
	defer a.Body.Close()
	out, _ := io.ReadAll(a.Body)
	record("%s %s at %s: %d %s", method, path, m.name, a.StatusCode, bytes.TrimSpace(out))
	var fields map[string]any
	_ = json.Unmarshal(out, &fields)
	return a.StatusCode, fields
}

// submit hands a job in, with retries at other entries, until it is accepted. duration is how long each of its
// tasks works; 0: they last.
func (d *deployment) submit(queue, id string, duration time.Duration, j job) time.Time {
	d.mu.Lock()
	d.durations[id] = duration
	d.advised[id] = d.advisedQueues[queue]
	d.mu.Unlock()
	for n := range 8 {
		if status, _ := d.call(d.fronts[n%len(d.fronts)], http.MethodPost, "/"+queue+"/"+id, j); status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	unable("job %s was not accepted", id)
	return time.Time{}
}

// state asks for the state of a job, at each entry until one answers with 200.
func (d *deployment) state(queue, id string) string {
	for _, m := range d.fronts {
		if status, fields := d.call(m, http.MethodGet, "/"+queue+"/"+id, nil); status == http.StatusOK {
			s, _ := fields["state"].(string)
			return s
		}
	}
	return ""
}

func (d *deployment) isAdvised(job string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.advised[job]
}

func (d *deployment) durationOf(job string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.durations[job]
}

// started records a start of a task of a job.
func (d *deployment) started(job, worker string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts[job] = append(d.starts[job], start{worker, at})
}

// startsOf returns the starts of the tasks of a job so far.
func (d *deployment) startsOf(job string) []start {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.starts[job])
}
