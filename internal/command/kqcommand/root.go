// Package kqcommand is the command line over the library.
package kqcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqsettings"
)

// Exit codes of the process.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// command is a cobra command with its settings.
type command struct {
	cobra    *cobra.Command
	settings *kqsettings.Set
}

// newCommand returns a command that loads its settings before it runs.
func newCommand(c *cobra.Command) *command {
	x := &command{cobra: c, settings: kqsettings.New(c)}
	c.SilenceUsage, c.SilenceErrors = true, true
	c.PreRunE = func(*cobra.Command, []string) error { return x.settings.Load() }
	return x
}

// app is the whole command line.
type app struct {
	out      io.Writer
	err      io.Writer
	commands []*command
}

// Root returns the command tree.
func Root(out, err io.Writer) *cobra.Command {
	root, _ := build(out, err)
	return root
}

func build(out, err io.Writer) (*cobra.Command, *app) {
	a := &app{out: out, err: err}
	root := &cobra.Command{Use: "kumquatswitch", Short: "Schedule colocated latency-critical and batch work",
		SilenceUsage: true, SilenceErrors: true}
	root.SetOut(out)
	root.SetErr(err)
	root.SetFlagErrorFunc(flagError)
	for _, c := range []*command{a.entry(), a.agent(), a.standin(), a.demo()} {
		root.AddCommand(c.cobra)
		a.commands = append(a.commands, c)
	}
	root.AddCommand(a.platformCommands())
	root.AddCommand(a.operatorCommands()...)
	root.AddCommand(a.flowCommands()...)
	root.AddCommand(a.benchCommands()...)
	return root, a
}

func flagError(_ *cobra.Command, err error) error {
	return kqresult.Errorf(kqresult.BadSettings, "%v", err)
}

// Settings returns every setting with the command that has it.
func Settings() map[string][]kqsettings.Setting {
	_, a := build(io.Discard, io.Discard)
	out := map[string][]kqsettings.Setting{}
	for _, c := range a.commands {
		out[c.cobra.CommandPath()] = c.settings.Settings()
	}
	return out
}

// Execute runs a command line and returns the exit code: 2 for a wrong
// setting or argument, 1 for any other failure.
func Execute(args []string, out, err io.Writer) int {
	root := Root(out, err)
	root.SetArgs(args)
	e := root.Execute()
	if e == nil {
		return exitOK
	}
	fmt.Fprintln(err, "kumquatswitch:", e)
	var r *kqresult.Error
	if eris.As(e, &r) {
		if r.Code == kqresult.BadSettings {
			return exitSettings
		}
		return exitFailed
	}
	if eris.Is(e, errBroken) {
		return exitFailed
	}
	return exitSettings
}

// errBroken is the end of a trial that broke an invariant or missed a target.
var errBroken = eris.New("an invariant was broken")

// failed marks an error of the run, as against one of the settings.
func failed(err error) error {
	if err == nil {
		return nil
	}
	var r *kqresult.Error
	if eris.As(err, &r) {
		return err
	}
	return &kqresult.Error{Code: kqresult.Internal, Reason: err.Error()}
}

// newLogger returns a logger of JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(os.Stderr), l)), nil
}
