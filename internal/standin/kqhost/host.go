package kqhost

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqruntime"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
)

// Behaviour is how the tasks of a family really behave.
type Behaviour struct {
	// SizeFactor is true use over declared use; 0 means 1.
	UsageFactor float64
	// TimeFactor is true run time over declared run time; 0 means 1.
	RunTimeFactor float64
	// Interference is the slowdown that one processor of this family adds to
	// each class of service on the host: 0.1 adds a tenth.
	Interference map[string]float64
}

// Config sets up a Host.
type Config struct {
	// ID names the worker.
	ID string
	// BootSalt makes the boot identifiers of one process unlike another's.
	BootSalt string
	// Capacity is what the host has.
	Capacity kqmodel.Resources
	// Behaviours is by family.
	Behaviours map[string]Behaviour
	// Objects is where checkpoints go.
	Objects kqobject.Store
	// Ledger records what really ran.
	Ledger *Ledger
	// Faults is the switches of this stand-in.
	Faults *kqfault.Switches
	// UsageLag is how old the reported use is.
	UsageLag time.Duration
}

// Host is the runtime of one worker.
type Host struct {
	config Config

	mu      sync.Mutex
	boot    int
	tasks   map[kqmodel.AttemptID]*run
	tokens  map[kqmodel.TaskID]uint64
	stopped map[kqmodel.AttemptID]bool
	worked  float64
}

// run is one attempt on the host; progress is in seconds at full speed.
type run struct {
	order      kqruntime.Order
	phase      kqruntime.Phase
	progress   float64
	since      float64
	needed     float64
	throttle   float64
	leaseUntil time.Time
	updated    time.Time
	startedAt  time.Time
	checkpoint string
	counter    int
	willFail   bool
	reason     string
}

// New returns a freshly booted Host.
func New(c Config) *Host {
	h := &Host{config: c, boot: 1}
	h.clear()
	return h
}

func (h *Host) clear() {
	h.tasks = map[kqmodel.AttemptID]*run{}
	h.tokens = map[kqmodel.TaskID]uint64{}
	h.stopped = map[kqmodel.AttemptID]bool{}
}

// Boot returns the identifier of the current boot.
func (h *Host) BootID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bootID()
}

func (h *Host) bootID() string {
	return fmt.Sprintf("%s-boot-%s%d", h.config.ID, h.config.BootSalt, h.boot)
}

// Reboot loses everything that ran and takes a new boot identifier.
func (h *Host) Reboot(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	for id, r := range h.tasks {
		if !r.phase.Ended() {
			h.config.Ledger.ended(h.config.ID, id, r.progress, r.progress-r.since, false)
		}
	}
	h.clear()
	h.boot++
}

// advance brings every attempt to the present time.
func (h *Host) advance(now time.Time) {
	for id, r := range h.tasks {
		h.advanceOne(now, id, r)
	}
}

func (h *Host) advanceOne(now time.Time, id kqmodel.AttemptID, r *run) {
	if r.phase != kqruntime.PhaseRunning {
		r.updated = now
		return
	}
	until := now
	lapsed := !r.order.Watcher && now.After(r.leaseUntil)
	if lapsed {
		until = r.leaseUntil
	}
	if d := until.Sub(r.updated).Seconds(); d > 0 {
		r.progress += d * r.throttle
		h.worked += d * r.throttle * float64(r.order.Declared.MilliProcessors) / 1000
	}
	r.updated = now
	switch {
	case r.willFail:
		h.end(id, r, kqruntime.PhaseFailed, "the command failed")
	case !r.order.Watcher && r.progress >= r.needed:
		r.progress = r.needed
		h.end(id, r, kqruntime.PhaseFinished, "")
	case lapsed:
		r.phase, r.reason = kqruntime.PhaseSuspended, "the lease ran out"
	}
}

func (h *Host) end(id kqmodel.AttemptID, r *run, p kqruntime.Phase, reason string) {
	r.phase, r.reason = p, reason
	h.config.Ledger.ended(h.config.ID, id, r.progress, r.progress-r.since, p == kqruntime.PhaseFinished)
}

// Used returns what the live attempts have reserved.
func (h *Host) Used() kqmodel.Resources {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used()
}

func (h *Host) used() kqmodel.Resources {
	var sum kqmodel.Resources
	for _, r := range h.tasks {
		if !r.phase.Ended() {
			sum = sum.Add(r.order.Resources)
		}
	}
	return sum
}

// fence refuses an order that is older than one already seen for the task.
func (h *Host) fence(id kqmodel.AttemptID, token uint64) error {
	if token < h.tokens[id.Task] {
		return kqresult.Errorf(kqresult.StaleToken, "token %d of %s is older than %d", token, id, h.tokens[id.Task])
	}
	h.tokens[id.Task] = token
	return nil
}

// Start starts an attempt, or lets a suspended one go on.
func (h *Host) Start(ctx context.Context, now time.Time, o kqruntime.Order, until time.Time) error {
	from, err := h.load(ctx, o.Checkpoint)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if err := h.fence(o.ID, o.Token); err != nil {
		return err
	}
	if o.HostBoot != h.bootID() {
		return kqresult.Errorf(kqresult.StaleToken, "%s is for %s, this is %s", o.ID, o.HostBoot, h.bootID())
	}
	if h.stopped[o.ID] {
		return kqresult.Errorf(kqresult.StaleToken, "%s was stopped", o.ID)
	}
	if r, ok := h.tasks[o.ID]; ok {
		if r.phase == kqruntime.PhaseSuspended {
			r.phase, r.reason = kqruntime.PhaseRunning, ""
		}
		r.leaseUntil = until
		return nil
	}
	if !h.used().Add(o.Resources).FitsIn(h.config.Capacity) {
		return kqresult.Errorf(kqresult.CapacityRefused, "no room for %s: %s of %s in use", o.Resources, h.used(), h.config.Capacity)
	}
	h.begin(now, o, until, from)
	return nil
}

func (h *Host) begin(now time.Time, o kqruntime.Order, until time.Time, from float64) {
	b := h.config.Behaviours[o.Family]
	r := &run{order: o, phase: kqruntime.PhaseRunning, progress: from, since: from, throttle: 1,
		needed: o.RunTime.Seconds() * factor(b.RunTimeFactor), leaseUntil: until, updated: now,
		startedAt: now, checkpoint: o.Checkpoint,
		willFail: h.config.Faults.Chance(h.config.Faults.State().FailTasks)}
	h.tasks[o.ID] = r
	h.config.Ledger.started(h.config.ID, o, from)
	if !h.used().FitsIn(h.config.Capacity) {
		h.config.Ledger.overCapacity()
	}
}

func factor(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

type saved struct {
	Progress float64 `json:"progress"`
}

func (h *Host) load(ctx context.Context, key string) (float64, error) {
	if key == "" {
		return 0, nil
	}
	b, ok, err := h.config.Objects.Get(ctx, key)
	if err != nil {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "reading checkpoint %s: %v", key, err)
	}
	if !ok {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "checkpoint %s is not there", key)
	}
	var s saved
	if err := json.Unmarshal(b, &s); err != nil {
		return 0, kqresult.Errorf(kqresult.CheckpointFailed, "checkpoint %s: %v", key, err)
	}
	return s.Progress, nil
}

// find returns a live attempt after fencing the order.
func (h *Host) find(now time.Time, id kqmodel.AttemptID, token uint64) (*run, error) {
	h.advance(now)
	if err := h.fence(id, token); err != nil {
		return nil, err
	}
	r, ok := h.tasks[id]
	if !ok {
		return nil, kqresult.Errorf(kqresult.NotFound, "%s is not on this host", id)
	}
	return r, nil
}

// Renew extends the lease of an attempt; one whose lease ran out goes on.
func (h *Host) Renew(now time.Time, id kqmodel.AttemptID, token uint64, until time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.find(now, id, token)
	if err != nil {
		return err
	}
	r.leaseUntil = until
	return nil
}

// Checkpoint stores the progress of an attempt and returns the object's key.
func (h *Host) Checkpoint(ctx context.Context, now time.Time, id kqmodel.AttemptID, token uint64) (string, error) {
	h.mu.Lock()
	r, err := h.find(now, id, token)
	if err != nil {
		h.mu.Unlock()
		return "", err
	}
	r.counter++
	key := fmt.Sprintf("checkpoint/%s/%d/%d-%s-%d", id.Task.Job, id.Task.Index, id.Attempt, h.bootID(), r.counter)
	value, _ := json.Marshal(saved{Progress: r.progress})
	h.mu.Unlock()
	if err := h.config.Objects.Put(ctx, key, value); err != nil {
		return "", kqresult.Errorf(kqresult.CheckpointFailed, "storing %s: %v", key, err)
	}
	h.mu.Lock()
	r.checkpoint = key
	h.mu.Unlock()
	return key, nil
}

// Suspend pauses an attempt in place.
func (h *Host) Suspend(now time.Time, id kqmodel.AttemptID, token uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.find(now, id, token)
	if err == nil && r.phase == kqruntime.PhaseRunning {
		r.phase, r.reason = kqruntime.PhaseSuspended, "suspended by order"
	}
	return err
}

// Throttle sets the share of processors granted to an attempt.
func (h *Host) Throttle(now time.Time, id kqmodel.AttemptID, token uint64, share float64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, err := h.find(now, id, token)
	if err == nil {
		r.throttle = share
	}
	return err
}

// Stop ends an attempt; one that is unknown never starts afterwards, and one
// that has ended is no longer in the inventory: the agent stops an ended
// attempt once the owner has recorded its end.
func (h *Host) Stop(now time.Time, id kqmodel.AttemptID, token uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if err := h.fence(id, token); err != nil {
		return err
	}
	h.stopped[id] = true
	r, ok := h.tasks[id]
	switch {
	case ok && !r.phase.Ended():
		h.end(id, r, kqruntime.PhaseStopped, "stopped by order")
	case ok && r.phase == kqruntime.PhaseFinished:
		h.config.Ledger.acknowledged(id.Task)
	}
	delete(h.tasks, id)
	return nil
}

// Inventory returns everything held.
func (h *Host) Inventory(now time.Time) kqruntime.Inventory {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	v := kqruntime.Inventory{HostBoot: h.bootID(), Capacity: h.config.Capacity}
	for id, r := range h.tasks {
		v.Tasks = append(v.Tasks, kqruntime.Report{ID: id, Phase: r.phase, Checkpoint: r.checkpoint,
			Usage: h.usage(now, r), RunTime: time.Duration(r.progress * float64(time.Second)),
			Throttle: r.throttle, Reason: r.reason})
	}
	return v
}

// usage is the measured use, empty until the lag has passed.
func (h *Host) usage(now time.Time, r *run) kqmodel.Resources {
	if now.Sub(r.startedAt) < h.config.UsageLag || r.phase != kqruntime.PhaseRunning {
		return kqmodel.Resources{}
	}
	f := factor(h.config.Behaviours[r.order.Family].UsageFactor)
	d := r.order.Declared
	return kqmodel.Resources{MilliProcessors: int64(float64(d.MilliProcessors) * f * r.throttle),
		MemoryBytes: int64(float64(d.MemoryBytes) * f), Accelerators: d.Accelerators}
}

// Worked returns the processor seconds of work done on the host so far.
func (h *Host) WorkDone(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	return h.worked
}

// Slowdown returns by how much the running tasks stretch the service time of a
// class: 1 means not at all.
func (h *Host) ServiceSlowdown(class string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := 1.0
	for _, r := range h.tasks {
		if r.phase == kqruntime.PhaseRunning {
			b := h.config.Behaviours[r.order.Family]
			s += b.Interference[class] * r.throttle * float64(r.order.Declared.MilliProcessors) / 1000
		}
	}
	return s
}
