// Package kqcommand implements the command line of kumquatswitch.
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

// command is a cobra command with the settings that it declares.
type command struct {
	cmd      *cobra.Command
	settings *kqsettings.Set
}

// newCommand returns a command that loads its settings before it runs.
func newCommand(c *cobra.Command) *command {
	x := &command{cmd: c, settings: kqsettings.New(c)}
	c.SilenceUsage, c.SilenceErrors = true, true
	c.PreRunE = func(*cobra.Command, []string) error { return x.settings.Load() }
	return x
}

// app holds the output writers and the commands with settings.
type app struct {
	out      io.Writer
	errOut   io.Writer
	commands []*command
}

// Root returns the command tree.
func Root(out, errOut io.Writer) *cobra.Command {
	root, _ := build(out, errOut)
	return root
}

func build(out, errOut io.Writer) (*cobra.Command, *app) {
	a := &app{out: out, errOut: errOut}
	root := &cobra.Command{Use: "kumquatswitch", Short: "Schedule colocated latency-critical and batch work",
		SilenceUsage: true, SilenceErrors: true}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(flagError)
	for _, c := range []*command{a.entry(), a.agent(), a.standin(), a.demo()} {
		root.AddCommand(c.cmd)
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

// Settings returns the settings of each command by its command path, for the reference page.
func Settings() map[string][]kqsettings.Setting {
	_, a := build(io.Discard, io.Discard)
	out := map[string][]kqsettings.Setting{}
	for _, c := range a.commands {
		out[c.cmd.CommandPath()] = c.settings.Settings()
	}
	return out
}

// Execute runs a command line and returns the exit code: 2 for an invalid setting or argument, 1
// for any other failure.
func Execute(args []string, out, errOut io.Writer) int {
	root := Root(out, errOut)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "kumquatswitch:", err)
	var coded *kqresult.Error
	if eris.As(err, &coded) {
		if coded.Code == kqresult.BadSettings {
			return exitSettings
		}
		return exitFailed
	}
	if eris.Is(err, errTrialFailed) {
		return exitFailed
	}
	return exitSettings
}

// errTrialFailed is returned by a trial in which an invariant was violated or a flow did not complete.
var errTrialFailed = eris.New("the trial failed: an invariant was violated or a flow did not complete")

// wrap gives an error the result code internal unless it has a code. Execute exits with code 1 for it
// instead of 2, which an error without a code gets.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	var coded *kqresult.Error
	if eris.As(err, &coded) {
		return err
	}
	return &kqresult.Error{Code: kqresult.Internal, Reason: err.Error()}
}

// newStderrLogger returns a logger that writes JSON lines to standard error.
func newStderrLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(os.Stderr), l)), nil
}
