// Package kqclient is an HTTP client of the entry's routes for operators and for callers
// that submit jobs.
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

// Client sends the requests of an operator, or of a caller that submits jobs, to an entry.
type Client struct {
	// HTTP is the underlying HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
	// Dialer gives the URL of the entry.
	Dialer kqlink.Dialer
	// Token is the file of the operators' token that is sent with each request; the zero
	// value sends none.
	Token kqtoken.File
	// EntryAddress is the address of the entry.
	EntryAddress netip.AddrPort
	// Author is the operator's name in the configuration history.
	Author string
}

// Do sends a request and decodes the JSON response into out, unless out is nil. It returns
// a *kqresult.Error if the entry refuses the request with a result code.
func (c Client) Do(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.Dialer.URL(c.EntryAddress)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if err := c.Token.AddToken(request); err != nil {
		return err
	}
	if c.Author != "" {
		request.Header.Set("Kq-Author", c.Author)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		var r kqresult.Body
		if json.Unmarshal(content, &r) != nil || r.Name == "" {
			return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, content)
		}
		return &kqresult.Error{Code: r.Code, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterSeconds * float64(time.Second))}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(content, out)
}

// Apply submits configuration documents in YAML or JSON.
func (c Client) Apply(ctx context.Context, documents string) error {
	return c.Do(ctx, http.MethodPost, "/v1/config", []byte(documents), nil)
}

// Submit submits a job and returns its state.
func (c Client) Submit(ctx context.Context, s kqmodel.JobSpec) (kqentry.JobView, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return kqentry.JobView{}, err
	}
	var v kqentry.JobView
	return v, c.Do(ctx, http.MethodPost, "/v1/jobs", b, &v)
}

// Job returns the state of a job.
func (c Client) Job(ctx context.Context, id string) (kqentry.JobView, error) {
	var v kqentry.JobView
	return v, c.Do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &v)
}

// Cancel cancels a job.
func (c Client) Cancel(ctx context.Context, id string) error {
	return c.Do(ctx, http.MethodDelete, "/v1/jobs/"+id, nil, nil)
}
