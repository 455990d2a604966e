package kqcontrol

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// maxEpoch limits an epoch. A cell that changes its owner once a second reaches it after 30,000 years.
const maxEpoch = 1_000_000_000_000

// DecodeOwner decodes an ownership row. If a part of it cannot be decoded or is out of range, it
// returns an error and the row without that part.
func DecodeOwner(r kqrows.Row) (o OwnerRow, err error) {
	if err = json.Unmarshal(r.Value, &o); err == nil && o.Epoch <= maxEpoch {
		return o, nil
	}
	if err == nil {
		err = eris.Errorf("epoch %d is out of range", o.Epoch)
	}
	var parts struct {
		Name    optional[string]         `json:"name"`
		Boot    optional[string]         `json:"boot"`
		Address optional[netip.AddrPort] `json:"address"`
		Epoch   optional[uint64]         `json:"epoch"`
	}
	if _, unreadable := kqdecode.Document(r.Value, &parts); unreadable != nil {
		return OwnerRow{}, err
	}
	o = OwnerRow{Name: parts.Name.value, Boot: parts.Boot.value, Address: parts.Address.value}
	if parts.Epoch.value <= maxEpoch {
		o.Epoch = parts.Epoch.value
	}
	return o, err
}

// optional is a field that keeps its zero value if it cannot be decoded.
type optional[T any] struct{ value T }

// UnmarshalJSON decodes the value if possible.
func (f *optional[T]) UnmarshalJSON(b []byte) error {
	var value T
	if json.Unmarshal(b, &value) == nil {
		f.value = value
	}
	return nil
}

// DecodeHeartbeatEpoch returns the epoch of the owner that wrote a heartbeat, or 0 if it cannot be
// decoded.
func DecodeHeartbeatEpoch(r kqrows.Row) uint64 {
	var h heartbeatRow
	if json.Unmarshal(r.Value, &h) != nil || h.Epoch > maxEpoch {
		return 0
	}
	return h.Epoch
}
