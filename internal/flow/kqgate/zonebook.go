package kqgate

import (
	"context"
	"encoding/json"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// EvacuationTable holds a row for each zone that is evacuated; its name is the
// zone's.
const EvacuationTable = "evacuations"

// zoneWait is how long one call waits for changes of requests. Zones are known to be
// right as of the call before the latest answer, which must stay below the bound.
const zoneWait = time.Second

// ZoneBookConfig sets up a ZoneBook.
type ZoneWatcherConfig struct {
	// Process names the process in events.
	Process string
	// Store keeps the requests.
	Store kqrows.Store
	// Now is the clock.
	Now func() time.Time
	// Events remembers what changed; may be nil.
	Events *kqevent.Log
	// Changed is called with the zones each time they may have changed; may be nil.
	OnChange func(kqevacuate.Zones)
}

// ZoneBook is the evacuated zones, as one process reads them from the product's own
// table.
type ZoneWatcher struct {
	config ZoneWatcherConfig
	tomb   tomb.Tomb
	feed   *kqevacuate.Feed
}

// NewZoneBook returns a ZoneBook that follows the store until it is closed.
func NewZoneWatcher(c ZoneWatcherConfig) *ZoneWatcher {
	b := &ZoneWatcher{config: c, feed: kqevacuate.NewFeed(c.Process, c.Events)}
	b.tomb.Go(b.loop)
	return b
}

// Close ends the following.
func (b *ZoneWatcher) Close() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Zones returns the zones as last read.
func (b *ZoneWatcher) Zones() kqevacuate.Zones { return b.feed.Zones() }

// Evacuation tells an owner which zones are evacuated; bound is the time after which
// a request must be obeyed, 0 if there is none.
func (b *ZoneWatcher) Evacuation(bound time.Duration) kqcontrol.EvacuationSource {
	return kqcontrol.EvacuationSource{Zones: b.Zones, Read: b.read, KnownAt: b.feed.KnownAt, EvacuateWithin: bound}
}

func (b *ZoneWatcher) loop() error {
	kqrows.Follower{Store: b.config.Store, Table: EvacuationTable, Wait: zoneWait, Slack: followSlack, Pause: followPause,
		Take: b.take, Answered: b.feed.MarkKnownAt, Now: b.config.Now}.Run(b.tomb.Context(context.Background()))
	return nil
}

func (b *ZoneWatcher) take(n kqrows.News) {
	z, ok := b.feed.Apply(b.config.Now(), n.At, n.Whole, changes(n.Rows))
	if ok && b.config.OnChange != nil {
		b.config.OnChange(z)
	}
}

// read reads all requests.
func (b *ZoneWatcher) read(ctx context.Context) (kqevacuate.Notice, error) {
	rows, at, err := b.config.Store.Read(ctx, EvacuationTable, "", "")
	if err != nil {
		return kqevacuate.Notice{}, err
	}
	return kqevacuate.Zones{}.Apply(b.config.Now(), at, true, changes(rows)).Notice(), nil
}

func changes(rows []kqrows.Row) []kqevacuate.Change {
	var out []kqevacuate.Change
	for _, r := range rows {
		out = append(out, kqevacuate.Change{Zone: r.Name, Withdrawn: withdrawn(r)})
	}
	return out
}

// withdrawn reports whether a row's request is withdrawn. One that cannot be read holds
// for the zone that its key names.
func withdrawn(r kqrows.Row) bool {
	var z zoneRow
	return r.Removed || json.Unmarshal(r.Value, &z) == nil && z.Withdrawn
}
