// Package kqclient speaks to an entry as an operator or a caller of jobs does.
package kqclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqentry"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
)

// Client is an operator or a caller of jobs that speaks to an entry.
type Client struct {
	// HTTP is the client used; nil means the default one.
	HTTP *http.Client
	// Dialer says how to reach the entry.
	Dialer kqlink.Dialer
	// Token is shown to the entry.
	Token kqtoken.File
	// Entry is the entry's address.
	EntryAddress netip.AddrPort
	// Author names the operator in the history of classes.
	Author string
}

// Do sends a request and decodes the JSON answer; a refusal becomes a
// kqresult.Error.
func (c Client) Do(ctx context.Context, method, path string, body []byte, out any) error {
	q, err := http.NewRequestWithContext(ctx, method, c.Dialer.URL(c.EntryAddress)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if err := c.Token.Sign(q); err != nil {
		return err
	}
	if c.Author != "" {
		q.Header.Set("Kq-Author", c.Author)
	}
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	a, err := h.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode >= http.StatusBadRequest {
		var r kqresult.Body
		if json.Unmarshal(b, &r) != nil || r.Name == "" {
			return fmt.Errorf("%s %s: status %d: %s", method, path, a.StatusCode, b)
		}
		return &kqresult.Error{Code: r.Code, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterSeconds * float64(time.Second))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

// Apply sends configuration documents.
func (c Client) Apply(ctx context.Context, documents string) error {
	return c.Do(ctx, http.MethodPost, "/v1/config", []byte(documents), nil)
}

// Submit submits a job.
func (c Client) Submit(ctx context.Context, s kqmodel.JobSpec) (kqentry.JobView, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return kqentry.JobView{}, err
	}
	var v kqentry.JobView
	return v, c.Do(ctx, http.MethodPost, "/v1/jobs", b, &v)
}

// Job returns a job.
func (c Client) Job(ctx context.Context, id string) (kqentry.JobView, error) {
	var v kqentry.JobView
	return v, c.Do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &v)
}

// Cancel cancels a job.
func (c Client) Cancel(ctx context.Context, id string) error {
	return c.Do(ctx, http.MethodDelete, "/v1/jobs/"+id, nil, nil)
}
