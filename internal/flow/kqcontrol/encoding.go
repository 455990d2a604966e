package kqcontrol

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// maxPlainBytes is the size up to which a record is stored uncompressed.
	maxPlainBytes = 8 << 10
	// compressedMarker is the first byte of a compressed record; no JSON begins with it.
	compressedMarker = 0x01
	// maxRecordBytes limits the decompressed size of a record.
	maxRecordBytes = 4 << 20
)

// EncodeRecord returns the stored form of a job's progress: JSON, compressed if it is large. It compresses well, since
// the tasks of a job repeat the names of a few workers. If a row cannot hold it, it lacks some checkpoints, whose number
// is returned. The shortest checkpoints are kept, since most tasks can then resume. Without any, the crashes of tasks are
// left out too as far as necessary, the oldest first.
func EncodeRecord(r kqflow.JobRecord) (value []byte, lacking int) {
	value, fits := encodeRecord(r)
	if fits {
		return value, 0
	}
	full := r.Tasks
	r.Tasks = slices.Clone(full)
	var withCheckpoint []int
	for i := range r.Tasks {
		if r.Tasks[i].Checkpoint != "" {
			withCheckpoint = append(withCheckpoint, i)
			r.Tasks[i].Checkpoint = ""
		}
	}
	value, fits = encodeRecord(r)
	for kept := maxKeptCrashes; !fits && kept >= 0; kept-- {
		for i := range r.Tasks {
			crashes := full[i].Crashes
			r.Tasks[i].Crashes = crashes[max(0, len(crashes)-kept):]
		}
		value, fits = encodeRecord(r)
	}
	slices.SortStableFunc(withCheckpoint, func(a, b int) int { return cmp.Compare(len(full[a].Checkpoint), len(full[b].Checkpoint)) })
	left, kept := kqrows.MaxValueBytes-len(value), 0
	for _, i := range withCheckpoint {
		// A checkpoint that cannot be compressed takes its length and a few bytes for its field.
		if left -= len(full[i].Checkpoint) + checkpointFieldBytes; left < 0 {
			break
		}
		r.Tasks[i].Checkpoint = full[i].Checkpoint
		kept++
	}
	if withKept, fits := encodeRecord(r); fits {
		return withKept, len(withCheckpoint) - kept
	}
	return value, len(withCheckpoint)
}

const (
	// maxKeptCrashes is the number of crashes of each task that a record keeps if it is too large with all.
	maxKeptCrashes = 2
	// checkpointFieldBytes is the compressed size of the field of a checkpoint, rounded up.
	checkpointFieldBytes = 8
)

// encodeRecord returns the stored form of a whole record, and whether it fits in a row and can be decoded.
func encodeRecord(r kqflow.JobRecord) (value []byte, fits bool) {
	plain := kqtable.Encode(r)
	value = compress(plain)
	return value, len(value) <= kqrows.MaxValueBytes && len(plain) <= maxRecordBytes
}

// compress returns the stored form of a record in JSON.
func compress(plain []byte) []byte {
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
