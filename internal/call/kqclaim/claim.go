// Package kqclaim claims the idempotency keys of calls in the platform's table before the calls are
// dispatched. Claims that arrive together are committed in one transaction.
package kqclaim

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// batchDelay is the time that a claim waits for others that share its transaction.
	batchDelay = 2 * time.Millisecond
	// minCommitInterval is the shortest time between two transactions of an entry, so that the
	// number of writes to the table grows with the entries and not with the calls.
	minCommitInterval = 20 * time.Millisecond
	// maxBatch is the maximum number of claims in a transaction.
	maxBatch = 128
	// commitTimeout limits the time of one transaction.
	commitTimeout = 2 * time.Second
	// storeRetryAfter is the Retry-After time of a refusal while the table is unavailable.
	storeRetryAfter = 1 * time.Second
	prefix          = KeyPrefix
)

// KeyPrefix is the prefix of the table keys of claims.
const KeyPrefix = "claim/"

// Claim is the stored record of a claimed idempotency key.
type Claim struct {
	// Key is the caller's key.
	Key string `json:"key"`
	// CallID is the identifier of the call that holds the key.
	CallID string `json:"call_id"`
	// Class is the class of the call.
	Class string `json:"class"`
	// Fingerprint is a hash of the request; it detects a key that is reused for another request.
	Fingerprint uint64 `json:"fingerprint"`
	// Agent is the address of the agent that gets the call's first attempt.
	Agent netip.AddrPort `json:"agent"`
	// Boot identifies that agent's process.
	Boot string `json:"boot"`
	// Endpoint is the endpoint of the first attempt.
	Endpoint string `json:"endpoint"`
	// ClaimedAt is when the key was claimed.
	ClaimedAt time.Time `json:"at"`
}

// Config configures a Claimer.
type Config struct {
	// Resolver commits the claims to the table.
	Resolver kqtable.Resolver
	// Now returns the present time.
	Now func() time.Time
}

// pendingClaim is a claim that waits for its transaction.
type pendingClaim struct {
	claim Claim
	reply chan claimResult
}

// claimResult is the result of a claim. If held is true, holder is the claim of the other call that
// holds the key. version is the version of the key's row.
type claimResult struct {
	holder  Claim
	held    bool
	version uint64
	err     *kqresult.Error
}

// Claimer collects claims and commits them in batches.
type Claimer struct {
	config      Config
	tomb        tomb.Tomb
	requests    chan *pendingClaim
	lastBatchAt time.Time
}

// New returns a Claimer and starts its loop.
func New(c Config) *Claimer {
	x := &Claimer{config: c, requests: make(chan *pendingClaim)}
	x.tomb.Go(x.loop)
	return x
}

// Close ends the loop. Claims that are not committed yet fail.
func (x *Claimer) Close() {
	x.tomb.Kill(nil)
	_ = x.tomb.Wait()
}

// Acquire claims a key for a call. If another call holds the key, it returns that call's claim and
// ok is false. Release needs the version.
func (x *Claimer) Acquire(ctx context.Context, c Claim) (holder Claim, version uint64, ok bool, err *kqresult.Error) {
	r := &pendingClaim{claim: c, reply: make(chan claimResult, 1)}
	select {
	case x.requests <- r:
	case <-ctx.Done():
		return Claim{}, 0, false, kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed before the key was claimed")
	case <-x.tomb.Dying():
		return Claim{}, 0, false, kqresult.Errorf(kqresult.NotRunDraining, "the entry is shutting down")
	}
	a := <-r.reply
	return a.holder, a.version, !a.held && a.err == nil, a.err
}

// Release frees the key of a call that did not run, so that its caller may retry. If the table is
// unavailable, the key stays claimed.
func (x *Claimer) Release(ctx context.Context, key string, version uint64) {
	_, _ = x.config.Resolver.Table.Transact(ctx, kqtable.Transaction{
		Conditions: []kqtable.Condition{{Key: prefix + key, Version: version}},
		Writes:     []kqtable.Write{{Key: prefix + key, Delete: true}}})
}

// loop collects claims into batches and commits each batch in its own goroutine.
func (x *Claimer) loop() error {
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case r := <-x.requests:
			b := &batch{claimer: x, requests: x.collectBatch(r)}
			x.tomb.Go(b.run)
		}
	}
}

// collectBatch collects claims for a transaction, for at least batchDelay and until
// minCommitInterval has passed since the last batch, but at most maxBatch claims. Two claims of one
// key never share a transaction: the later one is answered with the earlier one as the holder.
func (x *Claimer) collectBatch(first *pendingClaim) []*pendingClaim {
	collected := []*pendingClaim{first}
	t := time.NewTimer(max(batchDelay, minCommitInterval-x.config.Now().Sub(x.lastBatchAt)))
	defer t.Stop()
	defer func() { x.lastBatchAt = x.config.Now() }()
	for len(collected) < maxBatch {
		select {
		case r := <-x.requests:
			for _, earlier := range collected {
				if earlier.claim.Key == r.claim.Key {
					r.reply <- claimResult{holder: earlier.claim, held: true}
					r = nil
					break
				}
			}
			if r != nil {
				collected = append(collected, r)
			}
		case <-t.C:
			return collected
		case <-x.tomb.Dying():
			return collected
		}
	}
	return collected
}

// batch holds the claims of one transaction.
type batch struct {
	claimer  *Claimer
	requests []*pendingClaim
}

// run commits the claims. Each time the transaction fails because a key is held, that claim is
// answered and removed, and the others are committed again.
func (b *batch) run() error {
	ctx, cancel := context.WithTimeout(b.claimer.tomb.Context(context.Background()), commitTimeout)
	defer cancel()
	for len(b.requests) > 0 {
		o, err := b.commit(ctx)
		switch {
		case err != nil:
			b.fail(err)
			return nil
		case o.Committed:
			b.succeed(o.Version)
			return nil
		}
		if err := b.answerHeld(ctx, o.FailedKey); err != nil {
			b.fail(err)
			return nil
		}
	}
	return nil
}

// commit writes the claims. The first claim serves as the marker that tells whether an unanswered
// transaction was committed: its value holds the call ID and is therefore unique.
func (b *batch) commit(ctx context.Context) (kqtable.Outcome, error) {
	var t kqtable.Transaction
	for _, r := range b.requests {
		t.Conditions = append(t.Conditions, kqtable.Condition{Key: prefix + r.claim.Key})
		t.Writes = append(t.Writes, kqtable.Write{Key: prefix + r.claim.Key, Value: kqtable.Encode(r.claim)})
	}
	return b.claimer.config.Resolver.Commit(ctx, t, t.Writes[0].Key)
}

// succeed answers the claims of a committed transaction.
func (b *batch) succeed(version uint64) {
	for _, r := range b.requests {
		r.reply <- claimResult{holder: r.claim, version: version}
	}
}

// fail refuses the remaining claims. A write with unknown outcome may have claimed the key, but the
// call is not dispatched, so not_run is correct.
func (b *batch) fail(err error) {
	reason := "the table of idempotency keys is unavailable"
	if eris.Is(err, kqtable.ErrUnknown) {
		reason = "the table did not confirm whether the idempotency key was claimed"
	}
	for _, r := range b.requests {
		r.reply <- claimResult{err: kqresult.Errorf(kqresult.NotRunStoreUnavailable, "%s", reason).WithRetryAfter(storeRetryAfter)}
	}
}

// answerHeld answers the claim of a key that is already held and removes it from the batch. If the
// same call holds the key, the claim succeeds.
func (b *batch) answerHeld(ctx context.Context, key string) error {
	row, found, err := b.claimer.config.Resolver.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	if !found {
		return nil
	}
	var holder Claim
	unreadable := kqtable.Decode(row, &holder)
	for i, r := range b.requests {
		if prefix+r.claim.Key != key {
			continue
		}
		heldBySameCall := holder.CallID == r.claim.CallID
		result := claimResult{holder: holder, held: !heldBySameCall, version: row.Version}
		if unreadable != nil {
			result = claimResult{err: kqresult.Errorf(kqresult.NotRunStoreUnavailable, "the stored claim of the idempotency key cannot be decoded: %v", unreadable).WithRetryAfter(storeRetryAfter)}
		}
		r.reply <- result
		b.requests = append(b.requests[:i], b.requests[i+1:]...)
		return nil
	}
	return nil
}
