// Package kqobject defines the interface to the platform's object store.
package kqobject

import (
	"context"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Store holds the operations of an object store.
type Store struct {
	// Put stores an object under a key.
	Put func(ctx context.Context, key string, value []byte) error
	// Get returns an object; found is false if it does not exist.
	Get func(ctx context.Context, key string) (value []byte, found bool, err error)
	// Delete removes an object; it is not an error if the object does not exist.
	Delete func(ctx context.Context, key string) error
}

// Remote returns a Store that calls an object service.
func Remote(c kqwire.ObjectServiceClient) Store {
	return Store{
		Put: func(ctx context.Context, key string, value []byte) error {
			_, err := c.PutObject(ctx, connect.NewRequest(&kqwire.Object{Key: key, Value: value}))
			return err
		},
		Get: func(ctx context.Context, key string) ([]byte, bool, error) {
			a, err := c.GetObject(ctx, connect.NewRequest(&kqwire.ObjectKey{Key: key}))
			if err != nil {
				return nil, false, err
			}
			return a.Msg.Value, a.Msg.Found, nil
		},
		Delete: func(ctx context.Context, key string) error {
			_, err := c.DeleteObject(ctx, connect.NewRequest(&kqwire.ObjectKey{Key: key}))
			return err
		},
	}
}
