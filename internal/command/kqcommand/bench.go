package kqcommand

import "github.com/spf13/cobra"

// benchCommands returns the measurements.
func (a *app) benchCommands() []*cobra.Command { return nil }
