package kqgate

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// QueueTable holds the queues as operators set them.
const QueueTable = "queues"

// Bounds of a queue.
const (
	maxPriority = 100
	maxAttempts = 100
	maxStretch  = 1000
)

// QueueSpec is a class of work as operators write it: what it may cost and the
// target that its flows are held to.
type QueueSpec struct {
	// Name names the queue.
	Name string `json:"name"`
	// Service names the pool of workers that runs its tasks.
	Service string `json:"service"`
	// Priority orders the queues: 0 comes first and may take room of others.
	Priority int `json:"priority"`
	// Attempts is how many runs of a task may fail.
	MaxAttempts int `json:"attempts"`
	// Stretch is the target's factor on the longest chain of a flow.
	Stretch float64 `json:"stretch"`
	// Target is the part of the target that does not depend on the flow.
	Target kqmodel.Duration `json:"target"`
}

// queue returns the queue in the form that is stored.
func (s QueueSpec) queue() (kqflow.Queue, *kqresult.Error) {
	q := kqflow.Queue{Name: s.Name, Service: s.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Target: s.Target.Std()}
	if err := checkName("name", s.Name); err != nil {
		return q, err
	}
	if err := checkName("service", s.Service); err != nil {
		return q, err
	}
	switch {
	case s.Priority < 0 || s.Priority > maxPriority:
		return q, kqresult.Errorf(kqresult.BadRequest, "priority: %d is out of range: from 0 to %d", s.Priority, maxPriority)
	case s.MaxAttempts < 1 || s.MaxAttempts > maxAttempts:
		return q, kqresult.Errorf(kqresult.BadRequest, "attempts: %d is out of range: from 1 to %d", s.MaxAttempts, maxAttempts)
	case s.Stretch < 1 || s.Stretch > maxStretch:
		return q, kqresult.Errorf(kqresult.BadRequest, "stretch: %v is out of range: from 1 to %d", s.Stretch, maxStretch)
	case s.Target < 0:
		return q, kqresult.Errorf(kqresult.BadRequest, "target: %s is below 0", s.Target)
	}
	return q, nil
}

// spec returns a stored queue as operators write it.
func spec(q kqflow.Queue) QueueSpec {
	return QueueSpec{Name: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: kqmodel.Duration(q.Target)}
}

// BookConfig sets up a Book.
type PolicyWatcherConfig struct {
	// Store keeps the queues.
	Store kqrows.Store
	// Now is the clock.
	Now func() time.Time
	// Events remembers what came in force; may be nil.
	Events *kqevent.Log
	// Changed is called with each policy that comes in force; may be nil.
	OnChange func(*kqflow.Policy)
}

const (
	followWait  = 2 * time.Second
	followSlack = time.Second
	followPause = 200 * time.Millisecond
)

// Book is the queues in force, as one process knows them.
type PolicyWatcher struct {
	config PolicyWatcherConfig
	tomb   tomb.Tomb

	mu       sync.Mutex
	policy   *kqflow.Policy
	versions map[string]uint64
}

// NewBook returns a Book that follows the store until it is closed.
func NewPolicyWatcher(c PolicyWatcherConfig) *PolicyWatcher {
	b := &PolicyWatcher{config: c}
	b.tomb.Go(b.loop)
	return b
}

// Close ends the following.
func (b *PolicyWatcher) Close() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Policy returns the queues in force, or nil before the store was first read.
func (b *PolicyWatcher) Policy() *kqflow.Policy {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy
}

// Version returns the version of a queue; 0 means that there is none.
func (b *PolicyWatcher) Version(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[name]
}

func (b *PolicyWatcher) loop() error {
	kqrows.Follower{Store: b.config.Store, Table: QueueTable, Wait: followWait, Slack: followSlack, Pause: followPause,
		Take: b.take}.Run(b.tomb.Context(context.Background()))
	return nil
}

// take puts newer rows in force. Policies are replaced, never changed.
func (b *PolicyWatcher) take(n kqrows.News) {
	b.mu.Lock()
	next := &kqflow.Policy{Queues: map[string]kqflow.Queue{}}
	if b.policy != nil {
		next.Version = b.policy.Version
		maps.Copy(next.Queues, b.policy.Queues)
	} else {
		b.versions = map[string]uint64{}
	}
	for _, r := range n.Rows {
		var q kqflow.Queue
		if r.Removed || r.Version <= b.versions[r.Name] {
			continue
		}
		if err := json.Unmarshal(r.Value, &q); err != nil {
			b.config.Events.Emit(b.config.Now(), kqevent.RowUnreadable, kqevent.Process(r.Name), "queue: %v", err)
			continue
		}
		next.Queues[r.Name], b.versions[r.Name] = q, r.Version
		next.Version = max(next.Version, r.Version)
	}
	b.policy = next
	b.mu.Unlock()
	b.config.Events.Emit(b.config.Now(), kqevent.PolicyInForce, kqevent.Process(QueueTable), "version %d, %d queues", next.Version, len(next.Queues))
	if b.config.OnChange != nil {
		b.config.OnChange(next)
	}
}
