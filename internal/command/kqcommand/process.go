package kqcommand

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqentry"
	"github.com/kumquatswitch/kumquatswitch/internal/host/kqagent"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqprocess"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqsettings"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqservice"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// processSettings holds the settings that entries and agents share.
type processSettings struct {
	id           string
	zone         string
	listen       netip.AddrPort
	advertise    netip.AddrPort
	table        netip.AddrPort
	entries      []netip.AddrPort
	cells        int
	tls          tlsSettings
	logLevel     string
	traceOutput  string
	drainTimeout time.Duration
	// memoryMegabytes is the memory limit of the process; 0 means the memory of the host.
	memoryMegabytes int
}

func (p *processSettings) declare(s *kqsettings.Set, drain time.Duration) {
	s.Text(&p.id, "id", "", "ID of this process, the same after a restart")
	s.Text(&p.zone, "zone", "", "availability zone of this host")
	s.AddrPort(&p.listen, "listen", "", "address to serve on")
	s.AddrPort(&p.advertise, "advertise", "", "address at which other processes reach this one; empty means the address to serve on")
	s.AddrPort(&p.table, "table", "", "address of the platform's table")
	s.AddrPorts(&p.entries, "entries", "", "addresses of entries to contact at start")
	s.Int(&p.cells, "cells", 1, 1, 1024, "number of cells that the workers are divided into; must be the same in every process")
	p.tls.declare(s)
	s.Choice(&p.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.Choice(&p.traceOutput, "trace", "off", []string{"off", "stderr"}, "where traces are written")
	s.Duration(&p.drainTimeout, "drain-bound", drain, time.Second, time.Hour, "timeout of a graceful shutdown")
	declareMemory(s, &p.memoryMegabytes)
}

// declareMemory declares the setting from which the limits on clients follow.
func declareMemory(s *kqsettings.Set, megabytes *int) {
	s.Int(megabytes, "memory-megabytes", 0, 0, 1<<24, "memory limit of this process, from which the limits on connections and requests of clients follow; 0 means the memory of the host")
}

// limitMemory lets the Go runtime collect garbage before the process reaches its memory limit, and returns the limits
// on clients. The largest request body is in bytes.
func limitMemory(megabytes int, largestRequest int64) (kqserver.Limits, error) {
	memory := int64(megabytes) << 20
	kqprocess.LimitMemory(memory)
	limits := kqserver.Resources{MemoryBytes: memory, LargestRequest: largestRequest}.Limits()
	if !limits.Admits(largestRequest) {
		return limits, kqresult.Errorf(kqresult.BadSettings, "memory-megabytes: %d do not suffice for a request body of %d bytes", megabytes, largestRequest)
	}
	return limits, nil
}

// dependencies holds what entries and agents build from their shared settings.
type dependencies struct {
	logger *zap.Logger
	events *kqevent.Log
	tracer *kqtrace.Tracer
	table  kqtable.Table
	// identity is nil if connections are unencrypted.
	identity *kqtls.Identity
}

func (p *processSettings) newDependencies() (*dependencies, error) {
	logger, err := newStderrLogger(p.logLevel)
	if err != nil {
		return nil, err
	}
	t := kqtrace.Config{Process: p.id}
	if p.traceOutput == "stderr" {
		t.Writer = os.Stderr
	}
	tracer, err := kqtrace.New(t)
	if err != nil {
		return nil, err
	}
	events := kqevent.New(kqevent.Config{Process: p.id, Logger: logger})
	identity, err := p.tls.load(func(err error) {
		text := "the new files are in force"
		if err != nil {
			text = "the new files are invalid, the previous ones stay in force: " + err.Error()
		}
		events.Emit(time.Now(), kqevent.CertificatesReloaded, kqevent.Process(p.id), "%s", text)
	})
	if err != nil {
		return nil, err
	}
	return &dependencies{logger: logger, tracer: tracer, events: events, identity: identity,
		table: kqtable.Remote(kqwire.NewTableServiceClient(kqlink.NewClient(), kqlink.URL(p.table), kqlink.ClientOptions()...))}, nil
}

// newGuard returns what limits the clients of the process.
func (d *dependencies) newGuard(id string, limits kqserver.Limits) *kqserver.Guard {
	return kqserver.NewGuard(kqserver.GuardConfig{Limits: limits, Process: id, Events: d.events})
}

func (d *dependencies) close() {
	_ = d.tracer.Close(context.Background())
	_ = d.logger.Sync()
}

// awaitSignal waits for SIGTERM or SIGINT.
func awaitSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func (a *app) entry() *command {
	var s processSettings
	var deadline time.Duration
	var maxBody int
	var operators kqtoken.File
	c := newCommand(&cobra.Command{Use: "entry", Args: cobra.NoArgs, Short: "Run an entry: the API for calls, jobs and operators"})
	s.declare(c.settings, 30*time.Second)
	c.settings.Duration(&deadline, "default-deadline", kqentry.DefaultDeadline, time.Millisecond, 10*time.Minute, "deadline of calls without a Kq-Deadline header")
	c.settings.Int(&maxBody, "max-body", int(kqentry.DefaultMaxBody), 1, 64<<20, "largest request body in bytes")
	c.settings.Text(&operators.Path, "operator-token-file", "", tokenUsage)
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := c.settings.Require("id", "zone", "listen", "table"); err != nil {
			return err
		}
		if err := operators.Validate(); err != nil {
			return wrap(kqresult.Errorf(kqresult.BadSettings, "operator-token-file: %v", err))
		}
		limits, err := limitMemory(s.memoryMegabytes, int64(maxBody))
		if err != nil {
			return wrap(err)
		}
		d, err := s.newDependencies()
		if err != nil {
			return wrap(err)
		}
		defer d.close()
		e, err := kqentry.Start(kqentry.Config{ID: s.id, Zone: s.zone, Listen: s.listen, Advertise: s.advertise, Cells: s.cells,
			Seeds: s.entries, Identity: d.identity, Guard: d.newGuard(s.id, limits), OperatorToken: operators, Table: d.table, CrossZoneDelay: kqentry.DefaultCrossZoneDelay, Hedge: kqretry.DefaultHedgeBudget,
			DefaultDeadline: deadline, MaxBody: int64(maxBody), DrainTimeout: s.drainTimeout, Seed: uint64(time.Now().UnixNano()),
			Now: time.Now, Events: d.events, Tracer: d.tracer, Counter: &kqinvariant.Counter{}})
		if err != nil {
			return wrap(err)
		}
		awaitSignal(cmd.Context())
		return wrap(e.Drain(context.Background()))
	}
	return c
}

func (a *app) agent() *command {
	var s processSettings
	var rack string
	var runtime netip.AddrPort
	c := newCommand(&cobra.Command{Use: "agent", Args: cobra.NoArgs, Short: "Run the agent of a worker"})
	s.declare(c.settings, 2*time.Minute)
	c.settings.Text(&rack, "rack", "", "rack of the worker within the availability zone")
	c.settings.AddrPort(&runtime, "runtime", "", "address of the worker's task runtime")
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := c.settings.Require("id", "zone", "rack", "listen", "table", "runtime"); err != nil {
			return err
		}
		limits, err := limitMemory(s.memoryMegabytes, kqentry.DefaultMaxBody)
		if err != nil {
			return wrap(err)
		}
		d, err := s.newDependencies()
		if err != nil {
			return wrap(err)
		}
		defer d.close()
		agent, err := kqagent.Start(kqagent.Config{Worker: s.id, Zone: s.zone, Rack: rack, Listen: s.listen, Advertise: s.advertise,
			Cells: s.cells, Seeds: s.entries, Identity: d.identity, Guard: d.newGuard(s.id, limits), Table: d.table,
			Runtime:    kqruntime.Remote(kqwire.NewRuntimeServiceClient(kqlink.NewClient(), kqlink.URL(runtime), kqlink.ClientOptions()...)),
			Throttling: true, Interference: true, DrainTimeout: s.drainTimeout, Now: time.Now, Events: d.events, Tracer: d.tracer,
			Counter: &kqinvariant.Counter{}})
		if err != nil {
			return wrap(err)
		}
		awaitSignal(cmd.Context())
		return wrap(agent.Drain(context.Background()))
	}
	return c
}

// standinSettings holds the settings of a stand-in process.
type standinSettings struct {
	role               string
	listen             netip.AddrPort
	id                 string
	objects            netip.AddrPort
	agent              netip.AddrPort
	classes            string
	processors         int
	memoryGigabytes    int
	delay              time.Duration
	unavailable        bool
	lostAnswersPercent int
	tls                tlsSettings
}

func (a *app) standin() *command {
	var s standinSettings
	c := newCommand(&cobra.Command{Use: "standin", Args: cobra.NoArgs, Short: "Run a stand-in of the platform for tests and trials"})
	c.settings.Choice(&s.role, "part", "store", []string{"store", "runtime", "endpoint"}, "what to run: store (table and object store), runtime (task runtime of a worker) or endpoint")
	c.settings.AddrPort(&s.listen, "listen", "", "address to serve on; unused by an endpoint, which takes a free port")
	c.settings.Text(&s.id, "id", "standin", "name of the worker or endpoint")
	c.settings.AddrPort(&s.objects, "objects", "", "address of the object store; required for a runtime")
	c.settings.AddrPort(&s.agent, "agent", "", "address of the agent; required for an endpoint")
	c.settings.Text(&s.classes, "classes", "lockdesk", "classes whose calls an endpoint answers, separated by commas")
	c.settings.Int(&s.processors, "processors", 64, 1, 1024, "processors of the host of a runtime")
	c.settings.Int(&s.memoryGigabytes, "memory-gigabytes", 250, 1, 100_000, "memory of the host of a runtime, in gigabytes")
	c.settings.Duration(&s.delay, "delay", 0, 0, time.Minute, "delay before each request takes effect")
	c.settings.Bool(&s.unavailable, "down", false, "refuse every request")
	s.tls.declare(c.settings)
	c.settings.Int(&s.lostAnswersPercent, "lose-answers-percent", 0, 0, 100, "percentage of writes that take effect but whose answer is lost")
	c.cmd.RunE = func(cmd *cobra.Command, _ []string) error { return wrap(a.runStandin(cmd.Context(), c.settings, s)) }
	return c
}

func (a *app) runStandin(ctx context.Context, set *kqsettings.Set, s standinSettings) error {
	faults := kqfault.New(1)
	faults.Set(kqfault.State{Down: s.unavailable, Delay: s.delay, LoseAnswers: float64(s.lostAnswersPercent) / 100})
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewFaultServiceHandler(faults))
	switch s.role {
	case "endpoint":
		return runEndpoint(ctx, set, s)
	case "store":
		mux.Handle(kqwire.NewTableServiceHandler(kqstore.TableService{Table: kqstore.NewTable(faults)}))
		mux.Handle(kqwire.NewObjectServiceHandler(kqstore.ObjectService{Objects: kqstore.NewObjects(faults)}))
	case "runtime":
		if err := set.Require("objects"); err != nil {
			return err
		}
		mux.Handle(kqwire.NewRuntimeServiceHandler(kqhost.Service{Now: time.Now, Host: kqhost.New(kqhost.Config{ID: s.id, BootSalt: kqprocess.NewBootID() + "-",
			Capacity: kqmodel.Resources{MilliProcessors: int64(s.processors) * 1000, MemoryBytes: int64(s.memoryGigabytes) * 1_000_000_000},
			Objects:  kqobject.Remote(kqwire.NewObjectServiceClient(kqlink.NewClient(), kqlink.URL(s.objects), kqlink.ClientOptions()...)),
			Ledger:   kqhost.NewLedger(), Faults: faults, UsageLag: 2 * time.Second})}))
	}
	if err := set.Require("listen"); err != nil {
		return err
	}
	server, err := kqserver.Start(s.listen, mux)
	if err != nil {
		return err
	}
	awaitSignal(ctx)
	server.Kill()
	return nil
}

// Properties of the stand-in endpoint. Its service times are log-normal with the median
// standinServiceTime; standinLogStdDev is the standard deviation of their logarithm.
const (
	standinSlots       = 8
	standinConnections = 64
	standinServiceTime = 20 * time.Millisecond
	standinLogStdDev   = 0.3
	leaveTimeout       = 5 * time.Second
)

func runEndpoint(ctx context.Context, set *kqsettings.Set, s standinSettings) error {
	if err := set.Require("agent"); err != nil {
		return err
	}
	identity, err := s.tls.load(nil)
	if err != nil {
		return err
	}
	e, err := kqservice.Start(kqservice.Config{ID: s.id, Dialer: kqlink.Dialer{TLS: identity.ClientConfig()}, Classes: splitList(s.classes), Slots: standinSlots, Connections: standinConnections,
		ServiceTime: standinServiceTime, LogStdDev: standinLogStdDev, Agent: s.agent, Seed: 1, Ledger: kqservice.NewLedger()})
	if err != nil {
		return err
	}
	awaitSignal(ctx)
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.AnnounceLeaving(leaveCtx)
	e.Kill()
	return nil
}
