package kqrig_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqadmit"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqrig"
)

// TestSessions guards against unintended changes of the texts that operators and callers see.
// It runs each script of testdata/session and compares the output with the golden file of the
// same name. The flag -update writes the golden files.
func TestSessions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/session/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range scripts {
		name := strings.TrimSuffix(filepath.Base(path), ".script")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			g := goldie.New(t, goldie.WithFixtureDir("testdata/session"), goldie.WithNameSuffix(".golden"))
			g.Assert(t, name, newSession().run(string(text)))
		})
	}
}

// session runs one script in virtual time against a rig, and the configuration and the call
// path of an entry and an agent.
type session struct {
	out       bytes.Buffer
	rig       *kqrig.Rig
	events    *kqevent.Log
	holder    *kqconfig.Holder
	store     kqconfig.Store
	routes    *kqroute.Table
	admission *kqadmit.Gate
	startedAt time.Time
	calls     int
}

func newSession() *session {
	s := &session{events: kqevent.New(kqevent.Config{Process: "owner"})}
	s.rig = kqrig.New(kqrig.Config{Seed: 1, Workers: 3, Events: s.events, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
	s.startedAt = s.rig.Now()
	s.store.Resolver.Table = s.rig.Table.Client()
	s.holder = kqconfig.NewHolder(kqconfig.HolderConfig{Process: "entry"})
	s.routes = kqroute.New(kqroute.Config{Zone: "ausspan"})
	s.admission = kqadmit.New(kqadmit.Config{Slots: 1, Connections: 2, FirstServiceTime: 20 * time.Millisecond})
	return s
}

// printf writes a line with the virtual time since the start of the session.
func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%8.3fs  %s\n", s.rig.Now().Sub(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// run executes a script and returns its output. Each line is a command; the document of apply
// follows on the next lines, up to a line with a dot.
func (s *session) run(script string) []byte {
	lines := bufio.NewScanner(strings.NewReader(script))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) == 0 {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", lines.Text())
		switch f[0] {
		case "apply":
			var doc strings.Builder
			for lines.Scan() && lines.Text() != "." {
				doc.WriteString(lines.Text() + "\n")
			}
			s.apply(f[1], doc.String())
		case "announce":
			s.announce()
		case "call":
			s.call(f[1])
		case "submit":
			s.submit(f)
		case "cancel":
			s.rig.Cancel(f[1])
		case "run":
			d, _ := time.ParseDuration(f[1])
			s.rig.Run(d)
		case "job":
			e := s.rig.Summary(f[1])
			s.printf("%s: finished %d, failed %d, cancelled %d, evictions %d", f[1], e.Finished, e.Failed, e.Cancelled, e.Evictions)
		case "explain":
			s.explain(f[1])
		}
	}
	return s.out.Bytes()
}

// apply applies configuration documents on behalf of an author.
func (s *session) apply(author, doc string) {
	docs, err := kqconfig.Parse([]byte(doc))
	if err != nil {
		s.printf("%v", err)
		return
	}
	r, err := s.store.Apply(context.Background(), s.rig.Now(), kqconfig.ApplyRequest{Documents: docs, Author: author})
	if err != nil {
		s.printf("%v", err)
		return
	}
	for _, c := range r.Changes {
		s.printf("%s version %d accepted with sequence %d", c.Key, c.After.Version, r.Sequence)
	}
	if err := s.store.Refresh(context.Background(), s.rig.Now, s.holder); err != nil {
		s.printf("%v", err)
	}
	s.printf("sequence %d is in force", s.holder.Sequence())
}

// announce announces the only endpoint to the routing table.
func (s *session) announce() {
	s.routes.ApplyAnnouncement(s.rig.Now(), kqroute.Announcement{Worker: "worker-01", Boot: "boot", Zone: "ausspan",
		Address:   netip.MustParseAddrPort("127.0.0.1:7001"),
		Endpoints: []kqroute.Endpoint{{ID: "lockdesk-1", Classes: []string{"lockdesk"}, Connections: 2, Load: s.admission.Load()}}})
}

// call passes one call through the routing, admission and retry decisions of an entry and an
// agent.
func (s *session) call(class string) {
	s.calls++
	now, id := s.rig.Now(), strconv.Itoa(s.calls)
	spec, ok := s.holder.Class(class)
	if !ok {
		s.printf("call %s: no such class", id)
		return
	}
	deadline := now.Add(time.Second)
	plan := kqretry.NewPlan(kqretry.Config{CallID: id, Deadline: deadline, SpendRetry: func() bool { return false }})
	pick, refused := s.routes.Choose(now, kqroute.Request{Class: class, Deadline: deadline, LatencyTarget: spec.Latency.Std()})
	if refused != nil {
		s.printf("call %s: %v", id, plan.Finish(refused).Result)
		return
	}
	s.routes.BeginAttempt(now, pick.Ref)
	attempt := plan.AddAttempt()
	s.printf("call %s: attempt %d to %s", id, attempt, pick.Ref.Endpoint)
	d := s.admission.Admit(now, kqadmit.Request{ID: id, Deadline: deadline, LatencyTarget: spec.Latency.Std()})
	if d.Verdict == kqadmit.Refuse {
		s.printf("call %s: %v", id, plan.OnNotRun(now, attempt, d.Refusal).Result)
		return
	}
	s.rig.Run(15 * time.Millisecond)
	s.admission.Finish(s.rig.Now(), id)
	s.routes.EndAttempt(s.rig.Now(), pick.Ref, kqroute.OutcomeAnswered)
	s.printf("call %s: answered after %s", id, s.rig.Now().Sub(now))
}

// submit runs the command "submit ID TASKS PROCESSORS RUNTIME".
func (s *session) submit(f []string) {
	tasks, err1 := strconv.Atoi(f[2])
	processors, err2 := strconv.Atoi(f[3])
	run, err3 := time.ParseDuration(f[4])
	if err := errors.Join(err1, err2, err3); err != nil {
		s.printf("%v", err)
		return
	}
	s.rig.Submit(job(f[1], uint32(tasks), int64(processors), run), false)
	s.printf("job %s is durable", f[1])
}

// explain prints the recorded events of a task.
func (s *session) explain(task string) {
	for _, e := range s.events.BySubject(kqevent.Task(task)) {
		fmt.Fprintf(&s.out, "%8.3fs  %d %s: %s\n", e.At.Sub(s.startedAt).Seconds(), e.Number, e.Number, e.Text)
	}
}
