package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// timeBudget is how long a requester waits for an answer.
const timeBudget = 3 * time.Second

// maxSends is how often a requester sends a request that gets no final answer.
const maxSends = 5

// jobBody is a job as a requester hands it in.
type jobBody struct {
	Spec        string    `json:"spec"`
	Steps       []jobStep `json:"steps"`
	RepeatCount int       `json:"repeatCount,omitempty"`
	StartAtMS   int64     `json:"startAtMs,omitempty"`
	IntervalMS  int64     `json:"intervalMs,omitempty"`
}

type jobStep struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimateMS    int64  `json:"estimateMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	Image         string `json:"image,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
}

// requester sends requests as the pages say: an answer that leaves the outcome open is followed by the same
// request at another entry.
type requester struct {
	record *record
	cell   *cell
	host   string
	client *http.Client
	next   int
}

func newRequester(c *cell) *requester {
	return &requester{record: c.record, cell: c, host: "nony24.example", client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request to an entry. The status is 0 if there was no answer.
func (q *requester) send(entry *process, method, path string, body []byte) (status int, text string, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.cell.addr(entry.ip, frontOffset)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error(), 0
	}
	req.Host = q.host
	req.Header.Set("X-Timeout-Ms", strconv.Itoa(int(timeBudget.Milliseconds())))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := q.client.Do(req)
	if err != nil {
		q.record.logf("requester: %s %s to %s: no answer", method, path, entry.name)
		return 0, "", 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	q.record.logf("requester: %s %s to %s: %d %s", method, path, entry.name, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode, string(b), time.Duration(seconds) * time.Second
}

// entry returns the entries in turn.
func (q *requester) entry() *process {
	q.next++
	return q.cell.entries[q.next%len(q.cell.entries)]
}

// submit hands a job in and reports whether it was accepted.
func (q *requester) submit(path string, j jobBody) bool {
	b, _ := json.Marshal(j)
	for range maxSends {
		status, _, wait := q.send(q.entry(), http.MethodPost, path, b)
		switch {
		case status/100 == 2:
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			time.Sleep(max(200*time.Millisecond, wait))
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			time.Sleep(100 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// state returns the state of a job, "" if it is not known.
func (q *requester) state(path string) string {
	status, text, _ := q.send(q.entry(), http.MethodGet, path, nil)
	if status != http.StatusOK {
		return ""
	}
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return body.State
}

// jobID returns an ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n) }
