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
	tokenUsage     = "file with the operator token; empty means no token"
)

// operatorCommand is a command that sends requests to an entry.
type operatorCommand struct {
	*command
	out    io.Writer
	entry  netip.AddrPort
	output string
	author string
	// tls holds the certificate that the operator presents to the entry.
	tls   tlsSettings
	token kqtoken.File
}

// newOperatorCommand returns a command with the settings that all commands to an entry share.
func (a *app) newOperatorCommand(c *cobra.Command) *operatorCommand {
	o := &operatorCommand{command: newCommand(c), out: a.out}
	o.settings.AddrPort(&o.entry, "entry", "127.0.0.1:7000", "address of an entry")
	o.tls.declare(o.settings)
	o.settings.Text(&o.token.Path, "operator-token-file", "", tokenUsage)
	o.settings.Choice(&o.output, "output", "table", []string{"table", "json"}, "table for people, json for programs")
	a.commands = append(a.commands, o.command)
	return o
}

func (o *operatorCommand) client() (kqclient.Client, error) {
	i, err := o.tls.load(nil)
	if err != nil {
		return kqclient.Client{}, err
	}
	d := kqlink.Dialer{TLS: i.ClientConfig()}
	// Unencrypted requests use the standard client, because a proxy may support HTTP/1.1 only.
	c := &http.Client{}
	if i != nil {
		c = d.NewClient()
	}
	c.Timeout = requestTimeout
	return kqclient.Client{Dialer: d, Token: o.token, EntryAddress: o.entry, Author: o.author, HTTP: c}, nil
}

// request sends a request to the entry and decodes the JSON response into out.
func (o *operatorCommand) request(ctx context.Context, method, path string, body []byte, out any) error {
	if ctx == nil {
		ctx = context.Background()
	}
	c, err := o.client()
	if err != nil {
		return wrap(err)
	}
	return wrap(c.Do(ctx, method, path, body, out))
}

// table is the output of a command in columns for people.
type table struct {
	head []string
	rows [][]string
}

func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or t as aligned columns, as --output selects.
func (o *operatorCommand) print(v any, t table) error {
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

// readFile reads a file, or standard input if the name is "-".
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

// currentUser returns the login name, which is the default author of changes.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// commandGroup returns a command that only groups subcommands.
func commandGroup(use, short string, children ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(children...)
	return c
}

func (a *app) operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		commandGroup("class", "Read and change classes of work and quotas", a.classApply(), a.classGet(), a.classList(), a.classHistory(), a.classDiff()),
		commandGroup("job", "Submit, read and cancel jobs", a.jobSubmit(), a.jobGet(), a.jobList(), a.jobCancel()),
		commandGroup("worker", "Read the workers", a.workerList()),
		commandGroup("endpoint", "Read the endpoints", a.endpointList()),
		commandGroup("config", "Read how far the configuration has propagated", a.configStatus()),
		a.explain(), a.status(),
	}
}

// watch calls f once, or with repeat every watchInterval until it fails or ctx ends.
func watch(ctx context.Context, repeat bool, f func() error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	for {
		if err := f(); err != nil || !repeat {
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
