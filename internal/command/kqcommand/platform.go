package kqcommand

import (
	"context"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/platform"
)

// platformCommands returns the commands that run an entry or an agent on the users' platform. They
// read all other settings from the settings file of the platform.
func (a *app) platformCommands() *cobra.Command {
	root := &cobra.Command{Use: "platform", Short: "Run an entry or an agent on the users' platform, with its settings file"}
	root.AddCommand(a.platformEntry(), &cobra.Command{Use: "agent", Args: cobra.NoArgs, Short: "Run the agent of a worker",
		RunE: runProcess(platform.RunAgent)})
	return root
}

func (a *app) platformEntry() *cobra.Command {
	var e platform.Entry
	c := newCommand(&cobra.Command{Use: "entry", Args: cobra.NoArgs, Short: "Run an entry: the jobs API for callers"})
	a.commands = append(a.commands, c)
	c.settings.Bool(&e.Admission, "admission", true, "reject jobs of queues with an objective that can certainly no longer have any value; false accepts every job that can be stored")
	c.cmd.RunE = func(cmd *cobra.Command, args []string) error { return runProcess(e.Run)(cmd, args) }
	return c.cmd
}

// runProcess returns the RunE function of a process that logs to standard output.
func runProcess(runRole func(context.Context, platform.Logging) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		logger, sink := newStdoutLogger()
		defer sink.Close()
		return wrap(runRole(c.Context(), platform.Logging{Logger: logger, LeftOut: sink.LeftOut}))
	}
}

// newStdoutLogger returns a logger that writes JSON lines to standard output, and its sink.
func newStdoutLogger() (*zap.Logger, *kqevent.Sink) {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	sink := kqevent.NewSink(os.Stdout)
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, zapcore.InfoLevel)), sink
}
