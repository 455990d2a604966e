package kqcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/entry/kqclient"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqlink"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
)

const (
	requestTimeout = 10 * time.Second
	tokenUsage     = "file with the operators' token; empty asks for none"
)

// operator is a command that speaks to an entry.
type operator struct {
	*command
	out    io.Writer
	entry  netip.AddrPort
	output string
	author string
	// identity is what the operator shows the entry.
	identity identity
	token    kqtoken.File
}

// operator returns a command with the settings that all operators' commands
// have.
func (a *app) operator(c *cobra.Command) *operator {
	o := &operator{command: newCommand(c), out: a.out}
	o.settings.AddrPort(&o.entry, "entry", "127.0.0.1:7000", "address of an entry")
	o.identity.declare(o.settings)
	o.settings.Text(&o.token.Path, "operator-token-file", "", tokenUsage)
	o.settings.Choice(&o.output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	a.commands = append(a.commands, o.command)
	return o
}

func (o *operator) client() (kqclient.Client, error) {
	i, err := o.identity.load(nil)
	if err != nil {
		return kqclient.Client{}, err
	}
	d := kqlink.Dialer{TLS: i.ClientConfig()}
	// An unencrypted request may pass a proxy that speaks HTTP/1.1 only.
	c := &http.Client{}
	if i != nil {
		c = d.NewClient()
	}
	c.Timeout = requestTimeout
	return kqclient.Client{Dialer: d, Token: o.token, EntryAddress: o.entry, Author: o.author, HTTP: c}, nil
}

// request sends a request and decodes the answer.
func (o *operator) request(ctx context.Context, method, path string, body []byte, out any) error {
	if ctx == nil {
		ctx = context.Background()
	}
	c, err := o.client()
	if err != nil {
		return failed(err)
	}
	return failed(c.Do(ctx, method, path, body, out))
}

// table is the answer of a command for people.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON, or the table.
func (o *operator) print(v any, t table) error {
	if o.output == "json" {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

func splitList(s string) []string {
	var out []string
	for _, p := range strings.Split(s, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// readFile reads a file, or standard input for "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, kqresult.Errorf(kqresult.BadSettings, "file: %v", err)
	}
	return b, nil
}

// currentUser names the operator in the history.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// parent returns a command that only groups others.
func parent(use, short string, children ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(children...)
	return c
}

func (a *app) operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		parent("class", "Read and change classes of work and quotas", a.classApply(), a.classGet(), a.classList(), a.classHistory(), a.classDiff()),
		parent("job", "Submit, read and cancel jobs", a.jobSubmit(), a.jobGet(), a.jobList(), a.jobCancel()),
		parent("worker", "Read the workers", a.workerList()),
		parent("endpoint", "Read the endpoints", a.endpointList()),
		parent("config", "Read how far the configuration has come", a.configStatus()),
		a.explain(), a.status(),
	}
}

// watch repeats f until it fails or ctx ends.
func watch(ctx context.Context, on bool, f func() error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	for {
		if err := f(); err != nil || !on {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

const watchInterval = time.Second
