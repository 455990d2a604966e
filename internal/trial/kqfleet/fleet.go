package kqfleet

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqentry"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqserver"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtrace"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqservice"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqstore"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Config sets up a Fleet.
type Config struct {
	// Users is the users whose workers are started.
	Users []User
	// Entries is how many entries are started.
	Entries int
	// Cells is how many cells the workers are grouped into; 0 means 1.
	Cells int
	// Seed draws service times and faults.
	Seed uint64
	// Spread is the standard deviation of the logarithm of service times.
	Spread float64
	// Relays puts a relay in front of each agent, whose connections can be
	// silenced.
	Relays bool
	// LinkDelay is the time of a message through a relay, one way.
	LinkDelay time.Duration
	// Policy orders the endpoints for calls.
	Policy kqroute.Policy
	// Hedge bounds the calls sent twice.
	Hedge kqretry.BudgetConfig
	// Uncontrolled switches throttling and placement by interference off.
	Uncontrolled bool
	// Behaviours is how the families really behave.
	Behaviours map[string]kqhost.Behaviour
	// Identity secures the connections of all processes; nil leaves them unencrypted.
	Identity *kqtls.Identity
	// Operators guards the operators' API; the zero value guards nothing.
	Operators kqtoken.File
	// DrainBound is the longest time for a drain.
	DrainBound time.Duration
	// Logger receives the events; nil logs nothing.
	Logger *zap.Logger
	// Tracer makes spans; may be nil.
	Tracer *kqtrace.Tracer
}

// Fleet is a running fleet.
type Fleet struct {
	// Table is the stand-in of the table.
	Table *kqstore.Table
	// Objects is the stand-in of the object store.
	Objects *kqstore.Objects
	// Store is the faults of both.
	Store *kqfault.Switches
	// Ledger records the tasks that really ran.
	Ledger *kqhost.Ledger
	// Records is the calls that really ran, by user.
	Records map[string]*kqservice.Ledger
	// Counter is the breaches seen by all processes.
	Counter *kqinvariant.Counter
	// Workers is the hosts.
	Workers []*Worker

	config      Config
	storeServer *kqserver.Server
	storeClient *http.Client

	mu      sync.Mutex
	entries []*kqentry.Entry
	slow    map[string]float64
}

const defaultDrainBound = 30 * time.Second

// Start starts a fleet.
func Start(c Config) (*Fleet, error) {
	c.Cells = max(1, c.Cells)
	if c.DrainBound == 0 {
		c.DrainBound = defaultDrainBound
	}
	faults := kqfault.New(c.Seed)
	f := &Fleet{config: c, Store: faults, Table: kqstore.NewTable(faults), Objects: kqstore.NewObjects(faults), Ledger: kqhost.NewLedger(),
		Records: map[string]*kqservice.Ledger{}, Counter: &kqinvariant.Counter{}, storeClient: kqlink.NewClient(), slow: map[string]float64{}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewTableServiceHandler(kqstore.TableService{Table: f.Table}))
	mux.Handle(kqwire.NewObjectServiceHandler(kqstore.ObjectService{Objects: f.Objects}))
	mux.Handle(kqwire.NewFaultServiceHandler(f.Store))
	s, err := kqserver.Start(loopback, mux)
	if err != nil {
		return err
	}
	f.storeServer = s
	for i := range f.config.Entries {
		if err := f.StartEntry(i); err != nil {
			return err
		}
	}
	for _, u := range f.config.Users {
		f.Records[u.Name] = kqservice.NewLedger()
		for i := range u.Workers {
			if err := f.addWorker(u, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// usageLag is how old the use that hosts report is.
const usageLag = 2 * time.Second

func (f *Fleet) addWorker(u User, i int) error {
	name := fmt.Sprintf("%s-%02d", u.Name, i+1)
	w := &Worker{Name: name, fleet: f, user: u, index: i, Faults: kqfault.New(f.config.Seed + uint64(i))}
	objects := kqobject.Remote(kqwire.NewObjectServiceClient(f.storeClient, kqlink.URL(f.storeServer.Addr()), kqlink.ClientOptions()...))
	w.Host = kqhost.New(kqhost.Config{ID: name, Capacity: u.Capacity, Behaviours: f.config.Behaviours, Objects: objects,
		Ledger: f.Ledger, Faults: w.Faults, UsageLag: usageLag})
	if err := w.startRuntime(); err != nil {
		return err
	}
	f.Workers = append(f.Workers, w)
	if f.config.Relays {
		relay, err := kqfault.NewRelay(f.config.LinkDelay)
		if err != nil {
			return err
		}
		w.relay = relay
	}
	return w.StartAgent()
}

// StartEntry starts entry number i, or starts it again.
func (f *Fleet) StartEntry(i int) error {
	zone := ""
	if len(f.config.Users) > 0 {
		zone = f.config.Users[0].Zones[i%len(f.config.Users[0].Zones)]
	}
	id := fmt.Sprintf("entry-%d", i+1)
	e, err := kqentry.Start(kqentry.Config{ID: id, Zone: zone, Listen: loopback, Cells: f.config.Cells, Seeds: f.seeds(), Identity: f.config.Identity, OperatorToken: f.config.Operators,
		Table:          kqtable.Remote(kqwire.NewTableServiceClient(f.storeClient, kqlink.URL(f.storeServer.Addr()), kqlink.ClientOptions()...)),
		CrossZoneDelay: kqentry.DefaultCrossZoneDelay, Policy: f.config.Policy, Hedge: f.config.Hedge, DefaultDeadline: kqentry.DefaultDeadline,
		MaxBody: kqentry.DefaultMaxBody, DrainTimeout: f.config.DrainBound, Seed: f.config.Seed + uint64(i), Now: time.Now,
		Events: f.events(id), Tracer: f.config.Tracer, Counter: f.Counter})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.entries) <= i {
		f.entries = append(f.entries, nil)
	}
	f.entries[i] = e
	return nil
}

// Entries returns the entries that run.
func (f *Fleet) Entries() []*kqentry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*kqentry.Entry
	for _, e := range f.entries {
		if e != nil {
			out = append(out, e)
		}
	}
	return out
}

// ReadyEntries returns the entries that the platform's balancer sends calls to.
func (f *Fleet) ReadyEntries() []*kqentry.Entry {
	var out []*kqentry.Entry
	for _, e := range f.Entries() {
		if e.Ready() {
			out = append(out, e)
		}
	}
	return out
}

// TakeEntry removes entry number i from those that get calls and returns it.
func (f *Fleet) TakeEntry(i int) *kqentry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[i]
	f.entries[i] = nil
	return e
}

func (f *Fleet) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range f.Entries() {
		out = append(out, e.Addr())
	}
	return out
}

// SetSlowdown stretches the service times of a worker beyond what its tasks do.
func (f *Fleet) SetSlowdown(worker string, by float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[worker] = by
}

func (f *Fleet) slowdown(worker string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.slow[worker]; ok {
		return s
	}
	return 1
}

// Close ends everything at once.
func (f *Fleet) Close() {
	var g sync.WaitGroup
	for _, e := range f.Entries() {
		g.Go(e.Kill)
	}
	for _, w := range f.Workers {
		g.Go(w.close)
	}
	g.Wait()
	if f.storeServer != nil {
		f.storeServer.Kill()
	}
	f.storeClient.CloseIdleConnections()
}
