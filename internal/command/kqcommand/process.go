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

// common is the settings that every process has.
type common struct {
	id        string
	zone      string
	listen    netip.AddrPort
	advertise netip.AddrPort
	table     netip.AddrPort
	entries   []netip.AddrPort
	cells     int
	identity  identity
	logLevel  string
	trace     string
	drain     time.Duration
}

func (c *common) declare(s *kqsettings.Set, drain time.Duration) {
	s.Text(&c.id, "id", "", "name of this process, the same over restarts")
	s.Text(&c.zone, "zone", "", "availability zone of this host")
	s.AddrPort(&c.listen, "listen", "", "address to serve on")
	s.AddrPort(&c.advertise, "advertise", "", "address that others use, if it is not the one to serve on")
	s.AddrPort(&c.table, "table", "", "address of the platform's table")
	s.AddrPorts(&c.entries, "entries", "", "entries that are known to start with")
	s.Int(&c.cells, "cells", 1, 1, 1024, "how many cells the workers are grouped into, the same in every process")
	c.identity.declare(s)
	s.Choice(&c.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "least level of what is logged")
	s.Choice(&c.trace, "trace", "off", []string{"off", "stderr"}, "where traces go")
	s.Duration(&c.drain, "drain-bound", drain, time.Second, time.Hour, "longest time for a graceful shutdown")
}

// plumbing is what a process gets from its common settings.
type plumbing struct {
	logger *zap.Logger
	events *kqevent.Log
	tracer *kqtrace.Tracer
	table  kqtable.Table
	// identity is nil if connections are unencrypted.
	identity *kqtls.Identity
}

func (c *common) plumbing() (*plumbing, error) {
	logger, err := newLogger(c.logLevel)
	if err != nil {
		return nil, err
	}
	t := kqtrace.Config{Process: c.id}
	if c.trace == "stderr" {
		t.Writer = os.Stderr
	}
	tracer, err := kqtrace.New(t)
	if err != nil {
		return nil, err
	}
	events := kqevent.New(kqevent.Config{Process: c.id, Logger: logger})
	identity, err := c.identity.load(func(err error) {
		text := "in force"
		if err != nil {
			text = "the earlier ones stay: " + err.Error()
		}
		events.Emit(time.Now(), kqevent.CertificatesReloaded, kqevent.Process(c.id), "%s", text)
	})
	if err != nil {
		return nil, err
	}
	return &plumbing{logger: logger, tracer: tracer, events: events, identity: identity,
		table: kqtable.Remote(kqwire.NewTableServiceClient(kqlink.NewClient(), kqlink.URL(c.table), kqlink.ClientOptions()...))}, nil
}

func (p *plumbing) close() {
	_ = p.tracer.Close(context.Background())
	_ = p.logger.Sync()
}

// awaitSignal waits for SIGTERM or SIGINT.
func awaitSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func (a *app) entry() *command {
	var s common
	var deadline time.Duration
	var maxBody int
	var operators kqtoken.File
	c := newCommand(&cobra.Command{Use: "entry", Args: cobra.NoArgs, Short: "Run an entry: callers, jobs and operators"})
	s.declare(c.settings, 30*time.Second)
	c.settings.Duration(&deadline, "default-deadline", kqentry.DefaultDeadline, time.Millisecond, 10*time.Minute, "deadline of calls that state none")
	c.settings.Int(&maxBody, "max-body", int(kqentry.DefaultMaxBody), 1, 64<<20, "largest request body in bytes")
	c.settings.Text(&operators.Path, "operator-token-file", "", tokenUsage)
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := c.settings.Require("id", "zone", "listen", "table"); err != nil {
			return err
		}
		if err := operators.Validate(); err != nil {
			return failed(kqresult.Errorf(kqresult.BadSettings, "operator-token-file: %v", err))
		}
		p, err := s.plumbing()
		if err != nil {
			return failed(err)
		}
		defer p.close()
		e, err := kqentry.Start(kqentry.Config{ID: s.id, Zone: s.zone, Listen: s.listen, Advertise: s.advertise, Cells: s.cells,
			Seeds: s.entries, Identity: p.identity, OperatorToken: operators, Table: p.table, CrossZoneDelay: kqentry.DefaultCrossZoneDelay, Hedge: kqretry.DefaultHedgeBudget,
			DefaultDeadline: deadline, MaxBody: int64(maxBody), DrainTimeout: s.drain, Seed: uint64(time.Now().UnixNano()),
			Now: time.Now, Events: p.events, Tracer: p.tracer, Counter: &kqinvariant.Counter{}})
		if err != nil {
			return failed(err)
		}
		awaitSignal(cmd.Context())
		return failed(e.Drain(context.Background()))
	}
	return c
}

func (a *app) agent() *command {
	var s common
	var rack string
	var runtime netip.AddrPort
	c := newCommand(&cobra.Command{Use: "agent", Args: cobra.NoArgs, Short: "Run the agent of a worker"})
	s.declare(c.settings, 2*time.Minute)
	c.settings.Text(&rack, "rack", "", "rack within the availability zone")
	c.settings.AddrPort(&runtime, "runtime", "", "address of the worker's task runtime")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := c.settings.Require("id", "zone", "rack", "listen", "table", "runtime"); err != nil {
			return err
		}
		p, err := s.plumbing()
		if err != nil {
			return failed(err)
		}
		defer p.close()
		x, err := kqagent.Start(kqagent.Config{Worker: s.id, Zone: s.zone, Rack: rack, Listen: s.listen, Advertise: s.advertise,
			Cells: s.cells, Seeds: s.entries, Identity: p.identity, Table: p.table,
			Runtime:    kqruntime.Remote(kqwire.NewRuntimeServiceClient(kqlink.NewClient(), kqlink.URL(runtime), kqlink.ClientOptions()...)),
			Throttling: true, Interference: true, DrainTimeout: s.drain, Now: time.Now, Events: p.events, Tracer: p.tracer,
			Counter: &kqinvariant.Counter{}})
		if err != nil {
			return failed(err)
		}
		awaitSignal(cmd.Context())
		return failed(x.Drain(context.Background()))
	}
	return c
}

// standinSettings is the settings of a stand-in.
type standinSettings struct {
	part       string
	listen     netip.AddrPort
	id         string
	objects    netip.AddrPort
	agent      netip.AddrPort
	classes    string
	processors int
	memory     int
	delay      time.Duration
	down       bool
	lose       int
	identity   identity
}

func (a *app) standin() *command {
	var s standinSettings
	c := newCommand(&cobra.Command{Use: "standin", Args: cobra.NoArgs, Short: "Run a stand-in of the platform for tests and trials"})
	c.settings.Choice(&s.part, "part", "store", []string{"store", "runtime", "endpoint"}, "what to stand in for: table and object store, a worker's runtime, or an endpoint")
	c.settings.AddrPort(&s.listen, "listen", "", "address to serve on (not for an endpoint, which takes a free port)")
	c.settings.Text(&s.id, "id", "standin", "name of the worker or endpoint")
	c.settings.AddrPort(&s.objects, "objects", "", "address of the object store, for a runtime")
	c.settings.AddrPort(&s.agent, "agent", "", "address of the agent, for an endpoint")
	c.settings.Text(&s.classes, "classes", "lockdesk", "classes that an endpoint answers, separated by commas")
	c.settings.Int(&s.processors, "processors", 64, 1, 1024, "processors of a runtime's host")
	c.settings.Int(&s.memory, "memory-gigabytes", 250, 1, 100_000, "memory of a runtime's host")
	c.settings.Duration(&s.delay, "delay", 0, 0, time.Minute, "delay before each request takes effect")
	c.settings.Bool(&s.down, "down", false, "refuse every request")
	s.identity.declare(c.settings)
	c.settings.Int(&s.lose, "lose-answers-percent", 0, 0, 100, "share of writes whose answer is lost after they took effect")
	c.cobra.RunE = func(cmd *cobra.Command, _ []string) error { return failed(a.runStandin(cmd.Context(), c.settings, s)) }
	return c
}

func (a *app) runStandin(ctx context.Context, set *kqsettings.Set, s standinSettings) error {
	f := kqfault.New(1)
	f.Set(kqfault.State{Down: s.down, Delay: s.delay, LoseAnswers: float64(s.lose) / 100})
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewFaultServiceHandler(f))
	switch s.part {
	case "endpoint":
		return runEndpoint(ctx, set, s)
	case "store":
		mux.Handle(kqwire.NewTableServiceHandler(kqstore.TableService{Table: kqstore.NewTable(f)}))
		mux.Handle(kqwire.NewObjectServiceHandler(kqstore.ObjectService{Objects: kqstore.NewObjects(f)}))
	case "runtime":
		if err := set.Require("objects"); err != nil {
			return err
		}
		mux.Handle(kqwire.NewRuntimeServiceHandler(kqhost.Service{Now: time.Now, Host: kqhost.New(kqhost.Config{ID: s.id, BootSalt: kqprocess.NewBootID() + "-",
			Capacity: kqmodel.Resources{MilliProcessors: int64(s.processors) * 1000, MemoryBytes: int64(s.memory) * 1_000_000_000},
			Objects:  kqobject.Remote(kqwire.NewObjectServiceClient(kqlink.NewClient(), kqlink.URL(s.objects), kqlink.ClientOptions()...)),
			Ledger:   kqhost.NewLedger(), Faults: f, UsageLag: 2 * time.Second})}))
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

// Shape of the endpoint that the stand-in serves.
const (
	standinSlots       = 8
	standinConnections = 64
	standinServiceTime = 20 * time.Millisecond
	standinSpread      = 0.3
	leaveTimeout       = 5 * time.Second
)

func runEndpoint(ctx context.Context, set *kqsettings.Set, s standinSettings) error {
	if err := set.Require("agent"); err != nil {
		return err
	}
	own, err := s.identity.load(nil)
	if err != nil {
		return err
	}
	e, err := kqservice.Start(kqservice.Config{ID: s.id, Dialer: kqlink.Dialer{TLS: own.ClientConfig()}, Classes: splitList(s.classes), Slots: standinSlots, Connections: standinConnections,
		ServiceTime: standinServiceTime, LogStdDev: standinSpread, Agent: s.agent, Seed: 1, Ledger: kqservice.NewLedger()})
	if err != nil {
		return err
	}
	awaitSignal(ctx)
	leave, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.AnnounceLeaving(leave)
	e.Kill()
	return nil
}
