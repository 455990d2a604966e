// Package kqmember implements membership: every agent and entry announces itself to all
// entries at a fixed interval. Announcements and their replies also carry the
// configuration rows that the other side lacks.
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

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

const (
	// AnnounceInterval is the time between two announcements to an entry.
	AnnounceInterval = 800 * time.Millisecond
	announceTimeout  = 700 * time.Millisecond
	// lookupInterval is the minimum time between two reads of the list of entries in the
	// table.
	lookupInterval = 2 * time.Second
	// maxFailures is the number of consecutive failed announcements that are tolerated
	// before a peer is removed.
	maxFailures = 12
)

// Entry identifies an entry process and is the value of its row in the table.
type Entry struct {
	// ID is the name of the entry.
	ID string `json:"id"`
	// Address is the address that the entry listens on.
	Address netip.AddrPort `json:"address"`
	// RenewedAt is the time at which the entry last renewed its row.
	RenewedAt time.Time `json:"renewed_at"`
}

// EntryPrefix is the key prefix of the rows of entries.
const EntryPrefix = "entry/"

// ReadEntries returns the entries that are listed in the table. It calls onUnreadable with each row
// that cannot be decoded, and leaves it out.
func ReadEntries(ctx context.Context, t kqtable.Table, onUnreadable func(r kqtable.Row, err error)) ([]Entry, error) {
	rows, err := t.ScanAll(ctx, EntryPrefix)
	if err != nil {
		return nil, err
	}
	return kqtable.DecodeRows[Entry](rows, onUnreadable), nil
}

// Config holds the settings and dependencies of an Announcer.
type Config struct {
	// SelfID is the ID of the entry that announces itself, so that it does not announce to
	// itself; empty for an agent.
	SelfID string
	// Seeds are the addresses of entries given in the settings.
	Seeds []netip.AddrPort
	// Dialer connects to the entries.
	Dialer kqlink.Dialer
	// Table lists the entries.
	Table kqtable.Table
	// NewAnnouncement returns the next announcement.
	NewAnnouncement func(now time.Time) *kqwire.AnnounceRequest
	// Holder holds the configuration in force in the process.
	Holder *kqconfig.Holder
	// Now returns the current time.
	Now func() time.Time
	// Events records the rows that cannot be decoded; may be nil.
	Events *kqevent.Log
}

// Announcer announces a process to all known entries and learns of further entries from
// the replies.
type Announcer struct {
	config     Config
	tomb       tomb.Tomb
	httpClient *http.Client

	mu           sync.Mutex
	peers        map[netip.AddrPort]*peer
	lastLookupAt time.Time
}

// peer is one entry that receives the announcements.
type peer struct {
	announcer      *Announcer
	id             string
	address        netip.AddrPort
	client         kqwire.EntryServiceClient
	configSequence uint64
	failures       int
	busy           bool
}

// Start starts the announcements.
func Start(c Config) *Announcer {
	a := &Announcer{config: c, httpClient: c.Dialer.NewClient(), peers: map[netip.AddrPort]*peer{}}
	for _, s := range c.Seeds {
		a.addPeer(Entry{Address: s})
	}
	a.tomb.Go(a.loop)
	return a
}

// Stop stops the announcements and waits until those under way have ended.
func (a *Announcer) Stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
	a.httpClient.CloseIdleConnections()
}

// Entries returns the known entries in order of ID. Seeds whose ID is not known yet are
// left out.
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

// AddEntries adds entries that other processes reported.
func (a *Announcer) AddEntries(es []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range es {
		a.addPeer(e)
	}
}

// addPeer adds an entry, unless it is the process itself, or sets the ID of a known one. The
// caller holds mu.
func (a *Announcer) addPeer(e Entry) {
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
		client: kqwire.NewEntryServiceClient(a.httpClient, a.config.Dialer.URL(e.Address), kqlink.ClientOptions()...)}
}

// AnnounceNow announces to every entry immediately and waits for the replies. Entries with
// an announcement already under way are skipped.
func (a *Announcer) AnnounceNow() {
	var g sync.WaitGroup
	for _, p := range a.takeIdle() {
		g.Go(func() { _ = p.run() })
	}
	g.Wait()
}

func (a *Announcer) loop() error {
	t := time.NewTicker(AnnounceInterval)
	defer t.Stop()
	for {
		a.lookup()
		for _, p := range a.takeIdle() {
			a.tomb.Go(p.run)
		}
		select {
		case <-a.tomb.Dying():
			return nil
		case <-t.C:
		}
	}
}

// lookup reads the list of entries from the table. An agent does so only while no known
// entry answers; an entry always does, since agents learn of new entries from it.
func (a *Announcer) lookup() {
	now := a.config.Now()
	a.mu.Lock()
	due := now.Sub(a.lastLookupAt) >= lookupInterval && (a.config.SelfID != "" || !a.anyAnswers())
	if due {
		a.lastLookupAt = now
	}
	a.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), announceTimeout)
	defer cancel()
	if es, err := ReadEntries(ctx, a.config.Table, kqtable.LogUnreadable(a.config.Events, a.config.Now)); err == nil {
		a.AddEntries(es)
	}
}

// anyAnswers reports whether any entry with a known ID answered the last announcement. The
// caller holds mu.
func (a *Announcer) anyAnswers() bool {
	for _, p := range a.peers {
		if p.failures == 0 && p.id != "" {
			return true
		}
	}
	return false
}

// takeIdle returns the peers without an announcement under way and marks them as busy. It
// removes the peers that have exceeded maxFailures.
func (a *Announcer) takeIdle() []*peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*peer
	for addr, p := range a.peers {
		switch {
		case p.busy:
		case p.failures > maxFailures:
			delete(a.peers, addr)
		default:
			p.busy = true
			out = append(out, p)
		}
	}
	return out
}

// run sends one announcement with the rows that the peer lacks, and applies the
// entries and rows of the reply.
func (p *peer) run() error {
	a := p.announcer
	q := a.config.NewAnnouncement(a.config.Now())
	q.ConfigSequence = a.config.Holder.Sequence()
	a.mu.Lock()
	peerSequence := p.configSequence
	a.mu.Unlock()
	if peerSequence < q.ConfigSequence {
		sequence, rows := a.config.Holder.Since(peerSequence)
		q.ConfigSequence, q.ConfigBase, q.Config = sequence, peerSequence, RowsToWire(rows)
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
	p.failures, p.configSequence = 0, r.Msg.ConfigSequence
	for _, e := range r.Msg.Entries {
		if addr, err := netip.ParseAddrPort(e.Address); err == nil {
			a.addPeer(Entry{ID: e.EntryId, Address: addr})
		}
	}
	a.mu.Unlock()
	a.config.Holder.ApplyRows(a.config.Now(), q.ConfigSequence, r.Msg.ConfigSequence, RowsFromWire(r.Msg.Config))
	return nil
}

// RowsToWire converts configuration rows to wire messages.
func RowsToWire(rows []kqconfig.Row) []*kqwire.ConfigRow {
	out := make([]*kqwire.ConfigRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, &kqwire.ConfigRow{Key: r.Key, Sequence: r.Sequence, Value: r.Value})
	}
	return out
}

// RowsFromWire converts wire messages to configuration rows.
func RowsFromWire(rows []*kqwire.ConfigRow) []kqconfig.Row {
	out := make([]kqconfig.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, kqconfig.Row{Key: r.Key, Sequence: r.Sequence, Value: r.Value})
	}
	return out
}
