package kqstore

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Objects is an object store in memory.
type Objects struct {
	// Faults is the switches of this stand-in.
	Faults *kqfault.Switches

	mu     sync.Mutex
	values map[string][]byte
}

// NewObjects returns an empty store.
func NewObjects(f *kqfault.Switches) *Objects {
	return &Objects{Faults: f, values: map[string][]byte{}}
}

// Seam returns the operations for callers in the same process.
func (o *Objects) Client() kqobject.Store {
	return kqobject.Store{Put: o.put, Get: o.get, Delete: o.remove}
}

func (o *Objects) put(ctx context.Context, key string, value []byte) error {
	if err := o.Faults.BeforeRequest(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	o.values[key] = append([]byte(nil), value...)
	o.mu.Unlock()
	return o.Faults.AfterWrite()
}

func (o *Objects) get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := o.Faults.BeforeRequest(ctx); err != nil {
		return nil, false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[key]
	return v, ok, nil
}

func (o *Objects) remove(ctx context.Context, key string) error {
	if err := o.Faults.BeforeRequest(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.values, key)
	o.mu.Unlock()
	return o.Faults.AfterWrite()
}

// ObjectService serves Objects over connect.
type ObjectService struct {
	// Objects is what is served.
	Objects *Objects
}

// PutObject serves a write.
func (s ObjectService) PutObject(ctx context.Context, q *connect.Request[kqwire.Object]) (*connect.Response[kqwire.ObjectReply], error) {
	if err := s.Objects.put(ctx, q.Msg.Key, q.Msg.Value); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{Found: true}), nil
}

// GetObject serves a read.
func (s ObjectService) GetObject(ctx context.Context, q *connect.Request[kqwire.ObjectKey]) (*connect.Response[kqwire.ObjectReply], error) {
	v, ok, err := s.Objects.get(ctx, q.Msg.Key)
	if err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{Found: ok, Value: v}), nil
}

// DeleteObject serves a removal.
func (s ObjectService) DeleteObject(ctx context.Context, q *connect.Request[kqwire.ObjectKey]) (*connect.Response[kqwire.ObjectReply], error) {
	if err := s.Objects.remove(ctx, q.Msg.Key); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{}), nil
}
