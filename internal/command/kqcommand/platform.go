package kqcommand

import (
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/platform"
)

// platformCommands run the product on the users' platform, whose settings file
// says the rest.
func (a *app) platformCommands() *cobra.Command {
	root := &cobra.Command{Use: "platform", Short: "Run on the users' platform, with its settings file"}
	root.AddCommand(&cobra.Command{Use: "entry", Args: cobra.NoArgs, Short: "Run an entry: the jobs API for callers",
		RunE: func(c *cobra.Command, _ []string) error { return failed(platform.RunEntry(c.Context(), outLogger())) }},
		&cobra.Command{Use: "agent", Args: cobra.NoArgs, Short: "Run the agent beside a worker",
			RunE: func(c *cobra.Command, _ []string) error { return failed(platform.RunAgent(c.Context(), outLogger())) }})
	return root
}

// outLogger returns a logger of JSON lines to standard output.
func outLogger() *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(os.Stdout), zapcore.InfoLevel))
}
