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
	// Users lists the users whose workers are started.
	Users []User
	// Entries is the number of entries to start.
	Entries int
	// Cells is the number of cells that the workers are grouped into; 0 means 1.
	Cells int
	// Seed seeds the random service times and faults.
	Seed uint64
	// LogStdDev is the standard deviation of the logarithm of service times.
	LogStdDev float64
	// Relays puts a relay in front of each agent. A relay can silence its connections: they
	// stay open and carry no more data.
	Relays bool
	// RelayDelay is the one-way delay of a relay.
	RelayDelay time.Duration
	// Policy chooses the endpoints of calls.
	Policy kqroute.Policy
	// Hedge is the budget for hedged calls, which are sent to a second endpoint; zero disables
	// hedging.
	Hedge kqretry.BudgetConfig
	// DisableInterferenceControl disables throttling and placement by learned interference.
	DisableInterferenceControl bool
	// Behaviours holds, by job family, the true usage and run time of tasks relative to what
	// their jobs declare, and the interference that they cause.
	Behaviours map[string]kqhost.Behaviour
	// Identity secures the connections of all processes by mutual TLS; nil leaves them
	// unencrypted.
	Identity *kqtls.Identity
	// OperatorToken guards the operators' API; the zero value leaves it open.
	OperatorToken kqtoken.File
	// DrainTimeout is the longest time of a drain; 0 means 30 s.
	DrainTimeout time.Duration
	// Logger receives the events; nil disables logging.
	Logger *zap.Logger
	// Tracer records spans; may be nil.
	Tracer *kqtrace.Tracer
}

// Fleet is a running fleet of entries, workers and stand-ins of the platform.
type Fleet struct {
	// Table is the stand-in of the platform's table.
	Table *kqstore.Table
	// Objects is the stand-in of the platform's object store.
	Objects *kqstore.Objects
	// StoreFaults injects faults into the table and the object store.
	StoreFaults *kqfault.Switches
	// Ledger records the tasks that the hosts ran.
	Ledger *kqhost.Ledger
	// CallLedgers holds, by user, the ledgers of the calls that the endpoints ran.
	CallLedgers map[string]*kqservice.Ledger
	// Counter records the breaches of invariants in all processes.
	Counter *kqinvariant.Counter
	// Workers lists the workers, user by user.
	Workers []*Worker

	config      Config
	storeServer *kqserver.Server
	storeClient *http.Client

	mu sync.Mutex // guards the fields below
	// entries holds nil where an entry has been removed.
	entries []*kqentry.Entry
	// slowdowns holds the factors set by SetSlowdown, by worker.
	slowdowns map[string]float64
}

const defaultDrainTimeout = 30 * time.Second

// Start starts a fleet. It does not wait until the entries know the workers.
func Start(c Config) (*Fleet, error) {
	c.Cells = max(1, c.Cells)
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrainTimeout
	}
	faults := kqfault.New(c.Seed)
	f := &Fleet{config: c, StoreFaults: faults, Table: kqstore.NewTable(faults), Objects: kqstore.NewObjects(faults), Ledger: kqhost.NewLedger(),
		CallLedgers: map[string]*kqservice.Ledger{}, Counter: &kqinvariant.Counter{}, storeClient: kqlink.NewClient(), slowdowns: map[string]float64{}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the server of the table and the object store, the entries and the workers.
func (f *Fleet) start() error {
	mux := http.NewServeMux()
	mux.Handle(kqwire.NewTableServiceHandler(kqstore.TableService{Table: f.Table}))
	mux.Handle(kqwire.NewObjectServiceHandler(kqstore.ObjectService{Objects: f.Objects}))
	mux.Handle(kqwire.NewFaultServiceHandler(f.StoreFaults))
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
		f.CallLedgers[u.Name] = kqservice.NewLedger()
		for i := range u.Workers {
			if err := f.addWorker(u, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// usageLag is the age of the usage that hosts report.
const usageLag = 2 * time.Second

// addWorker starts the worker with index i of a user.
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
		relay, err := kqfault.NewRelay(f.config.RelayDelay)
		if err != nil {
			return err
		}
		w.relay = relay
	}
	return w.StartAgent()
}

// StartEntry starts the entry with index i, also again after RemoveEntry.
func (f *Fleet) StartEntry(i int) error {
	zone := ""
	if len(f.config.Users) > 0 {
		zone = f.config.Users[0].Zones[i%len(f.config.Users[0].Zones)]
	}
	id := fmt.Sprintf("entry-%d", i+1)
	e, err := kqentry.Start(kqentry.Config{ID: id, Zone: zone, Listen: loopback, Cells: f.config.Cells, Seeds: f.entryAddresses(), Identity: f.config.Identity, OperatorToken: f.config.OperatorToken,
		Table:          kqtable.Remote(kqwire.NewTableServiceClient(f.storeClient, kqlink.URL(f.storeServer.Addr()), kqlink.ClientOptions()...)),
		CrossZoneDelay: kqentry.DefaultCrossZoneDelay, Policy: f.config.Policy, Hedge: f.config.Hedge, DefaultDeadline: kqentry.DefaultDeadline,
		MaxBody: kqentry.DefaultMaxBody, DrainTimeout: f.config.DrainTimeout, Seed: f.config.Seed + uint64(i), Now: time.Now,
		Events: f.newEventLog(id), Tracer: f.config.Tracer, Counter: f.Counter})
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

// Entries returns the entries that were started and not removed.
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

// ReadyEntries returns the entries that are ready, to which the platform's load balancer would
// send calls.
func (f *Fleet) ReadyEntries() []*kqentry.Entry {
	var out []*kqentry.Entry
	for _, e := range f.Entries() {
		if e.Ready() {
			out = append(out, e)
		}
	}
	return out
}

// RemoveEntry removes the entry with index i from Entries and returns it. It does not stop it.
func (f *Fleet) RemoveEntry(i int) *kqentry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[i]
	f.entries[i] = nil
	return e
}

// entryAddresses returns the addresses that agents and entries use to join the fleet.
func (f *Fleet) entryAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range f.Entries() {
		out = append(out, e.Addr())
	}
	return out
}

// SetSlowdown multiplies the service times of a worker by a factor, in addition to the
// interference of its tasks.
func (f *Fleet) SetSlowdown(worker string, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowdowns[worker] = factor
}

// slowdown returns the factor set by SetSlowdown, 1 if none is set.
func (f *Fleet) slowdown(worker string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.slowdowns[worker]; ok {
		return s
	}
	return 1
}

// Close kills all processes of the fleet.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, e := range f.Entries() {
		wg.Go(e.Kill)
	}
	for _, w := range f.Workers {
		wg.Go(w.close)
	}
	wg.Wait()
	if f.storeServer != nil {
		f.storeServer.Kill()
	}
	f.storeClient.CloseIdleConnections()
}
