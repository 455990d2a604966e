// Package kqmember makes agents and entries known to each other: every process
// announces itself to the entries, and passes the configuration on to those
// that lack it.
package kqmember

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

const (
	// AnnounceInterval is between two announcements to an entry.
	AnnounceInterval = 800 * time.Millisecond
	announceTimeout  = 700 * time.Millisecond
	// lookupInterval is between two reads of the list of entries while none
	// answers.
	lookupInterval = 2 * time.Second
	// forgetAfter is after how many failures in a row an entry is forgotten.
	forgetAfter = 12
)

// Entry is one entry process.
type Entry struct {
	// ID names the entry.
	ID string `json:"id"`
	// Address is where it listens.
	Address netip.AddrPort `json:"address"`
	// RenewedAt is when the entry last renewed its row.
	RenewedAt time.Time `json:"renewed_at"`
}

// EntryPrefix is the prefix of the rows of entries.
const EntryPrefix = "entry/"

// ReadEntries returns the entries in the table.
func ReadEntries(ctx context.Context, t kqtable.Table) ([]Entry, error) {
	rows, err := t.ScanAll(ctx, EntryPrefix)
	if err != nil {
		return nil, err
	}
	var out []Entry
	for _, r := range rows {
		var e Entry
		if err := kqtable.Decode(r, &e); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// Config sets up an Announcer.
type Config struct {
	// Self is the entry itself, which is left out; empty for an agent.
	SelfID string
	// Seeds is entries known from the settings.
	Seeds []netip.AddrPort
	// Dialer reaches them.
	Dialer kqlink.Dialer
	// Table lists the entries.
	Table kqtable.Table
	// Announcement makes the next announcement.
	NewAnnouncement func(now time.Time) *kqwire.AnnounceRequest
	// Holder is the configuration in force.
	Holder *kqconfig.Holder
	// Now is the clock.
	Now func() time.Time
}

// Announcer announces a process to all entries.
type Announcer struct {
	config Config
	tomb   tomb.Tomb
	http   *http.Client

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer
	lookupAt time.Time
}

// peer is one entry that is announced to.
type peer struct {
	announcer *Announcer
	id        string
	address   netip.AddrPort
	client    kqwire.EntryServiceClient
	sequence  uint64
	failures  int
	busy      bool
}

// Start begins to announce.
func Start(c Config) *Announcer {
	a := &Announcer{config: c, http: c.Dialer.NewClient(), peers: map[netip.AddrPort]*peer{}}
	for _, s := range c.Seeds {
		a.add(Entry{Address: s})
	}
	a.tomb.Go(a.loop)
	return a
}

// Stop ends the announcements.
func (a *Announcer) Stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
	a.http.CloseIdleConnections()
}

// Entries lists the entries known.
func (a *Announcer) Entries() []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Entry
	for _, p := range a.peers {
		if p.id != "" {
			out = append(out, Entry{ID: p.id, Address: p.address})
		}
	}
	slices.SortFunc(out, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Learn adds entries that others know.
func (a *Announcer) AddEntries(es []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range es {
		a.add(e)
	}
}

func (a *Announcer) add(e Entry) {
	if e.ID != "" && e.ID == a.config.SelfID || !e.Address.IsValid() {
		return
	}
	if p, ok := a.peers[e.Address]; ok {
		if e.ID != "" {
			p.id = e.ID
		}
		return
	}
	a.peers[e.Address] = &peer{announcer: a, id: e.ID, address: e.Address,
		client: kqwire.NewEntryServiceClient(a.http, a.config.Dialer.URL(e.Address), kqlink.ClientOptions()...)}
}

// Flush announces to every entry at once and waits for the answers.
func (a *Announcer) AnnounceNow() {
	var g sync.WaitGroup
	for _, p := range a.idle() {
		g.Go(func() { _ = p.run() })
	}
	g.Wait()
}

func (a *Announcer) loop() error {
	t := time.NewTicker(AnnounceInterval)
	defer t.Stop()
	for {
		a.lookup()
		for _, p := range a.idle() {
			a.tomb.Go(p.run)
		}
		select {
		case <-a.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// lookup reads the list of entries while none is known to answer; an entry
// reads it always, since agents learn of new entries from it.
func (a *Announcer) lookup() {
	now := a.config.Now()
	a.mu.Lock()
	due := now.Sub(a.lookupAt) >= lookupInterval && (a.config.SelfID != "" || !a.answering())
	if due {
		a.lookupAt = now
	}
	a.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), announceTimeout)
	defer cancel()
	if es, err := ReadEntries(ctx, a.config.Table); err == nil {
		a.AddEntries(es)
	}
}

func (a *Announcer) answering() bool {
	for _, p := range a.peers {
		if p.failures == 0 && p.id != "" {
			return true
		}
	}
	return false
}

// idle returns the peers with no announcement under way.
func (a *Announcer) idle() []*peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*peer
	for addr, p := range a.peers {
		switch {
		case p.busy:
		case p.failures > forgetAfter:
			delete(a.peers, addr)
		default:
			p.busy = true
			out = append(out, p)
		}
	}
	return out
}

// run sends one announcement.
func (p *peer) run() error {
	a := p.announcer
	q := a.config.NewAnnouncement(a.config.Now())
	q.ConfigSequence = a.config.Holder.Sequence()
	a.mu.Lock()
	theirs := p.sequence
	a.mu.Unlock()
	if theirs < q.ConfigSequence {
		sequence, rows := a.config.Holder.Since(theirs)
		q.ConfigSequence, q.ConfigBase, q.Config = sequence, theirs, RowsToWire(rows)
	}
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), announceTimeout)
	defer cancel()
	r, err := p.client.Announce(ctx, connect.NewRequest(q))
	a.mu.Lock()
	p.busy = false
	if err != nil {
		p.failures++
		a.mu.Unlock()
		return nil
	}
	p.failures, p.sequence = 0, r.Msg.ConfigSequence
	for _, e := range r.Msg.Entries {
		if addr, err := netip.ParseAddrPort(e.Address); err == nil {
			a.add(Entry{ID: e.EntryId, Address: addr})
		}
	}
	a.mu.Unlock()
	a.config.Holder.ApplyRows(a.config.Now(), q.ConfigSequence, r.Msg.ConfigSequence, RowsFromWire(r.Msg.Config))
	return nil
}

// RowsToWire converts configuration rows to their messages.
func RowsToWire(rows []kqconfig.Row) []*kqwire.ConfigRow {
	out := make([]*kqwire.ConfigRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, &kqwire.ConfigRow{Key: r.Key, Sequence: r.Sequence, Value: r.Value})
	}
	return out
}

// RowsFromWire converts messages to configuration rows.
func RowsFromWire(rows []*kqwire.ConfigRow) []kqconfig.Row {
	out := make([]kqconfig.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, kqconfig.Row{Key: r.Key, Sequence: r.Sequence, Value: r.Value})
	}
	return out
}
