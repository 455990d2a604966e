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

// EvacuationTable is the name of the table with the evacuation requests. The name of a row is the
// name of its zone.
const EvacuationTable = "evacuations"

// zoneWatchWait is how long one call waits for changes of the requests. The known zones are current
// as of the start of the latest answered call, and the time since then must stay below the time
// within which requests must be obeyed.
const zoneWatchWait = time.Second

// ZoneWatcherConfig is the configuration of a ZoneWatcher.
type ZoneWatcherConfig struct {
	// Process is the name of the process in events.
	Process string
	// Store holds the requests.
	Store kqrows.Store
	// Now returns the current time.
	Now func() time.Time
	// Events records the changes; may be nil.
	Events *kqevent.Log
	// OnChange is called with the evacuated zones each time they may have changed; may be nil.
	OnChange func(kqevacuate.Zones)
}

// ZoneWatcher follows the evacuation requests in EvacuationTable and provides the evacuated zones.
type ZoneWatcher struct {
	config ZoneWatcherConfig
	tomb   tomb.Tomb
	feed   *kqevacuate.Feed
}

// NewZoneWatcher returns a ZoneWatcher that follows the store until it is closed.
func NewZoneWatcher(c ZoneWatcherConfig) *ZoneWatcher {
	w := &ZoneWatcher{config: c, feed: kqevacuate.NewFeed(c.Process, c.Events)}
	w.tomb.Go(w.run)
	return w
}

// Close stops following the store.
func (w *ZoneWatcher) Close() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

// Zones returns the evacuated zones as last read.
func (w *ZoneWatcher) Zones() kqevacuate.Zones { return w.feed.Zones() }

// Evacuation returns the source from which an owner learns the evacuated zones; evacuateWithin is
// the time within which a request must be obeyed, or 0 for no limit.
func (w *ZoneWatcher) Evacuation(evacuateWithin time.Duration) kqcontrol.EvacuationSource {
	return kqcontrol.EvacuationSource{Zones: w.Zones, Read: w.readNotice, KnownAt: w.feed.KnownAt, EvacuateWithin: evacuateWithin}
}

func (w *ZoneWatcher) run() error {
	kqrows.Follower{Store: w.config.Store, Table: EvacuationTable, MaxPollWait: zoneWatchWait, ResponseSlack: watchSlack, RetryDelay: watchRetryDelay,
		Apply: w.apply, RecordResponse: w.feed.MarkKnownAt, Now: w.config.Now}.Run(w.tomb.Context(context.Background()))
	return nil
}

func (w *ZoneWatcher) apply(n kqrows.Update) {
	z, ok := w.feed.Apply(w.config.Now(), n.Version, n.Complete, zoneChanges(n.Rows))
	if ok && w.config.OnChange != nil {
		w.config.OnChange(z)
	}
}

// readNotice reads all requests from the store.
func (w *ZoneWatcher) readNotice(ctx context.Context) (kqevacuate.Notice, error) {
	rows, at, err := w.config.Store.Read(ctx, EvacuationTable, "", "")
	if err != nil {
		return kqevacuate.Notice{}, err
	}
	return kqevacuate.Zones{}.Apply(w.config.Now(), at, true, zoneChanges(rows)).Notice(), nil
}

func zoneChanges(rows []kqrows.Row) []kqevacuate.Change {
	var out []kqevacuate.Change
	for _, r := range rows {
		out = append(out, kqevacuate.Change{Zone: r.Name, Withdrawn: isWithdrawn(r)})
	}
	return out
}

// isWithdrawn reports whether the request of a row is withdrawn. A row that cannot be parsed counts
// as a valid request for the zone in its key.
func isWithdrawn(r kqrows.Row) bool {
	var z zoneRow
	return r.Removed || json.Unmarshal(r.Value, &z) == nil && z.Withdrawn
}
