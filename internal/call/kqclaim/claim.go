// Package kqclaim claims the idempotency keys of callers in the platform's
// table before their calls are dispatched. Claims that come together share a
// transaction.
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
	// gather is how long claims wait for others to share their transaction.
	gather = 2 * time.Millisecond
	// spacing is the shortest time between two transactions of an entry, so
	// that the writes to the table follow the entries and not the calls.
	spacing = 20 * time.Millisecond
	// maxBatch is how many claims share a transaction.
	maxBatch = 128
	// commitTimeout bounds one transaction.
	commitTimeout = 2 * time.Second
	// storeRetryAfter is the advice to a caller while the table is out.
	storeRetryAfter = 1 * time.Second
	prefix          = KeyPrefix
)

// Prefix is the prefix of the rows of claims.
const KeyPrefix = "claim/"

// Claim is the stored use of an idempotency key.
type Claim struct {
	// Key is the caller's key.
	Key string `json:"key"`
	// CallID is the call that holds the key.
	CallID string `json:"call_id"`
	// Class is the class of the call.
	Class string `json:"class"`
	// Fingerprint is a hash of the request, so that a key used for another
	// request is found out.
	Fingerprint uint64 `json:"fingerprint"`
	// Agent is the agent that the call's first attempt goes to.
	Agent netip.AddrPort `json:"agent"`
	// Boot is that agent's process.
	Boot string `json:"boot"`
	// Endpoint is the endpoint of the first attempt.
	Endpoint string `json:"endpoint"`
	// At is when the key was claimed.
	ClaimedAt time.Time `json:"at"`
}

// Config sets up Claims.
type Config struct {
	// Resolver commits the claims.
	Resolver kqtable.Resolver
	// Now is the clock.
	Now func() time.Time
}

// request is one claim that waits for its transaction.
type request struct {
	claim  Claim
	answer chan answer
}

type answer struct {
	holder  Claim
	held    bool
	version uint64
	err     *kqresult.Error
}

// Claims gathers claims and commits them together.
type Claimer struct {
	config   Config
	tomb     tomb.Tomb
	requests chan *request
	sentAt   time.Time
}

// New returns Claims whose loop commits.
func New(c Config) *Claimer {
	x := &Claimer{config: c, requests: make(chan *request)}
	x.tomb.Go(x.loop)
	return x
}

// Close ends the loop; waiting claims fail.
func (x *Claimer) Close() {
	x.tomb.Kill(nil)
	_ = x.tomb.Wait()
}

// Take claims a key for a call. Where another call holds the key, that claim
// is returned with ok false. version is needed to release the key.
func (x *Claimer) Acquire(ctx context.Context, c Claim) (holder Claim, version uint64, ok bool, err *kqresult.Error) {
	r := &request{claim: c, answer: make(chan answer, 1)}
	select {
	case x.requests <- r:
	case <-ctx.Done():
		return Claim{}, 0, false, kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed before the key was claimed")
	case <-x.tomb.Dying():
		return Claim{}, 0, false, kqresult.Errorf(kqresult.NotRunDraining, "the entry is shutting down")
	}
	a := <-r.answer
	return a.holder, a.version, !a.held && a.err == nil, a.err
}

// Release frees the key of a call that did not run, so that its caller may try
// again. Where the table is out the key stays claimed.
func (x *Claimer) Release(ctx context.Context, key string, version uint64) {
	_, _ = x.config.Resolver.Table.Transact(ctx, kqtable.Transaction{
		Conditions: []kqtable.Condition{{Key: prefix + key, Version: version}},
		Writes:     []kqtable.Write{{Key: prefix + key, Delete: true}}})
}

func (x *Claimer) loop() error {
	for {
		select {
		case <-x.tomb.Dying():
			return nil
		case r := <-x.requests:
			b := &batch{claims: x, requests: x.gather(r)}
			x.tomb.Go(b.run)
		}
	}
}

// gather waits a moment for claims that can share the transaction. Two claims
// of one key never share it.
func (x *Claimer) gather(first *request) []*request {
	out := []*request{first}
	t := time.NewTimer(max(gather, spacing-x.config.Now().Sub(x.sentAt)))
	defer t.Stop()
	defer func() { x.sentAt = x.config.Now() }()
	for len(out) < maxBatch {
		select {
		case r := <-x.requests:
			for _, o := range out {
				if o.claim.Key == r.claim.Key {
					r.answer <- answer{holder: o.claim, held: true}
					r = nil
					break
				}
			}
			if r != nil {
				out = append(out, r)
			}
		case <-t.C:
			return out
		case <-x.tomb.Dying():
			return out
		}
	}
	return out
}

// batch is claims that share a transaction.
type batch struct {
	claims   *Claimer
	requests []*request
}

// run commits the claims; those whose key is held are taken out one by one.
func (b *batch) run() error {
	ctx, cancel := context.WithTimeout(b.claims.tomb.Context(context.Background()), commitTimeout)
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
		if err := b.takeOut(ctx, o.FailedKey); err != nil {
			b.fail(err)
			return nil
		}
	}
	return nil
}

// commit writes the claims. Its marker is the first claim, whose value holds
// the call ID and so is like no other.
func (b *batch) commit(ctx context.Context) (kqtable.Outcome, error) {
	var t kqtable.Transaction
	for _, r := range b.requests {
		t.Conditions = append(t.Conditions, kqtable.Condition{Key: prefix + r.claim.Key})
		t.Writes = append(t.Writes, kqtable.Write{Key: prefix + r.claim.Key, Value: kqtable.Encode(r.claim)})
	}
	return b.claims.config.Resolver.Commit(ctx, t, t.Writes[0].Key)
}

func (b *batch) succeed(version uint64) {
	for _, r := range b.requests {
		r.answer <- answer{holder: r.claim, version: version}
	}
}

// fail refuses what is left. A write whose outcome is not known may have
// claimed the key, but the call is certainly not dispatched.
func (b *batch) fail(err error) {
	reason := "the table that claims idempotency keys is out"
	if eris.Is(err, kqtable.ErrUnknown) {
		reason = "the table did not answer whether the idempotency key was claimed"
	}
	for _, r := range b.requests {
		r.answer <- answer{err: kqresult.Errorf(kqresult.NotRunStoreOut, "%s", reason).After(storeRetryAfter)}
	}
}

// takeOut answers the claim whose key is held already.
func (b *batch) takeOut(ctx context.Context, key string) error {
	row, found, err := b.claims.config.Resolver.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	if !found {
		return nil
	}
	var holder Claim
	if err := kqtable.Decode(row, &holder); err != nil {
		return err
	}
	for i, r := range b.requests {
		if prefix+r.claim.Key != key {
			continue
		}
		own := holder.CallID == r.claim.CallID
		r.answer <- answer{holder: holder, held: !own, version: row.Version}
		b.requests = append(b.requests[:i], b.requests[i+1:]...)
		return nil
	}
	return nil
}
