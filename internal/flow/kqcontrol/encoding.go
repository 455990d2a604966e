package kqcontrol

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// MaxRow is the largest value that a row may have, in bytes.
	MaxRowBytes = 64 << 10
	// plainRow is up to which size a record is stored as it is.
	plainRow = 8 << 10
	// packed marks a compressed record: no JSON begins with it.
	packed = 0x01
	// maxRecord bounds what a compressed record may grow to, in bytes.
	maxRecord = 4 << 20
)

// EncodeRecord returns the stored form of a progress: JSON, compressed if it is
// large, since the tasks of a job name the same workers again and again.
func EncodeRecord(r kqflow.JobRecord) []byte {
	plain := kqtable.Encode(r)
	if len(plain) <= plainRow {
		return plain
	}
	out := bytes.NewBuffer([]byte{packed})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return plain
	}
	if _, err := w.Write(plain); err != nil {
		return plain
	}
	if err := w.Close(); err != nil {
		return plain
	}
	return out.Bytes()
}

// DecodeRecord reads a stored progress.
func DecodeRecord(r kqrows.Row) (x kqflow.JobRecord, err error) {
	value := r.Value
	if len(value) > 0 && value[0] == packed {
		value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxRecord))
		if err != nil {
			return x, err
		}
	}
	err = json.Unmarshal(value, &x)
	return x, err
}
