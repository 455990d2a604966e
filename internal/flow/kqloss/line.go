// Package kqloss analyzes the logs of a cell: how much of their value jobs earned by completing in
// time, and to which causes the lost value is attributed, such as waiting, throttling or repeated
// runs.
package kqloss

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// logLine holds the fields of a log line that the analysis uses.
type logLine struct {
	Time        time.Time           `json:"time"`
	Event       kqevent.Number      `json:"event"`
	ID          string              `json:"id"`
	Run         uint64              `json:"run"`
	EndReason   string              `json:"how"`
	RanMS       int64               `json:"ran_ms"`
	Queue       string              `json:"queue"`
	Zone        string              `json:"zone"`
	ObjectiveMS int64               `json:"objective_ms"`
	AgeMS       int64               `json:"age_ms"`
	Repeat      int                 `json:"repeat"`
	Work        float64             `json:"work"`
	Steps       []kqplan.LoggedStep `json:"steps"`
	Pace        kqpace.Stats        `json:"pace"`
}

// hasValidSteps reports whether the line has steps and each depends only on earlier ones.
func (l logLine) hasValidSteps() bool {
	for n, s := range l.Steps {
		for _, a := range s.After {
			if a < 0 || a >= n {
				return false
			}
		}
	}
	return len(l.Steps) > 0
}

const (
	initialBufferBytes = 64 << 10
	maxLineBytes       = 1 << 20
)

// Read adds the lines of a log. Text before the first brace of a line is skipped, so that the
// combined output of several processes, in which each line has a prefix, can be read.
func (a *Analyzer) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(s.Bytes()[start:], &l); err != nil {
			a.unreadableLines++
			continue
		}
		a.addLine(l)
	}
	if err := s.Err(); err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "log: %v", err)
	}
	return nil
}
