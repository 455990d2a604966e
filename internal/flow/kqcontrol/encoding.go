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
	// MaxRowBytes is the maximum size of a row's value.
	MaxRowBytes = 64 << 10
	// maxPlainBytes is the size up to which a record is stored uncompressed.
	maxPlainBytes = 8 << 10
	// compressedMarker is the first byte of a compressed record; no JSON begins with it.
	compressedMarker = 0x01
	// maxRecordBytes limits the decompressed size of a record.
	maxRecordBytes = 4 << 20
)

// EncodeRecord returns the stored form of a job's progress: JSON, compressed if it is
// large. It compresses well, since the tasks of a job repeat the names of a few workers.
func EncodeRecord(r kqflow.JobRecord) []byte {
	plain := kqtable.Encode(r)
	if len(plain) <= maxPlainBytes {
		return plain
	}
	out := bytes.NewBuffer([]byte{compressedMarker})
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

// DecodeRecord decodes the stored progress of a job. It returns an error if the row is not
// readable.
func DecodeRecord(r kqrows.Row) (x kqflow.JobRecord, err error) {
	value := r.Value
	if len(value) > 0 && value[0] == compressedMarker {
		value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxRecordBytes))
		if err != nil {
			return x, err
		}
	}
	err = json.Unmarshal(value, &x)
	return x, err
}
