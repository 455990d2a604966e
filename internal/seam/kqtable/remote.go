package kqtable

import (
	"context"

	"connectrpc.com/connect"

	"github.com/kumquatswitch/kumquatswitch/internal/wire/kqwire"
)

// Remote returns a Table that calls a table service.
func Remote(c kqwire.TableServiceClient) Table {
	r := remote{c}
	return Table{Get: r.get, Scan: r.scan, Transact: r.transact}
}

type remote struct {
	client kqwire.TableServiceClient
}

func (r remote) get(ctx context.Context, key string) (Row, bool, error) {
	a, err := r.client.Get(ctx, connect.NewRequest(&kqwire.GetRequest{Key: key}))
	if err != nil {
		return Row{}, false, ErrUnavailable
	}
	return fromWire(a.Msg.Row), a.Msg.Found, nil
}

func (r remote) scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := &kqwire.ScanRequest{Prefix: prefix, After: after, Limit: uint32(limit)}
	a, err := r.client.Scan(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, ErrUnavailable
	}
	out := make([]Row, 0, len(a.Msg.Rows))
	for _, w := range a.Msg.Rows {
		out = append(out, fromWire(w))
	}
	return out, nil
}

func (r remote) transact(ctx context.Context, t Transaction) (Outcome, error) {
	q := &kqwire.TransactRequest{}
	for _, c := range t.Conditions {
		q.Conditions = append(q.Conditions, &kqwire.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range t.Writes {
		q.Writes = append(q.Writes, &kqwire.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	a, err := r.client.Transact(ctx, connect.NewRequest(q))
	if err != nil {
		return Outcome{}, writeError(err)
	}
	return Outcome{Committed: a.Msg.Committed, FailedKey: a.Msg.FailedKey, Version: a.Msg.Version}, nil
}

// writeError returns ErrUnavailable if the service itself refused the write, and ErrUnknown
// if the response may have been lost.
func writeError(err error) error {
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
		return ErrUnavailable
	}
	return ErrUnknown
}

func fromWire(w *kqwire.Row) Row {
	if w == nil {
		return Row{}
	}
	return Row{Key: w.Key, Version: w.Version, Value: w.Value}
}
