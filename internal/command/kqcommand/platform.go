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

// platformCommands run the product on the users' platform, whose settings file
// says the rest.
func (a *app) platformCommands() *cobra.Command {
	root := &cobra.Command{Use: "platform", Short: "Run on the users' platform, with its settings file"}
	root.AddCommand(a.platformEntry(), &cobra.Command{Use: "agent", Args: cobra.NoArgs, Short: "Run the agent beside a worker",
		RunE: run(platform.RunAgent)})
	return root
}

func (a *app) platformEntry() *cobra.Command {
	var e platform.Entry
	c := newCommand(&cobra.Command{Use: "entry", Args: cobra.NoArgs, Short: "Run an entry: the jobs API for callers"})
	a.commands = append(a.commands, c)
	c.settings.Bool(&e.Admission, "admission", true, "rejects jobs of queues with an objective that certainly cannot be worth anything any more; false accepts every job that can be stored")
	c.cobra.RunE = func(cmd *cobra.Command, args []string) error { return run(e.Run)(cmd, args) }
	return c.cobra
}

// run returns a command's work: a process that logs to standard output.
func run(role func(context.Context, platform.Logging) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		logger, sink := outLogger()
		defer sink.Close()
		return failed(role(c.Context(), platform.Logging{Logger: logger, LeftOut: sink.LeftOut}))
	}
}

// outLogger returns a logger of JSON lines to standard output.
func outLogger() (*zap.Logger, *kqevent.Sink) {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	sink := kqevent.NewSink(os.Stdout)
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, zapcore.InfoLevel)), sink
}
