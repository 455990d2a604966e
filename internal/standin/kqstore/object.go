package kqstore

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqobject"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Objects is an in-memory object store.
type Objects struct {
	// Faults holds the fault switches of this stand-in.
	Faults *kqfault.Switches

	mu     sync.Mutex
	values map[string][]byte
}

// NewObjects returns an empty store.
func NewObjects(f *kqfault.Switches) *Objects {
	return &Objects{Faults: f, values: map[string][]byte{}}
}

// Client returns the store's operations for use in the same process.
func (o *Objects) Client() kqobject.Store {
	return kqobject.Store{Put: o.put, Get: o.get, Delete: o.delete}
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

func (o *Objects) delete(ctx context.Context, key string) error {
	if err := o.Faults.BeforeRequest(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.values, key)
	o.mu.Unlock()
	return o.Faults.AfterWrite()
}

// ObjectService serves Objects over Connect RPC.
type ObjectService struct {
	// Objects carries the operations out.
	Objects *Objects
}

// PutObject serves the write of an object.
func (s ObjectService) PutObject(ctx context.Context, q *connect.Request[kqwire.Object]) (*connect.Response[kqwire.ObjectReply], error) {
	if err := s.Objects.put(ctx, q.Msg.Key, q.Msg.Value); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{Found: true}), nil
}

// GetObject serves the read of an object.
func (s ObjectService) GetObject(ctx context.Context, q *connect.Request[kqwire.ObjectKey]) (*connect.Response[kqwire.ObjectReply], error) {
	v, ok, err := s.Objects.get(ctx, q.Msg.Key)
	if err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{Found: ok, Value: v}), nil
}

// DeleteObject serves the deletion of an object.
func (s ObjectService) DeleteObject(ctx context.Context, q *connect.Request[kqwire.ObjectKey]) (*connect.Response[kqwire.ObjectReply], error) {
	if err := s.Objects.delete(ctx, q.Msg.Key); err != nil {
		return nil, kqfault.ConnectError(err)
	}
	return connect.NewResponse(&kqwire.ObjectReply{}), nil
}
