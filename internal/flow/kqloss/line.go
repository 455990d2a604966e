// Package kqloss tells from the logs of a cell what jobs of steps were worth and
// where the rest went: which waited, which were held back, which ran again.
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

// line is a line of a log.
type line struct {
	Time        time.Time           `json:"time"`
	Event       kqevent.Number      `json:"event"`
	ID          string              `json:"id"`
	Run         uint64              `json:"run"`
	How         string              `json:"how"`
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

// hasSteps reports whether the line has steps that wait for earlier ones only.
func (l line) hasSteps() bool {
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
	firstBuffer = 64 << 10
	longestLine = 1 << 20
)

// Read takes over a log. What stands before the first brace of a line is
// skipped, so that the output of several processes may be read together.
func (a *Analyzer) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, firstBuffer), longestLine)
	for s.Scan() {
		from := bytes.IndexByte(s.Bytes(), '{')
		if from < 0 {
			continue
		}
		var l line
		if err := json.Unmarshal(s.Bytes()[from:], &l); err != nil {
			a.unread++
			continue
		}
		a.take(l)
	}
	if err := s.Err(); err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "log: %v", err)
	}
	return nil
}
